package note

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
)

// EncodeConfig returns the JSON text of a whole configuration, as the release note that
// makes it from nothing. Its base is one version before the configuration's.
func EncodeConfig(c *fleet.Config) ([]byte, error) {
	if c.Version == 0 {
		return nil, eris.New("note: the empty configuration has no note")
	}
	return Encode(fleet.ReleaseNote{
		ID:   c.Note,
		Base: c.Version - 1,
		Added: fleet.Items{
			Pools: values(c.Pools), Queues: values(c.Queues), Teams: values(c.Teams),
			Keys: values(c.Keys), Instances: values(c.Instances),
		},
	})
}

// DecodeConfig reads what EncodeConfig wrote and checks it like a release note.
func DecodeConfig(text []byte) (*fleet.Config, error) {
	n, err := Decode(text)
	if err != nil {
		return nil, err
	}
	return (&fleet.Config{Version: n.Base}).Merge(n)
}

// values returns the values in the order of their keys, so that equal configurations have
// equal texts.
func values[K ~string, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}
