package schedule

import (
	"cmp"
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
