package schedule

import (
	"fmt"
	"maps"
	"slices"

	"citronknot/clock"
	"citronknot/job"
)

// Times that decide what the crash of a worker says of the runs that were lost with it.
const (
	startupTime = job.StartupAge
	// quickCrashAge is the largest age of a run that crashed its worker at its start. It covers the
	// polls that have to fail before a worker counts as unreachable.
	quickCrashAge  clock.Millis = 1000
	crashAgeSpread              = job.CrashAgeSpread
	// settledAge is how long a run has gone on when a crash of its worker, just after another start
	// there, is not put down to it.
	settledAge = 2 * quickCrashAge
	provenAge  = job.ProvenAge
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
	blameSole    = 3 // if only one of the runs was alone, but another one was the only new one on its worker
	blameSameAge = 4 // of runs that were lost at the same age, one of them alone
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

// unitRecord is what the pool keeps of a task, or of a gang as a whole. What failures, refusals and crashes say of
// a gang counts once for all of its tasks.
type unitRecord struct {
	failedOn  map[*worker]bool // workers on which a run failed
	suspicion suspicion
	lost      []lostMembers // of the crashes that this owner has recorded
	doubted   []job.Crash   // runs lost with workers that were silent, as they count if these have crashed
}

// record returns the record of the task's unit.
func (t *task) record() *unitRecord { return &t.unit().ofUnit }

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
		same := 1
		for _, o := range crashes[:i] {
			if !sameAge(c, o) {
				continue
			}
			same++
			sole := o.Peers == 0 && o.Within(startupTime)
			if o.Alone || (sole && len(crashes) >= blameSole) || same >= blameSameAge {
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
	r := u.record()
	r.suspicion = suspicionOf(u.crashes(), p.unexplained(u), u.doubtWeight())
	if r.suspicion == startApart && u.step.spec.Gang {
		r.suspicion = startAlone // its tasks need several workers anyway
	}
	if r.suspicion != unsuspected && !slices.Contains(p.suspects, u) {
		p.suspects = append(p.suspects, u)
	}
}

// suspicionOf decides how a task is started next, from its crashes, those of them that count, and the
// weight of its runs that were lost with workers that may have crashed.
func suspicionOf(crashes, counted []job.Crash, doubtWeight int) suspicion {
	switch {
	case totalWeight(counted)+doubtWeight >= aloneFromTotal:
		return startAlone
	case totalWeight(crashes)+doubtWeight >= apartFromTotal:
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

// forgetCrashes ends the suspicion against a task whose run has gone on for forgetAge.
func (p *Pool) forgetCrashes(u *task, now clock.Millis) {
	if u.state != running || now-u.stateSince < forgetAge {
		return
	}
	u.step.job.progress.ForgetCrashes(u.position())
	u.record().lost = nil
	p.markDirty(u.step.job)
	p.emit(Event{Kind: "task_cleared", Task: u.ref(), Run: u.run, Worker: u.worker.ID, Detail: fmt.Sprintf("its run has gone on for %d ms", now-u.stateSince)})
	p.updateSuspicion(u)
}

// Suspects returns the number of tasks that are suspected to crash their workers. A gang counts once.
func (p *Pool) Suspects() int { return len(p.suspects) }
