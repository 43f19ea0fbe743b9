package schedule

import "citronknot/clock"

// Answered processes the outcome of an order. Outcomes for an earlier run or incarnation are
// ignored.
func (p *Pool) Answered(o Order, outcome Outcome, now clock.Millis) {
	w := p.workers[o.Worker]
	t := p.find(o.Task)
	if w == nil || t == nil || t.worker != w || t.run != o.Run {
		return
	}
	if w.Incarnation != o.Incarnation {
		if o.Kind == Start && t.keptSince != 0 {
			p.keptAnswered(t, outcome, now)
		}
		return
	}
	switch {
	case o.Kind == Start && t.state == starting:
		p.startOutcome(t, w, outcome, now)
	case o.Kind == Stop && t.state == stopping && outcome == Accepted && !t.stopAccepted:
		t.stopAccepted, t.stopAcceptedAt = true, now
	}
}

// startOutcome processes the outcome of a start.
func (p *Pool) startOutcome(t *task, w *worker, outcome Outcome, now clock.Millis) {
	switch outcome {
	case Accepted:
		t.answeredAt = now
		p.confirmStart(t, now)
		return
	case UnknownOutcome:
		p.markUnanswered(t, now)
		return
	case NoCapacity:
		w.fullUntil = now + fullDuration
	case ZoneClosed:
		w.closedUntil = now + closedDuration
	case OldRun:
		t.step.raiseRuns(t.run)
	case BadTicket:
		delete(t.step.advice.tickets, w)
	case Refused:
		p.countRefusal(w, t, now)
	}
	p.unassign(t, now)
	p.requeueOrBlock(t, now)
	if t.step.spec.Gang {
		p.stopGang(t.step, now)
	}
}

// raiseRuns makes the next run number of a step exceed one that a worker rejected as old.
func (s *stepRun) raiseRuns(run int) {
	for i := range s.tasks {
		s.tasks[i].run = max(s.tasks[i].run, run)
	}
}

// stopGang stops the tasks of a gang if one of them could not start, so that the others do not
// wait for it.
func (p *Pool) stopGang(s *stepRun, now clock.Millis) {
	for i := range s.tasks {
		p.stop(&s.tasks[i], StopGang, now)
	}
}
