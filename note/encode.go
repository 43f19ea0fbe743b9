package note

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
)

// Encode returns the JSON text of n.
func Encode(n fleet.ReleaseNote) ([]byte, error) {
	text, err := json.Marshal(wireNote{
		Schema:    Schema,
		ID:        string(n.ID),
		Base:      uint64(n.Base),
		Added:     encodeItems(n.Added),
		Changed:   encodeItems(n.Changed),
		Withdrawn: encodeRefs(n.Withdrawn),
	})
	return text, eris.Wrap(err, "note: encode")
}

func encodeItems(it fleet.Items) wireItems {
	return wireItems{
		Pools: each(it.Pools, func(p fleet.Pool) wirePool {
			return wirePool{
				ID: string(p.ID), Spare: p.Spare, MaxAbsent: p.MaxAbsent,
				EveryMS: int64(p.Maintenance.Every), DrainBoundMS: int64(p.Maintenance.DrainBound),
			}
		}),
		Queues: each(it.Queues, func(q fleet.Queue) wireQueue {
			return wireQueue{
				ID: string(q.ID), Pool: string(q.Pool), Open: q.Open, Idempotent: q.Idempotent, Urgent: q.Urgent,
				DefaultDeadlineMS: int64(q.DefaultDeadline), MaxDeadlineMS: int64(q.MaxDeadline), MaxWaiting: q.MaxWaiting,
			}
		}),
		Teams: each(it.Teams, func(t fleet.Team) wireTeam {
			return wireTeam{ID: string(t.ID), Share: int(t.Share), Limit: int(t.Limit), MaxStalenessMS: int64(t.MaxStaleness)}
		}),
		Keys: each(it.Keys, func(k fleet.Key) wireKey { return wireKey{Hash: string(k.Hash), Team: string(k.Team)} }),
		Instances: each(it.Instances, func(in fleet.Instance) wireInstance {
			return wireInstance{
				ID: string(in.ID), Zone: string(in.Zone), Rack: string(in.Rack), Address: in.Address,
				Slots: int(in.Slots), Connections: in.Connections, Pool: string(in.Pool),
			}
		}),
	}
}

func encodeRefs(r fleet.Refs) wireRefs {
	return wireRefs{
		Pools: toStrings(r.Pools), Queues: toStrings(r.Queues), Teams: toStrings(r.Teams),
		Keys: toStrings(r.Keys), Instances: toStrings(r.Instances),
	}
}

func each[A, B any](in []A, f func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = f(v)
	}
	return out
}

func toStrings[T ~string](in []T) []string { return each(in, func(v T) string { return string(v) }) }
