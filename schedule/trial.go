package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/job"
)

// trial is the start of suspected tasks of a job on workers that run nothing else, or only settled
// runs, so that a crash shows that the job is the cause. During a trial nothing else is started on its
// workers.
type trial struct {
	job    *Job
	starts []trialStart
	phase  trialPhase
	since  clock.Millis // when the phase began
}

// trialStart is the start of one task in a trial.
type trialStart struct {
	task    *task
	worker  *worker
	run     int  // number of the run, once it is recorded
	durable bool // the run is recorded durably
}

// trialPhase is the phase of a trial.
type trialPhase uint8

const (
	trialReserved  trialPhase = iota // waits until the other runs on the workers have ended or are settled
	trialRecording                   // waits until the trial is durable
	trialRunning
)

// aloneTime is the longest time for which the tasks of a trial keep their workers to themselves.
const aloneTime clock.Millis = 10_000

// startPossible reports whether a recorded start may still be ordered. The capacity of the worker may
// have shrunk since it was recorded.
func (p *Pool) startPossible(s *trialStart, now clock.Millis) bool {
	return p.workers[s.worker.ID] == s.worker && s.worker.isUsable(now) && !s.worker.isOverCapacity()
}

// runTrials ends, continues and begins trials of suspected tasks.
func (p *Pool) runTrials(now clock.Millis) {
	p.startApart(now)
	if len(p.suspects) == 0 && len(p.trials) == 0 {
		return
	}
	p.trials = slices.DeleteFunc(p.trials, func(tr *trial) bool { return p.advanceTrial(tr, now) })
	p.suspects = slices.DeleteFunc(p.suspects, func(u *task) bool {
		p.forgetCrashes(u, now)
		return u.record().suspicion == unsuspected || u.state == done || u.step.job.state.Final()
	})
	p.updateTrialsDue()
	counts := p.countWorkers(now)
	p.beginTrials(counts, now)
	active := 0
	for _, tr := range p.trials {
		if tr.isActive(now) {
			active++
		}
	}
	p.apartLeft = maxApartWorkers(counts, active)
}

// beginTrials begins the trials that the limits permit.
func (p *Pool) beginTrials(c workerCounts, now clock.Millis) {
	limits := newTrialLimits(c, p.trialsPassed)
	for _, tr := range p.trials {
		limits.count(tr, now)
	}
	if limits.all <= 0 {
		return
	}
	candidates := p.trialCandidates(now)
	if len(candidates) == 0 {
		return
	}
	workers := p.trialWorkers(limits.reserved > 0, now)
	for _, u := range candidates[:min(len(candidates), maxTrialSearches)] {
		if u.step.job.trial != nil {
			continue // a job takes down one worker at a time
		}
		tr := p.beginTrial(u, workers, now)
		if tr == nil {
			continue
		}
		p.trials = append(p.trials, tr)
		if limits.count(tr, now); limits.all <= 0 || len(workers) == 0 {
			return
		}
		if limits.reserved <= 0 {
			workers = p.trialWorkers(false, now)
		}
	}
}

// beginTrial begins the trial of a unit and of the other suspected tasks of its job that fit beside
// it, on some of the workers, which it reserves if other runs have to end first. It returns nil if none
// of the workers fits.
func (p *Pool) beginTrial(u *task, workers []*worker, now clock.Millis) *trial {
	if u.step.job.policy.Advised {
		p.requestAdvice(u.step, now)
	}
	tr := &trial{job: u.step.job, starts: p.chooseTrialWorkers(u, workers, now), since: now}
	if tr.starts == nil {
		return nil
	}
	tr.job.trial = tr
	for _, s := range tr.starts {
		s.worker.trial = tr
	}
	if p.trialReady(tr, now) {
		p.recordTrial(tr, now)
	}
	return tr
}

// trialReady reports whether the start of a trial may be recorded.
func (p *Pool) trialReady(tr *trial, now clock.Millis) bool {
	settled := !slices.ContainsFunc(tr.starts, func(s trialStart) bool { return !s.worker.isSettled(now) })
	return settled && p.hasRoom(tr)
}

// hasRoom reports whether the tasks of a trial fit on their workers and within their team's allowance
// now. Only it and [Pool.chooseWorker] enforce capacity.
func (p *Pool) hasRoom(tr *trial) bool {
	if !p.withinAllowanceFor(tr.job.Team, tr.needs()) {
		return false
	}
	for _, s := range tr.starts {
		s.worker.reserve(s.task)
	}
	fits := !slices.ContainsFunc(tr.starts, func(s trialStart) bool { return s.worker.isOverCapacity() })
	for _, s := range tr.starts {
		s.worker.release(s.task)
	}
	return fits
}

// needs returns what the tasks of a trial need together.
func (tr *trial) needs() job.Resources {
	var sum job.Resources
	for _, s := range tr.starts {
		sum = sum.Add(s.task.step.spec.Needs)
	}
	return sum
}

// recordTrial assigns the tasks of a trial to their workers and records the trial. The start is
// ordered once that is durable.
func (p *Pool) recordTrial(tr *trial, now clock.Millis) {
	tr.phase, tr.since = trialRecording, now
	gangRun, checkpoint := 0, ""
	for i := range tr.starts {
		s := &tr.starts[i]
		t := s.task
		s.run = max(t.run, p.RunBase) + 1
		if t.step.spec.Gang { // all tasks of a gang have one run number and one checkpoint
			gangRun = max(gangRun, t.step.nextRun(p.RunBase))
			checkpoint = max(checkpoint, t.step.newestCheckpoint())
			s.run, t.checkpoint = gangRun, checkpoint
		}
	}
	for _, s := range tr.starts {
		s.task.run = s.run
		p.assign(s.task, s.worker, recording, now)
		p.recordTrialOf(s.task, s.worker, true)
	}
}

// recordTrialOf records the newest run of a suspected task as a trial on a worker.
func (p *Pool) recordTrialOf(t *task, w *worker, alone bool) {
	j := t.step.job
	j.progress.SetTrial(t.position(), job.Trial{Run: t.run, Worker: w.ID, Incarnation: w.Incarnation, Alone: alone})
	p.markDirty(j)
}

// confirmStarts records which of the recorded starts of a job are durable.
func (p *Pool) confirmStarts(j *Job, c Change) {
	confirm := func(s *trialStart) {
		recorded, ok := c.Progress.Trials[s.task.position()]
		s.durable = s.durable || (ok && recorded.Run == s.run)
	}
	if j.trial != nil {
		for i := range j.trial.starts {
			confirm(&j.trial.starts[i])
		}
	}
	for _, s := range p.apart {
		if s.task.step.job == j {
			confirm(s)
		}
	}
}

// isDurable reports whether the starts of a trial may be ordered.
func (tr *trial) isDurable() bool {
	return !slices.ContainsFunc(tr.starts, func(s trialStart) bool { return !s.durable })
}

// advanceTrial continues a trial and reports whether it is over.
func (p *Pool) advanceTrial(tr *trial, now clock.Millis) bool {
	switch {
	case tr.phase != trialRunning && !p.trialPossible(tr, now):
		p.withdrawTrial(tr, now)
		return true
	case tr.phase == trialReserved && p.trialReady(tr, now):
		p.recordTrial(tr, now)
	case tr.phase == trialRecording && tr.isDurable():
		p.startTrial(tr, now)
	case tr.phase == trialRunning && tr.isOver(now):
		if tr.crashed() {
			p.trialsPassed /= 2
		} else {
			p.trialsPassed = min(p.trialsPassed+1, len(p.workers))
		}
		p.endTrial(tr)
		return true
	}
	return false
}

// trialPossible reports whether the tasks of a trial may still start on its workers.
func (p *Pool) trialPossible(tr *trial, now clock.Millis) bool {
	return !slices.ContainsFunc(tr.starts, func(s trialStart) bool {
		if tr.phase == trialRecording {
			return s.task.state != recording || !p.startPossible(&s, now)
		}
		return s.task.state != waiting || p.workers[s.worker.ID] != s.worker || !s.worker.isUsable(now)
	})
}

// startTrial orders the starts of a durable trial.
func (p *Pool) startTrial(tr *trial, now clock.Millis) {
	tr.phase, tr.since = trialRunning, now
	for _, s := range tr.starts {
		t, w := s.task, s.worker
		p.emit(Event{Kind: "task_started_alone", Task: t.ref(), Run: s.run, Worker: w.ID})
		p.unassign(t, now)
		p.start(t, w, s.run, now)
	}
}

// isOver reports whether a trial is over: its runs have ended, or have gone on for aloneTime.
func (tr *trial) isOver(now clock.Millis) bool {
	return !slices.ContainsFunc(tr.starts, func(s trialStart) bool {
		if s.task.keptSince != 0 {
			return true // it may have crashed its worker, or be on its successor
		}
		return s.task.worker == s.worker && (now-tr.since < aloneTime || !s.worker.reachable)
	})
}

// unresponsive reports whether a worker of a trial that has begun does not respond any more.
func (tr *trial) unresponsive() bool {
	return tr.phase == trialRunning && slices.ContainsFunc(tr.starts, func(s trialStart) bool { return !s.worker.reachable })
}

// crashed reports whether a run of the trial was lost in a crash.
func (tr *trial) crashed() bool {
	return slices.ContainsFunc(tr.starts, func(s trialStart) bool {
		return slices.ContainsFunc(s.task.crashes(), func(c job.Crash) bool { return c.Run == s.run })
	})
}

// withdrawTrial ends a trial whose starts were not ordered. Its tasks wait again.
func (p *Pool) withdrawTrial(tr *trial, now clock.Millis) {
	for _, s := range tr.starts {
		if t := s.task; t.state == recording {
			p.unassign(t, now)
			p.requeueOrBlock(t, now)
		}
	}
	p.endTrial(tr)
}

// endTrial ends a trial. Its workers take other tasks again.
func (p *Pool) endTrial(tr *trial) {
	tr.job.trial = nil
	for _, s := range tr.starts {
		if s.worker.trial == tr {
			s.worker.trial = nil
		}
		p.endRecordedTrial(s.task, s.run)
	}
}

// endRecordedTrial removes the record of the trial of a task's run, if there is one.
func (p *Pool) endRecordedTrial(t *task, run int) {
	if j := t.step.job; !j.state.Final() && j.progress.EndTrial(t.position(), run) {
		p.markDirty(j)
	}
}

// withdrawRecording frees the worker of a task whose start is being recorded, and was not ordered.
func (p *Pool) withdrawRecording(t *task, now clock.Millis) {
	if t.state == recording {
		p.unassign(t, now)
		t.setState(blocked, now)
	}
}
