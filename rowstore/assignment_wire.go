package rowstore

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

type wireZone struct {
	Version uint64 `json:"version"`
	Attempt string `json:"attempt"`
}

type wireInstanceRow struct {
	Pool         string `json:"pool"`
	Phase        string `json:"phase"`
	Next         string `json:"next,omitempty"`
	Home         string `json:"home,omitempty"`
	Version      uint64 `json:"version"`
	SinceMS      int64  `json:"since_ms"`
	MovedMS      int64  `json:"moved_ms,omitempty"`
	MaintainedMS int64  `json:"maintained_ms"`
	Held         bool   `json:"held,omitempty"`
}

type wireBudget struct {
	Absent map[string]wireAbsence `json:"absent"`
}

type wireAbsence struct {
	Zone    string `json:"zone"`
	Reason  string `json:"reason"`
	SinceMS int64  `json:"since_ms"`
}

type wireDrain struct {
	Drain   bool   `json:"drain"`
	AtMS    int64  `json:"at_ms"`
	Attempt string `json:"attempt"`
}

// encode cannot fail: the wire types hold only strings, numbers and booleans.
func encode(v any) []byte {
	text, _ := json.Marshal(v)
	return text
}

func encodeZone(z *ZoneRows) []byte {
	return encode(wireZone{Version: uint64(z.Version), Attempt: z.attempt})
}

func encodeInstance(r InstanceRow) []byte {
	return encode(wireInstanceRow{
		Pool: string(r.Pool), Phase: string(r.Phase), Next: string(r.Next), Home: string(r.Home), Version: uint64(r.Version),
		SinceMS: int64(r.Since), MovedMS: int64(r.Moved), MaintainedMS: int64(r.Maintained), Held: r.Held,
	})
}

func encodeBudget(b Budget) []byte {
	w := wireBudget{Absent: make(map[string]wireAbsence, len(b.Absent))}
	for id, a := range b.Absent {
		w.Absent[string(id)] = wireAbsence{Zone: string(a.Zone), Reason: string(a.Reason), SinceMS: int64(a.Since)}
	}
	return encode(w)
}

func encodeDrain(d DrainRequest, attempt string) []byte {
	return encode(wireDrain{Drain: d.Drain, AtMS: int64(d.At), Attempt: attempt})
}

func drainAttempt(value []byte) string {
	var w wireDrain
	if json.Unmarshal(value, &w) != nil {
		return ""
	}
	return w.Attempt
}

func decodeZone(zone fleet.ZoneID, rows []Row) (*ZoneRows, error) {
	z := &ZoneRows{
		Zone: zone, Instances: map[fleet.InstanceID]InstanceRow{},
		Budgets: map[fleet.PoolID]Budget{}, Drains: map[fleet.InstanceID]DrainRequest{},
	}
	for _, r := range rows {
		if err := z.decodeRow(r); err != nil {
			return nil, eris.Wrapf(err, "rowstore: row %s of table %s", r.Key, r.Table)
		}
	}
	return z, nil
}

func (z *ZoneRows) decodeRow(r Row) error {
	switch r.Table {
	case zoneTable:
		var w wireZone
		if err := json.Unmarshal(r.Value, &w); err != nil {
			return err
		}
		z.Version, z.attempt, z.rowVersion = fleet.Version(w.Version), w.Attempt, r.Version
	case instanceTable:
		var w wireInstanceRow
		if err := json.Unmarshal(r.Value, &w); err != nil {
			return err
		}
		id := z.instanceOf(r.Key)
		z.Instances[id] = InstanceRow{
			ID: id, Pool: fleet.PoolID(w.Pool), Phase: fleet.Phase(w.Phase), Next: fleet.PoolID(w.Next), Home: fleet.PoolID(w.Home),
			Version: fleet.Version(w.Version), Since: clock.Millis(w.SinceMS), Moved: clock.Millis(w.MovedMS),
			Maintained: clock.Millis(w.MaintainedMS), Held: w.Held,
		}
	case budgetTable:
		var w wireBudget
		if err := json.Unmarshal(r.Value, &w); err != nil {
			return err
		}
		b := Budget{Pool: fleet.PoolID(r.Key), Absent: make(map[fleet.InstanceID]Absence, len(w.Absent)), rowVersion: r.Version}
		for id, a := range w.Absent {
			b.Absent[fleet.InstanceID(id)] = Absence{Zone: fleet.ZoneID(a.Zone), Reason: Reason(a.Reason), Since: clock.Millis(a.SinceMS)}
		}
		z.Budgets[b.Pool] = b
	case drainTable:
		var w wireDrain
		if err := json.Unmarshal(r.Value, &w); err != nil {
			return err
		}
		id := z.instanceOf(r.Key)
		z.Drains[id] = DrainRequest{Instance: id, Drain: w.Drain, At: clock.Millis(w.AtMS), rowVersion: r.Version}
	}
	return nil
}

func (z *ZoneRows) instanceOf(key string) fleet.InstanceID {
	return fleet.InstanceID(strings.TrimPrefix(key, string(z.Zone)+"/"))
}
