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
// OwnerLeaseRenewInterval. Another member may take the partition over if its row has not changed for
// OwnerLeaseTerm while the rows could be read. A holder that can't commit may go on sending orders
// until OwnerLeaseAuthority after it sent its last successful commit: while the store is down for
// all members, none can take over, and workers refuse the orders of a holder that was replaced.
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

// OwnerLease is one member's view of the owner lease on a partition of the row store. Each commit of
// the holder checks and rewrites the lease row. That fences the commit, renews the lease, and
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

	mu          sync.Mutex
	rowRead     bool
	version     fleet.Version
	row         wireOwnerLease
	versionRead clock.Mark // when version was first read
	held        bool
	commitSent  clock.Mark // taken just before the last successful commit was sent
}

type wireOwnerLease struct {
	Holder  string `json:"holder"`
	Address string `json:"address,omitempty"`
	Fence   uint64 `json:"fence"`
	Attempt string `json:"attempt"`
	Weak    bool   `json:"weak,omitempty"`
}

// Holder describes the holder of an owner lease, as its row was last read.
type Holder struct {
	Member  fleet.MemberID // empty if the lease has no holder
	Address string
	Fence   uint64
	LowCPU  bool // see OwnerLease
}

func (t *OwnerLease) ref() Ref {
	return Ref{Table: OwnerLeaseTable, Partition: t.Partition, Key: ownerLeaseKey}
}

// Observe records the lease row as it was read; version 0 means that there is none. Rows must be
// passed in the order in which they were read. It fails if the value can't be decoded.
func (t *OwnerLease) Observe(r Row) error {
	var lease wireOwnerLease
	if r.Version != 0 {
		if err := json.Unmarshal(r.Value, &lease); err != nil {
			return eris.Wrapf(err, "rowstore: decode owner lease of %s", t.Partition)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rowRead && r.Version <= t.version {
		return nil
	}
	t.rowRead, t.version, t.row, t.versionRead = true, r.Version, lease, t.Clock.Mark()
	if t.held && lease.Holder != string(t.Self) {
		t.held = false
	}
	return nil
}

// RestartExpiry restarts the wait for the lease's expiry after a time in which the rows could not
// be read. That time does not count, because the holder may have been unable to write as well.
func (t *OwnerLease) RestartExpiry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versionRead = t.Clock.Mark()
}

// Holder returns the holder as the row was last read.
func (t *OwnerLease) Holder() Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Holder{Member: fleet.MemberID(t.row.Holder), Address: t.row.Address, Fence: t.row.Fence, LowCPU: t.row.Weak}
}

// Vacant reports whether this member may claim the partition, and whether it was released or
// never held. In the latter case the former holder sends no more orders.
func (t *OwnerLease) Vacant() (vacant, released bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.rowRead || t.held:
		return false, false
	case t.row.Holder == "":
		return true, true
	case t.row.Holder == string(t.Self) && t.row.Address == t.Address:
		// Written by an earlier process at this address, which has ended.
		return true, true
	}
	return t.Clock.MinElapsed(t.versionRead) >= OwnerLeaseTerm+ownerLeaseDrift, false
}

// Claim tries to acquire the owner lease. ok is false if another member acquired it first. It
// fails with *UnavailableError.
func (t *OwnerLease) Claim(ctx context.Context) (ok bool, err error) {
	t.mu.Lock()
	check := Check{Ref: t.ref(), Version: t.version}
	next := wireOwnerLease{Holder: string(t.Self), Address: t.Address, Fence: t.row.Fence + 1, Attempt: newAttemptID(), Weak: t.LowCPU}
	sent := t.Clock.Mark()
	t.mu.Unlock()
	value, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(err, "rowstore: encode owner lease")
	}
	versions, err := t.Table.Transact(ctx, Transaction{Checks: []Check{check}, Writes: []Write{{Ref: t.ref(), Value: value}}})
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		version, row, found := t.conflictingRow(conflict)
		if !found || row.Attempt != next.Attempt {
			return false, nil
		}
		versions, err = []fleet.Version{version}, nil
	}
	if err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rowRead, t.version, t.row, t.versionRead = true, versions[0], next, t.Clock.Mark()
	t.held, t.commitSent = true, sent
	return true, nil
}

// conflictingRow returns the lease row among the current rows of a conflict.
func (t *OwnerLease) conflictingRow(e *ConflictError) (fleet.Version, wireOwnerLease, bool) {
	var lease wireOwnerLease
	i := slices.IndexFunc(e.Current, func(r Row) bool { return r.Ref == t.ref() })
	if i < 0 || json.Unmarshal(e.Current[i].Value, &lease) != nil {
		return 0, lease, false
	}
	return e.Current[i].Version, lease, true
}

// Commit writes rows as the holder of the lease. It repeats the transaction until its outcome is
// certain. Nil means that the rows are written. *LeaseLostError and *LeaseExpiredError mean that this
// member does not hold the lease any more, and that the rows may or may not be written.
// Otherwise it fails only when ctx ends.
func (t *OwnerLease) Commit(ctx context.Context, writes []Write) error {
	pause := commitRetryMin
	attempt := newAttemptID()
	for {
		done, err := t.commitOnce(ctx, writes, attempt)
		switch {
		case done || err != nil:
			return err
		case ctx.Err() != nil:
			return eris.Wrap(ctx.Err(), "rowstore: commit")
		case !t.Authorized():
			t.markLost()
			return &LeaseExpiredError{Partition: t.Partition}
		}
		sleep(ctx, pause)
		pause = min(2*pause, commitRetryMax)
	}
}

// commitOnce sends a commit once. done is false if it has to be sent again.
func (t *OwnerLease) commitOnce(ctx context.Context, writes []Write, attempt string) (done bool, err error) {
	t.mu.Lock()
	if !t.held {
		holder := fleet.MemberID(t.row.Holder)
		t.mu.Unlock()
		return false, &LeaseLostError{Partition: t.Partition, Holder: holder}
	}
	next := t.row
	next.Attempt = attempt
	check := Check{Ref: t.ref(), Version: t.version}
	sent := t.Clock.Mark()
	t.mu.Unlock()
	value, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(err, "rowstore: encode owner lease")
	}
	tx := Transaction{Checks: []Check{check}, Writes: append([]Write{{Ref: t.ref(), Value: value}}, writes...)}
	versions, err := t.Table.Transact(ctx, tx)
	var conflict *ConflictError
	switch {
	case err == nil:
		t.recordCommit(versions[0], next, sent)
		return true, nil
	case errors.As(err, &conflict):
		return t.resolveConflict(conflict, next, sent)
	}
	return false, nil
}

// resolveConflict handles a commit that failed with a conflict: an earlier attempt of the same
// commit may have taken effect.
func (t *OwnerLease) resolveConflict(e *ConflictError, next wireOwnerLease, sent clock.Mark) (done bool, err error) {
	version, row, found := t.conflictingRow(e)
	switch {
	case !found:
		return false, nil
	case row.Attempt == next.Attempt:
		t.recordCommit(version, next, sent)
		return true, nil
	case row.Holder == next.Holder && row.Fence == next.Fence:
		t.mu.Lock()
		t.version, t.row = version, row
		t.mu.Unlock()
		return false, nil
	}
	t.mu.Lock()
	t.version, t.row, t.versionRead, t.held = version, row, t.Clock.Mark(), false
	t.mu.Unlock()
	return false, &LeaseLostError{Partition: t.Partition, Holder: fleet.MemberID(row.Holder)}
}

func (t *OwnerLease) recordCommit(version fleet.Version, row wireOwnerLease, sent clock.Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version, t.row, t.commitSent = version, row, sent
	t.versionRead = t.Clock.Mark()
}

func (t *OwnerLease) markLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = false
}

// MarkLost marks the lease as lost, because a worker or another member has recorded a higher
// fence.
func (t *OwnerLease) MarkLost() { t.markLost() }

// Fence returns the fencing number that the holder's orders carry.
func (t *OwnerLease) Fence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row.Fence
}

// Authorized reports whether this member may still send orders as the holder. No other code
// decides that.
func (t *OwnerLease) Authorized() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held && t.Clock.MaxElapsed(t.commitSent) < OwnerLeaseAuthority
}

// Exclusive reports whether no other member can have taken over yet, so that the holder's view of
// the partition is complete.
func (t *OwnerLease) Exclusive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held && t.Clock.MaxElapsed(t.commitSent) < OwnerLeaseTerm
}

// SinceCommit returns the time since the last successful commit was sent.
func (t *OwnerLease) SinceCommit() clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Clock.MaxElapsed(t.commitSent)
}

// Release gives the lease up, so that another member can acquire it at once. All orders must
// have ended before the call. It does nothing if the lease is not held.
func (t *OwnerLease) Release(ctx context.Context) error {
	t.mu.Lock()
	held, version := t.held, t.version
	t.held = false
	next := wireOwnerLease{Fence: t.row.Fence, Attempt: newAttemptID()}
	t.mu.Unlock()
	if !held {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "rowstore: encode owner lease")
	}
	for range maxReleaseAttempts {
		_, err = t.Table.Transact(ctx, Transaction{
			Checks: []Check{{Ref: t.ref(), Version: version}}, Writes: []Write{{Ref: t.ref(), Value: value}},
		})
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		current, row, found := t.conflictingRow(conflict)
		if !found || row.Holder != string(t.Self) || row.Fence != next.Fence {
			return nil // released, or held by another member
		}
		version = current // an abandoned commit took effect and changed the version
	}
	return err
}

// maxReleaseAttempts bounds the attempts of a release. It is one more than the number of commits
// that may be in flight.
const maxReleaseAttempts = 2

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d clock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
