package owner

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// knownWorker is the durable record of a worker on which tasks may run.
type knownWorker struct {
	Incarnation clock.Millis // its start time
	Address     string
	// Unused says that no start was sent to it. The platform lists workers for some seconds after they have
	// ended; without the mark, the next owner would wait for them before it starts recovered tasks.
	Unused bool
	// Restarted says that its runs may have longer leases than those that owners give; see Owner.strayLease.
	Restarted bool
}

// wireKnownWorker is a knownWorker as it is stored.
type wireKnownWorker struct {
	Incarnation int64  `json:"born_ms"`
	Address     string `json:"address"`
	Unused      bool   `json:"unused,omitempty"` // missing in rows of earlier versions, whose workers count as used
	Restarted   bool   `json:"restarted,omitempty"`
}

// knownKeyOf returns the key of the ith row of known workers.
func knownKeyOf(i int) string {
	if i == 0 {
		return knownKey
	}
	return knownKey + "-" + strconv.Itoa(i)
}

// knownEntryBytes is what an entry of a row takes beside the id and the address of the worker.
const knownEntryBytes = 64

// knownWorkersRows returns the writes that make the known workers durable. They are divided among as many rows
// as the table service needs, each of at most half the size that it takes; rows of an earlier division that are not
// needed any more are deleted.
func (o *Owner) knownWorkersRows(known map[fleet.InstanceID]knownWorker) ([]rowstore.Write, error) {
	var writes []rowstore.Write
	wire, size := map[string]wireKnownWorker{}, 0
	flush := func() error {
		value, err := json.Marshal(wire)
		if err != nil {
			return eris.Wrap(err, "owner: encode known workers")
		}
		writes = append(writes, rowstore.Write{Ref: o.ref(workersTable, knownKeyOf(len(writes))), Value: value})
		wire, size = map[string]wireKnownWorker{}, 0
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		k := known[id]
		entry := len(id) + len(k.Address) + knownEntryBytes
		if size > 0 && size+entry > o.MaxRowBytes/2 {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		wire[string(id)] = wireKnownWorker{Incarnation: int64(k.Incarnation), Address: k.Address, Unused: k.Unused, Restarted: k.Restarted}
		size += entry
	}
	if err := flush(); err != nil {
		return nil, err
	}
	for i := len(writes); i < o.knownRows; i++ {
		writes = append(writes, rowstore.Write{Ref: o.ref(workersTable, knownKeyOf(i)), Delete: true})
	}
	return writes, nil
}

// decodeKnownWorkers decodes a row that knownWorkersRows writes.
func decodeKnownWorkers(value []byte) (map[fleet.InstanceID]knownWorker, error) {
	var wire map[string]wireKnownWorker
	if err := json.Unmarshal(value, &wire); err != nil {
		return nil, eris.Wrap(err, "owner: decode known workers")
	}
	out := make(map[fleet.InstanceID]knownWorker, len(wire))
	for id, k := range wire {
		out[fleet.InstanceID(id)] = knownWorker{Incarnation: clock.Millis(k.Incarnation), Address: k.Address, Unused: k.Unused, Restarted: k.Restarted}
	}
	return out, nil
}
