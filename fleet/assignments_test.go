package fleet_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/fleet"
)

// TestAssignmentsNeverRevert guards against an older assignment replacing a newer one.
func TestAssignmentsNeverRevert(t *testing.T) {
	var s fleet.Assignments
	must.Nil(t, s.Load("a"))
	must.True(t, s.Advance(&fleet.Assignment{Zone: "a", Version: 2}))
	must.False(t, s.Advance(&fleet.Assignment{Zone: "a", Version: 1}))
	must.False(t, s.Advance(&fleet.Assignment{Zone: "a", Version: 2}))
	must.Eq(t, map[fleet.ZoneID]fleet.Version{"a": 2}, s.Versions())
}

// TestChangeLeadsToSameAssignment guards against a change that gives the receiver other
// placements than the sender has, and against a change applied to a version for which it was
// not made.
func TestChangeLeadsToSameAssignment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placements := rapid.MapOf(
			rapid.SampledFrom([]fleet.InstanceID{"i", "j", "k", "l"}),
			rapid.Custom(func(t *rapid.T) fleet.Placement {
				return fleet.Placement{
					Pool:  rapid.SampledFrom([]fleet.PoolID{"p", "q"}).Draw(t, "pool"),
					Phase: rapid.SampledFrom([]fleet.Phase{fleet.Serving, fleet.Draining}).Draw(t, "phase"),
				}
			}))
		old := &fleet.Assignment{Zone: "z", Version: 3, Placements: placements.Draw(t, "old")}
		next := &fleet.Assignment{Zone: "z", Version: 5, Placements: placements.Draw(t, "next")}
		got, ok := old.Apply(next.ChangeFrom(old))
		must.True(t, ok)
		must.Eq(t, next, got)
		got, ok = (*fleet.Assignment)(nil).Apply(next.ChangeFrom(nil))
		must.True(t, ok)
		must.Eq(t, next, got)
		_, ok = (&fleet.Assignment{Zone: "z", Version: 4}).Apply(next.ChangeFrom(old))
		must.False(t, ok)
	})
}
