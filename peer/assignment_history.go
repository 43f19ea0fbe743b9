package peer

import "citronknot/fleet"

// maxKeptAssignments limits the earlier assignments kept for each zone. With them, a member can
// send a peer only the changed placements.
const maxKeptAssignments = 8

// assignmentHistory holds the most recent assignments of each zone, oldest first.
type assignmentHistory map[fleet.ZoneID][]*fleet.Assignment

func (h assignmentHistory) add(a *fleet.Assignment) {
	assignments := append(h[a.Zone], a)
	if len(assignments) > maxKeptAssignments {
		assignments = assignments[1:]
	}
	h[a.Zone] = assignments
}

// changeSince returns the change from version base to the newest assignment of a zone. It holds
// only the changed placements if base is still kept, and the whole assignment otherwise. The
// result is false if there is no assignment newer than base.
func (h assignmentHistory) changeSince(zone fleet.ZoneID, base fleet.Version) (fleet.AssignmentChange, bool) {
	assignments := h[zone]
	if len(assignments) == 0 || assignments[len(assignments)-1].Version <= base {
		return fleet.AssignmentChange{}, false
	}
	var previous *fleet.Assignment
	for _, a := range assignments {
		if a.Version == base {
			previous = a
		}
	}
	return assignments[len(assignments)-1].ChangeFrom(previous), true
}
