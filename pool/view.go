package pool

import (
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// View is what the decisions of a zone are based on. The decisions change none of it.
type View struct {
	Zone     fleet.ZoneID
	Config   *fleet.Config
	Rows     *rowstore.ZoneRows
	Members  []Member
	Down     map[fleet.InstanceID]bool    // listed as leaving or gone, or reported as failing
	Need     map[fleet.PoolID]fleet.Slots // slots each pool needs over all zones; a pool without an entry keeps what it has
	Capacity map[fleet.ZoneID]fleet.Slots // slots that are up, by zone
	Waited   map[fleet.InstanceID]Waited  // of instances that are not serving
	Rebooted map[fleet.InstanceID]bool    // the platform accepted the reboot of this rebooting instance
	Policy   Policy
}

// Waited is how long an instance has been in its row's state, as seen by this process. After
// a restart the times begin anew, which only makes a step later.
type Waited struct {
	InPhase  clock.Millis // since this process saw the row first
	Released clock.Millis // since no member could route by an older assignment
	Free     bool         // no member can route by an older assignment
}

// Policy bounds the decisions. A zero field means its default.
type Policy struct {
	MinStay        clock.Millis // in a pool after a move; default 1 h
	MaxMoves       int          // handovers at once in a zone; default 4
	OwnTerm        clock.Millis // silence after which a member of the zone has stopped; default 1 h
	OtherTerm      clock.Millis // the same for a member of another zone; default 12 s
	Settle         clock.Millis // shortest wait after a reboot; default 30 s
	ReturnBound    clock.Millis // longest wait for an instance to come back; default 15 min
	NormalAbsences int          // unplanned absences that do not pause maintenance; default 1 in 130 instances, at least 1
}

const (
	second clock.Millis = 1000
	minute              = 60 * second
	hour                = 60 * minute
)

// perOrdinaryAbsence is the fleet size that has one failed instance on an ordinary day: 7 of
// 910 fail.
const perOrdinaryAbsence = 130

func or[T clock.Millis | int](v, preset T) T {
	if v > 0 {
		return v
	}
	return preset
}

func (p Policy) minStay() clock.Millis     { return or(p.MinStay, hour) }
func (p Policy) maxMoves() int             { return or(p.MaxMoves, 4) }
func (p Policy) settle() clock.Millis      { return or(p.Settle, 30*second) }
func (p Policy) returnBound() clock.Millis { return or(p.ReturnBound, 15*minute) }

// ownTerm is the escrow term, for which a partitioned zone may serve from its own rows.
func (p Policy) ownTerm() clock.Millis { return or(p.OwnTerm, hour) }

// otherTerm is the 10 s after which members of other zones stop, with 2 s for clock drift.
func (p Policy) otherTerm() clock.Millis { return or(p.OtherTerm, 12*second) }

func (p Policy) normalAbsences(fleetSize int) int {
	return or(p.NormalAbsences, max(1, fleetSize/perOrdinaryAbsence))
}

// Member is what a registered member reports about one zone's assignment.
type Member struct {
	ID        fleet.MemberID
	Zone      fleet.ZoneID
	Confirmed fleet.Version            // newest assignment version that it routes by
	Silent    clock.Millis             // since it was last heard of, measured with [clock.Clock.AtMost]
	Gone      bool                     // the platform's list shows that it is gone
	InFlight  map[fleet.InstanceID]int // counted after it confirmed
}
