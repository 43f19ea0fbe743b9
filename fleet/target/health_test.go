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

// fail answers everything at once with status 500.
func fail(_ int, c *peerConn) {
	for {
		id, _, ok := c.request()
		if !ok {
			return
		}
		c.write("HTTP/1.1 500 Failed\nCitronknot-Request-Id: %s\nContent-Length: 0\n\n", id)
	}
}

func ejected(f *fixture) (ids []fleet.InstanceID) {
	for _, s := range f.State() {
		if s.EjectedUntil > 0 {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// A target that fails everything at once must not attract requests, however fast it is, and
// ejections must stay within the availability budget (I1).
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fail, fail, fail, serve, serve, serve, serve, serve)
		failed := 0
		for n := 0; n < 500 || n < 5000 && len(ejected(f)) == 0; n++ { // ends during an ejection
			time.Sleep(50 * time.Millisecond) // lets the penalty for failures fade
			o := f.forward(call{})
			must.NoError(t, o.err)
			if o.Code == 500 {
				failed++
			}
			must.LessEq(t, 1, len(ejected(f)))
		}
		test.Len(t, 1, ejected(f))
		test.Less(t, 50, failed) // of 500 or a few more; three of eight targets fail

		s := *f.snapshot.Load()
		s.MaxEjected = 0
		f.snapshot.Store(&s)
		must.NoError(t, f.forward(call{}).err)
		test.SliceEmpty(t, ejected(f))
	})
}

// Requests that fail on every target say nothing about a target.
func TestNoEjectionWhenAllFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fail, fail, fail)
		s := *f.snapshot.Load()
		s.MaxEjected = 3
		f.snapshot.Store(&s)
		for range 200 {
			must.Eq(t, 500, f.forward(call{}).Code)
		}
		test.LessEq(t, 1, len(ejected(f))) // before the others are seen to fail too
	})
}

// A target that returns starts with one request and gets more only after it has answered.
func TestSlowStart(t *testing.T) {
	var h target.Health
	now := clock.Millis(0)
	for range 3 {
		now++
		h.Failed(now)
	}
	must.True(t, h.Outlier(0))
	h.Eject(now)
	test.True(t, h.Ejected(now+1999))
	now += 2000
	test.False(t, h.Ejected(now))
	test.Eq(t, 1, h.Limit(now+60_000, 8))
	h.Succeeded(now)
	test.Eq(t, 1, h.Limit(now, 8))
	test.Eq(t, 4, h.Limit(now+2500, 8))
	test.Eq(t, 8, h.Limit(now+5000, 8))
	h.Succeeded(now + 5000)
	test.Eq(t, 8, h.Limit(now+5001, 8))
	h.Failed(now + 6000)
	test.False(t, h.Outlier(0.5))
	test.Less(t, h.Penalty(now+6000), h.Penalty(now+30_000))
}

// The parts of all members must add up to the slots, or the guards refuse.
func TestPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, members := rapid.IntRange(0, 64).Draw(t, "slots"), rapid.IntRange(1, 200).Draw(t, "members")
		offset, sum := rapid.IntRange(0, 1000).Draw(t, "offset"), 0
		for rank := range members {
			sum += target.Part(slots, rank, members, offset)
		}
		if sum != slots {
			t.Fatalf("parts add up to %d of %d", sum, slots)
		}
	})
}

// Choose must find a usable target if there is one, and never return another.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOf(rapid.Custom(func(t *rapid.T) target.Load {
			return target.Load{
				InFlight: rapid.IntRange(0, 4).Draw(t, "in flight"), Slots: 4, Part: 4, Limit: rapid.IntRange(0, 4).Draw(t, "limit"),
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

// A target that left the snapshot gets no work from the next selection on (I9), and targets of
// other zones get work only when those of the own zone cannot take it.
func TestLeavingAndZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, serve, serve, serve)
		s := *f.snapshot.Load()
		s.Targets[2].Zone = "other"
		for range 50 {
			must.NoError(t, f.forward(call{}).err)
		}
		test.Eq(t, 0, f.net.dials("c:1"))
		before := f.net.dials("a:1")
		left := s
		left.Targets = s.Targets[1:]
		f.snapshot.Store(&left)
		for range 50 {
			must.NoError(t, f.forward(call{}).err)
		}
		test.Eq(t, before, f.net.dials("a:1"))
		test.Len(t, 2, f.State())
		left.Targets = s.Targets[2:]
		only := left
		f.snapshot.Store(&only)
		must.NoError(t, f.forward(call{}).err)
		test.Eq(t, 1, f.net.dials("c:1"))
		test.Eq(t, 8, f.Capacity("p"))
		f.SetPeers(map[fleet.InstanceID]int{"c": 3})
		test.Eq(t, "[c 0 3]", fmt.Sprint([]any{f.State()[0].ID, f.State()[0].InFlight, f.State()[0].Peers}))
		time.Sleep(4 * time.Second)
	})
}
