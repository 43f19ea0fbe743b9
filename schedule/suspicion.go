package schedule

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// Times that decide what the crash of a worker says of the runs that were lost with it.
const (
	// startupTime is how long a run counts as just started. A task that crashes its worker usually
	// does so as it starts.
	startupTime clock.Millis = 150
	// quickCrashAge is the largest age of a run that crashed its worker at its start. It covers the
	// polls that have to fail before a worker counts as unreachable.
	quickCrashAge clock.Millis = 1000
	// crashAgeSpread is the largest difference between the ages at which runs of a task are lost that
	// crashes its workers at its start. It covers the time between two polls of a worker.
	crashAgeSpread clock.Millis = 50
	// settledAge is how long a run has gone on when a crash of its worker, just after another start
	// there, is not put down to it.
	settledAge = 2 * quickCrashAge
	// provenAge is the age from which on a crash of its worker hardly counts against a run.
	provenAge clock.Millis = 10_000
	// forgetAge is how long a run has gone on when earlier crashes no longer count against its task.
	forgetAge clock.Millis = 60_000
	// doubtTime is how long the pool remembers the runs of a worker that has not responded, in case
	// it turns out to have crashed.
	doubtTime clock.Millis = 60_000
	// explainTime is how long crashes stay put down to a task that has crashed a worker alone.
	explainTime clock.Millis = 120_000
)

// Numbers of crashes that make a task the cause. A run may be lost by chance several times, but
// hardly at the same age as before, alone on its worker.
const (
	blameAlone   = 3 // of runs that were alone, at any age
	blameCrashes = 3 // the least number if one of two runs that were lost at the same age was not alone
)

// Weights of crashes in the suspicion against a task, and the sums from which on it is started with care.
// The longer a run had gone on, the less likely it has caused the crash of its worker.
const (
	weightAtStart  = 3 // within startupTime, or at an unknown age
	weightLater    = 2 // before provenAge
	weightProven   = 1 // after it
	apartFromTotal = 3
	aloneFromTotal = 6
)

// suspicion is how much a task is suspected to crash its workers, which decides how it is started.
type suspicion uint8

const (
	// unsuspected tasks start like all others, also after a crash of a worker on which they had run
	// for a while.
	unsuspected suspicion = iota
	// startApart is for tasks that had just been started when their worker crashed. They start on
	// different workers, with few other tasks, so that the next crash tells them apart. They do not
	// wait for that, because most of them have done nothing.
	startApart
	// startAlone is for tasks that were lost in several crashes. They start in a trial.
	startAlone
)

// String returns how a task with the suspicion starts, for log lines and dumps.
func (s suspicion) String() string { return [...]string{"normal", "apart", "alone"}[s] }

// unit returns the task that stands for t in the record of crashes: the first task of a gang, whose
// tasks start and end together, and otherwise t itself.
func (t *task) unit() *task {
	if t.step.spec.Gang {
		return &t.step.tasks[0]
	}
	return t
}

// tasksOfUnit returns the tasks for which a unit stands.
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

// crashes returns the crashes that count against the task.
func (t *task) crashes() []job.Crash {
	return t.step.job.progress.Crashes[t.unit().position()]
}

// blamed decides whether the crashes of a task show that the task is their cause. Crashes for other
// causes can hit a task as often as they like beside others that had just been started, and can hit one
// that runs alone at any age. A task that crashes its workers does so at about the same age.
func blamed(crashes []job.Crash) bool {
	alone := 0
	for i, c := range crashes {
		if !c.Alone {
			continue
		}
		if alone++; alone >= blameAlone {
			return true
		}
		for _, o := range crashes[:i] {
			if o.Alone && sameAge(c, o) {
				return true
			}
			sole := o.Peers == 0 && o.Within(startupTime)
			if sole && sameAge(c, o) && len(crashes) >= blameCrashes {
				return true
			}
		}
	}
	return false
}

// sameAge reports whether two runs were lost at about the same age. An unknown one counts as that of a
// run that had just been started.
func sameAge(a, b job.Crash) bool {
	return max(a.Age, b.Age)-min(a.Age, b.Age) <= crashAgeSpread
}

// updateSuspicion derives the suspicion against a unit from its crashes, and adds the unit to the
// suspects if need be.
func (p *Pool) updateSuspicion(u *task) {
	u.suspicion = suspicionOf(u.crashes(), p.unexplained(u), u.doubtWeight)
	if u.suspicion == startApart && u.step.spec.Gang {
		u.suspicion = startAlone // its tasks need several workers anyway
	}
	if u.suspicion != unsuspected && !slices.Contains(p.suspects, u) {
		p.suspects = append(p.suspects, u)
	}
}

// suspicionOf decides how a task is started next, from its crashes, those of them that count, and the
// weight of its runs that were lost with workers that may have crashed.
func suspicionOf(crashes, counted []job.Crash, doubtWeight int) suspicion {
	switch {
	case totalWeight(counted)+doubtWeight >= aloneFromTotal:
		return startAlone
	case totalWeight(crashes) >= apartFromTotal:
		return startApart
	}
	return unsuspected
}

// totalWeight returns the weight of crashes in the suspicion against the task of the lost runs.
func totalWeight(crashes []job.Crash) int {
	total := 0
	for _, c := range crashes {
		total += crashWeight(c)
	}
	return total
}

// crashWeight returns the weight of a crash in the suspicion against the task of a lost run.
func crashWeight(c job.Crash) int {
	switch {
	case c.Age > provenAge:
		return weightProven
	case c.Age > startupTime:
		return weightLater
	}
	return weightAtStart
}

// crashID identifies the crash of a worker.
type crashID struct {
	worker      fleet.InstanceID
	incarnation clock.Millis
}

func idOf(c job.Crash) crashID { return crashID{worker: c.Worker, incarnation: c.Incarnation} }

// explain puts all crashes of a unit that has crashed a worker alone down to it, which lessens the
// suspicion against the tasks that were lost with it.
func (p *Pool) explain(u *task, now clock.Millis) {
	maps.DeleteFunc(p.explained, func(_ crashID, since clock.Millis) bool { return now-since > explainTime })
	for _, c := range u.crashes() {
		p.explained[idOf(c)] = now
	}
	for _, other := range p.suspects {
		p.updateSuspicion(other)
	}
}

// unexplained returns the crashes of a unit that count: all but the heaviest one that is put down to
// another task. Only one is left out: two tasks that crash their workers may be lost together.
func (p *Pool) unexplained(u *task) []job.Crash {
	crashes := u.crashes()
	if slices.ContainsFunc(crashes, func(c job.Crash) bool { return c.Alone }) {
		return crashes // they are put down to this task
	}
	heaviest := -1
	for i, c := range crashes {
		_, explained := p.explained[idOf(c)]
		if explained && (heaviest < 0 || crashWeight(c) > crashWeight(crashes[heaviest])) {
			heaviest = i
		}
	}
	if heaviest < 0 {
		return crashes
	}
	return slices.Delete(slices.Clone(crashes), heaviest, heaviest+1)
}

// lostRun is a run that was lost with its worker.
type lostRun struct {
	task  *task
	crash job.Crash // as it counts if the worker has crashed
}

// lostRuns returns what a crash of the worker says of each of its runs; those of a gang count once.
func (w *worker) lostRuns(now clock.Millis) []lostRun {
	units := map[*task]bool{}
	out := make([]lostRun, 0, len(w.tasks))
	started := map[*Job]bool{} // jobs with a run that had just been started
	for _, t := range w.sortedTasks() {
		if t.state != recording && !units[t.unit()] {
			units[t.unit()] = true
			l := lostRun{task: t, crash: w.crashOf(t, now)}
			if l.crash.Age <= startupTime {
				started[t.step.job] = true
			}
			out = append(out, l)
		}
	}
	for i := range out {
		out[i].crash.Peers = len(started)
		if started[out[i].task.step.job] {
			out[i].crash.Peers--
		}
	}
	return out
}

// crashOf describes the crash of the worker for one of its runs.
func (w *worker) crashOf(t *task, now clock.Millis) job.Crash {
	c := job.Crash{Run: t.run, Worker: w.ID, Incarnation: w.Incarnation, Age: w.ageAtCrash(t)}
	tr := w.trial
	c.Alone = tr != nil && tr.has(t) && tr.phase == trialRunning && (c.Within(quickCrashAge) || w.runsOnly(tr))
	return c
}

// ageAtCrash returns how long a run had gone on when the worker crashed, or a lower bound, or -1 if
// that is unknown.
func (w *worker) ageAtCrash(t *task) clock.Millis {
	started := t.orderedAt
	if started == 0 {
		started = t.adoptedAt
	}
	responded := max(0, w.respondedAt-started)
	switch {
	case t.orderedAt != 0 && w.unreachableSince != 0 && t.startUnanswered():
		return min(responded, max(0, w.unreachableSince-started)) // it may take long to see that a worker is silent
	case t.orderedAt != 0 && w.unreachableSince != 0:
		return max(0, w.unreachableSince-started)
	}
	if known := max(responded, w.unreachableSince-started); known > startupTime {
		return known
	}
	return -1
}

// recordCrash counts the crash of a worker against the task of a run that was lost with it, and
// fails the job if that makes the task the cause. The task occupies no worker.
func (p *Pool) recordCrash(l lostRun, now clock.Millis) {
	t, u, j := l.task, l.task.unit(), l.task.step.job
	if j.state.Final() || t.state == done {
		return
	}
	crashes := j.progress.AddCrash(u.position(), l.crash)
	p.markDirty(j)
	p.updateSuspicion(u)
	if l.crash.Alone {
		p.explain(u, now)
	}
	if u.suspicion != unsuspected {
		p.emit(Event{
			Kind: "task_suspected", Task: u.ref(), Run: l.crash.Run, Worker: l.crash.Worker,
			Detail: fmt.Sprintf("next start %s; crashed workers: %s", u.suspicion, describeCrashes(crashes)),
		})
	}
	if blamed(crashes) {
		p.giveUp(u, now)
	}
}

// giveUp fails the job of a task that crashes its workers. It is the only function that does so.
func (p *Pool) giveUp(u *task, now clock.Millis) {
	crashes := u.crashes()
	cause := fmt.Sprintf("task %s crashed %d workers: %s", u.ref(), len(crashes), describeCrashes(crashes))
	p.emit(Event{Kind: "task_given_up", Task: u.ref(), Run: u.run, Detail: cause})
	p.exhaust(u, cause, now)
}

// describeCrashes names the workers that crashed under a task, with the age of the run in
// milliseconds, whether it was alone, and otherwise how many other jobs had just been started.
func describeCrashes(crashes []job.Crash) string {
	parts := make([]string, 0, len(crashes))
	for _, c := range crashes {
		text := fmt.Sprintf("%s (run %d", c.Worker, c.Run)
		if c.Age >= 0 {
			text += fmt.Sprintf(", after %d ms", c.Age)
		}
		switch {
		case c.Alone:
			text += ", alone"
		case c.Peers > 0:
			text += fmt.Sprintf(", after the start of %d other jobs", c.Peers)
		}
		parts = append(parts, text+")")
	}
	return strings.Join(parts, ", ")
}

// noteCrash remembers that a machine has crashed, so that trials keep away from it for a while.
func (p *Pool) noteCrash(w *worker, now clock.Millis) {
	maps.DeleteFunc(p.crashedAt, func(_ string, at clock.Millis) bool { return now-at > doubtTime })
	if w.Machine != "" {
		p.crashedAt[w.Machine] = now
	}
}

// doubt holds the runs of a worker that stopped responding and whose leases have expired. It may
// have crashed, or have been cut off.
type doubt struct {
	incarnation clock.Millis
	machine     string
	since       clock.Millis
	runs        []lostRun
}

// addDoubt remembers the runs that were lost with a silent worker. The tasks are suspected until the
// doubt is resolved, but not blamed.
func (p *Pool) addDoubt(w *worker, runs []lostRun, now clock.Millis) {
	if len(runs) == 0 {
		return // an earlier doubt about the worker goes on
	}
	for id, d := range p.doubts {
		if now-d.since > doubtTime {
			p.resolveDoubt(id, false, now)
		}
	}
	p.resolveDoubt(w.ID, false, now)
	p.doubts[w.ID] = &doubt{incarnation: w.Incarnation, machine: w.Machine, since: now, runs: runs}
	for _, l := range runs {
		u := l.task.unit()
		u.doubtWeight += crashWeight(l.crash)
		p.updateSuspicion(u)
	}
}

// resolveDoubt ends the doubt about a silent worker: it has crashed, or it was cut off.
func (p *Pool) resolveDoubt(id fleet.InstanceID, crashed bool, now clock.Millis) {
	d := p.doubts[id]
	if d == nil {
		return
	}
	delete(p.doubts, id)
	for _, l := range d.runs {
		u := l.task.unit()
		u.doubtWeight -= crashWeight(l.crash)
		p.updateSuspicion(u)
		if crashed {
			p.recordCrash(l, now)
		}
	}
}

// resolveDoubtsAbout ends the doubts that a new incarnation resolves: a silent worker with its id or
// on its machine has crashed.
func (p *Pool) resolveDoubtsAbout(d *Worker, now clock.Millis) {
	for id, silent := range p.doubts {
		if (id == d.ID || (d.Machine != "" && silent.machine == d.Machine)) && d.Incarnation > silent.incarnation {
			p.resolveDoubt(id, true, now)
		}
	}
}

// forgetCrashes ends the suspicion against a task whose run has gone on for forgetAge.
func (p *Pool) forgetCrashes(u *task, now clock.Millis) {
	if u.state != running || now-u.stateSince < forgetAge {
		return
	}
	u.step.job.progress.ForgetCrashes(u.position())
	p.markDirty(u.step.job)
	p.emit(Event{Kind: "task_cleared", Task: u.ref(), Run: u.run, Worker: u.worker.ID, Detail: fmt.Sprintf("its run has gone on for %d ms", now-u.stateSince)})
	p.updateSuspicion(u)
}

// unresolvedTrial is a trial that a former owner of the pool recorded, and whose outcome is unknown.
type unresolvedTrial struct {
	task *task
	job.Trial
}

// recoverSuspicion restores what is durable of the suspicion against a task.
func (p *Pool) recoverSuspicion(t *task) {
	if t.state == done {
		return
	}
	if t.unit() == t && len(t.crashes()) > 0 {
		p.updateSuspicion(t)
	}
	if recorded, ok := t.step.job.progress.Trials[t.position()]; ok {
		p.unresolved = append(p.unresolved, unresolvedTrial{task: t, Trial: recorded})
	}
}

// resolveTrials resolves the trials that a former owner recorded on an incarnation of a worker, which
// has responded or has ended. If it has crashed, it did so under them, whether this owner has seen
// their runs or not.
func (p *Pool) resolveTrials(w *worker, crashed bool, now clock.Millis) {
	p.resolveTrialsIf(func(u *unresolvedTrial) (resolved bool) {
		if u.Worker != w.ID || u.Incarnation != w.Incarnation {
			return false
		}
		if crashed {
			p.recordCrash(lostRun{task: u.task, crash: job.Crash{Run: u.Run, Worker: w.ID, Incarnation: w.Incarnation, Age: -1, Alone: u.Alone}}, now)
		}
		return true
	})
}

// resolveTrialsOfUnknownWorkers counts the trials of a former owner whose workers are gone. Nobody
// can tell any more whether they crashed.
func (p *Pool) resolveTrialsOfUnknownWorkers(now clock.Millis) {
	p.resolveTrialsIf(func(u *unresolvedTrial) (resolved bool) {
		if w := p.workers[u.Worker]; w != nil && w.Incarnation == u.Incarnation {
			return false
		}
		p.recordCrash(lostRun{task: u.task, crash: job.Crash{Run: u.Run, Worker: u.Worker, Incarnation: u.Incarnation, Age: -1}}, now)
		return true
	})
}

// resolveTrialsIf removes the unresolved trials for which resolve returns true.
func (p *Pool) resolveTrialsIf(resolve func(*unresolvedTrial) bool) {
	p.unresolved = slices.DeleteFunc(p.unresolved, func(u unresolvedTrial) bool {
		if !resolve(&u) {
			return false
		}
		p.endRecordedTrial(u.task, u.Run)
		return true
	})
}

// Suspects returns the number of tasks that are suspected to crash their workers. A gang counts once.
func (p *Pool) Suspects() int { return len(p.suspects) }
