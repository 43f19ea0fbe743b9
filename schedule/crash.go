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

// crashID identifies the crash of a worker.
type crashID struct {
	worker      fleet.InstanceID
	incarnation clock.Millis
}

func idOf(c job.Crash) crashID { return crashID{worker: c.Worker, incarnation: c.Incarnation} }

// lostRun is a run of a task or gang that was lost with its worker.
type lostRun struct {
	task    *task
	members []int     // indexes of the tasks that ran there: several of a gang
	crash   job.Crash // as it counts if the worker has crashed
}

// lostMembers are the tasks of a gang that were lost in a run with workers that crashed.
type lostMembers struct {
	run     int
	members []int // indexes
}

// lostRuns returns what a crash of the worker says of each of its runs; those of a gang count once. Runs that
// may have been lost with a former incarnation do not count.
func (w *worker) lostRuns(now clock.Millis) []lostRun {
	indexes := map[*task]int{} // by unit, in out
	out := make([]lostRun, 0, len(w.tasks))
	started := map[*Job]bool{} // jobs with a run that had just been started
	for _, t := range w.sortedTasks() {
		if t.state == recording || t.keptSince != 0 {
			continue
		}
		if i, ok := indexes[t.unit()]; ok {
			out[i].members = append(out[i].members, t.index)
			continue
		}
		l := lostRun{task: t, members: []int{t.index}, crash: w.crashOf(t, now)}
		if l.crash.Age <= startupTime {
			started[t.step.job] = true
		}
		indexes[t.unit()] = len(out)
		out = append(out, l)
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

// ageAtCrash returns how long a run had gone on when the worker crashed, or a lower bound, or -1 if that is
// unknown. The worker answers a start as it carries it out; a slow owner may send it long after it was ordered.
func (w *worker) ageAtCrash(t *task) clock.Millis {
	started := t.orderedAt
	switch {
	case started == 0:
		started = t.adoptedAt
	case t.startUnanswered() && t.listedAt < w.listedAt:
		started = max(started, w.listedAt) // the newest list did not contain the run yet
	}
	responded := max(0, w.respondedAt-started)
	switch {
	case t.orderedAt != 0 && w.unreachableSince != 0 && t.startUnanswered():
		return min(responded, max(0, w.unreachableSince-started)) // it may take long to see that a worker is silent
	case t.orderedAt != 0 && w.unreachableSince != 0:
		return max(0, w.unreachableSince-max(started, t.answeredAt))
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
	r := u.record()
	r.lost = append(r.lost, lostMembers{run: l.crash.Run, members: l.members})
	p.markDirty(j)
	p.updateSuspicion(u)
	if l.crash.Alone {
		p.explain(u, now)
	}
	if r.suspicion != unsuspected {
		p.emit(Event{
			Kind: "task_suspected", Task: u.ref(), Run: l.crash.Run, Worker: l.crash.Worker,
			Detail: fmt.Sprintf("next start %s; crashed workers: %s", r.suspicion, describeCrashes(crashes)),
		})
	}
	if slices.ContainsFunc(l.members, func(member int) bool { return blamed(u.crashesUnder(member)) }) {
		p.giveUp(u, now)
	}
}

// crashesUnder returns the crashes of a unit that one of its members may have caused. A gang runs on
// several workers, any of which may crash for another cause, but the member that crashes its worker is the
// same one each time. Which members were lost in a crash is known unless an earlier owner recorded it.
func (t *task) crashesUnder(member int) []job.Crash {
	if !t.step.spec.Gang {
		return t.crashes()
	}
	return slices.DeleteFunc(slices.Clone(t.crashes()), func(c job.Crash) bool {
		known := false
		for _, l := range t.record().lost {
			if l.run != c.Run {
				continue
			}
			if slices.Contains(l.members, member) {
				return false
			}
			known = true
		}
		return known
	})
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
