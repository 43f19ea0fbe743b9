package peer

import (
	"citronknot/clock"
	"citronknot/fleet"
)

// Member is an entry instance registered in the table service.
type Member struct {
	ID      fleet.MemberID
	Zone    fleet.ZoneID
	Address string // IP address and port of its peer listener
	// Gone is set if the platform's list of instances shows that the instance no longer runs.
	// GoneSince is the time at which this member first observed that.
	Gone      bool
	GoneSince clock.Mark
}

// Roster is the list of registered members from the most recent read by this member.
type Roster struct {
	Members []Member // includes this member once it is registered
	// ReadAt is the time just before the request was sent to the table service that returned
	// Members. HasRead is false if no read has succeeded yet.
	ReadAt  clock.Mark
	HasRead bool
}
