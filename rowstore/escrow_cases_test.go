package rowstore_test

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// calmWorld has members that hold slots of a team with a limit of 10.
func calmWorld(t *testing.T, ids ...fleet.MemberID) *escrowWorld {
	t.Helper()
	w := newEscrowWorld(nil)
	w.calm = true
	for _, id := range ids {
		must.NoError(t, w.start(id, "z").members.Register(context.Background()))
	}
	return w
}

func (w *escrowWorld) round(t *testing.T, p *process, starts int) (started int) {
	t.Helper()
	for range 2 {
		for range starts - started {
			if p.escrow.TryStart("a") {
				p.ends = append(p.ends, w.now+longest)
				started++
			}
		}
		must.NoError(t, p.escrow.Rebalance(context.Background()))
	}
	return started
}

// Guards against a portion being given to others while requests of its dead member may still
// run, and against it never being given back.
func TestEscrowReclaimsAfterTermAndLongestDeadline(t *testing.T) {
	tests := []struct {
		name  string
		gone  bool
		wait  clock.Millis
		renew bool // the dead member renews while the reclaim is under way
		want  int
	}{
		{"silent", false, rowstore.EscrowTerm + rowstore.EscrowDrift + longest, false, 5},
		{"gone by the list", true, longest, false, 5},
		{"not dead after all", false, rowstore.EscrowTerm + rowstore.EscrowDrift + longest, true, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := calmWorld(t, "a", "b")
			a, b := w.live[0], w.live[1]
			must.Eq(t, 10, w.round(t, a, 10))
			w.gone["a"] = tc.gone
			must.NoError(t, b.members.Renew(context.Background()))
			w.now += tc.wait - 1
			must.NoError(t, b.members.Renew(context.Background()))
			must.Eq(t, 0, w.round(t, b, 5))
			a.escrow.Finish("a")
			must.Eq(t, tc.gone, a.escrow.TryStart("a")) // its term has ended unless it is taken for gone
			w.now++
			must.NoError(t, b.members.Renew(context.Background()))
			calm := b.escrow.Table.Transact
			b.escrow.Table.Transact = func(ctx context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
				if tc.renew {
					must.NoError(t, a.members.Renew(ctx))
				}
				return calm(ctx, tx)
			}
			must.Eq(t, tc.want, w.round(t, b, 5))
		})
	}
}

// Guards against a member raising its portion again because a read does not show its lowering
// yet: the lowering was delayed and takes effect after the read.
func TestEscrowKeepsSmallerPortionWhileInDoubt(t *testing.T) {
	ctx := context.Background()
	w := calmWorld(t, "a", "b")
	a, b := w.live[0], w.live[1]
	must.Eq(t, 10, w.round(t, a, 10))
	for range 10 {
		a.escrow.Finish("a")
	}
	_ = a.escrow.Rebalance(ctx) // the peak of the last round still counts
	b.escrow.TryStart("a")
	calm := a.escrow.Table.Transact
	var late rowstore.Transaction
	lost := &rowstore.UnavailableError{Op: "transaction", Maybe: true, Err: errFault}
	a.escrow.Table.Transact = func(_ context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
		late = tx
		return nil, lost
	}
	must.Error(t, a.escrow.Rebalance(ctx))
	low := a.escrow.Portions()["a"].Slots
	must.Less(t, 10, low)
	a.escrow.Table.Transact = func(context.Context, rowstore.Transaction) ([]fleet.Version, error) { return nil, lost }
	for range 20 {
		a.escrow.TryStart("a") // demand for the whole portion
	}
	must.Error(t, a.escrow.Rebalance(ctx))
	must.LessEq(t, low, a.escrow.Portions()["a"].Slots)
	_, err := w.commit(late)
	must.NoError(t, err)
	a.escrow.Table.Transact = calm
	w.check(t)
}

// Guards against a portion sinking below what runs within it when requests start while a
// round decides to lower it.
func TestEscrowStartsDuringRound(t *testing.T) {
	ctx := context.Background()
	w := calmWorld(t, "a", "b")
	a, b := w.live[0], w.live[1]
	must.Eq(t, 10, w.round(t, a, 10))
	for range 10 {
		a.escrow.Finish("a")
	}
	must.NoError(t, a.escrow.Rebalance(ctx)) // the peak of the last round still counts
	must.Eq(t, 0, w.round(t, b, 5))
	armed := false
	read, now := a.escrow.Table.Read, a.members.Clock.NowFunc
	a.escrow.Table.Read = func(ctx context.Context, q rowstore.Query) ([]rowstore.Row, error) {
		if armed = len(q.Scans) == 0; !armed { // the round has to decide without the other zones
			return nil, errFault
		}
		return read(ctx, q)
	}
	a.members.Clock.NowFunc = func() clock.Millis {
		if armed { // the round looks whether b is dead
			armed = false
			for range 10 {
				a.escrow.TryStart("a")
			}
		}
		return now()
	}
	must.NoError(t, a.escrow.Rebalance(ctx))
	got := a.escrow.Portions()["a"]
	must.Eq(t, 10, got.Running)
	must.LessEq(t, got.Slots, got.Running)
}

// Guards against data races between requests and rounds.
func TestEscrowPortionCoversRunningUnderLoad(t *testing.T) {
	w := calmWorld(t, "a", "b")
	var wg sync.WaitGroup
	done := make(chan struct{})
	for _, p := range w.live {
		for range 4 {
			wg.Go(func() {
				for {
					select {
					case <-done:
						return
					default:
					}
					if p.escrow.TryStart("a") {
						got := p.escrow.Portions()["a"]
						must.LessEq(t, got.Slots, got.Running)
						p.escrow.Finish("a")
					}
				}
			})
		}
	}
	for range 300 {
		for _, p := range w.live {
			_ = p.escrow.Rebalance(context.Background())
		}
	}
	close(done)
	wg.Wait()
	w.check(t)
}

// Guards against portions that stay with a member after a planned stop, and against starts
// after it.
func TestEscrowReturnAndLostZone(t *testing.T) {
	ctx := context.Background()
	w := calmWorld(t, "a", "b")
	a, b := w.live[0], w.live[1]
	must.Eq(t, 10, w.round(t, a, 10))
	must.Eq(t, 0, w.round(t, b, 5))
	for range 10 {
		a.escrow.Finish("a")
	}
	must.NoError(t, a.escrow.Return(ctx))
	must.False(t, a.escrow.TryStart("a"))
	must.True(t, a.escrow.TryStart(""))
	must.NoError(t, a.members.Leave(ctx))
	a.ends = nil
	must.Eq(t, 5, w.round(t, b, 5))
	w.check(t)
	must.NoError(t, b.escrow.DeclareZoneLost(ctx, "z"))
	must.NoError(t, b.escrow.Rebalance(ctx))
	w.check(t)
}

// Guards against a member unknown to others accepting release notes, and against a dead
// member keeping a new one from it for ever.
func TestNewMemberAcceptsAfterAcknowledgement(t *testing.T) {
	ctx := context.Background()
	w := calmWorld(t, "a", "b")
	a, b := w.live[0], w.live[1]
	must.NoError(t, b.members.Renew(ctx))
	must.False(t, b.members.MayAccept())
	must.NoError(t, a.members.Renew(ctx))
	must.NoError(t, b.members.Renew(ctx))
	must.True(t, b.members.MayAccept())
	c := w.start("c", "z")
	must.NoError(t, c.members.Register(ctx))
	must.NoError(t, b.members.Renew(ctx))
	must.NoError(t, c.members.Renew(ctx))
	must.False(t, c.members.MayAccept())
	w.gone["a"] = true
	must.NoError(t, c.members.Renew(ctx))
	must.True(t, c.members.MayAccept())
	removed, err := c.members.Remove(ctx, "a", rowstore.Check{Ref: rowstore.Ref{Table: "leases", Key: "fleet"}})
	must.NoError(t, err)
	must.True(t, removed)
	removed, err = c.members.Remove(ctx, "b", rowstore.Check{Ref: rowstore.Ref{Table: "leases", Key: "fleet"}})
	must.NoError(t, err)
	must.False(t, removed)
	var missing *rowstore.NotRegisteredError
	must.True(t, errors.As(a.members.Renew(ctx), &missing))
}

func BenchmarkEscrowStart(b *testing.B) {
	w := newEscrowWorld(nil)
	w.calm = true
	w.setLimit(1000)
	p := w.start("a", "z")
	p.members.Clock, p.escrow.Clock = clock.Clock{}, clock.Clock{}
	_ = p.members.Register(context.Background())
	for range 9 {
		for range 1000 {
			p.escrow.TryStart("a")
		}
		_ = p.escrow.Rebalance(context.Background())
	}
	for range 1000 {
		p.escrow.Finish("a")
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if p.escrow.TryStart("a") {
				p.escrow.Finish("a")
			}
		}
	})
}

// Guards against a member that was never listed, because the list lags, being taken for gone.
func TestPresence(t *testing.T) {
	p := &rowstore.Presence{}
	must.False(t, p.Gone("a"))
	p.Observe([]rowstore.Listed{{ID: "a"}})
	must.False(t, p.Gone("a"))
	p.Observe(nil)
	must.True(t, p.Gone("a"))
	must.False(t, p.Gone("b"))
}

// Guards against a member that starves while others hold the whole limit.
func TestEscrowSharesByDemand(t *testing.T) {
	w := calmWorld(t, "a", "b")
	must.NoError(t, w.start("c", "y").members.Register(context.Background()))
	must.Eq(t, 10, w.round(t, w.live[0], 10))
	for range 6 { // every member wants 10; requests last less than a round
		for _, p := range w.live {
			w.round(t, p, 10)
			w.now += longest
			w.settle()
			must.NoError(t, p.members.Renew(context.Background()))
		}
	}
	for _, p := range w.live {
		must.GreaterEq(t, 2, p.escrow.Portions()["a"].Slots)
	}
}
