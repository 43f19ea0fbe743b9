package schedule

import (
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// taskState is the state of a task.
type taskState uint8

const (
	blocked     taskState = iota // waits for earlier steps, or its job is in a final state
	unconfirmed                  // recovered; may still run on a worker that has not responded
	waiting                      // may start
	recording                    // on a worker, but not started before its trial is durable
	starting                     // a start was sent, without a response so far
	running
	stopping
	done
	exhausted // has failed as often as the queue allows
)

// String returns the state's name in dumps.
func (s taskState) String() string {
	return [...]string{"blocked", "unconfirmed", "waiting", "recording", "starting", "running", "stopping", "done", "exhausted"}[s]
}

// task is one task of a step.
type task struct {
	step          *stepRun
	index         int
	state         taskState
	worker        *worker      // set while starting, running or stopping
	run           int          // run number of the newest start; 0 if there was none
	checkpoint    string       // newest checkpoint; empty if there is none
	checkpointAt  clock.Millis // when the newest checkpoint was first reported
	percent       int          // progress as last reported; 100 means that a long-running task is working
	tailLatency   clock.Millis // as last reported
	tailLatencyAt clock.Millis // when tailLatency was reported
	orderedPace   int          // pace last ordered, in percent of full speed; 0 if none was ordered
	orderedPaceAt clock.Millis
	stateSince    clock.Millis // when state was entered
	orderedAt     clock.Millis // when the newest run was ordered; 0 if an earlier owner ordered it
	answeredAt    clock.Millis // when the worker's answer to the newest start arrived; 0 if none has
	stopReason    StopReason   // of the newest stop; kept when the task starts again
	listedAt      clock.Millis // when the newest list was made that contains the newest run; see worker.listedAt
	// unansweredAt is set in state starting once the answer to the start is known to be missing.
	unansweredAt clock.Millis
	lastAbsence  Absence // why the newest run ended; 0 if none has
	stopSentAt   clock.Millis
	// stopAccepted is set when the worker has accepted the stop; the response was received at
	// stopAcceptedAt.
	stopAccepted   bool
	stopAcceptedAt clock.Millis
	// stopUntil is the time before which a stop may end the run that a former owner ordered, or that got no
	// answer. It is 0 if there is none, or once a list made after that time still contains the run.
	stopUntil     clock.Millis
	adoptedAt     clock.Millis
	inBacklog     bool       // its work is part of the pool's backlog
	resumed       bool       // the newest run was started from a checkpoint
	far           bool       // the newest run was started far from the data or from the rest of the step
	wait          *placeWait // for a near place; nil if it does not wait for one
	placedSuspect bool       // suspected when it was assigned to its worker
	// keptSince is when the worker's former incarnation ended, if the newest run was ordered from that one and
	// the worker has not listed it yet; otherwise 0. formerCrash is the crash that counts if the run was
	// lost in it.
	keptSince   clock.Millis
	formerCrash *job.Crash
	// callEnds is when the call that ordered such a run has certainly ended. Until then each successor of
	// the worker may carry it out.
	callEnds clock.Millis
	ofUnit   unitRecord // set in units only; see record
}

// ref returns the task's reference for orders and reports.
func (t *task) ref() job.Ref {
	return job.Ref{Job: t.step.job.ID, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

// position returns the task's key in the progress of its job.
func (t *task) position() job.Position {
	return job.Position{Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

// placed reports whether the task occupies a worker.
func (t *task) placed() bool {
	return t.state == starting || t.state == running || t.state == stopping
}

// startUnanswered reports whether the worker has not answered the order to start the run.
func (t *task) startUnanswered() bool {
	return t.state == starting || (t.state == stopping && (t.stopReason == StopUnanswered || t.stopReason == StopExcessStart))
}

// isWorking reports whether a long-running task is confirmed to do its work. The last report of a worker that
// no longer responds does not count, nor does an old one, nor a run that may have been stopped.
func (t *task) isWorking(now clock.Millis) bool {
	return t.state == running && t.percent >= 100 && t.worker.reachable && t.stopUntil == 0 && now-t.worker.listedAt <= workEvidenceAge
}

// needs returns the resources that the task occupies on a worker.
func (t *task) needs() job.Resources { return t.step.needs() }

// needs returns the resources that one of the step's tasks occupies on a worker. Best-effort tasks
// occupy no CPU.
func (s *stepRun) needs() job.Resources {
	return s.spec.Occupies()
}

// canResume reports whether the task continues elsewhere from a checkpoint.
func (t *task) canResume() bool { return t.step.spec.Checkpoint && t.checkpoint != "" }

// setState enters a state and records the time.
func (t *task) setState(state taskState, now clock.Millis) {
	t.state, t.stateSince = state, now
}

// stepRun is one step of one occurrence of a job.
type stepRun struct {
	job          *Job
	occurrence   int
	index        int
	spec         *job.Step
	tasks        []task
	blockedBy    int // number of earlier steps that are not done
	waitingTasks int // number of tasks in state waiting
	doneTasks    int // number of tasks in state done
	expected     expectedRun
	inReady      bool // in the pool's ready list
	// rack is where the tasks are to run, as of the last pass; empty if that is not known or if nothing
	// waits for it.
	rack   fleet.RackID
	spread bool // tasks of a step that is to stay on one rack were started on several
	advice advice
}

// finished reports whether all tasks of the step are done.
func (s *stepRun) finished() bool { return s.doneTasks == len(s.tasks) }

// nextRun returns a run number above base and above those of all tasks of the step.
func (s *stepRun) nextRun(base int) int {
	n := base
	for i := range s.tasks {
		n = max(n, s.tasks[i].run)
	}
	return n + 1
}

// newestCheckpoint returns the newest checkpoint of a gang's tasks, which is valid for all of them.
func (s *stepRun) newestCheckpoint() string {
	newest := ""
	for i := range s.tasks {
		newest = max(newest, s.tasks[i].checkpoint)
	}
	return newest
}

// maxNotWorking returns how many tasks of a long-running step may be unavailable at once because of the
// scheduler's own stops. Without a limit it is one, so that the step can move.
func (s *stepRun) maxNotWorking() int { return max(1, s.spec.MaxUnavailable) }

// mayLose reports whether a task of a long-running step may be stopped while enough others work.
func (s *stepRun) mayLose(t *task, now clock.Millis) bool {
	return s.countNotWorking(t, now) < s.maxNotWorking()
}

// countNotWorking returns the number of tasks of a long-running step, other than t, that are
// not confirmed to work.
func (s *stepRun) countNotWorking(t *task, now clock.Millis) int {
	n := 0
	for i := range s.tasks {
		if o := &s.tasks[i]; o != t && !o.isWorking(now) {
			n++
		}
	}
	return n
}
