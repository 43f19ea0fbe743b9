package rowstore_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// Guards against two members that hold a lease at once under lost and delayed writes, pauses at
// every call, suspended machines and wall clock jumps, and against a write of a former holder
// that passes its fence.
func TestLeaseHasOneHolder(t *testing.T) {
	checkProperty(t, 3000, func(t *rapid.T) {
		ctx := context.Background()
		w := &simulation{t: t}
		clocks := make([]*skewedClock, 3)
		leases := make([]*rowstore.Lease, 3)
		held := 0
		for i := range leases {
			clocks[i] = &skewedClock{sim: w, nowOffset: clock.Millis(i) * 100_000, wallOffset: clock.Millis(i) * 7000}
			leases[i] = &rowstore.Lease{Table: w.table(), Clock: clocks[i].clock(), Name: "fleet", Self: fleet.MemberID(rune('a' + i))}
		}
		pick := func() int { return rapid.IntRange(0, 2).Draw(t, "member") }
		advance := func(*rapid.T) {
			w.now += rapid.SampledFrom([]clock.Millis{10, 700, 2000, 2000, 6000, 7000}).Draw(t, "advance")
		}
		jump := func(*rapid.T) {
			clocks[pick()].wallOffset += clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "jump"))
		}
		back := func(*rapid.T) {
			clocks[pick()].wallOffset -= clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "back"))
		}
		suspend := func(*rapid.T) {
			d := clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "suspend"))
			w.now += d
			clocks[pick()].nowOffset -= d
		}
		step := func(*rapid.T) { _ = leases[pick()].Step(ctx) }
		release := func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
				_ = leases[pick()].Release(ctx)
			}
		}
		w.concurrent = func() {
			advance(t)
			if rapid.Bool().Draw(t, "other") {
				step(t)
			}
			w.applyDelayed()
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": advance, "jump": jump, "back": back, "suspend": suspend, "step": step, "step2": step, "release": release,
			"apply": func(*rapid.T) { w.applyDelayed() },
			"": func(t *rapid.T) {
				n := 0
				for _, l := range leases {
					if _, ok := l.Held(); ok {
						n++
						held++
					}
				}
				must.LessEq(t, 1, n)
			},
		})
	})
}

// Guards against a lease that no member acquires after its holder died, and against a former
// holder writing with its old fence.
func TestLeaseMovesAfterTermAndFences(t *testing.T) {
	ctx := context.Background()
	w := &simulation{faultFree: true}
	c := (&skewedClock{sim: w}).clock()
	a := &rowstore.Lease{Table: w.table(), Clock: c, Name: "fleet", Self: "a"}
	b := &rowstore.Lease{Table: w.table(), Clock: c, Name: "fleet", Self: "b"}
	must.NoError(t, a.Step(ctx))
	old, ok := a.Held()
	must.True(t, ok)
	for range 4 {
		must.NoError(t, b.Step(ctx))
		_, ok = b.Held()
		must.False(t, ok)
		w.now += 2000
	}
	must.NoError(t, b.Step(ctx))
	_, ok = b.Held()
	must.True(t, ok)
	_, ok = a.Held()
	must.False(t, ok)
	_, err := w.commit(rowstore.Transaction{Checks: []rowstore.Check{old}})
	must.Error(t, err)
}

// Guards against a holder that counts its term from the response to a renewal: an observer may
// have read the row since it was written.
func TestLeaseTermCountsFromSending(t *testing.T) {
	w := &simulation{faultFree: true}
	slow := w.table()
	slow.Transact = func(ctx context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
		defer func() { w.now += 5000 }()
		return w.transact(ctx, tx)
	}
	l := &rowstore.Lease{Table: slow, Clock: (&skewedClock{sim: w}).clock(), Name: "fleet", Self: "a"}
	must.NoError(t, l.Step(context.Background()))
	_, ok := l.Held()
	must.True(t, ok)
	w.now += 1000
	_, ok = l.Held()
	must.False(t, ok)
}
