package fleet_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
)

// Guards against a member that never routes: one whose term began before its first look at the
// zones saw no change there, so that its zone counted as not looked at until its term lapsed.
func TestLapses(t *testing.T) {
	for _, tc := range []struct {
		name    string
		set     []bool
		changed []bool
		lapsed  bool
	}{
		{"never set", nil, nil, true},
		{"live at once", []bool{false}, []bool{true}, false},
		{"live later", []bool{true, false}, []bool{true, true}, false},
		{"live and lapsed", []bool{false, true}, []bool{true, true}, true},
		{"nothing new", []bool{false, false}, []bool{true, false}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l fleet.Lapses
			for i, lapsed := range tc.set {
				must.Eq(t, tc.changed[i], l.Set("zone-a", lapsed))
			}
			must.Eq(t, tc.lapsed, l.Lapsed("zone-a"))
			must.True(t, l.Lapsed("zone-b"))
		})
	}
}
