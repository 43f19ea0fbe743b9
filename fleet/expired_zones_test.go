package fleet_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
)

// TestExpiredAssignments guards against a member that never routes requests. If the member's
// term began before it first checked the zones, Set reported no change for its own zone, and
// the zone counted as unchecked until the member's term expired.
func TestExpiredAssignments(t *testing.T) {
	for _, tc := range []struct {
		name    string
		set     []bool
		changed []bool
		expired bool
	}{
		{"never set", nil, nil, true},
		{"live at once", []bool{false}, []bool{true}, false},
		{"live later", []bool{true, false}, []bool{true, true}, false},
		{"live and expired", []bool{false, true}, []bool{true, true}, true},
		{"nothing new", []bool{false, false}, []bool{true, false}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l fleet.ExpiredZones
			for i, expired := range tc.set {
				must.Eq(t, tc.changed[i], l.Set("zone-a", expired))
			}
			must.Eq(t, tc.expired, l.Expired("zone-a"))
			must.True(t, l.Expired("zone-b"))
		})
	}
}
