package schedule

import (
	"cmp"
	"fmt"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// SetWorker adds a worker or updates its description. A new incarnation under the same id ends
// all runs of the previous one; see [Pool.RestartWorker] for those that it may have taken over.
func (p *Pool) SetWorker(d Worker, now clock.Millis) {
	w := p.workers[d.ID]
	if w != nil && w.Incarnation != d.Incarnation {
		p.RemoveWorker(d.ID, LossCrash, "another incarnation", now)
		w = nil
	}
	if w == nil {
		p.resolveDoubtsAbout(&d, now)
		w = &worker{Worker: Worker{ID: d.ID}, tasks: map[*task]bool{}, index: &p.byFreeCPU}
		p.workers[d.ID] = w
		i, _ := slices.BinarySearchFunc(p.sortedWorkers, d.ID, func(o *worker, id fleet.InstanceID) int { return cmp.Compare(o.ID, id) })
		p.sortedWorkers = slices.Insert(p.sortedWorkers, i, w)
		p.byFreeCPU.add(w)
		p.setStarter(w, "")
		p.emit(Event{Kind: "worker_found", Worker: d.ID})
	}
	if d.Draining && !w.Draining {
		p.emit(Event{Kind: "worker_draining", Worker: d.ID})
	}
	changed := d.Draining != w.Draining
	w.cold = w.cold.update(d.Cold, w.Cold, now)
	delete(p.lostWorkers, d.ID)
	w.Worker = d
	w.unlisted = false
	p.updateEvacuated(w, now)
	p.byFreeCPU.update(w)
	p.noteCapacity(w, now)
	if changed {
		p.countLeaving()
	}
}

// Unlist records that a worker's entry is gone. Its runs may continue until their leases
// expire.
func (p *Pool) Unlist(id fleet.InstanceID, now clock.Millis) {
	if w := p.workers[id]; w != nil && !w.unlisted {
		w.unlisted = true
		p.lostWorkers[id] = Arrival{At: now, Capacity: w.Capacity}
		p.emit(Event{Kind: "worker_unlisted", Worker: id})
	}
}

// RemoveWorker removes a worker. The caller guarantees that nothing runs on it any more. Only
// RemoveWorker and [Pool.ExpireLeases] end runs without a response of their worker. A worker that was
// leaving has not crashed, whatever cause says.
func (p *Pool) RemoveWorker(id fleet.InstanceID, cause LossCause, reason string, now clock.Millis) {
	if w := p.workers[id]; w != nil {
		p.removeWorker(w, w.lostRuns(now), cause, reason, now)
	}
}

// removeWorker removes a worker, with which the given runs are lost.
func (p *Pool) removeWorker(w *worker, lost []lostRun, cause LossCause, reason string, now clock.Millis) {
	id := w.ID
	if cause == LossCrash && w.isLeaving() {
		cause = LossExpected
	}
	delete(p.workers, id)
	p.sortedWorkers = slices.DeleteFunc(p.sortedWorkers, func(o *worker) bool { return o == w })
	p.byFreeCPU.remove(w)
	p.clearStarter(w)
	p.countLeaving()
	switch {
	case cause == LossExpected:
		delete(p.lostWorkers, id)
	case !w.unlisted:
		p.lostWorkers[id] = Arrival{At: now, Capacity: w.Capacity}
	}
	p.emit(Event{Kind: "worker_lost", Worker: id, Detail: reason, Machine: w.Machine, Rack: w.Rack, Loss: w.loss(cause, now)})
	if cause != LossSilent { // a silent worker's former doubt goes on
		p.resolveDoubt(id, cause == LossCrash, now)
		p.resolveTrials(w, cause == LossCrash, now)
	}
	p.endAllRuns(w, lost, cause, now)
}

// ExpireLeases records that the leases of all runs on a worker have expired. The worker stays in
// the pool.
func (p *Pool) ExpireLeases(id fleet.InstanceID, now clock.Millis) {
	if w := p.workers[id]; w != nil && len(w.tasks) > 0 {
		p.emit(Event{Kind: "worker_lapsed", Worker: id, Machine: w.Machine, Rack: w.Rack, Loss: w.loss(LossSilent, now)})
		p.endAllRuns(w, w.lostRuns(now), LossSilent, now)
	}
}

// endAllRuns frees the tasks that occupy a worker and requeues or blocks them. lost are the runs that are lost
// with the worker.
func (p *Pool) endAllRuns(w *worker, lost []lostRun, cause LossCause, now clock.Millis) {
	tasks := w.sortedTasks()
	w.unexpected = nil
	w.index.update(w)
	for _, t := range tasks {
		if t.state != recording {
			p.emit(Event{Kind: "run_lost", Task: t.ref(), Run: t.run, Worker: w.ID, Loss: w.runLoss(t, cause, now)})
		}
	}
	for _, t := range tasks {
		if t.keptSince != 0 {
			p.freeUnstarted(t, now)
			continue
		}
		p.unassign(t, now)
		t.lastAbsence = AbsentLost
		p.requeueOrBlock(t, now)
		if cause != LossSilent { // a silent worker may have crashed, which the next owner is to know
			p.endRecordedTrial(t, t.run)
		}
	}
	switch cause {
	case LossCrash:
		p.noteCrash(w, now)
		for _, l := range lost {
			p.recordCrash(l, now)
		}
	case LossSilent:
		p.addDoubt(w, lost, now)
	}
}

// SetReachable records whether a worker responds to calls. since is when it began or stopped to, or
// 0 if that is unknown.
func (p *Pool) SetReachable(id fleet.InstanceID, reachable bool, since clock.Millis) {
	if w := p.workers[id]; w != nil && w.reachable != reachable {
		w.reachable, w.unreachableSince = reachable, since
		if reachable {
			w.unreachableSince = 0
			p.resolveDoubt(id, false, since)
		}
		kind := "worker_unreachable"
		if reachable {
			kind = "worker_reachable"
		}
		p.emit(Event{Kind: kind, Worker: id})
	}
}

// Observe processes a worker's response to a poll that carried the fence of this owner lease.
func (p *Pool) Observe(id fleet.InstanceID, r Report, now clock.Millis) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.responded, w.respondedAt = true, now
	w.aliveAt = max(w.aliveAt, r.RequestedAt, r.ListedAt)
	if len(r.Ended) > 0 {
		w.fullUntil = 0
	}
	for i := range r.Ended {
		p.observeEnd(w, &r.Ended[i], now)
	}
	if r.EndsOnly {
		return
	}
	w.unexpected, w.listedAt = nil, max(r.RequestedAt, r.ListedAt)
	for i := range r.Running {
		p.observeRun(w, &r.Running[i], now)
	}
	p.byFreeCPU.update(w)
	p.resolveTrials(w, false, now)
	if !r.MoreEnds {
		p.freeUnlistedRuns(w, &r, now)
	}
}

// freeUnlistedRuns frees tasks whose run is certainly not on the worker and never will be: the worker
// accepted the stop of a withdrawn start before the poll was sent and does not list the run, or the run was on
// a former incarnation.
func (p *Pool) freeUnlistedRuns(w *worker, r *Report, now clock.Millis) {
	for t := range w.tasks {
		switch {
		case t.keptSince != 0 && t.listedAt >= t.keptSince:
			t.confirmKept()
		case t.isAbsentKept(r) || (t.isStopAccepted(r) && !r.lists(t)):
			p.freeUnstarted(t, now)
		}
	}
}

// isStopAccepted reports whether the worker accepted the stop of the task's run before a poll was sent, and
// the call that ordered the start had ended.
func (t *task) isStopAccepted(r *Report) bool {
	return t.state == stopping && t.stopAccepted && max(t.stopAcceptedAt, t.callEnds) <= r.RequestedAt
}

// lists reports whether a task's newest run is listed as running.
func (r *Report) lists(t *task) bool {
	return slices.ContainsFunc(r.Running, func(run RunReport) bool { return run.Task == t.ref() && run.Run == t.run })
}

// find returns the task that a reference names, or nil.
func (p *Pool) find(ref job.Ref) *task {
	j := p.jobs[ref.Job]
	if j == nil {
		return nil
	}
	o := j.occurrence(ref.Occurrence)
	if o == nil || ref.Step >= len(o.steps) || ref.Index >= len(o.steps[ref.Step].tasks) {
		return nil
	}
	return &o.steps[ref.Step].tasks[ref.Index]
}

// findReported returns the task of a run that a worker reports, or nil if the run is of no concern: its
// job is unknown or final, or its occurrence is complete. If a former owner has created the occurrence and
// this one has not, findReported creates it, so that no end is lost. It stays held until it is due on this
// owner's clock.
func (p *Pool) findReported(ref job.Ref, now clock.Millis) *task {
	if t := p.find(ref); t != nil {
		return t
	}
	j := p.jobs[ref.Job]
	if j == nil || !j.mayHaveRun(ref) {
		return nil
	}
	p.createOccurrence(j, ref.Occurrence, false, now)
	return p.find(ref)
}

// mayHaveRun reports whether a former owner may have started a task of an occurrence that is not created
// here and not complete.
func (j *Job) mayHaveRun(ref job.Ref) bool {
	if !j.recovered || j.state.Final() || ref.Occurrence >= j.Runs || j.progress.IsComplete(ref.Occurrence) {
		return false
	}
	return ref.Step < len(j.Steps) && ref.Index < j.Steps[ref.Step].Count
}

// observeRun processes one run that a worker lists as running. A run that the pool does not expect is
// stopped, without a look at [Pool.mayStop]: its job is unknown or final, or a newer run of its task was
// started, which happens only once the lease of this one has expired or its stop was accepted, and two runs of a
// task must not go on.
func (p *Pool) observeRun(w *worker, r *RunReport, now clock.Millis) {
	t := p.findReported(r.Task, now)
	if t != nil && t.worker == w && t.run == r.Run {
		t.listedAt = w.listedAt
		if t.listedAt >= t.stopUntil {
			t.stopUntil = 0
		}
		p.recordProgress(t, r, now)
		return
	}
	if t != nil && t.worker == nil && !t.step.job.state.Final() && (t.state == unconfirmed || t.state == waiting || t.state == blocked) {
		p.adopt(t, w, r, now)
		t.listedAt = w.listedAt
		return
	}
	p.noteUnexpected(w, r)
	p.emit(Event{Kind: "run_not_expected", Task: r.Task, Run: r.Run, Worker: w.ID})
	p.orders = append(p.orders, Order{Kind: Stop, Worker: w.ID, Incarnation: w.Incarnation, Task: r.Task, Run: r.Run, Reason: StopUnexpected})
}

// noteUnexpected records what a run occupies that the pool does not expect, until its end is listed. What
// the task of an unknown job needs is not known.
func (p *Pool) noteUnexpected(w *worker, r *RunReport) {
	j := p.jobs[r.Task.Job]
	if j == nil || r.Task.Step >= len(j.Steps) {
		return
	}
	if w.unexpected == nil {
		w.unexpected = map[runKey]job.Resources{}
	}
	w.unexpected[runKey{task: r.Task, run: r.Run}] = j.Steps[r.Task.Step].Occupies()
}

// adopt takes over a run that was started under an earlier owner lease. The former owner may
// have ordered its stop just before.
func (p *Pool) adopt(t *task, w *worker, r *RunReport, now clock.Millis) {
	t.run = r.Run
	t.stopUntil, t.adoptedAt, t.orderedAt, t.answeredAt = 0, now, 0, 0
	if p.StopTime > 0 {
		t.stopUntil = now + p.StopTime
	}
	p.assign(t, w, running, now)
	p.markStarted(t.step.job)
	p.recordProgress(t, r, now)
	p.emit(Event{Kind: "run_adopted", Task: r.Task, Run: r.Run, Worker: w.ID})
}

// recordProgress updates a task from the report of its run.
func (p *Pool) recordProgress(t *task, r *RunReport, now clock.Millis) {
	if t.state == starting {
		p.confirmStart(t, now)
	}
	if r.Checkpoint != "" && r.Checkpoint != t.checkpoint {
		t.checkpoint, t.checkpointAt = r.Checkpoint, now
	}
	t.percent = r.Percent
	if t.step.spec.TailLatencyTarget > 0 {
		t.tailLatency, t.tailLatencyAt = clock.Millis(r.Load), now
	}
}

// confirmStart records that a start took effect.
func (p *Pool) confirmStart(t *task, now clock.Millis) {
	p.clearStarting(t)
	t.setState(running, now)
	j := t.step.job
	if !j.started {
		p.markStarted(j)
		if j.state == job.Queued {
			j.state, j.durableState = job.Running, job.Running
		}
	}
}

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
