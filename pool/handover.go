package pool

import "citronknot/fleet"

// Released reports whether no member can still route by an assignment of zone older than v:
// each member has confirmed v, or is gone, or its routing term has expired. Only then may an
// instance change its pool (invariant I2) and does the time of a drain begin to count
// (invariant I10). The table of invariants is in docs/design.md.
func Released(zone fleet.ZoneID, v fleet.Version, members []Member, p Policy) bool {
	for _, m := range members {
		if m.Confirmed < v && !m.Gone && !m.expired(zone, p) {
			return false
		}
	}
	return true
}

// expired reports whether the member's term for routing by an assignment of zone has expired.
func (m Member) expired(zone fleet.ZoneID, p Policy) bool {
	if m.Zone == zone {
		return m.SinceObserved >= p.ownZoneTerm()
	}
	return m.SinceObserved >= p.otherZoneTerm()
}

// NoneInFlight reports whether each member that is not gone has confirmed v and has since
// reported no requests in flight on an instance. A member whose term expired without a
// confirmation may still have requests in flight that it started before.
func NoneInFlight(id fleet.InstanceID, v fleet.Version, members []Member) bool {
	for _, m := range members {
		if !m.Gone && (m.Confirmed < v || m.InFlight[id] > 0) {
			return false
		}
	}
	return true
}
