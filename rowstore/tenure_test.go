package rowstore_test

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// partStore is a row store with parts, whose answers can be lost and whose writes can be late.
type partStore struct {
	rows    map[rowstore.Ref]rowstore.Row
	version fleet.Version
	lose    bool // the next transactions are done and not answered
	hold    bool // the next transactions are kept and done by release
	held    []rowstore.Transaction
	down    bool
}

func (s *partStore) table() *rowstore.Table {
	return &rowstore.Table{Transact: s.transact, Read: s.read}
}

func (s *partStore) transact(_ context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
	switch {
	case s.down:
		return nil, &rowstore.UnavailableError{Op: "transaction", Err: errors.New("down")}
	case s.hold:
		s.held = append(s.held, t)
		return nil, &rowstore.UnavailableError{Op: "transaction", Maybe: true, Err: errors.New("no answer")}
	}
	versions, err := s.apply(t)
	if s.lose {
		return nil, &rowstore.UnavailableError{Op: "transaction", Maybe: true, Err: errors.New("no answer")}
	}
	return versions, err
}

func (s *partStore) apply(t rowstore.Transaction) ([]fleet.Version, error) {
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

// release carries out what was kept.
func (s *partStore) release() (landed int) {
	for _, t := range s.held {
		if _, err := s.apply(t); err == nil {
			landed++
		}
	}
	s.held, s.hold = nil, false
	return landed
}

func (s *partStore) read(_ context.Context, q rowstore.Query) ([]rowstore.Row, error) {
	var out []rowstore.Row
	for _, g := range q.Gets {
		if r, ok := s.rows[g]; ok {
			out = append(out, r)
		}
	}
	return out, nil
}

// holder returns a member's view of part p, on a clock that the test moves.
func holder(s *partStore, name fleet.MemberID, now *clock.Millis) *rowstore.Tenure {
	read := func() clock.Millis { return *now }
	return &rowstore.Tenure{
		Table: s.table(), Clock: clock.Clock{NowFunc: read, WallFunc: read}, Part: "p", Self: name, Address: string(name) + ":1",
	}
}

func holderRow(s *partStore) rowstore.Row {
	return s.rows[rowstore.Ref{Table: rowstore.TenureTable, Part: "p", Key: "holder"}]
}

func write(key string) []rowstore.Write {
	return []rowstore.Write{{Ref: rowstore.Ref{Table: "jobs", Part: "p", Key: key}, Value: []byte("{}")}}
}

func (s *partStore) has(key string) bool {
	_, ok := s.rows[rowstore.Ref{Table: "jobs", Part: "p", Key: key}]
	return ok
}

func claimPart(t *testing.T, h *rowstore.Tenure, s *partStore) {
	t.Helper()
	must.NoError(t, h.Observe(holderRow(s)))
	ok, err := h.Claim(t.Context())
	must.NoError(t, err)
	must.True(t, ok)
}

// A commit whose answer was lost is resolved by sending it again, and is written once.
func TestCommitWithALostAnswer(t *testing.T) {
	var now clock.Millis
	s := &partStore{}
	h := holder(s, "a", &now)
	claimPart(t, h, s)
	before := s.version
	s.lose = true
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // one try only
	must.Error(t, h.Commit(ctx, write("j")))
	s.lose = false
	must.True(t, s.has("j"))
	must.NoError(t, h.Commit(t.Context(), write("k")))
	must.True(t, s.has("k"))
	must.Eq(t, before+2, s.version)
}

// A write that is carried out late must not land after a newer one of the same holder.
func TestLateWriteDoesNotLand(t *testing.T) {
	var now clock.Millis
	s := &partStore{}
	h := holder(s, "a", &now)
	claimPart(t, h, s)
	s.hold = true
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.Error(t, h.Commit(ctx, write("late")))
	s.hold = false
	must.NoError(t, h.Commit(t.Context(), write("newer")))
	must.Eq(t, 0, s.release())
	must.False(t, s.has("late"))
}

// A holder that is silent for its term is replaced; its late writes fail, and it notices.
func TestTakeoverFencesTheFormerHolder(t *testing.T) {
	var now clock.Millis
	s := &partStore{}
	a, b := holder(s, "a", &now), holder(s, "b", &now)
	claimPart(t, a, s)
	must.NoError(t, b.Observe(holderRow(s)))
	vacant, _ := b.Vacant()
	must.False(t, vacant)
	now += rowstore.TenureTerm + 300
	must.False(t, a.Certain(), must.Sprint("nobody may have taken over before the holder's certainty ends"))
	must.True(t, a.Authorized(), must.Sprint("a holder that can't write goes on giving orders"))
	vacant, released := b.Vacant()
	must.True(t, vacant)
	must.False(t, released)
	claimPart(t, b, s)
	must.Greater(t, a.Fence(), b.Fence())
	var deposed *rowstore.DeposedError
	must.True(t, errors.As(a.Commit(t.Context(), write("j")), &deposed))
	must.False(t, a.Authorized())
	must.False(t, s.has("j"))
}

// While a member can't read the rows, the silence of a holder says nothing.
func TestInterruptedWatchDoesNotCount(t *testing.T) {
	var now clock.Millis
	s := &partStore{}
	a, b := holder(s, "a", &now), holder(s, "b", &now)
	claimPart(t, a, s)
	must.NoError(t, b.Observe(holderRow(s)))
	now += rowstore.TenureTerm + 300
	b.Interrupted()
	vacant, _ := b.Vacant()
	must.False(t, vacant)
}

// A planned stop cancelled a commit that was carried out all the same. The release found
// another version of the row and was given up, so that the others waited for the whole term.
func TestReleaseAfterCancelledCommit(t *testing.T) {
	s := &partStore{}
	now := clock.Millis(1000)
	a, b := holder(s, "a", &now), holder(s, "b", &now)
	must.NoError(t, a.Observe(rowstore.Row{}))
	ok, err := a.Claim(t.Context())
	must.NoError(t, err)
	must.True(t, ok)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.lose = true
	must.Error(t, a.Commit(ctx, write("j1")))
	s.lose = false
	must.NoError(t, a.Release(t.Context()))
	must.NoError(t, b.Observe(holderRow(s)))
	vacant, released := b.Vacant()
	must.True(t, vacant)
	must.True(t, released)
}

func TestReleaseLetsOthersClaimAtOnce(t *testing.T) {
	var now clock.Millis
	s := &partStore{}
	a, b := holder(s, "a", &now), holder(s, "b", &now)
	claimPart(t, a, s)
	must.NoError(t, a.Release(t.Context()))
	must.False(t, a.Authorized())
	must.NoError(t, b.Observe(holderRow(s)))
	vacant, released := b.Vacant()
	must.True(t, vacant)
	must.True(t, released)
	claimPart(t, b, s)
	must.Eq(t, 2, b.Fence())
}

// A holder that can't renew stops giving orders when its authority ends, also if its monotonic
// clock did not count a pause.
func TestAuthorityEndsAcrossAPause(t *testing.T) {
	var now, wall clock.Millis
	s := &partStore{}
	h := holder(s, "a", &now)
	h.Clock = clock.Clock{NowFunc: func() clock.Millis { return now }, WallFunc: func() clock.Millis { return wall }}
	claimPart(t, h, s)
	wall += rowstore.TenureAuthority
	must.False(t, h.Authorized())
	s.down = true
	var expired *rowstore.ExpiredError
	must.True(t, errors.As(h.Commit(t.Context(), write("j")), &expired))
}

// Two members that claim at the same time: one wins.
func TestRacingClaims(t *testing.T) {
	var now clock.Millis
	s := &partStore{}
	a, b := holder(s, "a", &now), holder(s, "b", &now)
	must.NoError(t, a.Observe(rowstore.Row{}))
	must.NoError(t, b.Observe(rowstore.Row{}))
	first, err := a.Claim(t.Context())
	must.NoError(t, err)
	second, err := b.Claim(t.Context())
	must.NoError(t, err)
	must.True(t, first)
	must.False(t, second)
}

// A member that the store turns away reaches it through another one; an answer that may have
// taken effect stays in doubt if neither way answers.
func TestDetour(t *testing.T) {
	var now clock.Millis
	direct, other := &partStore{down: true}, &partStore{}
	d := &rowstore.Detour{
		Direct: direct.table(), Other: func() *rowstore.Table { return other.table() },
		Clock: clock.Clock{NowFunc: func() clock.Millis { return now }},
	}
	_, err := d.Table().Transact(t.Context(), rowstore.Transaction{Writes: write("j")})
	must.NoError(t, err)
	must.True(t, other.has("j"))
	other.hold = true
	_, err = d.Table().Transact(t.Context(), rowstore.Transaction{Writes: write("k")})
	var lost *rowstore.UnavailableError
	must.True(t, errors.As(err, &lost))
	must.True(t, lost.Maybe)
	now += 10_000
	direct.down = false
	_, err = d.Table().Transact(t.Context(), rowstore.Transaction{Writes: write("m")})
	must.NoError(t, err)
	must.True(t, direct.has("m"), must.Sprint("the direct way is tried again"))
}
