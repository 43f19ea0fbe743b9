package schedule

import (
	"citronknot/clock"
)

// Parameters of the controller that limits best-effort tasks to protect serving tasks on the
// same worker. Tail latency is compared as a percentage of its target.
const (
	paceHalveAtPercent    = 80                // tail latency at which the pace is halved
	paceRaiseBelowPercent = 55                // tail latency below which the pace is raised
	paceRaiseStep         = 10                // percentage points
	paceInterval          = clock.Millis(400) // shortest time between two orders to one task
	paceMinPercent        = 1                 // lowest pace
)

// paceAll adjusts the pace of best-effort tasks on workers that also have serving tasks.
func (p *Pool) paceAll(now clock.Millis) {
	if p.bestEffortTasks == 0 {
		return
	}
	for _, w := range p.sortedWorkers {
		if w.reachable && w.countServing() > 0 && w.countBestEffort() > 0 {
			p.pace(w, now)
		}
	}
}

// pace orders a new pace for each best-effort task on the worker, based on the worst tail
// latency of its serving tasks. Without recent reports of tail latency, it reduces the pace as
// for a missed target.
func (p *Pool) pace(w *worker, now clock.Millis) {
	var worstTailPercent int64
	fresh := true
	for t := range w.tasks {
		if target := t.step.spec.TailLatencyTarget; target > 0 && t.state == running {
			worstTailPercent = max(worstTailPercent, int64(t.tailLatency)*100/int64(target))
			fresh = fresh && now-t.tailLatencyAt < 2*paceInterval+clock.Millis(1000)
		}
	}
	for t := range w.tasks {
		if !t.step.spec.BestEffort || t.state != running || now-t.orderedPaceAt < paceInterval {
			continue
		}
		current := t.currentPace()
		next := current
		switch {
		case !fresh || worstTailPercent >= 100:
			next = current / 4
		case worstTailPercent >= paceHalveAtPercent:
			next = current / 2
		case worstTailPercent < paceRaiseBelowPercent:
			next = current + paceRaiseStep
		}
		next = min(100, max(paceMinPercent, next))
		if next == current {
			continue
		}
		t.orderedPaceAt, t.orderedPace = now, next
		p.orders = append(p.orders, Order{Kind: Pace, Worker: w.ID, Incarnation: w.Incarnation, Task: t.ref(), Run: t.run, Percent: next})
	}
}

// currentPace returns the pace last ordered for the task, in percent of full speed; 100 if
// none was ordered.
func (t *task) currentPace() int {
	if t.orderedPace == 0 {
		return 100
	}
	return t.orderedPace
}
