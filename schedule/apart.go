package schedule

import (
	"slices"

	"citronknot/clock"
)

// stackedApart is the number of jobs whose tasks may be started apart on one worker within startupTime,
// if no other task waits for capacity. More would leave many jobs suspected if one of them crashes the
// worker.
const stackedApart = 2

// mayStartApart reports whether a task may be started apart on a worker now. Tasks of one job may be
// started together: if one of them crashes the worker, the job is known.
func (p *Pool) mayStartApart(t *task, w *worker, now clock.Millis) bool {
	switch {
	case !w.hasStartedApart(now):
		return p.apartLeft > 0
	case slices.Contains(w.apartJobs, t.step.job):
		return true
	}
	return !p.full && len(w.apartJobs) < stackedApart
}

// hasStartedApart reports whether a task was started apart on the worker within startupTime.
func (w *worker) hasStartedApart(now clock.Millis) bool {
	return w.apartAt != 0 && now-w.apartAt < startupTime
}

// recordApart assigns a task that starts apart to a worker and records its start. The start is ordered
// once that is durable.
func (p *Pool) recordApart(t *task, w *worker, now clock.Millis) {
	t.run = max(t.run, p.RunBase) + 1
	p.assign(t, w, recording, now)
	p.recordTrialOf(t, w, false)
	if !w.hasStartedApart(now) {
		w.apartJobs = nil
		p.apartLeft--
	}
	w.apartAt = now
	if !slices.Contains(w.apartJobs, t.step.job) {
		w.apartJobs = append(w.apartJobs, t.step.job)
	}
	p.apart = append(p.apart, &trialStart{task: t, worker: w, run: t.run})
}

// startApart orders the starts of tasks that start apart and whose record is durable.
func (p *Pool) startApart(now clock.Millis) {
	p.apart = slices.DeleteFunc(p.apart, func(s *trialStart) bool {
		t, w := s.task, s.worker
		switch {
		case t.state != recording || t.run != s.run: // withdrawn
		case !p.startPossible(s, now) || w.trial != nil:
			p.unassign(t, now)
			p.requeueOrBlock(t, now)
			p.endRecordedTrial(t, s.run)
		case s.durable:
			p.unassign(t, now)
			p.start(t, w, s.run, now)
		default:
			return false
		}
		return true
	})
}
