package schedule_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/job"
	"citronknot/schedule"
)

// restartHarness is a pool of three workers, the first of which restarts while a task may run on it.
type restartHarness struct {
	*harness
	start schedule.Order // of the task
}

// newRestartHarness returns a pool whose only task was started on worker 0, before the worker restarts. answer is the
// outcome of the start before that, or 0 if there is none; listed tells whether the worker has listed the run.
func newRestartHarness(t *testing.T, answer schedule.Outcome, listed bool) *restartHarness {
	h := &restartHarness{harness: newHarness(t, 1)}
	h.pool.Add(newJob(1, newStep(1)), testPolicy, nil, 0, h.now)
	starts := h.planAfter(100)
	must.Len(t, 1, starts)
	h.start = starts[0]
	h.addWorker(workerID(1), 16000)
	h.addWorker(workerID(2), 16000)
	h.now += 5
	if answer != 0 {
		h.pool.Answered(h.start, answer, h.now)
	}
	if listed {
		h.report(schedule.RunReport{Task: h.start.Task, Run: h.start.Run})
	}
	h.now += 200
	return h
}

// report lets worker 0 list runs in response to a poll that is sent now.
func (h *restartHarness) report(running ...schedule.RunReport) {
	h.pool.Observe(workerID(0), schedule.Report{RequestedAt: h.now, Running: running}, h.now)
}

// restart restarts worker 0 and returns the number of runs that may be on its successor.
func (h *restartHarness) restart(successor clock.Millis) int {
	unproven := h.pool.UnprovenRuns(workerID(0))
	h.pool.RestartWorker(workerID(0), successor, "it has restarted", h.now)
	h.pool.SetReachable(workerID(0), true, h.now)
	return unproven
}

// crashes returns the number of crashes that count against the task.
func (h *restartHarness) crashes() int {
	n := 0
	for _, c := range h.pool.Changes(h.now, 1000) {
		for _, crashes := range c.Progress.Crashes {
			n += len(crashes)
		}
		h.pool.Committed(c)
	}
	return n
}

// startAgain returns the starts of tasks that are suspected, whose starts are recorded first.
func (h *restartHarness) startAgain() []schedule.Order {
	h.planAfter(1)
	h.commitChanges()
	return h.acceptStarts(1)
}

// Guards against a run that waits for the successor of its worker although the ended incarnation had listed it.
func TestProvenRunEndsWithItsIncarnation(t *testing.T) {
	h := newRestartHarness(t, schedule.Accepted, true)
	must.Eq(t, 0, h.restart(2))
	must.Eq(t, 1, h.crashes())
	must.Len(t, 1, h.startAgain())
}

// Guards against a run that is taken for lost, and counted as lost in a crash, while it goes on on the successor
// of its worker.
func TestRunOnSuccessorGoesOn(t *testing.T) {
	h := newRestartHarness(t, schedule.Accepted, false)
	must.Eq(t, 1, h.restart(2))
	must.SliceEmpty(t, h.planAfter(100))
	h.report(schedule.RunReport{Task: h.start.Task, Run: h.start.Run})
	must.SliceEmpty(t, h.planAfter(2000))
	must.Eq(t, 0, h.crashes())
	h.reportEnd(h.start, schedule.EndDone)
	h.commitChanges()
	must.Eq(t, "complete", h.jobState(1))
}

// Guards against a crash that is forgotten because the run might have been on the successor of its worker, and
// against a task that goes on waiting for it.
func TestRunThatIsNotOnSuccessorWasLost(t *testing.T) {
	h := newRestartHarness(t, schedule.Accepted, false)
	h.restart(2)
	must.Eq(t, 0, h.crashes())
	h.report()
	must.Eq(t, 1, h.crashes())
	must.Len(t, 1, h.startAgain())
}

// Guards against a start without an answer that a successor of its worker carries out after the task was started
// elsewhere: it is stopped there, and the task waits until the call has ended, also if the worker restarts
// again meanwhile.
func TestStartWithoutAnswerIsStoppedOnSuccessor(t *testing.T) {
	h := newRestartHarness(t, 0, false)
	must.Eq(t, 1, h.restart(2))
	stops := h.planAfter(0)
	must.Len(t, 1, stops)
	must.Eq(t, schedule.Stop, stops[0].Kind)
	must.Eq(t, 2, stops[0].Incarnation)
	h.pool.Answered(stops[0], schedule.Accepted, h.now)
	h.now += 10
	h.report()
	must.SliceEmpty(t, h.planAfter(0), must.Sprint("the call may still arrive"))
	must.Eq(t, 1, h.restart(3), must.Sprint("the stop counts on one incarnation only"))
	stops = h.planAfter(0)
	must.Len(t, 1, stops)
	must.Eq(t, 3, stops[0].Incarnation)
	h.pool.Answered(stops[0], schedule.Accepted, h.now)
	h.pool.Answered(h.start, schedule.UnknownOutcome, h.now+20)
	h.now += 10
	h.report()
	must.SliceEmpty(t, h.planAfter(0), must.Sprint("the list is older than the end of the call"))
	h.now += 20
	h.report()
	must.Eq(t, 1, h.crashes())
	must.Len(t, 1, h.startAgain())
}

// Guards against a task that waits although its start was certainly not carried out, and against a crash that
// counts against it.
func TestStartThatSuccessorRejectsCountsForNothing(t *testing.T) {
	h := newRestartHarness(t, 0, false)
	h.restart(2)
	h.planAfter(0)
	h.pool.Answered(h.start, schedule.NoCapacity, h.now)
	must.Eq(t, 0, h.crashes())
	must.Len(t, 1, h.acceptStarts(1))
}

// Guards against a task that starts elsewhere while the successor of its worker does not respond and may run it, and
// against one that waits for ever.
func TestRunOnSilentSuccessorEndsWithItsLease(t *testing.T) {
	h := newRestartHarness(t, 0, false)
	h.restart(2)
	h.pool.SetReachable(workerID(0), false, h.now)
	for _, o := range h.planAfter(9000) {
		must.Eq(t, schedule.Stop, o.Kind)
	}
	h.pool.ExpireLeases(workerID(0), h.now)
	must.Eq(t, 1, h.crashes())
	must.Eq(t, "apart", h.pool.Dump(h.now).Suspects[0].Start, must.Sprint("one crash counts, and no doubt beside it"))
	must.Len(t, 1, h.startAgain())
}

// Guards against a trial that counts as passed, and whose record is removed, while its run may have crashed its
// worker or may be on the successor.
func TestTrialWaitsForSuccessor(t *testing.T) {
	h := &restartHarness{harness: newHarness(t, 4)}
	h.pool.Add(newJob(1, newStep(1)), testPolicy, nil, 0, h.now)
	start := func() schedule.Order {
		h.planAfter(10)
		h.commitChanges()
		for _, o := range h.planAfter(10) {
			if o.Kind == schedule.Start {
				return o
			}
		}
		t.Fatal("the task was not started")
		return schedule.Order{}
	}
	first := h.acceptStarts(1)[0]
	h.pool.RemoveWorker(first.Worker, schedule.LossCrash, "crashed", h.now)
	h.pool.RemoveWorker(start().Worker, schedule.LossCrash, "crashed", h.now)
	trial := start()
	must.Eq(t, "alone", h.pool.Dump(h.now).Suspects[0].Start)
	h.pool.RestartWorker(trial.Worker, 2, "it has restarted", h.now)
	h.pool.SetReachable(trial.Worker, true, h.now)
	h.planAfter(100)
	must.SliceEmpty(t, h.pool.Changes(h.now, 10), must.Sprint("the trial stays recorded"))
	h.pool.Answered(trial, schedule.Accepted, h.now)
	h.now += 10
	h.pool.Observe(trial.Worker, schedule.Report{RequestedAt: h.now}, h.now)
	changes := h.pool.Changes(h.now, 10)
	must.Len(t, 1, changes)
	must.MapEmpty(t, changes[0].Progress.Trials)
	crashes := changes[0].Progress.Crashes[job.Position{}]
	must.Len(t, 3, crashes)
	must.True(t, crashes[2].Alone)
}

// Guards against a start that counts as without effect because its run is not listed, although it may have ended: the
// worker has more ended runs than it lists at once.
func TestRunThatMayHaveEndedIsNotFreed(t *testing.T) {
	h := newRestartHarness(t, schedule.UnknownOutcome, false)
	stops := h.planAfter(0)
	must.Len(t, 1, stops)
	h.pool.Answered(stops[0], schedule.Accepted, h.now)
	for _, more := range []bool{true, false} {
		h.now += 10
		h.pool.Observe(workerID(0), schedule.Report{RequestedAt: h.now, MoreEnds: more}, h.now)
		starts := 0
		if !more {
			starts = 1
		}
		must.Len(t, starts, h.acceptStarts(1))
	}
}

// BenchmarkRestartWorker measures what an owner spends on the restart of a worker under its id, per run that may be on
// the successor.
func BenchmarkRestartWorker(b *testing.B) {
	for _, runs := range []int{20, 1000} {
		b.Run(fmt.Sprint(runs, " runs"), func(b *testing.B) {
			step := newStep(runs)
			step.Needs = job.Resources{CPU: 1, Memory: 1}
			h := &harness{pool: schedule.New(schedule.Config{Pool: "p"})}
			h.pool.FinishRecovery(0)
			h.addWorker(workerID(0), 16000)
			h.pool.Add(newJob(1, step), testPolicy, nil, 0, 0)
			must.Len(b, runs, h.planAfter(1))
			incarnation := clock.Millis(1)
			for b.Loop() {
				incarnation++
				h.now++
				must.Eq(b, runs, h.pool.UnprovenRuns(workerID(0)))
				h.pool.RestartWorker(workerID(0), incarnation, "it has restarted", h.now)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(runs), "us/run")
		})
	}
}

// Guards against an owner that crashes when a worker restarts under a job that is given up for it, while another
// task of the job may be on the successor: that one is stopped there.
func TestJobIsGivenUpWhileItsTaskMayBeOnSuccessor(t *testing.T) {
	h := newHarness(t, 1)
	alone := job.Crash{Run: 1, Worker: "a", Incarnation: 1, Age: 10, Alone: true}
	beside := job.Crash{Run: 2, Worker: "b", Incarnation: 1, Age: 10, Peers: 3}
	progress := &job.Progress{State: job.Running}
	progress.AddCrash(job.Position{Index: 0}, alone)
	progress.AddCrash(job.Position{Index: 0}, beside)
	progress.AddCrash(job.Position{Index: 1}, beside)
	progress.AddCrash(job.Position{Index: 1}, job.Crash{Run: 3, Worker: "c", Incarnation: 1, Age: 10, Peers: 2})
	h.pool.RunBase = 1000
	h.pool.Add(newJob(1, newStep(2)), testPolicy, progress, 0, 0)
	must.Len(t, 0, h.planAfter(10))
	h.commitChanges() // the trial is durable
	started := h.planAfter(10)
	must.Len(t, 2, started, must.Sprint("both tasks are in the trial"))
	first := started[slices.IndexFunc(started, func(o schedule.Order) bool { return o.Task.Index == 0 })]
	h.pool.Answered(first, schedule.Accepted, h.now)
	h.now += 5
	h.pool.Observe("w0", schedule.Report{RequestedAt: h.now, Running: []schedule.RunReport{{Task: first.Task, Run: first.Run}}}, h.now)
	h.now += 5
	h.pool.RestartWorker("w0", 2, "it has restarted", h.now)
	h.commitChanges()
	must.Eq(t, job.Failed, h.jobState(1))
	must.Len(t, 1, h.eventsOf("task_given_up"))
	must.Eq(t, 1, h.pool.Load(h.now).Workers[0].Tasks, must.Sprint("the other task may be on the successor"))
	stops := h.planAfter(10)
	must.Len(t, 1, stops)
	must.Eq(t, schedule.Order{Kind: schedule.Stop, Worker: "w0", Incarnation: 2, Task: job.Ref{Job: jobID(1), Index: 1}, Run: 1001, Reason: schedule.StopFinal}, stops[0])
	h.reportEnd(stops[0], schedule.EndStopped)
	must.Eq(t, 0, h.pool.Load(h.now).Workers[0].Tasks)
	must.True(t, h.pool.Remove(jobID(1)))
}
