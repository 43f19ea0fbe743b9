package peer

import "citronknot/fleet"

// keptAssignments bounds the earlier assignments of a zone kept to send only changes.
const keptAssignments = 8

// assignmentHistory keeps the last few assignments of each zone.
type assignmentHistory map[fleet.ZoneID][]*fleet.Assignment

func (h assignmentHistory) add(a *fleet.Assignment) {
	list := append(h[a.Zone], a)
	if len(list) > keptAssignments {
		list = list[1:]
	}
	h[a.Zone] = list
}

// change returns the change that leads from version v to the newest assignment of a zone: only
// the changed placements if v is still kept, and the whole assignment otherwise.
func (h assignmentHistory) change(zone fleet.ZoneID, v fleet.Version) (fleet.AssignmentChange, bool) {
	list := h[zone]
	if len(list) == 0 || list[len(list)-1].Version <= v {
		return fleet.AssignmentChange{}, false
	}
	var old *fleet.Assignment
	for _, a := range list {
		if a.Version == v {
			old = a
		}
	}
	return list[len(list)-1].ChangeFrom(old), true
}
