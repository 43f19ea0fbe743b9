package experiment

import (
	"math/rand/v2"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/fleet/target"
)

const (
	// drainTime is the simulated time after the last arrival, in which the remaining requests finish.
	drainTime clock.Millis = 8_000
	// expireInterval is the time between two checks of the waiting requests' deadlines, as in package
	// caller.
	expireInterval clock.Millis = 100
	// searchInterval is the time between two attempts to find a worker for a request, and
	// searchTimeout limits the time of all attempts, as in package entry.
	searchInterval clock.Millis = 5
	searchTimeout  clock.Millis = 300
	// maxAttempts is the maximum number of workers to which a request is sent one after another.
	maxAttempts int = 3
	// minRetryPause and maxRetryPause limit the pause after attempts that guards refused, which
	// doubles each time, as in package target.
	minRetryPause clock.Millis = 50
	maxRetryPause clock.Millis = 400

	// roundTrip is the time until a member receives a refusal by a guard in another zone.
	roundTrip clock.Millis = 2
	// dialTimeout is the time until a member detects that a worker is down, as in package target.
	dialTimeout clock.Millis = 1_000
	// maxDeadline is the maximum time from a request's arrival to its deadline, and so also the
	// maximum time for which it runs.
	maxDeadline clock.Millis = 6_000
)

// simulation is one run of a scenario under one policy in virtual time.
type simulation struct {
	scenario        Scenario
	policy          Policy
	now             clock.Millis
	workers         []*worker
	routers         []*router
	queues          [][]poolQueue      // by member and pool
	refusals        [][]refusalChecker // by member and pool
	exchange        *summaryExchange
	shareMeters     []*shareMeter
	requestEnds     map[clock.Millis][]*simulatedRequest
	failedAttempts  map[clock.Millis][]failedAttempt // by the time at which the member notices
	searching       []*simulatedRequest              // started, but not yet on a worker
	waitingRequests []map[*simulatedRequest]bool     // by pool
	runningRequests [][]int                          // by pool and team
	result          Result
}

// Run simulates a scenario under a policy. Equal scenarios and policies give equal results.
func (s Scenario) Run(p Policy) Result {
	sim := newSimulation(s, p)
	generator := newGenerator(s)
	for sim.now = 1; sim.now <= s.ArrivalDuration+drainTime; sim.now++ {
		sim.updateOutage()
		sim.finishRequests()
		if sim.now <= s.ArrivalDuration {
			for _, j := range generator.arrivals(sim.now) {
				sim.arrive(j)
			}
		}
		sim.exchangeLoads()
		sim.handleFailedAttempts()
		sim.retryPlacement()
		sim.startRequests()
		sim.recordMeasurements()
	}
	for _, meter := range sim.shareMeters {
		meter.endPeriod()
		sim.result.ShareErrors = append(sim.result.ShareErrors, meter.shareErrors...)
		sim.result.UsedFractions = append(sim.result.UsedFractions, meter.usedFractions...)
		sim.result.GrantedFractions = append(sim.result.GrantedFractions, meter.grantedFractions...)
	}
	for _, pools := range sim.refusals {
		for _, checker := range pools {
			sim.result.FalseRefusals += checker.falseCount
		}
	}
	return sim.result
}

// newSimulation returns a simulation in which all workers are up and no request has arrived.
func newSimulation(s Scenario, p Policy) *simulation {
	random := rand.New(rand.NewPCG(s.Seed, 2))
	sim := &simulation{scenario: s, policy: p, requestEnds: map[clock.Millis][]*simulatedRequest{}, failedAttempts: map[clock.Millis][]failedAttempt{}, exchange: newExchange(s.Members, s.MaxSummaryDelay, random)}
	workersByPool := make([][]int, s.Pools)
	for i := range s.Pools * s.WorkersPerPool {
		// Consecutive workers share a rack and belong to different pools.
		w := &worker{pool: i % s.Pools, zone: i / rackSize % s.Zones, rack: i / rackSize, slots: s.SlotsPerWorker, listed: true}
		sim.workers = append(sim.workers, w)
		workersByPool[w.pool] = append(workersByPool[w.pool], i)
	}
	shares := map[fleet.TeamID]fleet.Share{}
	for t, share := range s.Shares {
		shares[teamID(t)] = share
	}
	for member := range s.Members {
		sim.routers = append(sim.routers, &router{
			policy: p, random: random, zone: member % s.Zones, rank: member, members: s.Members, workers: sim.workers, workersByPool: workersByPool,
			observed: make([]observedWorker, len(sim.workers)), budgets: make([]target.RetryBudget, s.Pools),
		})
		var queues []poolQueue
		for range s.Pools {
			queues = append(queues, newQueue(p, s, member, shares))
		}
		sim.queues = append(sim.queues, queues)
		sim.refusals = append(sim.refusals, make([]refusalChecker, s.Pools))
		for pool := range s.Pools {
			sim.setView(member, pool)
		}
	}
	for range s.Pools {
		sim.shareMeters = append(sim.shareMeters, newShareMeter(s.Shares))
		sim.waitingRequests = append(sim.waitingRequests, map[*simulatedRequest]bool{})
		sim.runningRequests = append(sim.runningRequests, make([]int, len(s.Shares)))
	}
	return sim
}

// setView updates a member's view of a pool.
func (sim *simulation) setView(member, pool int) {
	slots := 0
	for _, w := range sim.routers[member].workersByPool[pool] {
		if sim.workers[w].listed {
			slots += sim.workers[w].slots
		}
	}
	sim.queues[member][pool].setView(sim.now, sim.exchange.view(sim.now, member, pool, fleet.Slots(slots)))
}

// updateOutage starts or ends the outage of the first rack's workers if it is due now. The instance
// list follows after listDelay.
func (sim *simulation) updateOutage() {
	outage := sim.scenario.Outage
	if outage.Until == 0 {
		return
	}
	for i, w := range sim.workers {
		if w.rack != 0 {
			continue
		}
		switch sim.now {
		case outage.From:
			w.down = true
			sim.loseWorker(i)
		case outage.From + listDelay:
			w.listed = false
		case outage.Until:
			w.down = false
		case outage.Until + listDelay:
			w.listed = true
		}
	}
}

// loseWorker ends the requests on a worker that has failed, with an unknown outcome.
func (sim *simulation) loseWorker(w int) {
	for at := sim.now; at <= sim.now+maxDeadline; at++ {
		for _, j := range sim.requestEnds[at] {
			if j.running && j.worker == w {
				sim.freeSlot(j)
				sim.result.Lost++
				sim.routers[j.member].recordFailure(sim.now, w)
				sim.queues[j.member][j.pool].done(sim.now, j, caller.Unknown)
			}
		}
	}
}

// freeSlot removes a request from its worker.
func (sim *simulation) freeSlot(j *simulatedRequest) {
	j.running = false
	sim.workers[j.worker].running--
	sim.routers[j.member].observed[j.worker].inFlight--
	sim.runningRequests[j.pool][j.team]--
}

// finishRequests ends the requests that finish now or are cut off at their deadlines now.
func (sim *simulation) finishRequests() {
	for _, j := range sim.requestEnds[sim.now] {
		if !j.running {
			continue
		}
		sim.freeSlot(j)
		outcome := caller.Ran
		if sim.now < j.startedAt+j.runTime {
			outcome = caller.Unknown
			sim.result.CutOff++
		} else {
			sim.result.InTime++
			sim.routers[j.member].observed[j.worker].health.RecordSuccess(sim.now)
		}
		sim.queues[j.member][j.pool].done(sim.now, j, outcome)
	}
	delete(sim.requestEnds, sim.now)
}

// arrive counts a new request and offers it to its member.
func (sim *simulation) arrive(j *simulatedRequest) {
	sim.result.Offered++
	sim.shareMeters[j.pool].addDemand(j)
	sim.admit(j)
}

// admit puts a request into its queue, or refuses it if the queue doesn't accept it.
func (sim *simulation) admit(j *simulatedRequest) {
	if sim.queues[j.member][j.pool].add(sim.now, j) {
		sim.waitingRequests[j.pool][j] = true
		return
	}
	sim.refuse(j)
}

// refuse ends a request as refused.
func (sim *simulation) refuse(j *simulatedRequest) {
	delete(sim.waitingRequests[j.pool], j)
	sim.result.Refused++
	if j.request.Queue.Urgent {
		sim.result.UrgentNotStarted++
	}
	sim.refusals[j.member][j.pool].add(j)
}

// exchangeLoads delivers load summaries, publishes those that are due, and updates the members'
// views. It also refuses waiting requests whose deadlines can't be met any more.
func (sim *simulation) exchangeLoads() {
	sim.exchange.deliver(sim.now)
	for member, queues := range sim.queues {
		if sim.policy.fair() && sim.exchange.publishDue(sim.now, member) {
			var loads []caller.Load
			for _, q := range queues {
				loads = append(loads, q.load(sim.now))
			}
			var inFlight []int
			for _, worker := range sim.routers[member].observed {
				inFlight = append(inFlight, worker.inFlight)
			}
			sim.exchange.publish(sim.now, member, loadSummary{sentAt: sim.now, loads: loads, inFlight: inFlight})
		}
		for pool, q := range queues {
			if (sim.now+clock.Millis(member*29))%viewUpdateInterval == 0 {
				if sim.policy == FairPeerLoad || sim.policy == FairSlotWait {
					sim.routers[member].peerInFlight = sim.exchange.peerInFlight(member, len(sim.workers))
				}
				sim.setView(member, pool)
			}
			if sim.now%expireInterval == 0 {
				q.expire(sim.now)
			}
		}
	}
}

// startRequests starts the requests that may start at all members and decides open refusals.
func (sim *simulation) startRequests() {
	for member, queues := range sim.queues {
		for pool, q := range queues {
			checker := &sim.refusals[member][pool]
			for j := q.next(sim.now); j != nil; j = q.next(sim.now) {
				delete(sim.waitingRequests[pool], j)
				checker.resolve(sim.now, func(refused *simulatedRequest) bool { return q.startsBefore(refused, j) })
				j.attempts, j.unreachableAttempts, j.searchEnd = 0, 0, sim.now+searchTimeout
				j.retryPause, j.nextAttempt = minRetryPause, 0
				sim.routers[member].budgets[pool].CountRequest(sim.now)
				sim.place(j, nil)
			}
			for _, j := range q.takeRefused() {
				sim.refuse(j)
			}
			if len(checker.pending) > 0 && q.hasFreeCapacity() {
				checker.resolve(sim.now, func(*simulatedRequest) bool { return true })
			}
		}
	}
}

// failedAttempt is an attempt to send a request to a worker that is down or refuses it, kept until
// the member of the request notices the failure.
type failedAttempt struct {
	request *simulatedRequest
	worker  int
	tried   []int
	down    bool
}

// place sends a started request to a worker other than the tried ones. If no worker is available
// and none has been tried, the request is placed again later, until searchTimeout has passed.
func (sim *simulation) place(j *simulatedRequest, tried []int) {
	router := sim.routers[j.member]
	chosen := router.choose(sim.now, j.pool, tried)
	firstAttempt := len(tried) == 0
	switch {
	case chosen < 0 && j.attempts == 0 && sim.now < min(j.searchEnd, j.request.Deadline):
		sim.searching = append(sim.searching, j)
		return
	case chosen < 0, firstAttempt && j.attempts > 0 && !router.allowRetry(sim.now, j.pool):
		sim.retryOrEnd(j)
		return
	}
	w := sim.workers[chosen]
	if !w.down && w.running < w.slots {
		sim.execute(j, chosen)
		return
	}
	j.attempts++
	router.observed[chosen].inFlight++
	noticedAt := sim.now + roundTrip
	if w.down {
		noticedAt = sim.now + dialTimeout
	}
	sim.failedAttempts[noticedAt] = append(sim.failedAttempts[noticedAt], failedAttempt{request: j, worker: chosen, tried: append(tried, chosen), down: w.down})
}

// handleFailedAttempts records the failed attempts that members notice now, and sends the requests
// to other workers where the attempt limit and the retry budget allow it.
func (sim *simulation) handleFailedAttempts() {
	for _, attempt := range sim.failedAttempts[sim.now] {
		router := sim.routers[attempt.request.member]
		router.observed[attempt.worker].inFlight--
		if attempt.down {
			attempt.request.unreachableAttempts++
			router.recordFailure(sim.now, attempt.worker)
		} else {
			sim.result.GuardRefusals++
			router.observed[attempt.worker].health.RecordRefusal(sim.now)
		}
		if len(attempt.tried) >= maxAttempts || !router.allowRetry(sim.now, attempt.request.pool) {
			sim.retryOrEnd(attempt.request)
			continue
		}
		sim.place(attempt.request, attempt.tried)
	}
	delete(sim.failedAttempts, sim.now)
}

// retryOrEnd lets a request that only guards have refused wait for a slot if the policy does so, and
// ends any other request.
func (sim *simulation) retryOrEnd(j *simulatedRequest) {
	if sim.policy != FairSlotWait || j.unreachableAttempts > 0 || sim.now >= min(j.searchEnd, j.request.Deadline) {
		sim.endUnplaced(j)
		return
	}
	j.nextAttempt = sim.now + j.retryPause
	j.retryPause = min(2*j.retryPause, maxRetryPause)
	sim.searching = append(sim.searching, j)
}

// endUnplaced ends the start of a request that no worker accepted. Under the fair policies the
// request is queued again, until the scheduler refuses it because too many of its starts failed.
func (sim *simulation) endUnplaced(j *simulatedRequest) {
	sim.queues[j.member][j.pool].done(sim.now, j, caller.NotRun)
	failedStarts := j.attempts
	if sim.policy == FairSlotWait {
		failedStarts = j.unreachableAttempts
	}
	j.request.FailedStarts += failedStarts
	if sim.policy.fair() && failedStarts > 0 {
		sim.admit(j)
		return
	}
	sim.result.Unplaced++
	sim.refuse(j)
}

// execute runs a request on a worker until it finishes or reaches its deadline.
func (sim *simulation) execute(j *simulatedRequest, w int) {
	j.worker, j.startedAt, j.running = w, sim.now, true
	sim.workers[w].running++
	sim.routers[j.member].observed[w].inFlight++
	sim.runningRequests[j.pool][j.team]++
	end := max(sim.now+1, min(sim.now+j.runTime, j.request.Deadline))
	sim.requestEnds[end] = append(sim.requestEnds[end], j)
	if j.request.Queue.Urgent {
		sim.result.UrgentDelays = append(sim.result.UrgentDelays, float64(sim.now-j.request.Arrived))
	}
}

// retryPlacement places the requests again that have found no worker.
func (sim *simulation) retryPlacement() {
	if sim.now%searchInterval != 0 {
		return
	}
	retries := sim.searching
	sim.searching = nil
	for _, j := range retries {
		if sim.now < j.nextAttempt {
			sim.searching = append(sim.searching, j)
			continue
		}
		sim.place(j, nil)
	}
}

// recordMeasurements adds the current millisecond to the share meters.
func (sim *simulation) recordMeasurements() {
	for pool, meter := range sim.shareMeters {
		slots := 0
		for _, w := range sim.workers {
			if w.pool == pool && !w.down {
				slots += w.slots
			}
		}
		granted := 0
		for _, queues := range sim.queues {
			granted += queues[pool].grantedSlots()
		}
		meter.addGranted(sim.now, granted)
		meter.addMillisecond(sim.now, sim.runningRequests[pool], slots, len(sim.waitingRequests[pool]), func() []float64 {
			waitingTime := make([]float64, len(sim.scenario.Shares))
			for j := range sim.waitingRequests[pool] {
				waitingTime[j.team] += float64(j.runTime)
			}
			return waitingTime
		})
	}
}
