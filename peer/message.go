package peer

import (
	"citronknot/clock"
	"citronknot/fleet"
)

// Message is the request and the response of an exchange between two members. Every field except
// From is optional.
type Message struct {
	From fleet.MemberID
	// HasVector reports whether Vector is set. In a request, Vector is the sender's state
	// vector. In a response, it holds only the entries that are newer than those of the request.
	HasVector bool
	Vector    Vector
	Requested ItemRequest
	Items     Items
	Status    ConfigStatus // only in a response
}

// ItemRequest lists the items that the sender of a message does not have.
type ItemRequest struct {
	NotesAfter fleet.Version                  // requests the release notes of the versions in (NotesAfter, NotesTo]
	NotesTo    fleet.Version                  // 0 requests no notes
	Zones      map[fleet.ZoneID]fleet.Version // the sender's version of each zone with a newer assignment
	Loads      []fleet.MemberID
}

// Empty reports whether no item is requested.
func (r ItemRequest) Empty() bool { return r.NotesTo == 0 && len(r.Zones) == 0 && len(r.Loads) == 0 }

// Items holds release notes in version order, changes of assignments, and load summaries.
type Items struct {
	Notes       []fleet.ReleaseNote
	Assignments []fleet.AssignmentChange
	Loads       []Summary
}

// Empty reports whether there are no items.
func (it Items) Empty() bool {
	return len(it.Notes) == 0 && len(it.Assignments) == 0 && len(it.Loads) == 0
}

// Limits on one message. Items beyond a limit follow in the next message.
const (
	maxMessageNotes   = 100
	maxMessageLoads   = 256
	maxMessageZones   = 64
	maxMessageMembers = 1000
	maxIDLength       = 128 // bytes
	// maxMessageNoteBytes limits the total size of the release notes in one message. A single
	// larger note is still sent.
	maxMessageNoteBytes = 2 << 20
)

// missingItems returns the request for the entries of available that are newer than those of
// held.
func missingItems(held, available Vector) ItemRequest {
	var request ItemRequest
	if available.Config > held.Config {
		request.NotesAfter, request.NotesTo = held.Config, available.Config
	}
	for id, n := range available.Zones {
		if n > held.Zones[id] {
			if request.Zones == nil {
				request.Zones = map[fleet.ZoneID]fleet.Version{}
			}
			request.Zones[id] = held.Zones[id]
		}
	}
	for id, s := range available.Loads {
		if s.Newer(held.Loads[id]) && len(request.Loads) < maxMessageLoads {
			request.Loads = append(request.Loads, id)
		}
	}
	return request
}

// publishInterval returns the time between two load summaries of a member, in milliseconds.
// Above 50 members it grows with their number, so that each member receives fewer than 50
// summaries a second, which the limit of 20 KB a second allows.
func publishInterval(members int) clock.Millis { return max(Period, clock.Millis(20*members)) }

// summaryExpiry returns the time, in milliseconds, after which the load summary of a member
// expires if no newer one arrives. It is 3 s, or in a large fleet the time in which two
// summaries are published and forwarded.
func summaryExpiry(members int) clock.Millis {
	return max(defaultSummaryExpiry, 2*publishInterval(members)+Period)
}

// ticksPerLoadExchange returns how many periodic exchanges there are for each one that includes
// load entries. Above 50 members only every second exchange includes them, because the entries
// change less often there.
func ticksPerLoadExchange(members int) int {
	if members > 50 {
		return 2
	}
	return 1
}
