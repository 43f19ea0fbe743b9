package schedule

import (
	"fmt"
	"slices"

	"citronknot/clock"
	"citronknot/job"
)

// observeEnd processes one run that a worker lists as ended.
func (p *Pool) observeEnd(w *worker, e *EndReport, now clock.Millis) {
	if key := (runKey{task: e.Task, run: e.Run}); len(w.unexpected) > 0 {
		delete(w.unexpected, key)
		p.byFreeCPU.update(w)
	}
	t := p.findReported(e.Task, now)
	if t == nil {
		return
	}
	current := t.worker == w && t.run == e.Run
	if current {
		if e.Kind == EndDone {
			p.observeRunTime(t, now)
		}
		p.unassign(t, now)
		t.lastAbsence = absenceAfter(e.Kind)
		p.endRecordedTrial(t, e.Run)
	}
	if e.Checkpoint != "" && e.Run >= t.run {
		t.checkpoint = e.Checkpoint
	}
	if t.state == unconfirmed && e.Run >= t.run {
		t.run = e.Run
	}
	p.emit(Event{Kind: "run_ended", Task: e.Task, Run: e.Run, Worker: w.ID, Detail: e.Kind.String()})
	switch {
	case t.state == done:
	case e.Kind == EndDone:
		w.recordSuccess()
		p.taskDone(t, now)
	case e.Kind == EndFailed:
		p.taskFailed(t, w, e.Run, current, now)
	case current:
		p.requeueOrBlock(t, now)
	}
}

// requeueOrBlock makes a task that was freed ready to start again, or blocks it if its job is
// final or an earlier step is not done. A run can be adopted, and end, before the earlier
// steps are known to be done. An unconfirmed task stays unconfirmed: the end of an earlier run
// does not exclude that a newer run exists on a worker that was not polled yet.
func (p *Pool) requeueOrBlock(t *task, now clock.Millis) {
	switch {
	case t.state == done || t.state == exhausted || t.state == unconfirmed:
	case t.step.job.state.Final() || t.step.blockedBy > 0:
		t.setState(blocked, now)
	default:
		p.requeue(t, now)
	}
}

// taskDone processes the successful end of a run.
func (p *Pool) taskDone(t *task, now clock.Millis) {
	s, j := t.step, t.step.job
	if s.spec.LongRunning {
		if t.worker == nil {
			p.requeueOrBlock(t, now)
		}
		return
	}
	p.markDone(t, now)
	if s.spec.Gang { // one end counts for all tasks of the gang
		for i := range s.tasks {
			p.markDone(&s.tasks[i], now)
		}
	}
	p.markDirty(j)
	if !s.finished() {
		return
	}
	p.stepDone(j, s, now)
}

// markDone makes a task done, after which it never starts again. It is the only function that
// does so, except that createOccurrence restores the tasks recorded as done.
func (p *Pool) markDone(t *task, now clock.Millis) {
	if t.state == done {
		return
	}
	if t.state == waiting {
		t.step.waitingTasks--
	}
	p.withdrawRecording(t, now)
	if t.worker != nil && t.run != 0 && !t.step.spec.Gang {
		// The successful end of an older run was reported late, while a newer run of the task
		// exists.
		p.orders = append(p.orders, Order{Kind: Stop, Worker: t.worker.ID, Incarnation: t.worker.Incarnation, Task: t.ref(), Run: t.run, Reason: StopUnexpected})
	}
	delete(p.stoppingTasks, t)
	p.clearStarting(t)
	p.countWork(t, false)
	t.setState(done, now)
	t.step.doneTasks++
	t.step.job.progress.MarkDone(t.position())
}

// stepDone unblocks the steps that depend only on steps that are done, and completes the
// occurrence if no step remains.
func (p *Pool) stepDone(j *Job, s *stepRun, now clock.Millis) {
	o := j.occurrence(s.occurrence)
	if o == nil {
		return
	}
	o.remainingSteps--
	for _, later := range o.steps {
		if slices.Contains(later.spec.After, s.index) {
			later.blockedBy--
			if later.blockedBy == 0 && !j.state.Final() {
				p.unblock(later, now)
			}
		}
	}
	if o.remainingSteps == 0 {
		p.completeOccurrence(j, o, now)
	}
}

// completeOccurrence records an occurrence of which all steps are done. The last one completes the
// job.
func (p *Pool) completeOccurrence(j *Job, o *occurrence, now clock.Millis) {
	j.progress.CompleteOccurrence(o.index)
	p.markDirty(j)
	if j.progress.CompleteCount() == j.Occurrences() && !j.state.Final() {
		p.finish(j, job.Complete, fmt.Sprintf("all tasks are done after %d ms; the objective was %d ms", now-j.acceptedAt, j.objective-j.acceptedAt), now)
	}
}

// taskFailed counts the failure of a run, and fails the job if the task has failed as often as
// the queue allows. current reports whether the run is the task's newest one on its worker.
// Failures of long-running tasks do not count against the job.
func (p *Pool) taskFailed(t *task, w *worker, run int, current bool, now clock.Millis) {
	s, j := t.step, t.step.job
	p.recordRunFailure(t, w, run, now)
	if s.spec.LongRunning {
		if current || t.worker == nil {
			p.requeueOrBlock(t, now)
		}
		return
	}
	at := t.position()
	if s.spec.Gang {
		at.Index = 0
	}
	failures := j.progress.AddFailure(at, run)
	p.markDirty(j)
	switch {
	case j.state.Final():
	case failures >= j.attempts():
		p.exhaust(t, fmt.Sprintf("a task failed as often as the queue allows: %s in its runs %v", t.unit().ref(), j.progress.Failures[at]), now)
	case t.step.blockedBy == 0 && t.worker == nil && j.recovered && !p.recoveryFinished:
		t.setState(unconfirmed, now) // workers that have not responded may report more failures
	case current || t.worker == nil:
		p.requeueOrBlock(t, now)
	}
}

// exhaust fails the job of a task that does not start again.
func (p *Pool) exhaust(t *task, cause string, now clock.Millis) {
	if t.state == waiting {
		t.step.waitingTasks--
	}
	p.withdrawRecording(t, now)
	t.setState(exhausted, now)
	p.finish(t.step.job, job.Failed, cause, now)
}
