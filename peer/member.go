package peer

import (
	"citronknot/clock"
	"citronknot/fleet"
)

// Member is an entry instance registered in the table service.
type Member struct {
	ID      fleet.MemberID
	Zone    fleet.ZoneID
	Address string // host and port of its peer listener, by IP number
	// Gone is set if the platform's list shows that the instance does not run any more, and
	// GoneSince is when this member first saw that.
	Gone      bool
	GoneSince clock.Mark
}

// Roster is the list of registered members as this member read it last.
type Roster struct {
	Members []Member // with this member, once it is registered
	// Read is the time before the read of the table service was sent that gave Members. Known
	// is false if there was none.
	Read  clock.Mark
	Known bool
}
