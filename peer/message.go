package peer

import (
	"citronknot/clock"
	"citronknot/fleet"
)

// Message is what members send each other, as request and as answer. Each part is optional.
type Message struct {
	From fleet.MemberID
	// HasVector is set if Vector is the sender's. In an answer, Vector holds only the entries
	// in which the sender is ahead of the request.
	HasVector bool
	Vector    Vector
	Wants     Wants
	Items     Items
	Statement Statement // in an answer
}

// Wants are the items that the sender of a message lacks.
type Wants struct {
	NotesAfter fleet.Version                  // with NotesTo: the release notes of the versions in between
	NotesTo    fleet.Version                  // 0 asks for none
	Zones      map[fleet.ZoneID]fleet.Version // version held of each zone that is behind
	Loads      []fleet.MemberID
}

// Empty reports whether nothing is wanted.
func (w Wants) Empty() bool { return w.NotesTo == 0 && len(w.Zones) == 0 && len(w.Loads) == 0 }

// Items are release notes in version order, assignments and load summaries.
type Items struct {
	Notes       []fleet.ReleaseNote
	Assignments []fleet.AssignmentChange
	Loads       []Summary
}

// Empty reports whether there is no item.
func (it Items) Empty() bool {
	return len(it.Notes) == 0 && len(it.Assignments) == 0 && len(it.Loads) == 0
}

// Bounds of one message. Longer needs are met by the next message.
const (
	maxNotes = 100
	maxLoads = 256
	maxZones = 64
	maxIDs   = 1000
	maxID    = 128
	// maxNoteBytes bounds the release notes of one message, except that one note always fits.
	maxNoteBytes = 2 << 20
)

// wantsOf returns what a member that holds own lacks of what ahead lists.
func wantsOf(own, ahead Vector) Wants {
	var w Wants
	if ahead.Config > own.Config {
		w.NotesAfter, w.NotesTo = own.Config, ahead.Config
	}
	for id, n := range ahead.Zones {
		if n > own.Zones[id] {
			if w.Zones == nil {
				w.Zones = map[fleet.ZoneID]fleet.Version{}
			}
			w.Zones[id] = own.Zones[id]
		}
	}
	for id, s := range ahead.Loads {
		if s.Newer(own.Loads[id]) && len(w.Loads) < maxLoads {
			w.Loads = append(w.Loads, id)
		}
	}
	return w
}

// publishEvery returns the time between two load summaries of a member. With more than 50
// members it grows with their number, so that the summaries that each member receives stay
// under 50 a second, which the budget of 20 KB a second allows.
func publishEvery(members int) clock.Millis { return max(Period, clock.Millis(20*members)) }

// silentAfter returns the time without news after which a member's summary is dropped: 3 s, or
// in a large fleet the time in which two summaries are made and passed on.
func silentAfter(members int) clock.Millis {
	return max(defaultSilence, 2*publishEvery(members)+Period)
}

// loadTicks returns the number of periodic exchanges of which one carries load entries. With
// more than 50 members it is every second one, since entries change less often there.
func loadTicks(members int) int {
	if members > 50 {
		return 2
	}
	return 1
}
