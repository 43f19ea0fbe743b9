package machine

import (
	"cmp"
	"slices"

	"citronknot/clock"
)

// drainAhead is the number of machines of a wave that are drained beyond those that may be
// down, so that the next one is drained when one returns.
const drainAhead = 2

// drainTime is how long it usually takes to drain a machine: short tasks end on their own, and
// long-running tasks are stopped and started elsewhere one after another.
const drainTime clock.Millis = 3000

// planWaves chooses the machines to drain for maintenance.
func (p *Planner) planWaves(now clock.Millis) {
	for _, w := range p.waves {
		if !w.complete {
			p.planWave(w, now)
		}
	}
}

// planWave chooses the machines of one wave to drain next, and completes a wave without
// pending machines. Machines that their pools can do without come first; the others follow
// only if the wave is urgent.
func (p *Planner) planWave(w *trackedWave, now clock.Millis) {
	var pending []*trackedMachine
	inProgress := 0 // machines that are drained or down for the wave
	for _, id := range w.Machines {
		m := p.machines[id]
		switch {
		case m == nil || w.done[id]:
		case m.intent != nil && m.intent.Wave == w.Number:
			inProgress++
			pending = append(pending, m)
		default:
			pending = append(pending, m)
		}
	}
	if len(pending) == 0 && p.hasList {
		w.complete = true
		return
	}
	urgent := p.isUrgent(w, len(pending), now)
	slices.SortStableFunc(pending, func(a, b *trackedMachine) int {
		return cmp.Or(
			cmp.Compare(p.wavePreference(a), p.wavePreference(b)),
			cmp.Compare(p.shortageWithout(a, now), p.shortageWithout(b, now)),
			cmp.Compare(a.longRunning, b.longRunning), cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.ID, b.ID),
		)
	})
	down := p.countDown(w, now)
	for _, m := range pending {
		if inProgress+down >= w.MaxDown+drainAhead {
			return
		}
		if m.intent != nil || m.State != Up || (!urgent && p.shortageWithout(m, now) > 0) {
			continue
		}
		p.setIntent(m, Order{Machine: m.ID, Wave: w.Number}, now)
		inProgress++
	}
}

// isUrgent reports whether the pending machines of a wave need more than two thirds of the time
// that is left.
func (p *Planner) isUrgent(w *trackedWave, pending int, now clock.Millis) bool {
	rounds := clock.Millis((pending + max(1, w.MaxDown) - 1) / max(1, w.MaxDown))
	need := rounds * (p.MaintenanceTime + drainTime)
	return now+need+need/2 > w.firstSeenAt+w.Duration
}

// countDown returns the number of machines that are or may be down for the maintenance of a wave: those
// that this fleet leader has ordered, those that are listed as down, and those to which an order of its
// predecessor may be on the way.
func (p *Planner) countDown(w *trackedWave, now clock.Millis) int {
	n := 0
	for _, m := range p.machines {
		ordered := m.maintenanceWave == w && m.ordered
		if ordered || (w.members[m.ID] && (m.State == InMaintenance || p.isHeld(m.ID, now))) {
			n++
		}
	}
	return n
}

// shortageWithout returns 1 if the pool of a machine would have less capacity than it needs
// without the machine, or has no recent report; otherwise 0. Without a machine of the spare pool or of
// an evacuated zone, or one that is not up, there is no shortage.
func (p *Planner) shortageWithout(m *trackedMachine, now clock.Millis) int {
	if m.Pool == p.spare || m.State != Up || p.isEvacuated(m) {
		return 0
	}
	pool := p.pools[m.Pool]
	if pool == nil || now-pool.loadAt > maxLoadAge {
		return 1
	}
	need := p.need(pool)
	if need <= p.capacity(m.Pool)-m.Capacity.CPU {
		return 0
	}
	return 1
}
