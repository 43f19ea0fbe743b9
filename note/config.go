package note

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
)

// noNote is the id in the text of a configuration that no note has made yet.
const noNote = "none"

// EncodeConfig returns the text of a whole configuration: a release note that adds every
// object, whose id is the newest note's and whose base is the version of the configuration.
func EncodeConfig(c *fleet.Config) ([]byte, error) {
	n := fleet.ReleaseNote{ID: c.Note, Base: c.Version, Added: fleet.Items{
		Pools: sorted(c.Pools), Queues: sorted(c.Queues), Teams: sorted(c.Teams), Keys: sorted(c.Keys), Instances: sorted(c.Instances),
	}}
	if n.ID == "" {
		n.ID = noNote
	}
	return Encode(n)
}

// DecodeConfig reads a text of [EncodeConfig]. It fails with *[DecodeError] or
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

func sorted[K ~string, V any](m map[K]V) []V {
	var out []V
	for _, id := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[id])
	}
	return out
}
