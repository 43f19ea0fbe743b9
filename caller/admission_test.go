package caller_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
)

// bubbleClock returns a clock that follows the virtual time of a synctest bubble.
func bubbleClock() clock.Clock {
	start := time.Now()
	return clock.Clock{NowFunc: func() clock.Millis { return clock.MillisOf(time.Since(start)) }}
}

func request(c clock.Clock, pool fleet.PoolID, team fleet.TeamID, wait clock.Millis) *caller.Request {
	return &caller.Request{
		Queue: fleet.Queue{ID: "q", Pool: pool, MaxWaiting: 1000}, Team: team,
		Arrived: c.Now(), Deadline: c.Now() + wait,
	}
}

// Guards against slots that leak or are given to two requests, and against requests that are
// neither started nor refused, when callers cancel and deadlines pass while other requests run.
func TestAdmissionCountsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running, peak, ended, refused atomic.Int64
		c := bubbleClock()
		a := &caller.Admission{Clock: c, Slots: func(fleet.PoolID) fleet.Slots { return 5 }}
		var wg sync.WaitGroup
		for i := range 300 {
			ctx, cancel := context.WithCancel(t.Context())
			wg.Go(func() {
				defer cancel()
				release, err := a.Acquire(ctx, request(c, "p", teamID(i%3), clock.Millis(100+i*10)))
				if err != nil {
					var p *caller.Problem
					must.True(t, errors.As(err, &p))
					must.Eq(t, caller.NotRun, p.Outcome)
					refused.Add(1)
					return
				}
				peak.Store(max(peak.Load(), running.Add(1)))
				time.Sleep(50 * time.Millisecond)
				running.Add(-1)
				ended.Add(1)
				release(caller.Ran)
			})
			if i%5 == 0 {
				time.AfterFunc(70*time.Millisecond, cancel)
			}
		}
		synctest.Wait()
		must.Eq(t, 295, waitingOf(a, "p"))
		must.Eq(t, 5, int(a.Summary()["p"].InFlight))
		time.Sleep(71 * time.Millisecond)
		synctest.Wait()
		must.Less(t, 250, waitingOf(a, "p"))
		wg.Wait()
		must.Eq(t, 300, ended.Load()+refused.Load())
		must.Eq(t, 5, peak.Load())
		must.Greater(t, 100, ended.Load())
		must.MapEmpty(t, a.Summary())
	})
}

func waitingOf(a *caller.Admission, p fleet.PoolID) (n int) {
	for _, l := range a.Summary()[p].Teams {
		n += l.Waiting
	}
	return n
}

// Guards against a request that stays blocked at its team's limit although it may start, because
// a request in another pool ended, the team's portion grew, or the pool got more slots.
func TestAdmissionStartsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slots, limit, running atomic.Int64
		slots.Store(1)
		limit.Store(1)
		c := bubbleClock()
		a := &caller.Admission{
			Clock: c, Slots: func(fleet.PoolID) fleet.Slots { return fleet.Slots(slots.Load()) },
			TryStart: func(fleet.TeamID) bool {
				if running.Load() >= limit.Load() {
					return false
				}
				running.Add(1)
				return true
			},
			Finish: func(fleet.TeamID) { running.Add(-1) },
		}
		var started atomic.Int64
		start := func(pool fleet.PoolID) {
			release, err := a.Acquire(t.Context(), request(c, pool, "t", 60_000))
			must.NoError(t, err)
			started.Add(1)
			time.Sleep(30 * time.Second)
			release(caller.Ran)
		}
		release, err := a.Acquire(t.Context(), request(c, "p", "t", 60_000))
		must.NoError(t, err)
		expect := func(n int, why string) {
			synctest.Wait()
			must.Eq(t, n, int(started.Load()), must.Sprint(why))
		}
		go start("other")
		expect(0, "at the limit")
		release(caller.Ran)
		expect(1, "a request in another pool ended")
		go start("p")
		expect(1, "at the limit")
		limit.Store(2)
		a.RefreshAll()
		expect(2, "a larger portion")
		limit.Store(3)
		go start("p")
		expect(2, "no slot")
		slots.Store(2)
		a.RefreshAll()
		expect(3, "more slots")
		must.Eq(t, 2, a.Portions()["p"])
		time.Sleep(time.Minute)
	})
}

// Guards against a waiting request that is refused only when its deadline has passed, although
// the known run times show earlier that it cannot be met, and against a request that keeps its
// place after its caller cancelled it.
func TestAdmissionRefusesWaitingEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := bubbleClock()
		a := &caller.Admission{Clock: c, Slots: func(fleet.PoolID) fleet.Slots { return 1 }}
		for range 10 {
			release, err := a.Acquire(t.Context(), request(c, "p", "t", 5_000))
			must.NoError(t, err)
			time.Sleep(400 * time.Millisecond)
			release(caller.Ran)
		}
		release, err := a.Acquire(t.Context(), request(c, "p", "t", 5_000))
		must.NoError(t, err)
		before := c.Now()
		_, err = a.Acquire(t.Context(), request(c, "p", "t", 1_000))
		var p *caller.Problem
		must.True(t, errors.As(err, &p))
		must.Eq(t, "deadline", p.Reason)
		must.Between(t, 600, c.Now()-before, 750)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err = a.Acquire(ctx, request(c, "p", "t", 1_000))
		must.True(t, errors.As(err, &p))
		must.Eq(t, "cancelled", p.Reason)
		release(caller.Ran)
	})
}
