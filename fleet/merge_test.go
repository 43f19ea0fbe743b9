package fleet_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
)

// Guards against a note with a fault being merged in part, or being refused without naming
// the field.
func TestMergeNamesEveryFault(t *testing.T) {
	base := &fleet.Config{}
	tests := []struct {
		name  string
		note  fleet.ReleaseNote
		field string
	}{
		{"no id", fleet.ReleaseNote{}, "id"},
		{"limit below zero", fleet.ReleaseNote{ID: "n", Added: fleet.Items{Teams: []fleet.Team{{ID: "a", Limit: -1}}}}, "teams.a.limit"},
		{"shares above the whole", fleet.ReleaseNote{ID: "n", Added: fleet.Items{Teams: []fleet.Team{{ID: "a", Share: 6000}, {ID: "b", Share: 6000}}}}, "teams.share"},
		{"dangling pool", fleet.ReleaseNote{ID: "n", Added: fleet.Items{Queues: []fleet.Queue{{ID: "q", Pool: "none"}}}}, "queues.q.pool"},
		{"instance in two pools", fleet.ReleaseNote{ID: "n", Added: fleet.Items{
			Pools:     []fleet.Pool{{ID: "p"}, {ID: "q"}},
			Instances: []fleet.Instance{{ID: "i", Pool: "p"}, {ID: "i", Pool: "q"}},
		}}, "added.instances[1].id"},
		{"withdrawn but absent", fleet.ReleaseNote{ID: "n", Withdrawn: fleet.Refs{Keys: []fleet.KeyHash{"x"}}}, "withdrawn.keys[0]"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := base.Merge(tc.note)
			var ne *fleet.NoteError
			must.True(t, errors.As(err, &ne))
			must.Eq(t, tc.field, ne.Faults[0].Field)
			must.Eq(t, 0, len(base.Teams))
		})
	}
}

// Guards against an older configuration replacing a newer one.
func TestCurrentNeverReverts(t *testing.T) {
	var c fleet.Current
	must.Eq(t, fleet.Version(0), c.Load().Version)
	must.True(t, c.Advance(&fleet.Config{Version: 2}))
	must.False(t, c.Advance(&fleet.Config{Version: 1}))
	must.False(t, c.Advance(&fleet.Config{Version: 2}))
	must.Eq(t, fleet.Version(2), c.Load().Version)
}
