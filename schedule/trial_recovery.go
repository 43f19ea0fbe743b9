package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/job"
)

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
			p.recordCrash(lostRun{task: u.task, members: []int{u.task.index}, crash: job.Crash{Run: u.Run, Worker: w.ID, Incarnation: w.Incarnation, Age: -1, Alone: u.Alone}}, now)
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
		p.recordCrash(lostRun{task: u.task, members: []int{u.task.index}, crash: job.Crash{Run: u.Run, Worker: u.Worker, Incarnation: u.Incarnation, Age: -1}}, now)
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
