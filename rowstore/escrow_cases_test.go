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

// newFaultFreeEscrow returns a simulation without faults of members that use a team with a limit
// of 10.
func newFaultFreeEscrow(t *testing.T, ids ...fleet.MemberID) *escrowSimulation {
	t.Helper()
	w := newEscrowSimulation(nil)
	w.faultFree = true
	for _, id := range ids {
		must.NoError(t, w.start(id, "z").members.Register(context.Background()))
	}
	return w
}

func (w *escrowSimulation) round(t *testing.T, p *process, starts int) (started int) {
	t.Helper()
	for range 2 {
		for range starts - started {
			if p.escrow.TryStart("a") {
				p.requestEnds = append(p.requestEnds, w.now+longestDeadline)
				started++
			}
		}
		must.NoError(t, p.escrow.Rebalance(context.Background()))
	}
	return started
}

// Guards against a portion that is given to others while requests of its dead member may still
// run, and against one that is never given back.
func TestEscrowReclaimsAfterTermAndLongestDeadline(t *testing.T) {
	tests := []struct {
		name  string
		gone  bool
		wait  clock.Millis
		renew bool // the member taken for dead renews while the reclaim is in flight
		want  int
	}{
		{"no renewal", false, rowstore.EscrowTerm + rowstore.EscrowDrift + longestDeadline, false, 5},
		{"gone from the list", true, longestDeadline, false, 5},
		{"renewed meanwhile", false, rowstore.EscrowTerm + rowstore.EscrowDrift + longestDeadline, true, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newFaultFreeEscrow(t, "a", "b")
			a, b := w.processes[0], w.processes[1]
			must.Eq(t, 10, w.round(t, a, 10))
			w.gone["a"] = tc.gone
			must.NoError(t, b.members.Renew(context.Background()))
			w.now += tc.wait - 1
			must.NoError(t, b.members.Renew(context.Background()))
			must.Eq(t, 0, w.round(t, b, 5))
			a.escrow.Finish("a")
			must.Eq(t, tc.gone, a.escrow.TryStart("a")) // its term has ended, unless the platform's list shows it as gone
			w.now++
			must.NoError(t, b.members.Renew(context.Background()))
			transact := b.escrow.Table.Transact
			b.escrow.Table.Transact = func(ctx context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
				if tc.renew {
					must.NoError(t, a.members.Renew(ctx))
				}
				return transact(ctx, tx)
			}
			must.Eq(t, tc.want, w.round(t, b, 5))
		})
	}
}

// Guards against a member that raises its portion again because a read does not show its
// lowering yet: the lowering was delayed and takes effect after the read.
func TestEscrowKeepsSmallerPortionWhileUnconfirmed(t *testing.T) {
	ctx := context.Background()
	w := newFaultFreeEscrow(t, "a", "b")
	a, b := w.processes[0], w.processes[1]
	must.Eq(t, 10, w.round(t, a, 10))
	for range 10 {
		a.escrow.Finish("a")
	}
	_ = a.escrow.Rebalance(ctx) // the peak of the last round still counts
	b.escrow.TryStart("a")
	transact := a.escrow.Table.Transact
	var delayed rowstore.Transaction
	unavailable := &rowstore.UnavailableError{Op: "transaction", OutcomeUnknown: true, Err: errFault}
	a.escrow.Table.Transact = func(_ context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
		delayed = tx
		return nil, unavailable
	}
	must.Error(t, a.escrow.Rebalance(ctx))
	low := a.escrow.Portions()["a"].Slots
	must.Less(t, 10, low)
	a.escrow.Table.Transact = func(context.Context, rowstore.Transaction) ([]fleet.Version, error) { return nil, unavailable }
	for range 20 {
		a.escrow.TryStart("a") // demand for the whole portion
	}
	must.Error(t, a.escrow.Rebalance(ctx))
	must.LessEq(t, low, a.escrow.Portions()["a"].Slots)
	_, err := w.commit(delayed)
	must.NoError(t, err)
	a.escrow.Table.Transact = transact
	w.check(t)
}

// Guards against a portion that falls below the number of requests that run within it, when
// requests start while a round decides to lower it.
func TestEscrowStartsDuringRound(t *testing.T) {
	ctx := context.Background()
	w := newFaultFreeEscrow(t, "a", "b")
	a, b := w.processes[0], w.processes[1]
	must.Eq(t, 10, w.round(t, a, 10))
	for range 10 {
		a.escrow.Finish("a")
	}
	must.NoError(t, a.escrow.Rebalance(ctx)) // the peak of the last round still counts
	must.Eq(t, 0, w.round(t, b, 5))
	armed := false
	read, now := a.escrow.Table.Read, a.members.Clock.NowFunc
	a.escrow.Table.Read = func(ctx context.Context, q rowstore.Query) ([]rowstore.Row, error) {
		if armed = len(q.Scans) == 0; !armed { // the round has to decide without the rows of other zones
			return nil, errFault
		}
		return read(ctx, q)
	}
	a.members.Clock.NowFunc = func() clock.Millis {
		if armed { // the round checks whether b is dead
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
	w := newFaultFreeEscrow(t, "a", "b")
	var wg sync.WaitGroup
	done := make(chan struct{})
	for _, p := range w.processes {
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
		for _, p := range w.processes {
			_ = p.escrow.Rebalance(context.Background())
		}
	}
	close(done)
	wg.Wait()
	w.check(t)
}

// Guards against portions that stay with a member after a planned stop, and against requests
// that start after it.
func TestEscrowReturnAndDeclareZoneLost(t *testing.T) {
	ctx := context.Background()
	w := newFaultFreeEscrow(t, "a", "b")
	a, b := w.processes[0], w.processes[1]
	must.Eq(t, 10, w.round(t, a, 10))
	must.Eq(t, 0, w.round(t, b, 5))
	for range 10 {
		a.escrow.Finish("a")
	}
	must.NoError(t, a.escrow.Return(ctx))
	must.False(t, a.escrow.TryStart("a"))
	must.True(t, a.escrow.TryStart(""))
	must.NoError(t, a.members.Leave(ctx))
	a.requestEnds = nil
	must.Eq(t, 5, w.round(t, b, 5))
	w.check(t)
	must.NoError(t, b.escrow.DeclareZoneLost(ctx, "z"))
	must.NoError(t, b.escrow.Rebalance(ctx))
	w.check(t)
}

// Guards against a member that accepts release notes before the others have read about it, and
// against a dead member that keeps a new one from accepting them for ever.
func TestNewMemberAcceptsAfterAcknowledgement(t *testing.T) {
	ctx := context.Background()
	w := newFaultFreeEscrow(t, "a", "b")
	a, b := w.processes[0], w.processes[1]
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
	w := newEscrowSimulation(nil)
	w.faultFree = true
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

// Guards against taking a member for gone that was never listed, because the list lags.
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
	w := newFaultFreeEscrow(t, "a", "b")
	must.NoError(t, w.start("c", "y").members.Register(context.Background()))
	must.Eq(t, 10, w.round(t, w.processes[0], 10))
	for range 6 { // every member wants 10; requests last less than a round
		for _, p := range w.processes {
			w.round(t, p, 10)
			w.now += longestDeadline
			w.finishDue()
			must.NoError(t, p.members.Renew(context.Background()))
		}
	}
	for _, p := range w.processes {
		must.GreaterEq(t, 2, p.escrow.Portions()["a"].Slots)
	}
}
