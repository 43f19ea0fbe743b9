package schedule

import (
	"citronknot/clock"
	"citronknot/fleet"
)

// starter is the record of a member that sends start orders to some workers of the pool: the owner
// itself, or one of its dispatchers.
type starter struct {
	workers int // workers that the member sends orders to
	pending int // starts without a response
}

// SetDispatcher records that a member polls a worker and sends it its orders from now on. The empty
// id stands for the owner. The worker counts as unreachable until [Pool.SetReachable] is called.
func (p *Pool) SetDispatcher(id fleet.InstanceID, member fleet.MemberID) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.reachable = false // the former member's report, if it was unreachable, stays the newest one
	if w.starterID != member || w.starter == nil {
		p.setStarter(w, member)
		p.emit(Event{Kind: "worker_assigned", Worker: id, Detail: string(member)})
	}
}

// LoseOrders records that the orders to a worker which have no response will never have one. Starts
// are withdrawn, and stops are sent again.
func (p *Pool) LoseOrders(id fleet.InstanceID, now clock.Millis) {
	w := p.workers[id]
	if w == nil {
		return
	}
	for t := range w.tasks {
		switch {
		case t.state == starting:
			p.markUnanswered(t, now)
		case t.state == stopping && !t.stopAccepted:
			p.repeatStop(t, now)
		}
	}
}

// HoldStarts sets whether a worker takes no starts because the owner has not recorded durably that it
// uses the worker.
func (p *Pool) HoldStarts(id fleet.InstanceID, hold bool) {
	if w := p.workers[id]; w != nil {
		w.startsHeld = hold
	}
}

// setStarter makes a member the starter of a worker.
func (p *Pool) setStarter(w *worker, member fleet.MemberID) {
	p.clearStarter(w)
	s := p.starters[member]
	if s == nil {
		s = &starter{}
		p.starters[member] = s
	}
	s.workers++
	w.starter, w.starterID = s, member
}

// clearStarter removes a worker from its starter, if it has one.
func (p *Pool) clearStarter(w *worker) {
	if w.starter == nil {
		return
	}
	if w.starter.workers--; w.starter.workers == 0 {
		delete(p.starters, w.starterID)
	}
	w.starter = nil
}

// setStarting records that a task's start was ordered and has no response.
func (p *Pool) setStarting(t *task) {
	p.startingTasks[t] = t.worker.starter
	t.worker.starter.pending++
}

// clearStarting records that a task is no longer in state starting. It does nothing if it was not.
func (p *Pool) clearStarting(t *task) {
	if s := p.startingTasks[t]; s != nil {
		s.pending--
		delete(p.startingTasks, t)
	}
	if t.unansweredAt != 0 {
		t.unansweredAt = 0
		delete(p.unansweredStarts, t)
	}
}

// Searches returns the number of tasks for which the last pass searched a worker.
func (p *Pool) Searches() int { return p.searches }

// StartsDeferred reports whether the last pass left out starts until pending starts have a response.
func (p *Pool) StartsDeferred() bool { return p.startsDeferred }

// maxDeferredSteps is the number of steps in a pass that find no worker because of pending starts before the pass
// ends. The responses are there within a fraction of a second and wake another one. Load: a new
// owner of a large pool, with free capacity and thousands of waiting tasks, whose dispatchers all
// have as many pending starts as they may. Without the limit, each pass searches all workers for each
// step.
const maxDeferredSteps = 32

// deferStep records that a step found no worker, and reports whether so many have because of pending
// starts that the pass is to end.
func (p *Pool) deferStep() bool {
	if p.startsDeferred {
		p.deferredSteps++
	}
	return p.deferredSteps >= maxDeferredSteps
}

// startLimitReached reports whether no starter may have another pending start. If so, it records
// that starts are deferred.
func (p *Pool) startLimitReached() bool {
	full := p.MaxStarting > 0 && len(p.startingTasks) >= p.MaxStarting*max(1, len(p.starters))
	p.startsDeferred = p.startsDeferred || full
	return full
}

// starterBusy reports whether a worker's starter may have no other pending start. If so, it records
// that starts are deferred.
func (p *Pool) starterBusy(w *worker) bool {
	busy := p.MaxStarting > 0 && w.starter.pending >= p.MaxStarting
	p.startsDeferred = p.startsDeferred || busy
	return busy
}
