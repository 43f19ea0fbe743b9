package target_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/fleet/target"
)

// failAll responds to every request immediately with status 500.
func failAll(_ int, c *targetConn) {
	for {
		id, _, ok := c.request()
		if !ok {
			return
		}
		c.write("HTTP/1.1 500 Failed\nCitronknot-Request-Id: %s\nContent-Length: 0\n\n", id)
	}
}

// ejected returns the targets that are ejected now.
func ejected(f *fixture) (ids []fleet.InstanceID) {
	for _, s := range f.State() {
		if s.EjectedUntil > 0 {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// A target that fails all requests immediately always has free slots. It must not attract
// requests for that reason, and ejections must stay within the availability budget (invariant
// I1).
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, failAll, failAll, failAll, respondToAll, respondToAll, respondToAll, respondToAll, respondToAll)
		failed := 0
		for n := 0; n < 500 || n < 5000 && len(ejected(f)) == 0; n++ { // continues until a target is ejected
			time.Sleep(50 * time.Millisecond) // lets the penalty for failures decrease
			o := f.forward(call{})
			must.NoError(t, o.err)
			if o.Code == 500 {
				failed++
			}
			must.LessEq(t, 1, len(ejected(f)))
		}
		test.Len(t, 1, ejected(f))
		test.Less(t, 50, failed) // of at least 500 requests; three of eight targets fail

		snapshot := *f.snapshot.Load()
		snapshot.MaxEjected = 0
		f.snapshot.Store(&snapshot)
		must.NoError(t, f.forward(call{}).err)
		test.SliceEmpty(t, ejected(f))
	})
}

// Requests that fail on every target must not lead to ejections.
func TestNoEjectionWhenAllFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, failAll, failAll, failAll)
		snapshot := *f.snapshot.Load()
		snapshot.MaxEjected = 3
		f.snapshot.Store(&snapshot)
		for range 200 {
			must.Eq(t, 500, f.forward(call{}).Code)
		}
		test.LessEq(t, 1, len(ejected(f))) // before the others have failed too
	})
}

// After an ejection, a target starts with one request and gets more only after a success.
func TestSlowStart(t *testing.T) {
	var h target.Health
	now := clock.Millis(0)
	for range 3 {
		now++
		h.RecordFailure(now)
	}
	must.True(t, h.Outlier(0))
	h.Eject(now)
	test.True(t, h.Ejected(now+1999))
	now += 2000
	test.False(t, h.Ejected(now))
	test.Eq(t, 1, h.Limit(now+60_000, 8))
	h.RecordSuccess(now)
	test.Eq(t, 1, h.Limit(now, 8))
	test.Eq(t, 4, h.Limit(now+2500, 8))
	test.Eq(t, 8, h.Limit(now+5000, 8))
	h.RecordSuccess(now + 5000)
	test.Eq(t, 8, h.Limit(now+5001, 8))
	h.RecordFailure(now + 6000)
	test.False(t, h.Outlier(0.5))
	test.Less(t, h.Penalty(now+6000), h.Penalty(now+30_000))
}

// The own slots of all members must add up to the slots of the target. Otherwise the guard
// refuses requests.
func TestOwnSlotsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, members := rapid.IntRange(0, 64).Draw(t, "slots"), rapid.IntRange(1, 200).Draw(t, "members")
		offset, sum := rapid.IntRange(0, 1000).Draw(t, "offset"), 0
		for rank := range members {
			sum += target.OwnSlots(slots, rank, members, offset)
		}
		if sum != slots {
			t.Fatalf("own slots add up to %d of %d", sum, slots)
		}
	})
}

// Choose must return a usable target if there is one, and never an unusable one.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOf(rapid.Custom(func(t *rapid.T) target.Load {
			return target.Load{
				InFlight: rapid.IntRange(0, 4).Draw(t, "in flight"), Slots: 4, OwnSlots: 4, Limit: rapid.IntRange(0, 4).Draw(t, "limit"),
				Penalty: rapid.Float64Range(0, 4).Draw(t, "penalty"), Ejected: rapid.Bool().Draw(t, "ejected"),
			}
		})).Draw(t, "loads")
		usable := 0
		for _, l := range loads {
			if l.Usable() {
				usable++
			}
		}
		i := target.Choose(len(loads), func(i int) target.Load { return loads[i] }, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "random") })
		if (i >= 0) != (usable > 0) || i >= 0 && !loads[i].Usable() {
			t.Fatalf("chose %d among %d usable targets", i, usable)
		}
	})
}

// A target that was removed from the snapshot gets no further request (invariant I9). Targets of
// other zones get requests only if none in the zone of the member is usable.
func TestSnapshotChangesAndZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, respondToAll, respondToAll, respondToAll)
		snapshot := *f.snapshot.Load()
		snapshot.Targets[2].Zone = "other"
		for range 50 {
			must.NoError(t, f.forward(call{}).err)
		}
		test.Eq(t, 0, f.network.dials("c:1"))
		before := f.network.dials("a:1")
		changed := snapshot
		changed.Targets = snapshot.Targets[1:]
		f.snapshot.Store(&changed)
		for range 50 {
			must.NoError(t, f.forward(call{}).err)
		}
		test.Eq(t, before, f.network.dials("a:1"))
		test.Len(t, 2, f.State())
		changed.Targets = snapshot.Targets[2:]
		reduced := changed
		f.snapshot.Store(&reduced)
		must.NoError(t, f.forward(call{}).err)
		test.Eq(t, 1, f.network.dials("c:1"))
		test.Eq(t, 8, f.Capacity("p"))
		f.SetPeerInFlight(map[fleet.InstanceID]int{"c": 3})
		test.Eq(t, "[c 0 3]", fmt.Sprint([]any{f.State()[0].ID, f.State()[0].InFlight, f.State()[0].Peers}))
		time.Sleep(4 * time.Second)
	})
}
