package experiment

import (
	"math/rand/v2"
	"slices"

	"citronknot/clock"
	"citronknot/fleet/target"
)

// worker is the actual state of a target, which members observe only in part.
type worker struct {
	pool, zone, rack int
	slots, running   int
	down             bool // fails every new request
	listed           bool // members may send requests to it
}

// router selects workers for one member. For the fair policies it uses the functions of package
// target in the same way as target.Dispatcher.
type router struct {
	policy        Policy
	random        *rand.Rand
	zone          int
	rank          int
	members       int
	workers       []*worker
	workersByPool [][]int
	observed      []observedWorker
	peerInFlight  []int                // requests of the other members on each worker; nil if members don't exchange them
	budgets       []target.RetryBudget // by pool
}

// observedWorker is the state that a member keeps of a worker.
type observedWorker struct {
	inFlight int
	health   target.Health
}

// targetLoad returns a worker's load as the member observes it.
func (r *router) targetLoad(w int, now clock.Millis) target.Load {
	observed, slots := &r.observed[w], r.workers[w].slots
	peerInFlight := 0
	if r.peerInFlight != nil {
		peerInFlight = r.peerInFlight[w]
	}
	return target.Load{
		InFlight: observed.inFlight, PeerInFlight: peerInFlight, Slots: slots, OwnSlots: target.OwnSlots(slots, r.rank, r.members, w%r.members),
		Limit: observed.health.Limit(now, slots), Penalty: observed.health.Penalty(now), Ejected: observed.health.Ejected(now),
	}
}

// choose returns a worker of the pool other than the tried ones, or -1 if none is available. The
// fair policies prefer workers in the member's own zone.
func (r *router) choose(now clock.Millis, pool int, tried []int) int {
	if !r.policy.fair() {
		return randomTarget(r.random, r.workersByPool[pool], func(w int) bool {
			// Under FirstComeEvenSplit the parts of all members add up to the slots of the pool, so
			// its choice may use the real number of free slots.
			full := r.policy == FirstComeEvenSplit && !r.workers[w].down && r.workers[w].running >= r.workers[w].slots
			return r.workers[w].listed && !full && !slices.Contains(tried, w)
		})
	}
	var groups [2][]int
	for _, w := range r.workersByPool[pool] {
		switch {
		case !r.workers[w].listed:
		case r.workers[w].zone == r.zone:
			groups[0] = append(groups[0], w)
		default:
			groups[1] = append(groups[1], w)
		}
	}
	for _, group := range groups {
		i := target.Choose(len(group), func(i int) target.Load {
			if slices.Contains(tried, group[i]) {
				return target.Load{Ejected: true}
			}
			return r.targetLoad(group[i], now)
		}, r.random.IntN)
		if i >= 0 {
			return group[i]
		}
	}
	return -1
}

// allowRetry reports whether the retry budget allows to send a request that failed before it ran to
// another worker.
func (r *router) allowRetry(now clock.Millis, pool int) bool {
	if !r.policy.fair() {
		return true
	}
	running, slots := 0, 0
	for _, w := range r.workersByPool[pool] {
		if r.workers[w].listed {
			running, slots = running+r.targetLoad(w, now).InFlight+r.targetLoad(w, now).PeerInFlight, slots+r.workers[w].slots
		}
	}
	return r.budgets[pool].TakeRetry(now, running >= slots)
}

// recordFailure records a failure of a worker and ejects the worker if it is an outlier. At most one
// worker of a pool is ejected at a time, as with an availability budget of one absent instance.
func (r *router) recordFailure(now clock.Millis, w int) {
	health := &r.observed[w].health
	health.RecordFailure(now)
	rateSum, count := 0.0, 0
	for _, other := range r.workersByPool[r.workers[w].pool] {
		if other == w || !r.workers[other].listed {
			continue
		}
		if r.observed[other].health.Ejected(now) {
			return
		}
		rateSum, count = rateSum+r.observed[other].health.FailureRate(), count+1
	}
	if !health.Ejected(now) && health.Outlier(rateSum/float64(max(1, count))) {
		health.Eject(now)
	}
}
