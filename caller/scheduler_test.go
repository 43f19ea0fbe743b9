package caller_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
)

// Guards against requests of a team that start out of deadline order, and against a queue of one
// team that grows without limit or uses up the capacity of another team or queue.
func TestQueueOrderAndBound(t *testing.T) {
	c := newCluster(1, 1, unevenShares(2))
	s := &c.members[0].scheduler
	later, _ := c.add(0, "t000", fleet.Queue{MaxWaiting: 1000}, 3_000)
	sooner, _ := c.add(0, "t000", fleet.Queue{MaxWaiting: 1000}, 1_000)
	must.Eq(t, sooner, s.Next(c.now))
	must.Nil(t, s.Next(c.now))
	s.Done(c.now, sooner, caller.Ran)
	must.Eq(t, later, s.Next(c.now))
	for range 1000 {
		_, p := c.add(0, "t000", fleet.Queue{}, 3_000)
		must.Nil(t, p)
	}
	_, p := c.add(0, "t000", fleet.Queue{}, 3_000)
	must.Eq(t, "queue_full", p.Reason)
	must.Eq(t, caller.NotRun, p.Outcome)
	_, p = c.add(0, "t001", fleet.Queue{}, 3_000)
	must.Nil(t, p)
	_, p = c.add(0, "t000", fleet.Queue{Urgent: true}, 3_000)
	must.Nil(t, p)
}

// Guards against mass cancellations that leave requests in the queue, where they would take
// capacity and be chosen to start.
func TestMassCancellation(t *testing.T) {
	c := newCluster(1, 4, unevenShares(2))
	s := &c.members[0].scheduler
	var cancelled []*caller.Request
	for range 1000 {
		r, _ := c.add(0, "t000", fleet.Queue{}, 5_000)
		cancelled = append(cancelled, r)
	}
	other, _ := c.add(0, "t001", fleet.Queue{}, 9_000)
	for _, r := range cancelled {
		must.True(t, s.Remove(r))
		must.False(t, s.Remove(r))
	}
	must.Eq(t, 1, s.Waiting())
	must.Eq(t, other, s.Next(c.now))
	_, p := c.add(0, "t000", fleet.Queue{}, 5_000)
	must.Nil(t, p)
}

// Guards against a request that fails on every target and is started again without limit.
func TestRefusedAfterFailedStarts(t *testing.T) {
	c := newCluster(1, 1, unevenShares(1))
	s := &c.members[0].scheduler
	r, p := c.add(0, "t000", fleet.Queue{}, 5_000)
	for p == nil {
		must.Eq(t, r, s.Next(c.now))
		s.Done(c.now, r, caller.NotRun)
		r.FailedStarts++
		p = s.Add(c.now, r)
	}
	must.Eq(t, 3, r.FailedStarts)
	must.Eq(t, "set_aside", p.Reason)
	must.Eq(t, caller.NotRun, p.Outcome)
}

// Guards against a team at its limit that blocks other teams, is tried at every decision, or
// stays blocked after one of its requests ended.
func TestTeamAtLimitIsSkipped(t *testing.T) {
	c := newCluster(1, 10, unevenShares(2))
	s := &c.members[0].scheduler
	tries, running := 0, 0
	s.TryStart = func(id fleet.TeamID) bool {
		if id != "t000" {
			return true
		}
		tries++
		if running == 2 {
			return false
		}
		running++
		return true
	}
	for range 20 {
		_, _ = c.add(0, "t000", fleet.Queue{}, 60_000)
		_, _ = c.add(0, "t001", fleet.Queue{}, 60_000)
	}
	var first *caller.Request
	started := map[fleet.TeamID]int{}
	for r := s.Next(c.now); r != nil; r = s.Next(c.now) {
		started[r.Team]++
		if r.Team == "t000" {
			first = r
		}
	}
	must.Eq(t, map[fleet.TeamID]int{"t000": 2, "t001": 8}, started)
	must.Eq(t, 3, tries)
	running--
	s.Done(c.now, first, caller.Ran)
	must.Eq(t, "t000", s.Next(c.now).Team)
	must.Eq(t, 4, tries)
}

// Guards against early refusals with too few or outdated run times, and of requests whose
// deadline can be met: with run times of 100 ms on 4 slots, n waiting requests of a team cannot
// end before (n/4+1)*100 ms even if the team has all slots.
func TestEarlyRefusalIsCorrect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(1, 4, unevenShares(2))
		s := &c.members[0].scheduler
		ran := rapid.IntRange(0, 20).Draw(t, "ran")
		for range ran {
			_, p := c.add(0, "t000", fleet.Queue{}, 5_000)
			must.Nil(t, p)
		}
		for s.Waiting() > 0 || s.Running() > 0 {
			c.advance()
		}
		if rapid.Bool().Draw(t, "pause") {
			c.now += 10_001
			ran = 0
		}
		c.exchange()
		refused := 0
		for range 60 {
			wait := clock.Millis(rapid.IntRange(1, 1_500).Draw(t, "wait"))
			before := s.Waiting()
			_, p := c.add(0, "t000", fleet.Queue{}, wait)
			if p == nil {
				continue
			}
			refused++
			must.GreaterEq(t, 8, ran)
			must.Eq(t, caller.NotRun, p.Outcome)
			must.Greater(t, wait, clock.Millis(before/4+1)*100)
		}
		must.True(t, ran < 8 || refused > 0, must.Sprint("no request was refused early"))
		c.started = func(r *caller.Request) {
			must.True(t, ran < 8 || r.Deadline >= c.now+100, must.Sprint("started too late to end in time"))
		}
		for s.Waiting() > 0 {
			c.advance()
			s.Expire(c.now)
		}
	})
}

// Guards against urgent requests that wait behind a pool full of runs of up to a second, against
// more than a quarter of the slots going to them ahead of the fair order, and against many of
// them from a team with a small share moving the virtual time at which other teams enter the
// order.
func TestUrgentRequestsStartAhead(t *testing.T) {
	for _, slots := range []fleet.Slots{2, 8, 80} {
		c := newCluster(1, slots, unevenShares(7))
		c.runTime = func(*caller.Request) clock.Millis { return 500 + clock.Millis(c.random.IntN(500)) }
		var longest clock.Millis
		starts := map[bool]float64{}
		c.started = func(r *caller.Request) {
			starts[r.Queue.Urgent]++
			if r.Queue.Urgent {
				longest = max(longest, c.now-r.Arrived)
			}
		}
		everywhere := func(team, _ int) bool { return team < 6 }
		c.backlog(3_000, 50, everywhere)
		for range 10 {
			_, p := c.add(0, "t005", fleet.Queue{Urgent: true}, 60_000)
			must.Nil(t, p)
			c.backlog(c.now+2_000, 50, everywhere)
		}
		must.Less(t, 2_800, longest)
		clear(starts)
		for range 900 {
			_, _ = c.add(0, "t005", fleet.Queue{Urgent: true}, 600_000)
		}
		c.backlog(c.now+20_000, 50, everywhere)
		// t005 has a fifteenth of the shares, which it may also use for urgent requests.
		must.LessEq(t, 0.25+1.0/15+0.1, starts[true]/(starts[true]+starts[false]))
		newcomer, _ := c.add(0, "t006", fleet.Queue{}, 60_000)
		c.backlog(c.now+5_000, 50, everywhere)
		must.False(t, c.members[0].scheduler.Remove(newcomer), must.Sprint("a new team waits behind the urgent requests of another team"))
		must.GreaterEq(t, 0.15, starts[true]/(starts[true]+starts[false]))
	}
}

// Guards against an unused share that stays idle, against its team waiting long to get it back,
// and against that team getting more than its share as compensation for the time in which it did
// not use it.
func TestUnusedShareGoesToOtherTeams(t *testing.T) {
	both := func(int, int) bool { return true }
	c := newCluster(3, 60, unevenShares(2))
	c.runTime = func(*caller.Request) clock.Millis { return 1_000 }
	c.backlog(2_000, 60, both)
	for _, m := range c.members {
		cancelWaiting(m, "t000")
	}
	c.backlog(6_000, 60, func(team, _ int) bool { return team == 1 })
	clear(c.slotTime)
	c.backlog(10_000, 60, func(team, _ int) bool { return team == 1 })
	must.Eq(t, 4_000*60, c.slotTime["t001"])
	c.backlog(13_000, 60, both)
	for _, maxFraction := range []float64{0.72, 0.63, 0.63, 0.63, 0.63} {
		clear(c.slotTime)
		c.backlog(c.now+2_000, 60, both)
		must.Between(t, 0.57, c.slotTime["t000"]/(c.slotTime["t000"]+c.slotTime["t001"]), maxFraction)
	}
}

// cancelWaiting removes the waiting requests of a team.
func cancelWaiting(m *member, id fleet.TeamID) {
	for _, r := range m.added {
		if r.Team == id && m.scheduler.Remove(r) {
			m.waiting[id]--
		}
	}
}

// Guards against a team that is held back for as long as it has used slots for which no other
// team had requests.
func TestTeamIsNotStarvedAfterUsingIdleSlots(t *testing.T) {
	c := newCluster(1, 60, unevenShares(2))
	c.runTime = func(r *caller.Request) clock.Millis {
		if r.Team == "t001" && r.Arrived < 9_000 {
			return 8_000
		}
		return 100
	}
	last, longest := clock.Millis(0), clock.Millis(0)
	c.started = func(r *caller.Request) {
		if r.Team == "t001" {
			last, longest = c.now, max(longest, c.now-last)
		}
	}
	c.backlog(9_000, 60, func(team, _ int) bool { return team == 1 })
	cancelWaiting(c.members[0], "t001")
	last, longest = c.now+8_000, 0
	c.backlog(30_000, 60, func(int, int) bool { return true })
	must.Less(t, 4_000, longest)
}

// Guards against starvation: while all other teams have a backlog, each request of a team with at
// least a hundredth of the shares starts in bounded time.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := rapid.IntRange(2, 12).Draw(t, "teams")
		shares := map[fleet.TeamID]fleet.Share{}
		for i := range teams {
			shares[teamID(i)] = fleet.Share(rapid.IntRange(100, 800).Draw(t, "share"))
		}
		c := newCluster(rapid.IntRange(1, 3).Draw(t, "members"), 12, shares)
		c.runTime = func(r *caller.Request) clock.Millis {
			return clock.Millis(1 + c.random.IntN(100)*int(1+r.Team[3]%3))
		}
		waiting := map[*caller.Request]bool{}
		c.started = func(r *caller.Request) { delete(waiting, r) }
		others := func(team, _ int) bool { return team > 0 }
		for range 3 {
			c.backlog(c.now+3_000, 5, others)
			for j := range c.members {
				r, p := c.add(j, "t000", fleet.Queue{}, 60_000)
				must.Nil(t, p)
				waiting[r] = true
			}
		}
		c.backlog(c.now+8_000, 5, others)
		must.MapEmpty(t, waiting)
		must.LessEq(t, 12, c.peakInUse)
	})
}

// Guards against an overload in which every request starts when it can just no longer end in
// time, and against a start margin that prevents requests with short deadlines, or a single
// waiting request, from starting.
func TestStartMarginWhileOthersWait(t *testing.T) {
	for _, tc := range []struct {
		name                    string
		deadline, slotFreeAfter clock.Millis // deadline relative to the arrival, and time until a slot is free
		others                  bool
		starts                  bool
	}{
		{"enough left", 1000, 700, true, true},
		{"less than two runs left", 1000, 850, true, false},
		{"alone", 1000, 850, false, true},
		{"short deadline", 180, 80, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &caller.Scheduler{}
			s.SetView(0, caller.View{Slots: 1})
			q := fleet.Queue{ID: "q", MaxWaiting: 100}
			now := clock.Millis(0)
			run := func(r *caller.Request) {
				must.Nil(t, s.Add(now, r))
				must.Eq(t, r, s.Next(now))
				now += 100
				s.Done(now, r, caller.Ran)
			}
			for range 10 {
				run(&caller.Request{Queue: q, Team: "a", Arrived: now, Deadline: now + 5000})
			}
			r := &caller.Request{Queue: q, Team: "a", Arrived: now, Deadline: now + tc.deadline}
			must.Nil(t, s.Add(now, r))
			if tc.others {
				must.Nil(t, s.Add(now, &caller.Request{Queue: q, Team: "a", Arrived: now, Deadline: now + 5000}))
			}
			must.Eq(t, tc.starts, s.Next(now+tc.slotFreeAfter) == r)
		})
	}
}
