package experiment

import (
	"math/rand/v2"
	"slices"

	"citronknot/clock"
	"citronknot/fleet/target"
)

// worker is a target as it really is.
type worker struct {
	pool, zone, rack int
	slots, running   int
	away             bool // fails every new request
	listed           bool // members may send requests to it
}

// router selects workers for one member. For citronknot it uses the decision functions of
// package target, in the way that target.Dispatcher does.
type router struct {
	policy  Policy
	random  *rand.Rand
	zone    int
	rank    int
	members int
	workers []*worker
	byPool  [][]int
	known   []known
	peers   []int                // requests of the other members on each worker; nil if they are not exchanged
	budgets []target.RetryBudget // of the pools
}

// known is what a member has seen of a worker.
type known struct {
	inFlight int
	health   target.Health
}

func (r *router) load(w int, now clock.Millis) target.Load {
	k, slots := &r.known[w], r.workers[w].slots
	peers := 0
	if r.peers != nil {
		peers = r.peers[w]
	}
	return target.Load{
		InFlight: k.inFlight, Peers: peers, Slots: slots, Part: target.Part(slots, r.rank, r.members, w%r.members),
		Limit: k.health.Limit(now, slots), Penalty: k.health.Penalty(now), Ejected: k.health.Ejected(now),
	}
}

// choose returns a worker of the pool other than the tried ones, or -1.
func (r *router) choose(now clock.Millis, pool int, tried []int) int {
	if !r.policy.fair() {
		return randomTarget(r.random, r.byPool[pool], func(w int) bool {
			// With an even split the members' parts fit, so its choice may know the free slots.
			full := r.policy == EvenSplit && !r.workers[w].away && r.workers[w].running >= r.workers[w].slots
			return r.workers[w].listed && !full && !slices.Contains(tried, w)
		})
	}
	var groups [2][]int
	for _, w := range r.byPool[pool] {
		switch {
		case !r.workers[w].listed:
		case r.workers[w].zone == r.zone:
			groups[0] = append(groups[0], w)
		default:
			groups[1] = append(groups[1], w)
		}
	}
	for _, g := range groups {
		i := target.Choose(len(g), func(i int) target.Load {
			if slices.Contains(tried, g[i]) {
				return target.Load{Ejected: true}
			}
			return r.load(g[i], now)
		}, r.random.IntN)
		if i >= 0 {
			return g[i]
		}
	}
	return -1
}

// again reports whether a request that failed before it ran may be tried on another worker.
func (r *router) again(now clock.Millis, pool int) bool {
	if !r.policy.fair() {
		return true
	}
	running, slots := 0, 0
	for _, w := range r.byPool[pool] {
		if r.workers[w].listed {
			running, slots = running+r.load(w, now).InFlight+r.load(w, now).Peers, slots+r.workers[w].slots
		}
	}
	return r.budgets[pool].Retry(now, running >= slots)
}

// failed records a failure of a worker and ejects it if it is an outlier. One ejection at a
// time stands for an availability budget of one.
func (r *router) failed(now clock.Millis, w int) {
	h := &r.known[w].health
	h.Failed(now)
	others, n := 0.0, 0
	for _, o := range r.byPool[r.workers[w].pool] {
		if o == w || !r.workers[o].listed {
			continue
		}
		if r.known[o].health.Ejected(now) {
			return
		}
		others, n = others+r.known[o].health.Rate(), n+1
	}
	if !h.Ejected(now) && h.Outlier(others/float64(max(1, n))) {
		h.Eject(now)
	}
}
