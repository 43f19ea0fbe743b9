package note

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
)

// noNoteID is the id in the text of a configuration to which no note has been applied yet.
const noNoteID = "none"

// EncodeConfig returns the JSON text of a whole configuration: a release note that adds every
// object, with the id of the newest note and with the version of the configuration as its base.
func EncodeConfig(c *fleet.Config) ([]byte, error) {
	n := fleet.ReleaseNote{ID: c.Note, Base: c.Version, Added: fleet.Items{
		Pools: valuesByID(c.Pools), Queues: valuesByID(c.Queues), Teams: valuesByID(c.Teams), Keys: valuesByID(c.Keys), Instances: valuesByID(c.Instances),
	}}
	if n.ID == "" {
		n.ID = noNoteID
	}
	return Encode(n)
}

// DecodeConfig decodes a configuration that [EncodeConfig] encoded. It fails with *[DecodeError] or
// *[fleet.NoteError].
func DecodeConfig(text []byte) (*fleet.Config, error) {
	n, err := Decode(text)
	if err != nil {
		return nil, err
	}
	c, err := (&fleet.Config{}).Merge(n)
	if err != nil {
		return nil, eris.Wrap(err, "note: configuration")
	}
	c.Version = n.Base
	return c, nil
}

// valuesByID returns the values of m sorted by id, or nil if there are none.
func valuesByID[K ~string, V any](m map[K]V) []V {
	var out []V
	for _, id := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[id])
	}
	return out
}
