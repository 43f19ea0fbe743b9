package hosted

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/machine"
	"citronknot/rowstore"
)

// machineOrdersTable is the table in which the fleet leader records the machines that it orders, before
// it sends the orders. machineOrdersKey is the key of its only row.
const (
	machineOrdersTable = "machine_orders"
	machineOrdersKey   = "recent"
)

// orderRecord is what a fleet leader has recorded of its orders to machines.
type orderRecord struct {
	Fence    uint64 // of the leader's lease; 0 if there is no record
	Machines []machine.ID
}

// wireOrderRecord is an orderRecord as it is stored.
type wireOrderRecord struct {
	Fence    uint64   `json:"fence"`
	Machines []string `json:"machines"`
}

func decodeOrderRecord(value []byte) (orderRecord, error) {
	var wire wireOrderRecord
	if err := json.Unmarshal(value, &wire); err != nil {
		return orderRecord{}, eris.Wrap(err, "hosted: decode record of orders")
	}
	record := orderRecord{Fence: wire.Fence}
	for _, id := range wire.Machines {
		record.Machines = append(record.Machines, machine.ID(id))
	}
	return record, nil
}

func encodeOrderRecord(r orderRecord) ([]byte, error) {
	wire := wireOrderRecord{Fence: r.Fence, Machines: make([]string, 0, len(r.Machines))}
	for _, id := range r.Machines {
		wire.Machines = append(wire.Machines, string(id))
	}
	value, err := json.Marshal(wire)
	return value, eris.Wrap(err, "hosted: encode record of orders")
}

// handoverTime is how long an order of a former leader keeps a machine from the orders of the next one:
// the least time between the orders of two holders, and the time for which the last order may be on its way.
func (l *fleetLeader) handoverTime() clock.Millis {
	return l.process.Settings.MinHolderChangeTime + lastOrderDelay
}

// takeOver decides from which time on this leader may order which machines. A former leader records each
// machine before it orders it, so that only the machines of its record can have an order on the way. If
// the former leader has left no record, each machine can.
func (l *fleetLeader) takeOver(former orderRecord) {
	now := l.process.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ordersFrom = now
	switch fence := l.lease.Fence(); {
	case fence == 1: // there was no fleet leader before
	case former.Fence == fence-1:
		l.planner.Hold(former.Machines, now+l.handoverTime())
		for _, id := range former.Machines {
			l.recentOrders[id] = now
		}
	default:
		l.ordersFrom = now + l.handoverTime()
	}
	l.process.Log.Info("hosted: fleet leader took over", "fence", l.lease.Fence(), "recorded_fence", former.Fence,
		"machines_held", len(former.Machines), "hold_ms", int64(l.handoverTime()), "orders_in_ms", int64(l.ordersFrom-now))
}

// recordOrders makes the machines durable to which orders are to be sent, together with those that may
// still have an order on the way. It is the only function that writes the record, and it runs before
// any of the orders is sent. It fails if the lease is lost.
func (l *fleetLeader) recordOrders(ctx context.Context, orders []machine.Order) error {
	now := l.process.Clock.Now()
	recorded := len(l.recentOrders)
	maps.DeleteFunc(l.recentOrders, func(_ machine.ID, at clock.Millis) bool { return now-at > l.handoverTime() })
	l.expiredOrders += recorded - len(l.recentOrders)
	if l.recordSaved && len(orders) == 0 && l.expiredOrders <= len(l.recentOrders) {
		return nil // the record still names more machines that count than others
	}
	for _, o := range orders {
		l.recentOrders[o.Machine] = now
	}
	value, err := encodeOrderRecord(orderRecord{Fence: l.lease.Fence(), Machines: slices.Sorted(maps.Keys(l.recentOrders))})
	if err != nil {
		return err
	}
	write := rowstore.Write{Ref: rowstore.Ref{Table: machineOrdersTable, Partition: string(fleetPartition), Key: machineOrdersKey}, Value: value}
	if err := l.lease.Commit(ctx, []rowstore.Write{write}); err != nil {
		return err
	}
	l.recordSaved, l.expiredOrders = true, 0
	return nil
}
