package machine

import (
	"cmp"
	"slices"

	"citronknot/clock"
)

// emptyAhead is how many machines of a wave are emptied beyond those that may be down, so that
// the next is empty when one returns.
const emptyAhead = 2

// emptyTime is how long the emptying of a machine usually takes: tasks that end soon end, and
// tasks that last are stopped and started elsewhere one after the other.
const emptyTime clock.Millis = 3000

// planWaves chooses the machines to empty for upkeep.
func (p *Planner) planWaves(now clock.Millis) {
	for _, w := range p.waves {
		if !w.complete {
			p.planWave(w, now)
		}
	}
}

func (p *Planner) planWave(w *wave, now clock.Millis) {
	var left []*view
	open := 0 // machines that are emptied or down for the wave
	for _, id := range w.Machines {
		m := p.machines[id]
		switch {
		case m == nil || w.done[id]:
		case m.intent != nil && m.intent.Wave == w.Number:
			open++
			left = append(left, m)
		default:
			left = append(left, m)
		}
	}
	if len(left) == 0 && p.hasList {
		w.complete = true
		return
	}
	urgent := p.urgent(w, len(left), now)
	slices.SortStableFunc(left, func(a, b *view) int {
		return cmp.Or(cmp.Compare(p.pressure(a, now), p.pressure(b, now)), cmp.Compare(a.lasting, b.lasting), cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.ID, b.ID))
	})
	for _, m := range left {
		if open+p.down(w) >= w.Most+emptyAhead {
			return
		}
		if m.intent != nil || m.State != Up || (!urgent && p.pressure(m, now) > 0) {
			continue
		}
		p.intend(m, Order{Machine: m.ID, Wave: w.Number}, now)
		open++
	}
}

// urgent reports whether the rest of a wave needs most of the time that is left.
func (p *Planner) urgent(w *wave, left int, now clock.Millis) bool {
	rounds := clock.Millis((left + max(1, w.Most) - 1) / max(1, w.Most))
	need := rounds * (p.UpkeepTime + emptyTime)
	return now+need+need/2 > w.seen+w.Duration
}

// down counts the machines of a wave that are down for it.
func (p *Planner) down(w *wave) int {
	n := 0
	for _, m := range p.machines {
		if m.downFor == w && m.ordered {
			n++
		}
	}
	return n
}

// pressure says how much the pool of a machine would miss it now: 0 for not at all.
func (p *Planner) pressure(m *view, now clock.Millis) int {
	if m.Pool == p.spare || m.State != Up {
		return 0
	}
	pool := p.pools[m.Pool]
	if pool == nil || now-pool.at > loadFresh {
		return 1
	}
	need := pool.need()
	if need <= p.capacity(m.Pool)-m.Capacity.CPU {
		return 0
	}
	return 1
}
