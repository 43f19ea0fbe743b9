package machine

import (
	"cmp"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

// Parameters of the moves between pools.
const (
	// headroomPercent is the capacity that a pool gets beyond its need, in percent of the
	// need. Demand grows while machines are moving, and an idle machine costs a small part of
	// what late jobs cost.
	headroomPercent = 30
	// idleFloorPercent is the capacity, in percent of an even share of all machines, that a
	// pool keeps while its next peak may come at any time.
	idleFloorPercent = 50
	// recentPeak is the time after its peak for which a pool is preferred as a donor of
	// machines. Where the peaks of the pools follow each other in a cycle, the pool with the
	// latest peak is the last one to have another.
	recentPeak clock.Millis = 20000
	// surplusDelay is how long a pool must have had too much capacity before machines move to
	// the spare pool. Each of the two moves, there and back, costs about as much as a machine
	// that idles for one second.
	surplusDelay clock.Millis = 1500
)

// planMoves chooses the machines to move. Pools with a deficit receive machines, from the
// spare pool first and then from the pools that need them least. Machines that no pool has
// needed for surplusDelay move to the spare pool.
func (p *Planner) planMoves(now clock.Millis) {
	ids := p.poolsWithFreshLoad(now)
	slices.SortFunc(ids, func(a, b fleet.PoolID) int {
		return cmp.Or(cmp.Compare(p.deficit(b), p.deficit(a)), cmp.Compare(a, b))
	})
	for _, id := range ids {
		for p.deficit(id) > 0 {
			m := p.chooseDonor(id, now)
			if m == nil {
				break
			}
			p.setIntent(m, Order{Machine: m.ID, Pool: id}, now)
		}
	}
	for _, id := range ids {
		p.moveSurplusToSpare(id, now)
	}
}

// poolsWithFreshLoad returns the pools whose latest report is younger than maxLoadAge.
func (p *Planner) poolsWithFreshLoad(now clock.Millis) []fleet.PoolID {
	var ids []fleet.PoolID
	for id, v := range p.pools {
		if v.loadAt != 0 && now-v.loadAt < maxLoadAge {
			ids = append(ids, id)
		}
	}
	return ids
}

// target returns the capacity that a pool is to have, in millicores.
func (p *Planner) target(id fleet.PoolID) int64 {
	need := p.need(p.pools[id])
	return need + need*headroomPercent/100
}

// deficit returns the capacity that a pool lacks to reach its target, in millicores. It is
// negative if the pool exceeds its target.
func (p *Planner) deficit(id fleet.PoolID) int64 {
	return p.target(id) - p.capacity(id)
}

// chooseDonor returns the machine of another pool with the lowest donorRank, or nil if there
// is none.
func (p *Planner) chooseDonor(to fleet.PoolID, now clock.Millis) *trackedMachine {
	var best *trackedMachine
	var bestRank int
	for _, m := range p.machinesByID() {
		if m.intent != nil || m.State != Up || m.Pool == to || p.isHeld(m.ID, now) || p.awaitsMaintenance(m) {
			continue
		}
		rank := p.donorRank(m, now)
		if rank >= 0 && (best == nil || rank < bestRank) {
			best, bestRank = m, rank
		}
	}
	return best
}

// donorRank returns the rank of a machine as a donor: low ranks are taken first, and machines
// with negative ranks are not taken, among them those of evacuated zones. Machines of the spare pool
// come first, then those of pools whose peak has just ended, then the others; among them, those with
// few tasks come first.
func (p *Planner) donorRank(m *trackedMachine, now clock.Millis) int {
	if p.isEvacuated(m) {
		return -1
	}
	if m.Pool == p.spare {
		return 0
	}
	pool := p.pools[m.Pool]
	if pool == nil || now-pool.loadAt > maxLoadAge || m.longRunning > 0 {
		return -1
	}
	remaining := p.capacity(m.Pool) - m.Capacity.CPU
	if remaining < p.target(m.Pool) {
		return -1
	}
	rank := 100 + m.tasks
	if !pool.demand.peakEndedRecently(now) {
		if remaining*100 < p.evenShare()*idleFloorPercent {
			return -1
		}
		rank += 100
	}
	return rank
}

// evenShare returns the capacity that each pool would have if all pools had the same, in
// millicores. It does not depend on the moves that an earlier fleet leader has ordered.
func (p *Planner) evenShare() int64 { return p.totalCPU / int64(max(1, len(p.pools))) }

// awaitsMaintenance reports whether a machine is in a wave and its maintenance is still to
// come.
func (p *Planner) awaitsMaintenance(m *trackedMachine) bool {
	for _, w := range p.waves {
		if !w.complete && w.members[m.ID] && !w.done[m.ID] {
			return true
		}
	}
	return false
}

// moveSurplusToSpare moves machines to the spare pool that their pool has not needed for
// surplusDelay.
func (p *Planner) moveSurplusToSpare(id fleet.PoolID, now clock.Millis) {
	pool := p.pools[id]
	if p.spare == "" {
		return
	}
	for {
		m := p.surplusMachine(id, now)
		if m == nil {
			pool.surplusSince = 0
			return
		}
		if pool.surplusSince == 0 {
			pool.surplusSince = now
		}
		if now-pool.surplusSince < surplusDelay {
			return
		}
		p.setIntent(m, Order{Machine: m.ID, Pool: p.spare}, now)
	}
}

// surplusMachine returns the machine with the fewest tasks that a pool can do without, or nil.
func (p *Planner) surplusMachine(id fleet.PoolID, now clock.Millis) *trackedMachine {
	var best *trackedMachine
	for _, m := range p.machinesByID() {
		if m.Pool != id || m.intent != nil || m.State != Up || p.awaitsMaintenance(m) || p.donorRank(m, now) < 0 {
			continue
		}
		if best == nil || m.tasks < best.tasks {
			best = m
		}
	}
	return best
}
