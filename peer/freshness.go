package peer

import (
	"maps"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// newMemberObservationTime is the time, in milliseconds, for which a new member observes an
	// unresponsive registered member before it submits release notes without the acknowledgement
	// of that member.
	newMemberObservationTime clock.Millis = 3_600_000
	// clockDriftMargin shortens newMemberObservationTime for the member that relies on it. One
	// minute in an hour covers clocks whose rates differ by 1.6%.
	clockDriftMargin clock.Millis = 60_000
	// transactionExpiry is the time, in milliseconds, after which the table service no longer
	// applies a transaction. A transaction without a response may be queued there until then.
	transactionExpiry clock.Millis = 60_000
)

// Confirmation states that every change accepted before At has a version of at most Version.
type Confirmation struct {
	Version fleet.Version
	At      clock.Mark
}

// ConfigStatus is the status of the configuration of a member, which it includes in its
// responses to peers.
type ConfigStatus struct {
	NewestVersion     fleet.Version // newest version that it has recorded as accepted
	TableReachable    bool          // the member's last read of the table service succeeded
	HasReadTable      bool          // the member has read the table service since it started
	SubmissionPending bool          // a change that the member submitted can still take effect
	Confirmed         bool          // ConfirmedVersion and ConfirmationAge are set
	ConfirmedVersion  fleet.Version // version of the last confirmation
	ConfirmationAge   clock.Millis  // age of the last confirmation
}

// Freshness records when the configuration of a member was last confirmed to be the newest.
// All decisions on the age of a configuration are made here. It is not safe for concurrent use.
//
// Every confirmation has the same meaning, whatever its source: every change accepted before At
// has a version of at most Version. A confirmation takes effect once the member has applied
// that version.
//
//   - Table service: At is read before the request is sent, so a change accepted while the
//     response is in transit is later than At.
//   - Peer: the peer computes the age of its confirmation after the request was sent, so the
//     time of the request minus that age is not later than the At of the peer. A response that
//     was requested before a change and arrives after it is dated before the change. Delays and
//     pauses on either side only add age.
//   - Unanimity: while the table service is unreachable, a member requests the status of every
//     registered member, which is one [Round]. The round is unanimous if each of them responds,
//     none reports a version newer than the one that this member has applied, none has a pending
//     submission, and none reaches the table service. At is read before the first request is
//     sent. A change accepted before At was submitted by a registered member. When that member
//     responds, after At, there are two cases. Either its submission has ended, and it reports
//     the newer version, or it reports a pending submission. A member that can reach the table
//     service again after its response accepts changes later than At. The argument therefore
//     does not need the rule that no member reaches the table service; a member that reaches it
//     provides a better confirmation of its own.
//
// Unanimity has these limits:
//
//   - A member that has not read the table service since its restart has no record of what it
//     accepted before, so the round fails.
//   - A member that is gone cannot report what it accepted last. It is left out only if it was
//     observed gone before the At of a confirmation that this member has.
//   - A submission without a response counts as pending until a version above its base is read,
//     or until a read that finds the base still current at a time when the table service can no
//     longer apply the submission.
//   - A submission of a process that has ended counts as resolved when the restarted process has
//     read the table service, or when the platform's list of instances, which lags, shows that
//     the instance is gone.
//   - A member that is missing from the roster registered after the read of the roster was sent.
//     It submits nothing until it has observed this member for an hour. Unanimity therefore ends
//     one hour after that read, less the drift margin. Renewing the row of this member does not
//     extend the hour, because it returns no new roster.
//   - A new member may submit as soon as every registered member has acknowledged its
//     registration, and this member acknowledges only a roster that it has looked up. The roster
//     of a round is looked up after At, so a member that is acknowledged later also accepts
//     changes later than At.
//
// Elapsed times are the larger of the monotonic and the wall time, so that the configuration
// also ages during a pause that one of the clocks does not count.
type Freshness struct {
	Clock clock.Clock

	confirmed, pending           Confirmation
	isConfirmed, isPending       bool
	tableReachable, hasReadTable bool
	pendingSubmissions           int
	acceptedVersion              fleet.Version
	// unconfirmedVersion is the highest version that a submission with unknown outcome can create,
	// or 0. unconfirmedAt is the time at which the last such submission ended.
	unconfirmedVersion fleet.Version
	unconfirmedAt      clock.Mark
}

// Confirm records the confirmation c. It takes effect once appliedVersion, the version that the
// member has applied, reaches the version of c.
func (f *Freshness) Confirm(c Confirmation, appliedVersion fleet.Version) {
	f.promotePending(appliedVersion)
	if c.Version > appliedVersion {
		if !f.isPending || f.moreRecent(c, f.pending) {
			f.pending, f.isPending = c, true
		}
		return
	}
	if !f.isConfirmed || f.moreRecent(c, f.confirmed) {
		f.confirmed, f.isConfirmed = c, true
	}
}

// promotePending makes the pending confirmation effective if the member has applied its version.
func (f *Freshness) promotePending(appliedVersion fleet.Version) {
	if !f.isPending || f.pending.Version > appliedVersion {
		return
	}
	f.isPending = false
	if !f.isConfirmed || f.moreRecent(f.pending, f.confirmed) {
		f.confirmed, f.isConfirmed = f.pending, true
	}
}

// moreRecent reports whether less time has elapsed since a than since b.
func (f *Freshness) moreRecent(a, b Confirmation) bool {
	return f.Clock.MaxElapsed(a.At) < f.Clock.MaxElapsed(b.At)
}

// RecordRead records a read of the table service that was sent at sentAt and returned
// headVersion as the newest version.
func (f *Freshness) RecordRead(sentAt clock.Mark, headVersion, appliedVersion fleet.Version) {
	f.tableReachable, f.hasReadTable = true, true
	// The submission had ended when unconfirmedAt was read. A read sent more than
	// transactionExpiry later on both clocks therefore follows the last moment at which the
	// submission could be applied.
	expired := min(sentAt.Now-f.unconfirmedAt.Now, sentAt.Boot-f.unconfirmedAt.Boot) > transactionExpiry
	if headVersion >= f.unconfirmedVersion || expired {
		f.unconfirmedVersion = 0
	}
	f.Confirm(Confirmation{Version: headVersion, At: sentAt}, appliedVersion)
}

// RecordReadFailure records a failed read of the table service.
func (f *Freshness) RecordReadFailure() { f.tableReachable = false }

// RecordPeerStatus records the status of a peer that was requested at requestedAt.
func (f *Freshness) RecordPeerStatus(requestedAt clock.Mark, s ConfigStatus, appliedVersion fleet.Version) {
	if !s.Confirmed || s.ConfirmationAge < 0 {
		return
	}
	f.Confirm(Confirmation{Version: s.ConfirmedVersion, At: requestedAt.Before(s.ConfirmationAge)}, appliedVersion)
}

// BeginSubmission records that a change is being submitted to the table service.
func (f *Freshness) BeginSubmission() { f.pendingSubmissions++ }

// EndSubmission records the end of a submission. acceptedVersion is the version that it created,
// or 0. possibleVersion is the version that it can still create if its outcome is unknown, or 0.
func (f *Freshness) EndSubmission(acceptedVersion, possibleVersion fleet.Version) {
	f.pendingSubmissions--
	f.acceptedVersion = max(f.acceptedVersion, acceptedVersion)
	if possibleVersion > 0 {
		f.unconfirmedVersion = max(f.unconfirmedVersion, possibleVersion)
		f.unconfirmedAt = f.Clock.Mark()
	}
}

// Status returns the status that the member reports to its peers.
func (f *Freshness) Status(appliedVersion fleet.Version) ConfigStatus {
	f.promotePending(appliedVersion)
	s := ConfigStatus{
		NewestVersion: max(appliedVersion, f.acceptedVersion), TableReachable: f.tableReachable, HasReadTable: f.hasReadTable,
		SubmissionPending: f.pendingSubmissions > 0 || f.unconfirmedVersion > 0,
	}
	if f.isConfirmed {
		s.Confirmed, s.ConfirmedVersion, s.ConfirmationAge = true, f.confirmed.Version, max(0, f.Clock.MaxElapsed(f.confirmed.At))
	}
	return s
}

// Age returns the time since appliedVersion was last confirmed to be the newest version, in
// milliseconds. ok is false if it was never confirmed or if a newer version is known to be
// accepted.
func (f *Freshness) Age(appliedVersion fleet.Version) (age clock.Millis, ok bool) {
	f.promotePending(appliedVersion)
	if !f.isConfirmed || f.acceptedVersion > appliedVersion {
		return 0, false
	}
	return f.Clock.MaxElapsed(f.confirmed.At), true
}

// Round is an attempt to confirm the configuration by unanimity of the registered members.
type Round struct {
	startedAt     clock.Mark
	rosterReadAt  clock.Mark
	pending       map[fleet.MemberID]bool
	newestVersion fleet.Version
	failed        bool
}

// StartRound begins a round among the registered members. startedAt is read before the roster is
// looked up and before any request is sent. self is left out, because EndRound records its
// status.
func (f *Freshness) StartRound(startedAt clock.Mark, self fleet.MemberID, roster Roster) *Round {
	r := &Round{startedAt: startedAt, rosterReadAt: roster.ReadAt, pending: map[fleet.MemberID]bool{}}
	registered := false
	for _, m := range roster.Members {
		if m.ID == self {
			registered = true
		} else if !f.goneBefore(m) {
			r.pending[m.ID] = true
		}
	}
	r.failed = !registered || !roster.HasRead
	return r
}

// goneBefore reports whether m was observed gone before the last confirmation, which then covers
// every change that m accepted.
func (f *Freshness) goneBefore(m Member) bool {
	return m.Gone && f.isConfirmed && m.GoneSince.Now < f.confirmed.At.Now && m.GoneSince.Boot < f.confirmed.At.Boot
}

// Pending returns the members that have not responded yet.
func (r *Round) Pending() map[fleet.MemberID]bool { return maps.Clone(r.pending) }

// RecordStatus records the status of a member, which was requested after the round began. The
// round fails if the member reaches the table service, has not read it since its start, or has a
// pending submission.
func (r *Round) RecordStatus(id fleet.MemberID, s ConfigStatus) {
	if s.TableReachable || !s.HasReadTable || s.SubmissionPending {
		r.failed = true
	}
	r.newestVersion = max(r.newestVersion, s.NewestVersion)
	delete(r.pending, id)
}

// EndRound confirms appliedVersion if the round was unanimous, and reports whether it did. A round
// does not count if its roster was read nearly an hour ago, because a member that is missing from
// the roster may submit changes by then.
func (f *Freshness) EndRound(r *Round, appliedVersion fleet.Version) bool {
	r.RecordStatus("", f.Status(appliedVersion))
	if r.failed || len(r.pending) > 0 || r.newestVersion > appliedVersion {
		return false
	}
	if f.Clock.MaxElapsed(r.rosterReadAt) >= newMemberObservationTime-clockDriftMargin {
		return false
	}
	f.Confirm(Confirmation{Version: appliedVersion, At: r.startedAt}, appliedVersion)
	return true
}
