package peer

import (
	"maps"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// newMemberWait is the time for which a new member observes a silent registered member before
	// it accepts release notes without that member's acknowledgement.
	newMemberWait clock.Millis = 3_600_000
	// driftMargin shortens newMemberWait for the member that counts on it. One minute in an
	// hour covers clocks that differ in rate by 1.6%.
	driftMargin clock.Millis = 60_000
	// writeLife is the time after which the table service does not apply a transaction any more.
	// A transaction that was not answered may be queued there for as long.
	writeLife clock.Millis = 60_000
)

// Confirmation says that every change accepted before At has a version of at most Version.
type Confirmation struct {
	Version fleet.Version
	At      clock.Mark
}

// Statement is what a member says of itself in an answer.
type Statement struct {
	Held      fleet.Version // newest version that it knows to be accepted
	Reaches   bool          // its last read of the table service succeeded
	Started   bool          // it has read the table service since it started
	Accepting bool          // a change that it submitted may yet take effect
	Confirmed bool          // Version and Age are set
	Version   fleet.Version // of its last confirmation
	Age       clock.Millis  // of its last confirmation
}

// Freshness knows when the configuration of a member was last confirmed to be the newest. It
// is the one place that decides how old a configuration is, and is not safe for concurrent
// use.
//
// A confirmation has one meaning however it was made: every change accepted before At has a
// version of at most Version. It counts once the member holds that version.
//
//   - Table service: At is read before the request was sent, so a change accepted while the
//     answer is under way is later than At.
//   - Peer: the peer's age is computed after the request was sent, so sent minus age is not
//     later than the peer's own At. An answer that was requested before a change and arrives
//     after it is dated before the change; lateness and pauses on either side only add age.
//   - Unanimity: At is read before the first question is sent. A change accepted before At was
//     submitted by a registered member. When that member answers, after At, either its
//     submission has ended, and it says that it holds the newer version, or it says that it is
//     accepting. A member that regains the table service after its answer accepts later than
//     At. So the rule that nobody reaches the table service is not needed for the argument; a
//     member that does reach it gives a better confirmation of its own.
//
// Limits of unanimity. A member that was restarted and has not read the table service since
// does not know what it accepted before and spoils the round. A member that is gone cannot
// answer for what it accepted last, so it is left out only if it was seen gone before At of a
// confirmation that this member holds. A submission without an answer counts as accepting
// until a version above its base is read, or until a read shows the base still in place when
// the table service cannot apply it any more; a submission of a process that has ended is
// taken to be settled when its successor has read the table service, or when the platform's
// list, which lags, shows the instance gone. A member that is not in the list that this one
// read last registered after that read was sent, and accepts nothing until it has observed
// this one for an hour; so unanimity ends an hour after that read, less the drift margin. A
// renewal of this member's row after that does not extend the hour, as it brings no new list.
// The list is looked up after At: a member that is acknowledged later accepts later than At.
//
// Elapsed times are the larger of the monotonic and the wall time, so a pause that one of the
// clocks does not count still ages the configuration.
type Freshness struct {
	Clock clock.Clock

	confirmed, pending     Confirmation
	isConfirmed, isPending bool
	reaches, started       bool
	accepting              int
	accepted               fleet.Version
	unresolved             fleet.Version // highest version that an unanswered submission may make
	unresolvedAt           clock.Mark
}

// Confirm records c. held is the version that the member holds.
func (f *Freshness) Confirm(c Confirmation, held fleet.Version) {
	f.promote(held)
	if c.Version > held {
		if !f.isPending || f.younger(c, f.pending) {
			f.pending, f.isPending = c, true
		}
		return
	}
	if !f.isConfirmed || f.younger(c, f.confirmed) {
		f.confirmed, f.isConfirmed = c, true
	}
}

// promote makes the pending confirmation count if the member holds its version by now.
func (f *Freshness) promote(held fleet.Version) {
	if !f.isPending || f.pending.Version > held {
		return
	}
	f.isPending = false
	if !f.isConfirmed || f.younger(f.pending, f.confirmed) {
		f.confirmed, f.isConfirmed = f.pending, true
	}
}

func (f *Freshness) younger(a, b Confirmation) bool {
	return f.Clock.AtLeast(a.At) < f.Clock.AtLeast(b.At)
}

// Reached records a read of the table service that was sent at sent and found head as the
// newest version.
func (f *Freshness) Reached(sent clock.Mark, head, held fleet.Version) {
	f.reaches, f.started = true, true
	// The submission had ended when unresolvedAt was read, so that a read sent later by
	// writeLife on both clocks comes after the last moment at which it could be applied.
	late := min(sent.Now-f.unresolvedAt.Now, sent.Wall-f.unresolvedAt.Wall) > writeLife
	if head >= f.unresolved || late {
		f.unresolved = 0
	}
	f.Confirm(Confirmation{Version: head, At: sent}, held)
}

// NotReached records a read of the table service that failed.
func (f *Freshness) NotReached() { f.reaches = false }

// Asked records a peer's statement that was requested at sent.
func (f *Freshness) Asked(sent clock.Mark, s Statement, held fleet.Version) {
	if !s.Confirmed || s.Age < 0 {
		return
	}
	at := clock.Mark{Now: sent.Now - s.Age, Wall: sent.Wall - s.Age}
	f.Confirm(Confirmation{Version: s.Version, At: at}, held)
}

// BeginAccept records that a change is being submitted to the table service.
func (f *Freshness) BeginAccept() { f.accepting++ }

// EndAccept records the end of a submission: accepted is the version made, or 0. maybe is the
// version that the submission may yet make, or 0.
func (f *Freshness) EndAccept(accepted, maybe fleet.Version) {
	f.accepting--
	f.accepted = max(f.accepted, accepted)
	if maybe > 0 {
		f.unresolved = max(f.unresolved, maybe)
		f.unresolvedAt = f.Clock.Mark()
	}
}

// Statement returns what the member says of itself while it holds version held.
func (f *Freshness) Statement(held fleet.Version) Statement {
	f.promote(held)
	s := Statement{
		Held: max(held, f.accepted), Reaches: f.reaches, Started: f.started,
		Accepting: f.accepting > 0 || f.unresolved > 0,
	}
	if f.isConfirmed {
		s.Confirmed, s.Version, s.Age = true, f.confirmed.Version, max(0, f.Clock.AtLeast(f.confirmed.At))
	}
	return s
}

// Age returns the time since the configuration of version held was last confirmed to be the
// newest. ok is false if it never was, or if a newer version is known to be accepted.
func (f *Freshness) Age(held fleet.Version) (age clock.Millis, ok bool) {
	f.promote(held)
	if !f.isConfirmed || f.accepted > held {
		return 0, false
	}
	return f.Clock.AtLeast(f.confirmed.At), true
}

// Round is one attempt to confirm the configuration by unanimity.
type Round struct {
	at      clock.Mark
	listed  clock.Mark
	missing map[fleet.MemberID]bool
	newest  fleet.Version
	spoiled bool
}

// StartRound begins a round among the registered members. at is read before the roster is
// looked up, and no question is sent before. self is left out, as it answers for itself when
// the round ends.
func (f *Freshness) StartRound(at clock.Mark, self fleet.MemberID, all Roster) *Round {
	r := &Round{at: at, listed: all.Read, missing: map[fleet.MemberID]bool{}}
	registered := false
	for _, m := range all.Members {
		if m.ID == self {
			registered = true
		} else if !f.goneBefore(m) {
			r.missing[m.ID] = true
		}
	}
	r.spoiled = !registered || !all.Known
	return r
}

// goneBefore reports whether m was seen gone before the last confirmation, which then covers
// all that m accepted.
func (f *Freshness) goneBefore(m Member) bool {
	return m.Gone && f.isConfirmed && m.GoneSince.Now < f.confirmed.At.Now && m.GoneSince.Wall < f.confirmed.At.Wall
}

// Ask returns the members that have not answered yet.
func (r *Round) Ask() map[fleet.MemberID]bool { return maps.Clone(r.missing) }

// Answer records the statement of a member that was requested after the round began.
func (r *Round) Answer(id fleet.MemberID, s Statement) {
	if s.Reaches || !s.Started || s.Accepting {
		r.spoiled = true
	}
	r.newest = max(r.newest, s.Held)
	delete(r.missing, id)
}

// EndRound confirms the configuration of version held if the round was unanimous, and reports
// whether it was.
func (f *Freshness) EndRound(r *Round, held fleet.Version) bool {
	r.Answer("", f.Statement(held))
	if r.spoiled || len(r.missing) > 0 || r.newest > held {
		return false
	}
	if f.Clock.AtLeast(r.listed) >= newMemberWait-driftMargin {
		return false
	}
	f.Confirm(Confirmation{Version: held, At: r.at}, held)
	return true
}
