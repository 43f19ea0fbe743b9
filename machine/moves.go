package machine

import (
	"cmp"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

// Bounds of the moves.
const (
	// headroom is what a pool gets beyond its need, in percent: demand grows while machines
	// are on their way, and an idle machine costs a small part of what late jobs do.
	headroom = 30
	// idleFloor is the part of an even share of all machines, in percent, that a pool keeps
	// while its hot time may come at any moment.
	idleFloor = 50
	// recent is how long after its hot time a pool gives machines first. Where demand goes
	// round, the pool that was hot last is hot again last.
	recent clock.Millis = 20000
	// surplusLasts is how long a pool must have had too much before machines are switched off:
	// a move costs about as much as a machine that idles for a second, twice.
	surplusLasts clock.Millis = 1500
)

// planMoves chooses the machines to move: to pools that lack capacity, from the spare pool and
// then from the pools that miss it least; and to the spare pool what nobody needs for long.
func (p *Planner) planMoves(now clock.Millis) {
	ids := p.freshPools(now)
	slices.SortFunc(ids, func(a, b fleet.PoolID) int {
		return cmp.Or(cmp.Compare(p.lack(b), p.lack(a)), cmp.Compare(a, b))
	})
	for _, id := range ids {
		for p.lack(id) > 0 {
			m := p.donor(id, now)
			if m == nil {
				break
			}
			p.intend(m, Order{Machine: m.ID, Pool: id}, now)
		}
	}
	for _, id := range ids {
		p.switchOff(id, now)
	}
}

// freshPools returns the pools whose reports are fresh.
func (p *Planner) freshPools(now clock.Millis) []fleet.PoolID {
	var ids []fleet.PoolID
	for id, v := range p.pools {
		if v.at != 0 && now-v.at < loadFresh {
			ids = append(ids, id)
		}
	}
	return ids
}

// target returns the capacity that a pool is to have.
func (p *Planner) target(id fleet.PoolID) int64 {
	need := p.pools[id].need()
	return need + need*headroom/100
}

// lack returns how much a pool falls short of its target, or by how much it exceeds it, as a
// negative number.
func (p *Planner) lack(id fleet.PoolID) int64 {
	return p.target(id) - p.capacity(id)
}

// donor returns the machine that is missed least elsewhere, or nil.
func (p *Planner) donor(to fleet.PoolID, now clock.Millis) *view {
	var best *view
	var bestRank int
	for _, m := range p.sorted() {
		if m.intent != nil || m.State != Up || m.Pool == to || p.inWave(m) {
			continue
		}
		rank := p.donorRank(m, now)
		if rank >= 0 && (best == nil || rank < bestRank) {
			best, bestRank = m, rank
		}
	}
	return best
}

// donorRank orders donors: low ranks first, negative ones not at all.
func (p *Planner) donorRank(m *view, now clock.Millis) int {
	if m.Pool == p.spare {
		return 0
	}
	v := p.pools[m.Pool]
	if v == nil || now-v.at > loadFresh || m.lasting > 0 {
		return -1
	}
	after := p.capacity(m.Pool) - m.Capacity.CPU
	if after < p.target(m.Pool) {
		return -1
	}
	rank := 100 + m.tasks
	if !v.demand.recently(now) {
		if after*100 < p.evenShare()*idleFloor {
			return -1
		}
		rank += 100
	}
	return rank
}

// evenShare returns the capacity that each pool would have if all had the same. It does not
// depend on what an earlier holder has moved.
func (p *Planner) evenShare() int64 { return p.total / int64(max(1, len(p.pools))) }

// inWave reports whether a machine waits for its upkeep.
func (p *Planner) inWave(m *view) bool {
	for _, w := range p.waves {
		if !w.complete && !w.done[m.ID] && slices.Contains(w.Machines, m.ID) {
			return true
		}
	}
	return false
}

// switchOff moves machines to the spare pool that their pool has not needed for a while.
func (p *Planner) switchOff(id fleet.PoolID, now clock.Millis) {
	v := p.pools[id]
	if p.spare == "" {
		return
	}
	for {
		m := p.surplusMachine(id, now)
		if m == nil {
			v.surplus = 0
			return
		}
		if v.surplus == 0 {
			v.surplus = now
		}
		if now-v.surplus < surplusLasts {
			return
		}
		p.intend(m, Order{Machine: m.ID, Pool: p.spare}, now)
	}
}

func (p *Planner) surplusMachine(id fleet.PoolID, now clock.Millis) *view {
	var best *view
	for _, m := range p.sorted() {
		if m.Pool != id || m.intent != nil || m.State != Up || p.inWave(m) || p.donorRank(m, now) < 0 {
			continue
		}
		if best == nil || m.tasks < best.tasks {
			best = m
		}
	}
	return best
}
