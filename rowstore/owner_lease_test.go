package rowstore_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// fakeStore is a row store with partitions whose responses can be lost and whose writes can be
// delayed.
type fakeStore struct {
	rows          map[rowstore.Ref]rowstore.Row
	version       fleet.Version
	loseResponses bool // apply transactions, but lose their responses
	delayWrites   bool // keep transactions until applyDelayed applies them
	delayed       []rowstore.Transaction
	down          bool
	// serviceTime returns the bounds of the service's clock that a member has; nil if it has none.
	serviceTime func() (earliest, latest clock.Millis, ok bool)
}

func (s *fakeStore) table() *rowstore.Table {
	return &rowstore.Table{Transact: s.transact, Read: s.read, ServiceTime: s.serviceTime}
}

func (s *fakeStore) transact(_ context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
	switch {
	case s.down:
		return nil, &rowstore.UnavailableError{Op: "transaction", Err: errors.New("down")}
	case s.delayWrites:
		s.delayed = append(s.delayed, t)
		return nil, &rowstore.UnavailableError{Op: "transaction", OutcomeUnknown: true, Err: errors.New("no answer")}
	}
	versions, err := s.apply(t)
	if s.loseResponses {
		return nil, &rowstore.UnavailableError{Op: "transaction", OutcomeUnknown: true, Err: errors.New("no answer")}
	}
	return versions, err
}

func (s *fakeStore) apply(t rowstore.Transaction) ([]fleet.Version, error) {
	e := &rowstore.ConflictError{}
	for _, c := range t.Checks {
		if r := s.rows[c.Ref]; r.Version != c.Version {
			e.Rows = append(e.Rows, c.Ref)
			if r.Version != 0 {
				e.Current = append(e.Current, r)
			}
		}
	}
	if len(e.Rows) > 0 {
		return nil, e
	}
	if s.rows == nil {
		s.rows = map[rowstore.Ref]rowstore.Row{}
	}
	s.version++
	out := make([]fleet.Version, len(t.Writes))
	for i, w := range t.Writes {
		out[i] = s.version
		s.rows[w.Ref] = rowstore.Row{Ref: w.Ref, Version: s.version, Value: w.Value}
	}
	return out, nil
}

// applyDelayed applies the delayed transactions and returns how many succeeded.
func (s *fakeStore) applyDelayed() (applied int) {
	for _, t := range s.delayed {
		if _, err := s.apply(t); err == nil {
			applied++
		}
	}
	s.delayed, s.delayWrites = nil, false
	return applied
}

func (s *fakeStore) read(_ context.Context, q rowstore.Query) ([]rowstore.Row, error) {
	var out []rowstore.Row
	for _, g := range q.Gets {
		if r, ok := s.rows[g]; ok {
			out = append(out, r)
		}
	}
	return out, nil
}

// newMember returns a member's view of partition p, on a clock that the test moves.
func newMember(s *fakeStore, name fleet.MemberID, now *clock.Millis) *rowstore.OwnerLease {
	read := func() clock.Millis { return *now }
	return &rowstore.OwnerLease{
		Table: s.table(), Clock: clock.Clock{NowFunc: read, WallFunc: read}, Partition: "p", Self: name, Address: string(name) + ":1",
	}
}

func leaseRow(s *fakeStore) rowstore.Row {
	return s.rows[rowstore.Ref{Table: rowstore.OwnerLeaseTable, Partition: "p", Key: "holder"}]
}

func jobWrite(key string) []rowstore.Write {
	return []rowstore.Write{{Ref: rowstore.Ref{Table: "jobs", Partition: "p", Key: key}, Value: []byte("{}")}}
}

func (s *fakeStore) has(key string) bool {
	_, ok := s.rows[rowstore.Ref{Table: "jobs", Partition: "p", Key: key}]
	return ok
}

func claimPartition(t *testing.T, h *rowstore.OwnerLease, s *fakeStore) {
	t.Helper()
	must.NoError(t, h.Observe(leaseRow(s)))
	ok, err := h.Claim(t.Context())
	must.NoError(t, err)
	must.True(t, ok)
}

// Guards against a commit that is lost or written twice after its response was lost: sending it
// again resolves the outcome.
func TestCommitAfterLostResponse(t *testing.T) {
	var now clock.Millis
	s := &fakeStore{}
	h := newMember(s, "a", &now)
	claimPartition(t, h, s)
	before := s.version
	s.loseResponses = true
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // one attempt only
	must.Error(t, h.Commit(ctx, jobWrite("j")))
	s.loseResponses = false
	must.True(t, s.has("j"))
	must.NoError(t, h.Commit(t.Context(), jobWrite("k")))
	must.True(t, s.has("k"))
	must.Eq(t, before+2, s.version)
}

// Guards against a delayed write that takes effect after a newer one of the same holder.
func TestDelayedCommitFailsAfterNewerCommit(t *testing.T) {
	var now clock.Millis
	s := &fakeStore{}
	h := newMember(s, "a", &now)
	claimPartition(t, h, s)
	s.delayWrites = true
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.Error(t, h.Commit(ctx, jobWrite("late")))
	s.delayWrites = false
	must.NoError(t, h.Commit(t.Context(), jobWrite("newer")))
	must.Eq(t, 0, s.applyDelayed())
	must.False(t, s.has("late"))
}

// Guards against a former holder that still writes or sends orders: a holder that does not renew
// for its term is replaced, its late writes fail, and it finds out.
func TestTakeoverFencesTheFormerHolder(t *testing.T) {
	var now clock.Millis
	s := &fakeStore{}
	a, b := newMember(s, "a", &now), newMember(s, "b", &now)
	claimPartition(t, a, s)
	must.NoError(t, b.Observe(leaseRow(s)))
	must.False(t, b.Vacant())
	now += rowstore.OwnerLeaseTerm + 300
	must.False(t, a.Exclusive(), must.Sprint("Certain must end before another member can take over"))
	must.True(t, a.Authorized(), must.Sprint("a holder that can't write may still send orders"))
	must.True(t, b.Vacant())
	claimPartition(t, b, s)
	must.GreaterEq(t, rowstore.OwnerLeaseAuthority-rowstore.OwnerLeaseTerm-300, b.FormerOrders())
	must.Greater(t, a.Fence(), b.Fence())
	var leaseLost *rowstore.LeaseLostError
	must.True(t, errors.As(a.Commit(t.Context(), jobWrite("j")), &leaseLost))
	must.False(t, a.Authorized())
	must.False(t, s.has("j"))
}

// Guards against a takeover by a member that could not read the rows: a missing renewal says
// nothing about the holder then.
func TestUnreadRowsDoNotExpireLease(t *testing.T) {
	var now clock.Millis
	s := &fakeStore{}
	a, b := newMember(s, "a", &now), newMember(s, "b", &now)
	claimPartition(t, a, s)
	must.NoError(t, b.Observe(leaseRow(s)))
	now += rowstore.OwnerLeaseTerm + 300
	b.RestartExpiry()
	must.False(t, b.Vacant())
}

// Guards against members that wait for the whole term after a planned stop. The stop cancelled a
// commit that took effect all the same; the release then found another version of the row and
// was given up.
func TestReleaseAfterCancelledCommit(t *testing.T) {
	s := &fakeStore{}
	now := clock.Millis(1000)
	a, b := newMember(s, "a", &now), newMember(s, "b", &now)
	must.NoError(t, a.Observe(rowstore.Row{}))
	ok, err := a.Claim(t.Context())
	must.NoError(t, err)
	must.True(t, ok)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.loseResponses = true
	must.Error(t, a.Commit(ctx, jobWrite("j1")))
	s.loseResponses = false
	must.NoError(t, a.Release(t.Context()))
	must.NoError(t, b.Observe(leaseRow(s)))
	must.True(t, b.Vacant())
	claimPartition(t, b, s)
	must.Eq(t, 0, b.FormerOrders())
}

// Guards against members that wait for the whole term after a planned stop, and against a new
// holder with the fence of the former one.
func TestReleaseLetsOthersClaimAtOnce(t *testing.T) {
	var now clock.Millis
	s := &fakeStore{}
	a, b := newMember(s, "a", &now), newMember(s, "b", &now)
	claimPartition(t, a, s)
	must.NoError(t, a.Release(t.Context()))
	must.False(t, a.Authorized())
	must.NoError(t, b.Observe(leaseRow(s)))
	must.True(t, b.Vacant())
	claimPartition(t, b, s)
	must.Eq(t, 2, b.Fence())
	must.Eq(t, 0, b.FormerOrders())
}

// Guards against a holder that sends orders after its authority has ended because its monotonic
// clock did not count a suspension.
func TestAuthorityEndsAfterSuspension(t *testing.T) {
	var now, boot clock.Millis
	s := &fakeStore{}
	h := newMember(s, "a", &now)
	h.Clock = clock.Clock{NowFunc: func() clock.Millis { return now }, BootFunc: func() clock.Millis { return boot }}
	claimPartition(t, h, s)
	boot += rowstore.OwnerLeaseAuthority
	must.False(t, h.Authorized())
	s.down = true
	var expired *rowstore.LeaseExpiredError
	must.True(t, errors.As(h.Commit(t.Context(), jobWrite("j")), &expired))
}

// Guards against a holder that gives its pool up, and a member that takes it over early or late,
// because the time of day jumped on its machine.
func TestWallClockJumpsDoNotChangeLeases(t *testing.T) {
	for _, jump := range []clock.Millis{-3600_000, -9000, 9000, 3600_000} {
		var now, wall clock.Millis
		s := &fakeStore{}
		a, b := newMember(s, "a", &now), newMember(s, "b", &now)
		jumping := clock.Clock{NowFunc: func() clock.Millis { return now }, WallFunc: func() clock.Millis { return now + wall }}
		a.Clock, b.Clock = jumping, jumping
		claimPartition(t, a, s)
		must.NoError(t, b.Observe(leaseRow(s)))
		wall += jump
		must.True(t, a.Authorized(), must.Sprint(jump))
		must.True(t, a.Exclusive(), must.Sprint(jump))
		must.False(t, b.Vacant(), must.Sprint(jump))
		now += rowstore.OwnerLeaseTerm + 300
		must.True(t, b.Vacant(), must.Sprint(jump))
	}
}

// Guards against two members that claim at the same time and both succeed.
func TestRacingClaims(t *testing.T) {
	var now clock.Millis
	s := &fakeStore{}
	a, b := newMember(s, "a", &now), newMember(s, "b", &now)
	must.NoError(t, a.Observe(rowstore.Row{}))
	must.NoError(t, b.Observe(rowstore.Row{}))
	first, err := a.Claim(t.Context())
	must.NoError(t, err)
	second, err := b.Claim(t.Context())
	must.NoError(t, err)
	must.True(t, first)
	must.False(t, second)
}

// Guards against a member that the store refuses and that does not use the relay, and against a
// write with an unknown outcome being reported as not written if neither path responds.
func TestCallsAreRelayed(t *testing.T) {
	var now clock.Millis
	direct, relay := &fakeStore{down: true}, &fakeStore{}
	d := &rowstore.Relay{
		Direct: direct.table(), Relayed: func() *rowstore.Table { return relay.table() },
		Clock: clock.Clock{NowFunc: func() clock.Millis { return now }},
	}
	_, err := d.Table().Transact(t.Context(), rowstore.Transaction{Writes: jobWrite("j")})
	must.NoError(t, err)
	must.True(t, relay.has("j"))
	relay.delayWrites = true
	_, err = d.Table().Transact(t.Context(), rowstore.Transaction{Writes: jobWrite("k")})
	var lost *rowstore.UnavailableError
	must.True(t, errors.As(err, &lost))
	must.True(t, lost.OutcomeUnknown)
	now += 10_000
	direct.down = false
	_, err = d.Table().Transact(t.Context(), rowstore.Transaction{Writes: jobWrite("m")})
	must.NoError(t, err)
	must.True(t, direct.has("m"), must.Sprint("the direct path is tried again"))
}

// Guards against transactions that wait for the direct path again and again while it gives no
// response: on a day on which a third of the members lost the store, the owner of the busiest pool
// refused nearly all jobs for eight seconds, because every fourth second a commit took 900 ms.
func TestTransactionsDoNotTryBrokenDirectPath(t *testing.T) {
	var now clock.Millis
	direct, relay := &fakeStore{down: true}, &fakeStore{}
	directWrites := 0
	directTable := direct.table()
	transact := directTable.Transact
	directTable.Transact = func(ctx context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
		directWrites++
		return transact(ctx, t)
	}
	directTable.Read = func(context.Context, rowstore.Query) ([]rowstore.Row, error) {
		if direct.down {
			return nil, &rowstore.UnavailableError{Op: "read", Err: errors.New("down")}
		}
		return nil, nil
	}
	r := &rowstore.Relay{
		Direct: directTable, Relayed: func() *rowstore.Table { return relay.table() },
		Clock: clock.Clock{NowFunc: func() clock.Millis { return now }},
	}
	for range 100 {
		now += 100
		_, err := r.Table().Transact(t.Context(), rowstore.Transaction{Writes: jobWrite("j")})
		must.NoError(t, err)
	}
	must.Eq(t, 1, directWrites)
	_, err := r.Table().Read(t.Context(), rowstore.Query{}) // the direct path fails again
	must.NoError(t, err)
	relay.down = true
	_, err = r.Table().Transact(t.Context(), rowstore.Transaction{Writes: jobWrite("j")})
	must.Error(t, err)
	must.Eq(t, 1, directWrites, must.Sprint("the caller tries another relay first"))
	relay.down = false
	now += 10_000
	direct.down = false
	_, err = r.Table().Read(t.Context(), rowstore.Query{})
	must.NoError(t, err)
	_, err = r.Table().Transact(t.Context(), rowstore.Transaction{Writes: jobWrite("k")})
	must.NoError(t, err)
	must.True(t, direct.has("k"), must.Sprint("a read has found that the direct path works again"))
}

// Guards against a pool without an owner until its lease expires, because the store or a relay failed once during
// the release.
func TestReleaseIsRepeatedUntilTheStoreResponds(t *testing.T) {
	store := &fakeStore{}
	table := store.table()
	transact := table.Transact
	failures := 0
	table.Transact = func(ctx context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
		if failures > 0 {
			failures--
			return nil, &rowstore.UnavailableError{Op: "transaction", Err: errors.New("status 503")}
		}
		return transact(ctx, tx)
	}
	lease := &rowstore.OwnerLease{Table: table, Clock: clock.Clock{}, Partition: "p", Self: "m", Address: "m:1"}
	must.NoError(t, lease.Observe(rowstore.Row{}))
	ok, err := lease.Claim(t.Context())
	must.NoError(t, err)
	must.True(t, ok)
	failures = 3
	must.NoError(t, lease.Release(t.Context()))
	must.Zero(t, failures)

	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	other := &rowstore.OwnerLease{Table: table, Clock: clock.Clock{}, Partition: "q", Self: "m", Address: "m:1"}
	must.NoError(t, other.Observe(rowstore.Row{}))
	_, err = other.Claim(t.Context())
	must.NoError(t, err)
	failures = 1000
	must.Error(t, other.Release(ctx), must.Sprint("a release ends with its context"))
}
