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

func encodeItems(items fleet.Items) wireItems {
	return wireItems{
		Pools: mapSlice(items.Pools, func(p fleet.Pool) wirePool {
			return wirePool{
				ID: string(p.ID), Spare: p.Spare, MaxAbsent: p.MaxAbsent,
				EveryMS: int64(p.Maintenance.Every), DrainBoundMS: int64(p.Maintenance.DrainBound),
			}
		}),
		Queues: mapSlice(items.Queues, func(q fleet.Queue) wireQueue {
			return wireQueue{
				ID: string(q.ID), Pool: string(q.Pool), Open: q.Open, Idempotent: q.Idempotent, Urgent: q.Urgent,
				DefaultDeadlineMS: int64(q.DefaultDeadline), MaxDeadlineMS: int64(q.MaxDeadline), MaxWaiting: q.MaxWaiting,
			}
		}),
		Teams: mapSlice(items.Teams, func(t fleet.Team) wireTeam {
			return wireTeam{ID: string(t.ID), Share: int(t.Share), Limit: int(t.Limit), MaxStalenessMS: int64(t.MaxStaleness)}
		}),
		Keys: mapSlice(items.Keys, func(k fleet.Key) wireKey { return wireKey{Hash: string(k.Hash), Team: string(k.Team)} }),
		Instances: mapSlice(items.Instances, func(in fleet.Instance) wireInstance {
			return wireInstance{
				ID: string(in.ID), Zone: string(in.Zone), Rack: string(in.Rack), Address: in.Address,
				Slots: int(in.Slots), Connections: in.Connections, Pool: string(in.Pool),
			}
		}),
	}
}

func encodeRefs(refs fleet.Refs) wireRefs {
	return wireRefs{
		Pools: toStrings(refs.Pools), Queues: toStrings(refs.Queues), Teams: toStrings(refs.Teams),
		Keys: toStrings(refs.Keys), Instances: toStrings(refs.Instances),
	}
}

// mapSlice returns the results of f for the elements of in. It returns nil if in is nil.
func mapSlice[A, B any](in []A, f func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = f(v)
	}
	return out
}

func toStrings[T ~string](in []T) []string {
	return mapSlice(in, func(v T) string { return string(v) })
}
