package schedule

import (
	"citronknot/clock"
	"citronknot/job"
)

type taskState uint8

const (
	blocked  taskState = iota // waits for earlier steps
	unproven                  // recovered: may still run on a worker that has not answered
	waiting                   // may start
	starting                  // a start was sent and not answered
	running
	stopping
	done
	spent // failed as often as the queue allows
)

// task is one task of a step.
type task struct {
	step     *stepRun
	index    int
	state    taskState
	worker   *worker // while starting, running or stopping
	run      int     // number of the newest start
	saved    string  // newest checkpoint
	percent  int     // progress as last reported; 100 means at work for a task that lasts
	tail     clock.Millis
	tailSeen clock.Millis
	pace     int // percent last ordered; 0 means never paced
	paceAt   clock.Millis
	since    clock.Millis // when the state was entered
	stopWhy  StopReason
	stopSent clock.Millis
	// The worker answered the stop; the answer arrived at answeredAt.
	stopAnswered bool
	answeredAt   clock.Millis
	failedOn     map[*worker]bool
	// The run was adopted, and no look has shown yet that the former owner did not stop it.
	doubted bool
	adopted clock.Millis
}

func (t *task) ref() job.Ref {
	return job.Ref{Job: t.step.job.ID, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

func (t *task) position() job.Position {
	return job.Position{Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

// placed reports whether the task occupies a worker.
func (t *task) placed() bool {
	return t.state == starting || t.state == running || t.state == stopping
}

// atWork reports whether a task that lasts is known to do its work. What a worker told before
// it went silent does not count, nor does a run that a former owner may have stopped.
func (t *task) atWork() bool {
	return t.state == running && t.percent >= 100 && t.worker.reachable && !t.doubted
}

// needs is what the task occupies on a worker.
func (t *task) needs() job.Resources {
	needs := t.step.spec.Needs
	if t.step.spec.Fills {
		needs.CPU = 0
	}
	return needs
}

func (t *task) enter(s taskState, now clock.Millis) {
	t.state, t.since = s, now
}

// stepRun is one step of one occurrence of a job.
type stepRun struct {
	job        *Job
	occurrence int
	index      int
	spec       *job.Step
	tasks      []task
	blockedBy  int // earlier steps that are not done
	waiting    int // tasks in state waiting
	done       int
	listed     bool // in Pool.ready
	advice     advice
}

func (s *stepRun) finished() bool { return s.done == len(s.tasks) }

// nextRun returns a run number above those of all tasks of the step.
func (s *stepRun) nextRun(base int) int {
	n := base
	for i := range s.tasks {
		n = max(n, s.tasks[i].run)
	}
	return n + 1
}

// away counts the tasks of a step that lasts that do not work, other than t.
func (s *stepRun) away(t *task) int {
	n := 0
	for i := range s.tasks {
		if o := &s.tasks[i]; o != t && !o.atWork() {
			n++
		}
	}
	return n
}
