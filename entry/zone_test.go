package entry_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/entry"
	"citronknot/fleet"
)

// Guards against a member that never routes: one whose term began before its first look at the
// zones saw no change there, so that its zone counted as not looked at until its term lapsed.
func TestZoneLiveAtFirstLook(t *testing.T) {
	all := []fleet.ZoneID{"zone-a", "zone-b"}
	for _, tc := range []struct {
		name    string
		looks   []bool // whether the member's term holds at each look
		changed []bool
		stale   bool
	}{
		{"no look", nil, nil, true},
		{"live at once", []bool{true}, []bool{true}, false},
		{"live later", []bool{false, true}, []bool{true, true}, false},
		{"live and lapsed", []bool{true, false}, []bool{true, true}, true},
		{"nothing new", []bool{true, true}, []bool{true, false}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			z := entry.NewZones("zone-a", clock.Clock{NowFunc: func() clock.Millis { return 1 }})
			for i, live := range tc.looks {
				must.Eq(t, tc.changed[i], z.Update(all, live))
			}
			must.Eq(t, tc.stale, z.Stale("zone-a"))
			must.True(t, z.Stale("zone-b")) // its assignment was never read
		})
	}
}
