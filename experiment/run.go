package experiment

import (
	"math/rand/v2"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/fleet/target"
)

const (
	// drain is the time after the last arrival in which requests still finish.
	drain clock.Millis = 8_000
	// expireEvery is the time between checks of waiting requests, as in package caller.
	expireEvery clock.Millis = 100
	// searchEvery and searchFor bound the search for a worker, as in package entry.
	searchEvery clock.Millis = 5
	searchFor   clock.Millis = 300
	maxAttempts int          = 3
	// firstPause and lastPause bound the pause between attempts that guards refused, as in package
	// target.
	firstPause clock.Millis = 50
	lastPause  clock.Millis = 400

	// roundTrip is the time until a member knows of a refusal by a guard in another zone.
	roundTrip clock.Millis = 2
	// dialTimeout is the time until a member knows that a worker is away, as in package target.
	dialTimeout clock.Millis = 1_000
	// longest bounds the time from a start to the end: no deadline is longer.
	longest clock.Millis = 6_000
)

// run is one run of a scenario under one policy in virtual time.
type run struct {
	s         Scenario
	policy    Policy
	now       clock.Millis
	workers   []*worker
	routers   []*router
	queues    [][]queue    // by member and pool
	judges    [][]refusals // by member and pool
	exchange  *exchange
	meters    []*shareMeter
	ends      map[clock.Millis][]*job
	tries     map[clock.Millis][]try // by the time at which the member knows
	searching []*job
	waiting   []map[*job]bool // by pool
	running   [][]int         // by pool and team
	out       Result
}

// Run runs a scenario under a policy. Equal arguments give equal results.
func (s Scenario) Run(p Policy) Result {
	r := newRun(s, p)
	g := newGenerator(s)
	for r.now = 1; r.now <= s.Length+drain; r.now++ {
		r.outage()
		r.endJobs()
		if r.now <= s.Length {
			for _, j := range g.arrivals(r.now) {
				r.arrive(j)
			}
		}
		r.news()
		r.answerTries()
		r.search()
		r.start()
		r.measure()
	}
	for _, m := range r.meters {
		m.finish()
		r.out.ShareErrors = append(r.out.ShareErrors, m.errors...)
		r.out.InUse = append(r.out.InUse, m.inUse...)
		r.out.Granted = append(r.out.Granted, m.granted...)
	}
	for _, pools := range r.judges {
		for _, j := range pools {
			r.out.False += j.wrong
		}
	}
	return r.out
}

func newRun(s Scenario, p Policy) *run {
	random := rand.New(rand.NewPCG(s.Seed, 2))
	r := &run{s: s, policy: p, ends: map[clock.Millis][]*job{}, tries: map[clock.Millis][]try{}, exchange: newExchange(s.Members, s.MaxDelay, random)}
	byPool := make([][]int, s.Pools)
	for i := range s.Pools * s.Workers {
		// Consecutive workers share a rack and belong to different pools.
		w := &worker{pool: i % s.Pools, zone: i / rackSize % s.Zones, rack: i / rackSize, slots: s.Slots, listed: true}
		r.workers = append(r.workers, w)
		byPool[w.pool] = append(byPool[w.pool], i)
	}
	shares := map[fleet.TeamID]fleet.Share{}
	for t, share := range s.Shares {
		shares[teamID(t)] = share
	}
	for m := range s.Members {
		r.routers = append(r.routers, &router{
			policy: p, random: random, zone: m % s.Zones, rank: m, members: s.Members, workers: r.workers, byPool: byPool,
			known: make([]known, len(r.workers)), budgets: make([]target.RetryBudget, s.Pools),
		})
		var queues []queue
		for range s.Pools {
			queues = append(queues, newQueue(p, s, m, shares))
		}
		r.queues = append(r.queues, queues)
		r.judges = append(r.judges, make([]refusals, s.Pools))
		for pool := range s.Pools {
			r.setView(m, pool)
		}
	}
	for range s.Pools {
		r.meters = append(r.meters, newShareMeter(s.Shares))
		r.waiting = append(r.waiting, map[*job]bool{})
		r.running = append(r.running, make([]int, len(s.Shares)))
	}
	return r
}

func (r *run) setView(member, pool int) {
	slots := 0
	for _, w := range r.routers[member].byPool[pool] {
		if r.workers[w].listed {
			slots += r.workers[w].slots
		}
	}
	r.queues[member][pool].setView(r.now, r.exchange.view(r.now, member, pool, fleet.Slots(slots)))
}

// outage takes the workers of the first rack away and brings them back.
func (r *run) outage() {
	o := r.s.Outage
	if o.Until == 0 {
		return
	}
	for i, w := range r.workers {
		if w.rack != 0 {
			continue
		}
		switch r.now {
		case o.From:
			w.away = true
			r.lose(i)
		case o.From + listLag:
			w.listed = false
		case o.Until:
			w.away = false
		case o.Until + listLag:
			w.listed = true
		}
	}
}

// lose ends what runs on a worker that went away.
func (r *run) lose(w int) {
	for at := r.now; at <= r.now+longest; at++ {
		for _, j := range r.ends[at] {
			if j.active && j.worker == w {
				r.leaveWorker(j)
				r.out.Lost++
				r.routers[j.member].failed(r.now, w)
				r.queues[j.member][j.pool].done(r.now, j, caller.Unknown)
			}
		}
	}
}

func (r *run) leaveWorker(j *job) {
	j.active = false
	r.workers[j.worker].running--
	r.routers[j.member].known[j.worker].inFlight--
	r.running[j.pool][j.team]--
}

// endJobs ends the requests that finish now or are cut off at their deadlines.
func (r *run) endJobs() {
	for _, j := range r.ends[r.now] {
		if !j.active {
			continue
		}
		r.leaveWorker(j)
		outcome := caller.Ran
		if r.now < j.placed+j.run {
			outcome = caller.Unknown
			r.out.Late++
		} else {
			r.out.InTime++
			r.routers[j.member].known[j.worker].health.Succeeded(r.now)
		}
		r.queues[j.member][j.pool].done(r.now, j, outcome)
	}
	delete(r.ends, r.now)
}

func (r *run) arrive(j *job) {
	r.out.Offered++
	r.meters[j.pool].arrive(j)
	r.admit(j)
}

func (r *run) admit(j *job) {
	if r.queues[j.member][j.pool].add(r.now, j) {
		r.waiting[j.pool][j] = true
		return
	}
	r.refuse(j)
}

func (r *run) refuse(j *job) {
	delete(r.waiting[j.pool], j)
	r.out.Refused++
	if j.request.Queue.Urgent {
		r.out.UrgentOpen++
	}
	r.judges[j.member][j.pool].add(j)
}

// news lets members publish, receive and use load summaries, and checks waiting requests.
func (r *run) news() {
	r.exchange.deliver(r.now)
	for m, queues := range r.queues {
		if r.policy.fair() && r.exchange.due(r.now, m) {
			var loads []caller.Load
			for _, q := range queues {
				loads = append(loads, q.load(r.now))
			}
			var inFlight []int
			for _, k := range r.routers[m].known {
				inFlight = append(inFlight, k.inFlight)
			}
			r.exchange.publish(r.now, m, summary{sent: r.now, loads: loads, inFlight: inFlight})
		}
		for p, q := range queues {
			if (r.now+clock.Millis(m*29))%viewEvery == 0 {
				if r.policy == FairPeers || r.policy == FairWaits {
					r.routers[m].peers = r.exchange.inFlight(m, len(r.workers))
				}
				r.setView(m, p)
			}
			if r.now%expireEvery == 0 {
				q.expire(r.now)
			}
		}
	}
}

// start starts what may start at all members.
func (r *run) start() {
	for m, queues := range r.queues {
		for p, q := range queues {
			judge := &r.judges[m][p]
			for j := q.next(r.now); j != nil; j = q.next(r.now) {
				delete(r.waiting[p], j)
				judge.started(r.now, func(g *job) bool { return q.ahead(g, j) })
				j.attempts, j.failures, j.gaveUp = 0, 0, r.now+searchFor
				j.pause, j.resume = firstPause, 0
				r.routers[m].budgets[p].Request(r.now)
				r.place(j, nil)
			}
			for _, j := range q.takeRefused() {
				r.refuse(j)
			}
			if len(judge.open) > 0 && q.room() {
				judge.started(r.now, func(*job) bool { return true })
			}
		}
	}
}

// try is one attempt of a request that a worker did not take, until its member knows.
type try struct {
	job    *job
	worker int
	tried  []int
	away   bool
}

// place sends a started request to a worker. A request that finds no worker at all searches on
// for a while.
func (r *run) place(j *job, tried []int) {
	router := r.routers[j.member]
	i := router.choose(r.now, j.pool, tried)
	first := len(tried) == 0
	switch {
	case i < 0 && j.attempts == 0 && r.now < min(j.gaveUp, j.request.Deadline):
		r.searching = append(r.searching, j)
		return
	case i < 0, first && j.attempts > 0 && !router.again(r.now, j.pool):
		r.waitOrEnd(j)
		return
	}
	w := r.workers[i]
	if !w.away && w.running < w.slots {
		r.execute(j, i)
		return
	}
	j.attempts++
	router.known[i].inFlight++
	known := r.now + roundTrip
	if w.away {
		known = r.now + dialTimeout
	}
	r.tries[known] = append(r.tries[known], try{job: j, worker: i, tried: append(tried, i), away: w.away})
}

// answerTries tells members of attempts that failed, and tries again where that is allowed.
func (r *run) answerTries() {
	for _, t := range r.tries[r.now] {
		router := r.routers[t.job.member]
		router.known[t.worker].inFlight--
		if t.away {
			t.job.failures++
			router.failed(r.now, t.worker)
		} else {
			r.out.Guards++
			router.known[t.worker].health.Refused(r.now)
		}
		if len(t.tried) >= maxAttempts || !router.again(r.now, t.job.pool) {
			r.waitOrEnd(t.job)
			continue
		}
		r.place(t.job, t.tried)
	}
	delete(r.tries, r.now)
}

// waitOrEnd lets a request that only guards refused wait for a slot, and ends others.
func (r *run) waitOrEnd(j *job) {
	if r.policy != FairWaits || j.failures > 0 || r.now >= min(j.gaveUp, j.request.Deadline) {
		r.unplaced(j)
		return
	}
	j.resume = r.now + j.pause
	j.pause = min(2*j.pause, lastPause)
	r.searching = append(r.searching, j)
}

// unplaced ends a request that no worker took. The fair queue admits it again until it sets it
// aside.
func (r *run) unplaced(j *job) {
	r.queues[j.member][j.pool].done(r.now, j, caller.NotRun)
	failed := j.attempts
	if r.policy == FairWaits {
		failed = j.failures
	}
	j.request.FailedStarts += failed
	if r.policy.fair() && failed > 0 {
		r.admit(j)
		return
	}
	r.out.Unplaced++
	r.refuse(j)
}

func (r *run) execute(j *job, w int) {
	j.worker, j.placed, j.active = w, r.now, true
	r.workers[w].running++
	r.routers[j.member].known[w].inFlight++
	r.running[j.pool][j.team]++
	end := max(r.now+1, min(r.now+j.run, j.request.Deadline))
	r.ends[end] = append(r.ends[end], j)
	if j.request.Queue.Urgent {
		r.out.UrgentDelays = append(r.out.UrgentDelays, float64(r.now-j.request.Arrived))
	}
}

// search tries again to place the requests that found no worker.
func (r *run) search() {
	if r.now%searchEvery != 0 {
		return
	}
	again := r.searching
	r.searching = nil
	for _, j := range again {
		if r.now < j.resume {
			r.searching = append(r.searching, j)
			continue
		}
		r.place(j, nil)
	}
}

// measure counts the millisecond in the share meters.
func (r *run) measure() {
	for p, m := range r.meters {
		slots := 0
		for _, w := range r.workers {
			if w.pool == p && !w.away {
				slots += w.slots
			}
		}
		granted := 0
		for _, queues := range r.queues {
			granted += queues[p].granted()
		}
		m.grant(r.now, granted)
		m.step(r.now, r.running[p], slots, len(r.waiting[p]), func() []float64 {
			out := make([]float64, len(r.s.Shares))
			for j := range r.waiting[p] {
				out[j.team] += float64(j.run)
			}
			return out
		})
	}
}
