package note

import (
	"strconv"

	"citronknot/fleet"
)

// Decode reads the text of one release note. It fails with *[DecodeError].
func Decode(text []byte) (fleet.ReleaseNote, error) {
	n, _, err := DecodeWithPositions(text)
	return n, err
}

// DecodeWithPositions is [Decode] that also returns where the fields of the note are.
func DecodeWithPositions(raw []byte) (fleet.ReleaseNote, Positions, error) {
	positions := Positions{text: raw}
	var n fleet.ReleaseNote
	r, err := newReader(raw)
	if err != nil {
		return n, positions, err
	}
	schema := Schema
	r.object("", []field{
		number("schema", &schema).must(),
		text("id", &n.ID).must(),
		version("base", &n.Base).must(),
		nested("added", items(&n.Added)),
		nested("changed", items(&n.Changed)),
		nested("withdrawn", refs(&n.Withdrawn)),
	})
	positions.offsets = r.offsets
	if schema != Schema {
		r.fault(r.offsets["schema"], "schema", strconv.Itoa(schema), strconv.Itoa(Schema))
	}
	if err := r.err(); err != nil {
		return fleet.ReleaseNote{}, positions, err
	}
	return n, positions, nil
}

func items(it *fleet.Items) []field {
	return []field{
		list("pools", &it.Pools, readPool), list("queues", &it.Queues, readQueue), list("teams", &it.Teams, readTeam),
		list("keys", &it.Keys, readKey), list("instances", &it.Instances, readInstance),
	}
}

func refs(r *fleet.Refs) []field {
	return []field{
		list("pools", &r.Pools, readText[fleet.PoolID]), list("queues", &r.Queues, readText[fleet.QueueID]),
		list("teams", &r.Teams, readText[fleet.TeamID]), list("keys", &r.Keys, readText[fleet.KeyHash]),
		list("instances", &r.Instances, readText[fleet.InstanceID]),
	}
}

func readPool(r *reader, at string, p *fleet.Pool) {
	r.object(at, []field{
		text("id", &p.ID).must(), flag("spare", &p.Spare), number("max_absent", &p.MaxAbsent).must(),
		number("maintenance_every_ms", &p.Maintenance.Every), number("drain_bound_ms", &p.Maintenance.DrainBound),
	})
}

func readQueue(r *reader, at string, q *fleet.Queue) {
	r.object(at, []field{
		text("id", &q.ID).must(), text("pool", &q.Pool).must(),
		flag("open", &q.Open), flag("idempotent", &q.Idempotent), flag("urgent", &q.Urgent),
		number("default_deadline_ms", &q.DefaultDeadline).must(), number("max_deadline_ms", &q.MaxDeadline).must(),
		number("max_waiting", &q.MaxWaiting).must(),
	})
}

func readTeam(r *reader, at string, t *fleet.Team) {
	r.object(at, []field{
		text("id", &t.ID).must(), number("share", &t.Share).must(), number("limit", &t.Limit).must(),
		number("max_staleness_ms", &t.MaxStaleness),
	})
}

func readKey(r *reader, at string, k *fleet.Key) {
	r.object(at, []field{text("hash", &k.Hash).must(), text("team", &k.Team).must()})
}

func readInstance(r *reader, at string, in *fleet.Instance) {
	r.object(at, []field{
		text("id", &in.ID).must(), text("zone", &in.Zone).must(), text("rack", &in.Rack), text("address", &in.Address).must(),
		number("slots", &in.Slots).must(), number("connections", &in.Connections).must(), text("pool", &in.Pool).must(),
	})
}
