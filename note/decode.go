package note

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

// Decode reads the JSON text of one release note. Unknown fields are refused, so that a
// misspelt field is never taken for an absent one.
func Decode(text []byte) (fleet.ReleaseNote, error) {
	var w wireNote
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		return fleet.ReleaseNote{}, eris.Wrap(err, "note: decode")
	}
	if _, err := d.Token(); err != io.EOF {
		return fleet.ReleaseNote{}, eris.New("note: text after the release note")
	}
	if w.Schema != Schema {
		return fleet.ReleaseNote{}, &fleet.NoteError{Note: fleet.NoteID(w.ID), Faults: []fleet.Fault{{
			Field: "schema", Value: strconv.Itoa(w.Schema), Accepted: strconv.Itoa(Schema),
		}}}
	}
	return fleet.ReleaseNote{
		ID:        fleet.NoteID(w.ID),
		Base:      fleet.Version(w.Base),
		Added:     decodeItems(w.Added),
		Changed:   decodeItems(w.Changed),
		Withdrawn: decodeRefs(w.Withdrawn),
	}, nil
}

func decodeItems(w wireItems) fleet.Items {
	return fleet.Items{
		Pools: each(w.Pools, func(p wirePool) fleet.Pool {
			return fleet.Pool{
				ID: fleet.PoolID(p.ID), Spare: p.Spare, MaxAbsent: p.MaxAbsent,
				Maintenance: fleet.Maintenance{Every: clock.Millis(p.EveryMS), DrainBound: clock.Millis(p.DrainBoundMS)},
			}
		}),
		Queues: each(w.Queues, func(q wireQueue) fleet.Queue {
			return fleet.Queue{
				ID: fleet.QueueID(q.ID), Pool: fleet.PoolID(q.Pool), Open: q.Open, Idempotent: q.Idempotent, Urgent: q.Urgent,
				DefaultDeadline: clock.Millis(q.DefaultDeadlineMS), MaxDeadline: clock.Millis(q.MaxDeadlineMS), MaxWaiting: q.MaxWaiting,
			}
		}),
		Teams: each(w.Teams, func(t wireTeam) fleet.Team {
			return fleet.Team{
				ID: fleet.TeamID(t.ID), Share: fleet.Share(t.Share), Limit: fleet.Slots(t.Limit), MaxStaleness: clock.Millis(t.MaxStalenessMS),
			}
		}),
		Keys: each(w.Keys, func(k wireKey) fleet.Key {
			return fleet.Key{Hash: fleet.KeyHash(k.Hash), Team: fleet.TeamID(k.Team)}
		}),
		Instances: each(w.Instances, func(in wireInstance) fleet.Instance {
			return fleet.Instance{
				ID: fleet.InstanceID(in.ID), Zone: fleet.ZoneID(in.Zone), Rack: fleet.RackID(in.Rack), Address: in.Address,
				Slots: fleet.Slots(in.Slots), Connections: in.Connections, Pool: fleet.PoolID(in.Pool),
			}
		}),
	}
}

func decodeRefs(w wireRefs) fleet.Refs {
	return fleet.Refs{
		Pools: fromStrings[fleet.PoolID](w.Pools), Queues: fromStrings[fleet.QueueID](w.Queues),
		Teams: fromStrings[fleet.TeamID](w.Teams), Keys: fromStrings[fleet.KeyHash](w.Keys),
		Instances: fromStrings[fleet.InstanceID](w.Instances),
	}
}
