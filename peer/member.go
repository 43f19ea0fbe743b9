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
