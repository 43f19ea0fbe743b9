package schedule

import (
	"cmp"
	"slices"

	"citronknot/clock"
	"citronknot/job"
)

// trial is the start of a suspected task on a worker that runs nothing else, or only settled runs, so
// that a crash shows that the task is the cause. During a trial nothing else is started on its workers.
type trial struct {
	unit    *task
	tasks   []*task   // the unit, or all tasks of its gang
	workers []*worker // of the tasks
	run     int       // number of the run, once it is recorded
	phase   trialPhase
	since   clock.Millis // when the phase began
	durable bool         // the trial is durable, so that the start may be ordered
}

// trialPhase is the phase of a trial.
type trialPhase uint8

const (
	trialReserved  trialPhase = iota // waits until the other runs on the workers have ended or are settled
	trialRecording                   // waits until the trial is durable
	trialRunning
)

// aloneTime is the longest time for which the task of a trial keeps its worker to itself.
const aloneTime clock.Millis = 10_000

// trialLimits bounds the trials of a pool, so that suspected tasks leave most of it to others: they
// can take down at most all workers at once, and keep others from reserved ones. A worker that
// crashes is back after seconds.
type trialLimits struct {
	all      int // trials that may yet crash their workers, or whose workers do not respond any more
	reserved int // trials that wait for other runs to end
}

// newTrialLimits returns the limits of a pool with the given number of workers.
func newTrialLimits(workers int) trialLimits {
	return trialLimits{all: max(2, workers/3), reserved: max(1, workers/8)}
}

// count takes a trial from the limits.
func (l *trialLimits) count(tr *trial, now clock.Millis) {
	switch {
	case tr.phase == trialReserved:
		l.reserved--
		l.all--
	case tr.phase == trialRecording || tr.crashed() || now-tr.since < settledAge:
		l.all--
	}
}

// runTrials ends, continues and begins trials of suspected tasks.
func (p *Pool) runTrials(now clock.Millis) {
	if len(p.suspects) == 0 && len(p.trials) == 0 {
		return
	}
	p.trials = slices.DeleteFunc(p.trials, func(tr *trial) bool { return p.advanceTrial(tr, now) })
	p.suspects = slices.DeleteFunc(p.suspects, func(u *task) bool {
		p.forgetCrashes(u, now)
		return u.suspicion == unsuspected || u.state == done || u.step.job.state.Final()
	})
	limits := newTrialLimits(len(p.workers))
	for _, tr := range p.trials {
		limits.count(tr, now)
	}
	if limits.all <= 0 {
		return
	}
	for _, u := range p.trialCandidates() {
		if u.step.job.trials > 0 {
			continue // a job takes down one worker at a time
		}
		tr := p.beginTrial(u, limits.reserved > 0, now)
		if tr == nil {
			continue
		}
		p.trials = append(p.trials, tr)
		if limits.count(tr, now); limits.all <= 0 {
			return
		}
	}
}

// crashed reports whether a worker of a trial that has begun does not respond any more.
func (tr *trial) crashed() bool {
	return tr.phase == trialRunning && slices.ContainsFunc(tr.workers, func(w *worker) bool { return !w.reachable })
}

// trialCandidates returns the suspected tasks that wait for a start. Those that are least likely to
// crash another worker come first.
func (p *Pool) trialCandidates() []*task {
	var out []*task
	for _, u := range p.suspects {
		if u.suspicion == startAlone && u.trial == nil && u.isWaiting() {
			out = append(out, u)
		}
	}
	slices.SortStableFunc(out, func(a, b *task) int { return cmp.Compare(countAtStart(a.crashes()), countAtStart(b.crashes())) })
	return out
}

// countAtStart returns the number of crashes at the start of a run.
func countAtStart(crashes []job.Crash) int {
	n := 0
	for _, c := range crashes {
		if c.Age <= startupTime {
			n++
		}
	}
	return n
}

// isWaiting reports whether a unit may start: the task, or all tasks of its gang, are waiting.
func (t *task) isWaiting() bool {
	if t.step.spec.Gang {
		return t.step.waitingTasks == len(t.step.tasks)
	}
	return t.state == waiting
}

// tasksOfUnit returns the tasks that start together with a unit.
func (t *task) tasksOfUnit() []*task {
	if !t.step.spec.Gang {
		return []*task{t}
	}
	out := make([]*task, len(t.step.tasks))
	for i := range out {
		out[i] = &t.step.tasks[i]
	}
	return out
}

// beginTrial begins the trial of a unit, or reserves workers for it if mayReserve says so and other
// runs have to end first. It returns nil if there are no workers.
func (p *Pool) beginTrial(u *task, mayReserve bool, now clock.Millis) *trial {
	tasks := u.tasksOfUnit()
	if !p.withinAllowance(u.step, int64(len(tasks))) {
		return nil
	}
	if u.step.job.policy.Advised {
		p.requestAdvice(u.step, now)
	}
	workers := p.chooseTrialWorkers(tasks, now)
	if workers == nil {
		return nil
	}
	tr := &trial{unit: u, tasks: tasks, workers: workers, since: now}
	ready := p.trialReady(tr, now)
	if !ready && !mayReserve {
		return nil
	}
	u.trial = tr
	u.step.job.trials++
	for _, w := range workers {
		w.trial = tr
	}
	if ready {
		p.recordTrial(tr, now)
	}
	return tr
}

// chooseTrialWorkers returns a worker for each of the tasks of a unit, or nil if there are not
// enough. Workers with few other runs are best: these are lost if the trial crashes the worker, or
// have to end first.
func (p *Pool) chooseTrialWorkers(tasks []*task, now clock.Millis) []*worker {
	t := tasks[0]
	candidates := slices.DeleteFunc(slices.Clone(p.sortedWorkers), func(w *worker) bool {
		_, ok := p.eligible(t, w, now)
		return !ok || p.starterBusy(w)
	})
	slices.SortStableFunc(candidates, func(a, b *worker) int {
		return cmp.Compare(p.trialCost(t, a, now), p.trialCost(t, b, now))
	})
	var out []*worker
	for _, w := range candidates {
		free := w.Capacity.Sub(w.lastingUse())
		placed := 0
		for len(out) < len(tasks) && t.needs().Scale(int64(placed+1)).Fits(free) && !t.step.fullOn(w, placed) {
			out = append(out, w)
			placed++
		}
		if len(out) == len(tasks) {
			return out
		}
	}
	return nil
}

// fullOn reports whether the limit on tasks of the step on one worker permits no more there, beside
// those that run and added more.
func (s *stepRun) fullOn(w *worker, added int) bool {
	return s.spec.MaxPerWorker > 0 && s.countOn(w)+added >= s.spec.MaxPerWorker
}

// Costs of a worker for a trial. No sum of the lower ones reaches the next higher one.
const (
	trialCostCrashed = 1 << 40 // its machine has crashed a short time ago
	trialCostWait    = 1 << 30 // other runs have to end first
	trialCostLasting = 1 << 20 // for each long-running task on it, and for another rack than that of the data
)

// trialCost returns the cost of a worker for a trial.
func (p *Pool) trialCost(t *task, w *worker, now clock.Millis) int64 {
	var c int64
	if at, ok := p.crashedAt[w.Machine]; ok && w.Machine != "" && now-at < doubtTime {
		c += trialCostCrashed
	}
	if !w.isSettled(now) {
		c += trialCostWait
	}
	for o := range w.tasks {
		c++
		if o.step.spec.LongRunning {
			c += trialCostLasting
		}
	}
	if spec := t.step.spec; spec.DataRack != "" && spec.DataRack != w.Rack {
		c += trialCostLasting
	}
	return c
}

// lastingUse returns what the worker's long-running tasks occupy. The others end soon.
func (w *worker) lastingUse() job.Resources {
	var sum job.Resources
	for t := range w.tasks {
		if t.step.spec.LongRunning {
			sum = sum.Add(t.needs())
		}
	}
	return sum
}

// isSettled reports whether all runs on the worker have gone on for settledAge.
func (w *worker) isSettled(now clock.Millis) bool {
	for t := range w.tasks {
		if now-max(t.orderedAt, t.adoptedAt) < settledAge {
			return false
		}
	}
	return true
}

// runsOnly reports whether all runs on the worker belong to a trial.
func (w *worker) runsOnly(tr *trial) bool {
	for t := range w.tasks {
		if t.unit() != tr.unit {
			return false
		}
	}
	return true
}

// trialReady reports whether the start of a trial may be recorded.
func (p *Pool) trialReady(tr *trial, now clock.Millis) bool {
	if !p.withinAllowance(tr.unit.step, int64(len(tr.tasks))) || !tr.hasRoom() {
		return false
	}
	return !slices.ContainsFunc(tr.workers, func(w *worker) bool { return !w.isSettled(now) })
}

// hasRoom reports whether the tasks fit on their workers now.
func (tr *trial) hasRoom() bool {
	for i, t := range tr.tasks {
		tr.workers[i].reserve(t)
	}
	fits := !slices.ContainsFunc(tr.workers, (*worker).isOverCapacity)
	for i, t := range tr.tasks {
		tr.workers[i].release(t)
	}
	return fits
}

// recordTrial assigns the tasks of a trial to their workers and records the trial. The start is
// ordered once that is durable.
func (p *Pool) recordTrial(tr *trial, now clock.Millis) {
	u := tr.unit
	tr.phase, tr.since = trialRecording, now
	run := u.step.nextRun(p.RunBase)
	if !u.step.spec.Gang {
		run = max(u.run, p.RunBase) + 1
	}
	checkpoint := ""
	for _, t := range tr.tasks {
		checkpoint = max(checkpoint, t.checkpoint)
	}
	for i, t := range tr.tasks {
		t.run, t.checkpoint = run, checkpoint
		p.assign(t, tr.workers[i], recording, now)
	}
	tr.run = run
	p.recordTrialOn(u, tr.workers[0], true)
}

// recordTrialOn records the newest run of a suspected unit as a trial on a worker.
func (p *Pool) recordTrialOn(u *task, w *worker, alone bool) {
	j := u.step.job
	j.progress.SetTrial(u.position(), job.Trial{Run: u.run, Worker: w.ID, Incarnation: w.Incarnation, Alone: alone})
	p.markDirty(j)
}

// confirmTrials records that the trials in a change are durable.
func (p *Pool) confirmTrials(c Change) {
	for _, tr := range p.trials {
		if tr.phase != trialRecording || tr.unit.step.job.ID != c.Job {
			continue
		}
		recorded, ok := c.Progress.Trials[tr.unit.position()]
		tr.durable = tr.durable || (ok && recorded.Run == tr.run)
	}
}

// advanceTrial continues a trial and reports whether it is over.
func (p *Pool) advanceTrial(tr *trial, now clock.Millis) bool {
	switch {
	case tr.phase == trialReserved && !p.trialPossible(tr, now):
		p.endTrial(tr)
		return true
	case tr.phase == trialReserved && p.trialReady(tr, now):
		p.recordTrial(tr, now)
	case tr.phase == trialRecording && !p.trialPossible(tr, now):
		p.withdrawTrial(tr, now)
		return true
	case tr.phase == trialRecording && tr.durable:
		p.startTrial(tr, now)
	case tr.phase == trialRunning && p.trialOver(tr, now):
		p.endTrial(tr)
		return true
	}
	return false
}

// trialPossible reports whether the tasks of a trial may still start on its workers.
func (p *Pool) trialPossible(tr *trial, now clock.Millis) bool {
	expected := waiting
	if tr.phase == trialRecording {
		expected = recording
	}
	if slices.ContainsFunc(tr.tasks, func(t *task) bool { return t.state != expected }) {
		return false
	}
	return !slices.ContainsFunc(tr.workers, func(w *worker) bool {
		// The capacity may have shrunk since the trial was recorded.
		return p.workers[w.ID] != w || !w.isUsable(now) || (tr.phase == trialRecording && w.isOverCapacity())
	})
}

// startTrial orders the start of the tasks of a durable trial.
func (p *Pool) startTrial(tr *trial, now clock.Millis) {
	tr.phase, tr.since = trialRunning, now
	for i, t := range tr.tasks {
		w := tr.workers[i]
		p.emit(Event{Kind: "task_started_alone", Task: t.ref(), Run: t.run, Worker: w.ID, Machine: w.Machine, Rack: w.Rack})
		p.unassign(t)
		p.start(t, w, t.run, now)
	}
}

// trialOver reports whether a trial is over: its runs have ended, or have gone on for aloneTime.
func (p *Pool) trialOver(tr *trial, now clock.Millis) bool {
	for i, t := range tr.tasks {
		if t.worker == tr.workers[i] && (now-tr.since < aloneTime || !t.worker.reachable) {
			return false
		}
	}
	return true
}

// endTrial ends a trial. Its workers take other tasks again.
func (p *Pool) endTrial(tr *trial) {
	u := tr.unit
	u.trial = nil
	u.step.job.trials--
	for _, w := range tr.workers {
		if w.trial == tr {
			w.trial = nil
		}
	}
	if tr.phase != trialReserved {
		p.endRecordedTrial(u, tr.run)
	}
}

// endRecordedTrial removes the record of the trial of a unit's run, if there is one.
func (p *Pool) endRecordedTrial(u *task, run int) {
	if j := u.step.job; !j.state.Final() && j.progress.EndTrial(u.position(), run) {
		p.markDirty(j)
	}
}

// withdrawTrial ends a trial whose start was not ordered. Its tasks wait again.
func (p *Pool) withdrawTrial(tr *trial, now clock.Millis) {
	for _, t := range tr.tasks {
		if t.state == recording {
			p.unassign(t)
			p.requeueOrBlock(t, now)
		}
	}
	p.endTrial(tr)
}

// withdrawRecording frees the worker of a task whose start is being recorded, and was not ordered.
func (p *Pool) withdrawRecording(t *task, now clock.Millis) {
	if t.state == recording {
		p.unassign(t)
		t.setState(blocked, now)
	}
}
