package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// A worker may start again under its id. Its successor takes orders that were meant for the ended incarnation,
// and can't tell them apart. A run is known to have been on the ended incarnation, and so to have ended
// with it, only if that has listed it, or has made a list after it answered the start. All others may be on the
// successor. They stay on its record until it has listed them, or certainly does not run them.

// isProven reports whether the newest run of a task that occupies the worker is known to have been carried
// out by this incarnation of it.
func (w *worker) isProven(t *task) bool {
	if t.orderedAt == 0 || t.state == recording {
		return true // it was adopted from a list, or is not ordered yet
	}
	return t.listedAt >= max(t.orderedAt, t.keptSince) || (t.answeredAt != 0 && t.answeredAt <= w.aliveAt)
}

// unproven returns the tasks whose runs are not known to have been carried out by this incarnation, in order.
func (w *worker) unproven() []*task { return slices.DeleteFunc(w.sortedTasks(), w.isProven) }

// UnprovenRuns returns the number of runs on a worker that its successor may have carried out if it has started
// again under its id.
func (p *Pool) UnprovenRuns(id fleet.InstanceID) int {
	w := p.workers[id]
	if w == nil {
		return 0
	}
	return len(w.unproven())
}

// RestartWorker records that a worker has started again under its id. Runs that the ended incarnation is known
// to have carried out end; the others stay on its successor. That is not listed, and takes no starts, until
// [Pool.SetWorker] is called.
func (p *Pool) RestartWorker(id fleet.InstanceID, successor clock.Millis, reason string, now clock.Millis) {
	next := Worker{ID: id}
	var kept []keptRun
	if w := p.workers[id]; w != nil {
		next = w.Worker
		lost := w.lostRuns(now)
		kept, lost = p.detachUnproven(w, lost, now)
		p.removeWorker(w, lost, LossCrash, reason, now)
	}
	next.Incarnation, next.Draining = successor, false
	p.SetWorker(next, now)
	p.Unlist(id, now)
	for _, k := range kept {
		p.keep(k, p.workers[id], now)
	}
}

// keptRun is a run that may be on the successor of its worker.
type keptRun struct {
	task     *task
	state    taskState
	crash    *job.Crash   // see task.formerCrash
	callEnds clock.Millis // see task.callEnds
}

// detachUnproven takes the tasks off a worker that has ended whose runs may be on its successor. It returns
// them, and those of the lost runs that were certainly on the worker.
func (p *Pool) detachUnproven(w *worker, lost []lostRun, now clock.Millis) (kept []keptRun, certain []lostRun) {
	unproven := w.unproven()
	for _, t := range unproven {
		k := keptRun{task: t, state: t.state, crash: t.formerCrash, callEnds: t.callEnds}
		if t.state == starting && t.keptSince == 0 && t.unansweredAt == 0 {
			k.callEnds = now + startCallTime
		}
		kept = append(kept, k)
	}
	for _, t := range unproven {
		p.unassign(t, now)
		t.setState(unconfirmed, now) // it has no worker until it is kept, and its job may end before
	}
	provenUnits := map[*task]bool{}
	for t := range w.tasks {
		provenUnits[t.unit()] = true
	}
	crashes := map[*task]*job.Crash{} // by unit
	for i, l := range lost {
		if provenUnits[l.task.unit()] {
			certain = append(certain, l)
			continue
		}
		crashes[l.task.unit()] = &lost[i].crash
	}
	if w.isLeaving() {
		return kept, certain
	}
	for i := range kept {
		if k := &kept[i]; k.crash == nil {
			k.crash = crashes[k.task.unit()]
		}
	}
	return kept, certain
}

// startCallTime is the longest time that the call which orders a start takes, and its way to the member that
// makes the call.
const startCallTime clock.Millis = 1500

// keep assigns a task to the successor of its worker, which may run it. A run whose start got no answer, or whose
// job has ended, is stopped there, so that it does not begin later.
func (p *Pool) keep(k keptRun, w *worker, now clock.Millis) {
	t := k.task
	p.assign(t, w, k.state, now)
	t.keptSince, t.formerCrash, t.callEnds = now, k.crash, k.callEnds
	p.emit(Event{Kind: "run_kept", Task: t.ref(), Run: t.run, Worker: w.ID})
	switch {
	case t.step.job.state.Final() && k.state != stopping:
		p.stop(t, StopFinal, now)
	case k.state == stopping:
		t.stopAccepted = false
		p.stoppingTasks[t] = true
		p.repeatStop(t, now)
	case t.answeredAt == 0:
		p.markUnanswered(t, now)
	}
}

// keptAnswered processes the outcome of a start that was ordered from a former incarnation of the worker which
// may run the task.
func (p *Pool) keptAnswered(t *task, outcome Outcome, now clock.Millis) {
	t.callEnds = now
	switch outcome {
	case Accepted:
		t.answeredAt = now
	case UnknownOutcome:
	default: // no incarnation has carried it out
		t.formerCrash = nil
		p.freeUnstarted(t, now)
	}
}

// isAbsentKept reports whether a run that may be on the successor of its worker is certainly not there: its
// start was answered before the successor made a list without it.
func (t *task) isAbsentKept(r *Report) bool {
	return t.keptSince != 0 && t.answeredAt != 0 && t.answeredAt <= r.RequestedAt && t.listedAt < t.keptSince
}

// confirmKept records that a run is on the successor of its worker, so that it was not lost in the crash.
func (t *task) confirmKept() { t.keptSince, t.formerCrash, t.callEnds = 0, nil, 0 }

// freeUnstarted frees a task whose run certainly is not on its worker, and makes it ready to start again. If
// the run was on a former incarnation of the worker, it was lost in its crash.
func (p *Pool) freeUnstarted(t *task, now clock.Millis) {
	crash, id := t.formerCrash, t.worker.ID
	if t.keptSince != 0 {
		p.emit(Event{Kind: "run_not_kept", Task: t.ref(), Run: t.run, Worker: id})
		t.lastAbsence = AbsentLost
	}
	p.unassign(t, now)
	p.requeueOrBlock(t, now)
	if crash != nil {
		p.recordCrash(lostRun{task: t, members: []int{t.index}, crash: *crash}, now)
	}
	p.endRecordedTrial(t, t.run)
}
