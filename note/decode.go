package note

import (
	"strconv"

	"citronknot/fleet"
)

// Decode decodes the JSON text of one release note. It fails with *[DecodeError].
func Decode(text []byte) (fleet.ReleaseNote, error) {
	releaseNote, _, err := DecodeWithPositions(text)
	return releaseNote, err
}

// DecodeWithPositions is like [Decode] and also returns the positions of the note's fields in the
// text. It fails with *[DecodeError] too.
func DecodeWithPositions(raw []byte) (fleet.ReleaseNote, Positions, error) {
	positions := Positions{text: raw}
	var n fleet.ReleaseNote
	noteReader, err := newReader(raw)
	if err != nil {
		return n, positions, err
	}
	schema := Schema
	noteReader.object("", []field{
		intField("schema", &schema).markRequired(),
		stringField("id", &n.ID).markRequired(),
		uintField("base", &n.Base).markRequired(),
		objectField("added", itemFields(&n.Added)),
		objectField("changed", itemFields(&n.Changed)),
		objectField("withdrawn", refFields(&n.Withdrawn)),
	})
	positions.offsets = noteReader.offsets
	if schema != Schema {
		noteReader.addFault(noteReader.offsets["schema"], "schema", strconv.Itoa(schema), strconv.Itoa(Schema))
	}
	if err := noteReader.err(); err != nil {
		return fleet.ReleaseNote{}, positions, err
	}
	return n, positions, nil
}

func itemFields(items *fleet.Items) []field {
	return []field{
		listField("pools", &items.Pools, readPool), listField("queues", &items.Queues, readQueue), listField("teams", &items.Teams, readTeam),
		listField("keys", &items.Keys, readKey), listField("instances", &items.Instances, readInstance),
	}
}

func refFields(refs *fleet.Refs) []field {
	return []field{
		listField("pools", &refs.Pools, readString[fleet.PoolID]), listField("queues", &refs.Queues, readString[fleet.QueueID]),
		listField("teams", &refs.Teams, readString[fleet.TeamID]), listField("keys", &refs.Keys, readString[fleet.KeyHash]),
		listField("instances", &refs.Instances, readString[fleet.InstanceID]),
	}
}

func readPool(r *reader, path string, pool *fleet.Pool) {
	r.object(path, []field{
		stringField("id", &pool.ID).markRequired(), boolField("spare", &pool.Spare), intField("max_absent", &pool.MaxAbsent).markRequired(),
		intField("maintenance_every_ms", &pool.Maintenance.Every), intField("drain_bound_ms", &pool.Maintenance.DrainBound),
	})
}

func readQueue(r *reader, path string, queue *fleet.Queue) {
	r.object(path, []field{
		stringField("id", &queue.ID).markRequired(), stringField("pool", &queue.Pool).markRequired(),
		boolField("open", &queue.Open), boolField("idempotent", &queue.Idempotent), boolField("urgent", &queue.Urgent),
		intField("default_deadline_ms", &queue.DefaultDeadline).markRequired(), intField("max_deadline_ms", &queue.MaxDeadline).markRequired(),
		intField("max_waiting", &queue.MaxWaiting).markRequired(),
	})
}

func readTeam(r *reader, path string, team *fleet.Team) {
	r.object(path, []field{
		stringField("id", &team.ID).markRequired(), intField("share", &team.Share).markRequired(), intField("limit", &team.Limit).markRequired(),
		intField("max_staleness_ms", &team.MaxStaleness),
	})
}

func readKey(r *reader, path string, key *fleet.Key) {
	r.object(path, []field{stringField("hash", &key.Hash).markRequired(), stringField("team", &key.Team).markRequired()})
}

func readInstance(r *reader, path string, instance *fleet.Instance) {
	r.object(path, []field{
		stringField("id", &instance.ID).markRequired(), stringField("zone", &instance.Zone).markRequired(), stringField("rack", &instance.Rack), stringField("address", &instance.Address).markRequired(),
		intField("slots", &instance.Slots).markRequired(), intField("connections", &instance.Connections).markRequired(), stringField("pool", &instance.Pool).markRequired(),
	})
}
