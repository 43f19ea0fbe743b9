package rowstore

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

// OwnerLeaseTable is the table of owner leases. Each partition has one row in it, which names the
// holder of its lease.
const OwnerLeaseTable = "tenures"

const ownerLeaseKey = "holder"

// Durations of an owner lease. The holder renews it with each commit, and at least every
// OwnerLeaseRenewInterval. Another member may take the partition over if its row has not changed
// for OwnerLeaseTerm while the rows could be read. A holder that can't commit may go on sending
// orders until OwnerLeaseAuthority after it sent its last successful commit: while the store is
// down for all members, none can take over, and workers refuse the orders of a holder that was
// replaced.
const (
	OwnerLeaseRenewInterval clock.Millis = 600
	OwnerLeaseTerm          clock.Millis = 2000
	OwnerLeaseAuthority     clock.Millis = 8000
	ownerLeaseDrift         clock.Millis = 200 // covers clocks whose rates differ by up to a tenth over one term
)

// Delays between the attempts of a commit that has not succeeded.
const (
	commitRetryMin clock.Millis = 40
	commitRetryMax clock.Millis = 250
)

// OwnerLease is one member's view of the owner lease on a partition of the row store. Each commit
// of the holder checks and rewrites the lease row. That fences the commit, renews the lease, and
// makes an earlier commit of the holder that is still in flight fail. The holder writes only
// through Commit.
//
// Commits must not overlap; the other methods are safe for concurrent use.
type OwnerLease struct {
	Table     *Table
	Clock     clock.Clock
	Partition string
	Self      fleet.MemberID
	Address   string // at which other members reach this one
	// LowCPU says that this member has little CPU and would hand the partition over to a member
	// that has more.
	LowCPU bool
	// DelegatedOrders is the longest time for which members that the holder authorized may send orders
	// after the holder's process has ended.
	DelegatedOrders clock.Millis
	// OnFailure is called with the error of each attempt of a commit that did not succeed. It may be nil.
	OnFailure func(err error)

	mu          sync.Mutex
	rowRead     bool
	version     fleet.Version
	row         wireOwnerLease
	versionSent clock.Mark // when version was sent, at the latest
	expiryFrom  clock.Mark // when the wait for the lease's expiry began; see RestartExpiry
	held        bool
	commitSent  clock.Mark // taken just before the last successful commit was sent
	formerEnd   clock.Mark // while held: when all earlier holders have ceased to send orders; see FormerOrders
	wanted      int        // see WantDispatchers
}

type wireOwnerLease struct {
	Holder  string `json:"holder"`
	Address string `json:"address,omitempty"`
	Fence   uint64 `json:"fence"`
	Attempt string `json:"attempt"`
	Weak    bool   `json:"weak,omitempty"`
	Wanted  int    `json:"dispatchers_wanted,omitempty"`
	// FormerOrders is the longest time in milliseconds, from when the row was sent, for which holders
	// before Holder may send orders. Rows of earlier versions lack it.
	FormerOrders *int64 `json:"former_orders_ms,omitempty"`
	// Sent is when the row was sent to the service, at the latest, on the service's clock. It is 0 if that is unknown.
	Sent int64 `json:"sent_ms,omitempty"`
}

// unknownFormerOrders replaces wireOwnerLease.FormerOrders in a row of an earlier version: its holder had
// claimed the partition at least OwnerLeaseTerm after the last commit of the one before.
const unknownFormerOrders = OwnerLeaseAuthority - OwnerLeaseTerm

// formerOrders returns the longest time, from when the row was sent, for which holders before
// r.Holder may send orders.
func (r *wireOwnerLease) formerOrders() clock.Millis {
	if r.FormerOrders == nil {
		return unknownFormerOrders
	}
	return clock.Millis(*r.FormerOrders)
}

// Holder describes the holder of an owner lease, as its row was last read.
type Holder struct {
	Member  fleet.MemberID // empty if the lease has no holder
	Address string
	Fence   uint64
	LowCPU  bool // see OwnerLease
	// DispatchersWanted is the number of other members that the holder asks to call workers for it.
	DispatchersWanted int
}

func (l *OwnerLease) ref() Ref {
	return Ref{Table: OwnerLeaseTable, Partition: l.Partition, Key: ownerLeaseKey}
}

// Observe records the lease row as it was read; version 0 means that there is none. Rows must be
// passed in the order in which they were read. It fails if the value can't be decoded.
func (l *OwnerLease) Observe(r Row) error {
	var lease wireOwnerLease
	if r.Version != 0 {
		if err := json.Unmarshal(r.Value, &lease); err != nil {
			return eris.Wrapf(err, "rowstore: decode owner lease of %s", l.Partition)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rowRead && r.Version <= l.version {
		return nil
	}
	l.rowRead = true
	l.setRow(r.Version, lease)
	if l.held && lease.Holder != string(l.Self) {
		l.held = false
	}
	return nil
}

// setRow records a version of the row that was just read or written. The caller holds l.mu.
func (l *OwnerLease) setRow(version fleet.Version, row wireOwnerLease) {
	l.version, l.row, l.expiryFrom = version, row, l.Clock.Mark()
	l.versionSent = l.expiryFrom.Before(l.rowAge(row))
}

// rowAge returns the shortest time since a row was sent, or 0 if that is unknown.
func (l *OwnerLease) rowAge(row wireOwnerLease) clock.Millis {
	earliest, _, ok := l.serviceTime()
	if !ok || row.Sent == 0 {
		return 0
	}
	return max(0, earliest-clock.Millis(row.Sent))
}

// serviceTime returns the bounds of the service's clock, if they are known.
func (l *OwnerLease) serviceTime() (earliest, latest clock.Millis, ok bool) {
	if l.Table.ServiceTime == nil {
		return 0, 0, false
	}
	return l.Table.ServiceTime()
}

// stamp completes a row that is about to be sent with the times that change with each version. The caller
// holds l.mu.
func (l *OwnerLease) stamp(row *wireOwnerLease) {
	left := max(0, -int64(l.Clock.MinElapsed(l.formerEnd)))
	row.FormerOrders, row.Sent = &left, 0
	if _, latest, ok := l.serviceTime(); ok {
		row.Sent = int64(latest)
	}
}

// RestartExpiry restarts the wait for the lease's expiry after a time in which the rows could not
// be read. That time does not count, because the holder may have been unable to write as well.
func (l *OwnerLease) RestartExpiry() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiryFrom = l.Clock.Mark()
}

// Holder returns the holder as the row was last read.
func (l *OwnerLease) Holder() Holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Holder{Member: fleet.MemberID(l.row.Holder), Address: l.row.Address, Fence: l.row.Fence, LowCPU: l.row.Weak, DispatchersWanted: l.row.Wanted}
}

// Vacant reports whether this member may claim the partition.
func (l *OwnerLease) Vacant() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.rowRead || l.held:
		return false
	case l.row.Holder == "" || l.isOwnRow():
		return true
	}
	return l.Clock.MinElapsed(l.expiryFrom) >= OwnerLeaseTerm+ownerLeaseDrift
}

// isOwnRow reports whether the row names this member as the holder. If the lease is not held, an earlier
// process at this address has written it, which has ended, or this one before it lost the lease.
func (l *OwnerLease) isOwnRow() bool {
	return l.row.Holder == string(l.Self) && l.row.Address == l.Address
}

// ordersLeft returns the longest time for which the holder of the row and those before it may still send
// orders if they don't write the row any more. If it is negative, they ceased that long ago. An outage of
// the store counts: a holder that can't commit loses its authority meanwhile. The caller holds l.mu.
func (l *OwnerLease) ordersLeft() clock.Millis {
	if l.version == 0 {
		return 0 // there was no holder yet
	}
	elapsed := l.Clock.MinElapsed(l.versionSent)
	former := l.row.formerOrders() - elapsed
	if l.row.Holder == "" {
		return former
	}
	authority := OwnerLeaseAuthority + ownerLeaseDrift - elapsed
	if l.isOwnRow() {
		authority = min(authority, l.DelegatedOrders)
	}
	return max(former, authority)
}

// FormerOrders returns the longest time for which earlier holders may still send orders, while this member
// holds the lease. If it is negative, they ceased that long ago.
func (l *OwnerLease) FormerOrders() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return -l.Clock.MinElapsed(l.formerEnd)
}

// Claim tries to acquire the owner lease. ok is false if another member acquired it first. It
// fails with *UnavailableError.
func (l *OwnerLease) Claim(ctx context.Context) (ok bool, err error) {
	l.mu.Lock()
	check := Check{Ref: l.ref(), Version: l.version}
	sent := l.Clock.Mark()
	l.formerEnd = sent.Before(-l.ordersLeft())
	next := wireOwnerLease{
		Holder: string(l.Self), Address: l.Address, Fence: l.row.Fence + 1, Attempt: newAttemptID(), Weak: l.LowCPU,
	}
	l.stamp(&next)
	l.mu.Unlock()
	value, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(err, "rowstore: encode owner lease")
	}
	versions, err := l.Table.Transact(ctx, Transaction{Checks: []Check{check}, Writes: []Write{{Ref: l.ref(), Value: value}}})
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		version, row, found := l.conflictingRow(conflict)
		if !found || row.Attempt != next.Attempt {
			return false, nil
		}
		versions, err = []fleet.Version{version}, nil
	}
	if err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setRow(versions[0], next)
	l.held, l.commitSent, l.wanted = true, sent, 0
	return true, nil
}

// conflictingRow returns the lease row among the current rows of a conflict.
func (l *OwnerLease) conflictingRow(e *ConflictError) (fleet.Version, wireOwnerLease, bool) {
	var lease wireOwnerLease
	i := slices.IndexFunc(e.Current, func(r Row) bool { return r.Ref == l.ref() })
	if i < 0 || json.Unmarshal(e.Current[i].Value, &lease) != nil {
		return 0, lease, false
	}
	return e.Current[i].Version, lease, true
}

// Commit writes rows as the holder of the lease, if checks of other rows of the partition hold. It repeats the
// transaction until its outcome is certain. Nil means that the rows are written. *ConflictError means that
// a check does not hold, and that no row is or will be written. *LeaseLostError and *LeaseExpiredError mean that
// this member does not hold the lease any more, and that the rows may or may not be written.
// Otherwise it fails only when ctx ends.
func (l *OwnerLease) Commit(ctx context.Context, writes []Write, checks ...Check) error {
	pause := commitRetryMin
	attempt := commitAttempt{id: newAttemptID(), firstSent: l.Clock.Mark()}
	for {
		done, err := l.commitOnce(ctx, writes, checks, attempt)
		switch {
		case done || err != nil:
			return err
		case ctx.Err() != nil:
			return eris.Wrap(ctx.Err(), "rowstore: commit")
		case !l.Authorized():
			l.markLost()
			return &LeaseExpiredError{Partition: l.Partition}
		}
		sleep(ctx, pause)
		pause = min(2*pause, commitRetryMax)
	}
}

// commitAttempt identifies a commit, which may be sent several times.
type commitAttempt struct {
	id        string
	firstSent clock.Mark // taken just before it was first sent
}

// commitOnce sends a commit once. done is false if it has to be sent again.
func (l *OwnerLease) commitOnce(ctx context.Context, writes []Write, checks []Check, attempt commitAttempt) (done bool, err error) {
	l.mu.Lock()
	if !l.held {
		holder := fleet.MemberID(l.row.Holder)
		l.mu.Unlock()
		return false, &LeaseLostError{Partition: l.Partition, Holder: holder}
	}
	next := l.row
	next.Attempt, next.Wanted = attempt.id, l.wanted
	check := Check{Ref: l.ref(), Version: l.version}
	sent := l.Clock.Mark()
	l.stamp(&next)
	l.mu.Unlock()
	value, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(err, "rowstore: encode owner lease")
	}
	tx := Transaction{Checks: append([]Check{check}, checks...), Writes: append([]Write{{Ref: l.ref(), Value: value}}, writes...)}
	versions, err := l.Table.Transact(ctx, tx)
	var conflict *ConflictError
	switch {
	case err == nil:
		l.recordCommit(versions[0], next, sent)
		return true, nil
	case errors.As(err, &conflict):
		if !conflict.Changed(check) && slices.ContainsFunc(checks, conflict.Changed) {
			return false, conflict
		}
		return l.resolveConflict(conflict, next, attempt)
	}
	if l.OnFailure != nil {
		l.OnFailure(err)
	}
	return false, nil
}

// resolveConflict handles a commit that failed with a conflict: an earlier attempt of the same
// commit may have taken effect. The renewal then counts from when the commit was first sent, because other
// members may have read the row since.
func (l *OwnerLease) resolveConflict(e *ConflictError, next wireOwnerLease, attempt commitAttempt) (done bool, err error) {
	version, row, found := l.conflictingRow(e)
	switch {
	case !found:
		return false, nil
	case row.Attempt == next.Attempt:
		l.recordCommit(version, next, attempt.firstSent)
		return true, nil
	case row.Holder == next.Holder && row.Fence == next.Fence:
		l.mu.Lock()
		l.setRow(version, row)
		l.mu.Unlock()
		return false, nil
	}
	l.mu.Lock()
	l.setRow(version, row)
	l.held = false
	l.mu.Unlock()
	return false, &LeaseLostError{Partition: l.Partition, Holder: fleet.MemberID(row.Holder)}
}

func (l *OwnerLease) recordCommit(version fleet.Version, row wireOwnerLease, sent clock.Mark) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setRow(version, row)
	l.commitSent = sent
}

func (l *OwnerLease) markLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
}

// MarkLost marks the lease as lost, because a worker or another member has recorded a higher
// fence.
func (l *OwnerLease) MarkLost() { l.markLost() }

// WantDispatchers asks n other members to call workers for the holder. They learn it from the row that
// the next commit writes.
func (l *OwnerLease) WantDispatchers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted = n
}

// Fence returns the fencing number that the holder's orders carry.
func (l *OwnerLease) Fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Fence
}

// Authorized reports whether this member may still send orders as the holder. No other code
// decides that.
func (l *OwnerLease) Authorized() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.Clock.MaxElapsed(l.commitSent) < OwnerLeaseAuthority
}

// Exclusive reports whether no other member can have taken over yet, so that the holder's view of
// the partition is complete.
func (l *OwnerLease) Exclusive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.Clock.MaxElapsed(l.commitSent) < OwnerLeaseTerm
}

// SinceCommit returns the time since the last successful commit was sent.
func (l *OwnerLease) SinceCommit() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Clock.MaxElapsed(l.commitSent)
}

// Release gives the lease up, so that another member can acquire it at once. All orders of this holder
// must have ended before the call; the row goes on saying how long those of earlier holders may come. Release
// does nothing if the lease is not held. It tries again until the table service responds or ctx ends, and fails
// with *ConflictError or *UnavailableError.
func (l *OwnerLease) Release(ctx context.Context) error {
	l.mu.Lock()
	held, version := l.held, l.version
	l.held = false
	next := wireOwnerLease{Fence: l.row.Fence, Attempt: newAttemptID()}
	l.stamp(&next)
	l.mu.Unlock()
	if !held {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "rowstore: encode owner lease")
	}
	for conflicts := 0; conflicts < maxReleaseConflicts; {
		_, err = l.Table.Transact(ctx, Transaction{
			Checks: []Check{{Ref: l.ref(), Version: version}}, Writes: []Write{{Ref: l.ref(), Value: value}},
		})
		var conflict *ConflictError
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !errors.As(err, &conflict) {
			sleep(ctx, commitRetryMin)
			continue
		}
		conflicts++
		current, row, found := l.conflictingRow(conflict)
		if !found || row.Holder != string(l.Self) || row.Fence != next.Fence {
			return nil // released, or held by another member
		}
		version = current // an abandoned commit took effect and changed the version
	}
	return err
}

// maxReleaseConflicts bounds the conflicts of a release. It is one more than the number of commits
// that may be in flight.
const maxReleaseConflicts = 2

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d clock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
