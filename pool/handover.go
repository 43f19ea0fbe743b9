package pool

import "citronknot/fleet"

// Released reports whether no member can route by an assignment of zone that is older than v:
// each has confirmed v, or is gone, or its term has ended. An instance changes its pool (I2)
// and a drain begins to count (I10) only after that.
func Released(zone fleet.ZoneID, v fleet.Version, members []Member, p Policy) bool {
	for _, m := range members {
		if m.Confirmed < v && !m.Gone && !m.lapsed(zone, p) {
			return false
		}
	}
	return true
}

func (m Member) lapsed(zone fleet.ZoneID, p Policy) bool {
	if m.Zone == zone {
		return m.Silent >= p.ownTerm()
	}
	return m.Silent >= p.otherTerm()
}

// Quiet reports whether every member that can still run requests has counted none in flight
// on an instance since it confirmed v. A member whose term ended without a confirmation may
// still run requests that it started before.
func Quiet(id fleet.InstanceID, v fleet.Version, members []Member) bool {
	for _, m := range members {
		if !m.Gone && (m.Confirmed < v || m.InFlight[id] > 0) {
			return false
		}
	}
	return true
}
