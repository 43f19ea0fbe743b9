package pool

import (
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// View is the input of the decisions for a zone. The decisions do not modify it.
type View struct {
	Zone           fleet.ZoneID
	Config         *fleet.Config
	Rows           *rowstore.ZoneRows
	Members        []Member
	Down           map[fleet.InstanceID]bool       // listed as leaving or gone, or reported as failing
	Need           map[fleet.PoolID]fleet.Slots    // slots that each pool needs over all zones; a pool without an entry keeps its instances
	Capacity       map[fleet.ZoneID]fleet.Slots    // slots of the instances that are not down, by zone
	Times          map[fleet.InstanceID]PhaseTimes // for instances that are not serving
	RebootAccepted map[fleet.InstanceID]bool       // rebooting instances whose reboot request the platform has accepted
	Policy         Policy
}

// PhaseTimes are the times that an instance has spent in the state of its row, as observed by
// this process. They restart from 0 when the process restarts, which only delays a step.
type PhaseTimes struct {
	InPhase      clock.Millis // since this process first observed this version of the row
	SinceRelease clock.Millis // since Released became true
	Released     bool         // no member can route by an assignment older than the row
}

// Policy holds the bounds of the decisions. A zero field means its default. Times are in ms.
type Policy struct {
	MinStay        clock.Millis // minimum time in a pool after a move; default 1 h
	MaxMoves       int          // maximum number of concurrent moves in a zone; default 4
	OwnZoneTerm    clock.Millis // time without a response after which a member of the zone has stopped routing; default 1 h
	OtherZoneTerm  clock.Millis // the same for a member of another zone; default 12 s
	MinRebootWait  clock.Millis // minimum time from a reboot to the return to service; default 30 s
	MaxRebootWait  clock.Millis // time after a reboot at which an instance that is not up counts as absent; default 15 min
	NormalAbsences int          // maximum number of unplanned absences that does not pause maintenance; default 1 per 130 instances, at least 1
}

const (
	second clock.Millis = 1000
	minute              = 60 * second
	hour                = 60 * minute
)

// instancesPerNormalAbsence is the number of instances for each failed instance that is normal:
// on an ordinary day, 7 of 910 instances have failed.
const instancesPerNormalAbsence = 130

// orDefault returns v if it is positive, and defaultValue otherwise.
func orDefault[T clock.Millis | int](v, defaultValue T) T {
	if v > 0 {
		return v
	}
	return defaultValue
}

func (p Policy) minStay() clock.Millis       { return orDefault(p.MinStay, hour) }
func (p Policy) maxMoves() int               { return orDefault(p.MaxMoves, 4) }
func (p Policy) minRebootWait() clock.Millis { return orDefault(p.MinRebootWait, 30*second) }
func (p Policy) maxRebootWait() clock.Millis { return orDefault(p.MaxRebootWait, 15*minute) }

// ownZoneTerm returns the time for which a zone that is cut off from the other zones may serve
// from its own rows. The default is that of rowstore.EscrowTerm.
func (p Policy) ownZoneTerm() clock.Millis { return orDefault(p.OwnZoneTerm, hour) }

// otherZoneTerm returns the time after which no member of another zone routes by an assignment
// any more. The default is the 10 s after which members stop, plus 2 s for clock drift.
func (p Policy) otherZoneTerm() clock.Millis { return orDefault(p.OtherZoneTerm, 12*second) }

// normalAbsences returns the maximum number of unplanned absences that does not pause
// maintenance.
func (p Policy) normalAbsences(fleetSize int) int {
	return orDefault(p.NormalAbsences, max(1, fleetSize/instancesPerNormalAbsence))
}

// Member is the state of a registered member with regard to the assignment of one zone.
type Member struct {
	ID            fleet.MemberID
	Zone          fleet.ZoneID
	Confirmed     fleet.Version            // newest version of the zone's assignment by which it has confirmed to route
	SinceObserved clock.Millis             // ms since it was last observed, measured with [clock.Clock.MinElapsed]
	Gone          bool                     // the platform's list shows that its process no longer runs
	InFlight      map[fleet.InstanceID]int // requests in flight by instance, counted after it confirmed
}
