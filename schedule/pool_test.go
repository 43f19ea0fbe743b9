package schedule_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// Guards against a step that starts before the steps that it depends on are done, and against a
// state that callers see before it is durable.
func TestStepsRunInDependencyOrder(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Add(newJob(1, newStep(2), newStep(1, 0)), testPolicy, nil, 0, 0)
	first := h.acceptStarts(0)
	must.Len(t, 2, first)
	must.Eq(t, job.Running, h.jobState(1))
	h.reportEnd(first[0], schedule.EndDone)
	must.Len(t, 0, h.acceptStarts(10), must.Sprint("the second step waits for all tasks of the first"))
	h.reportEnd(first[1], schedule.EndDone)
	second := h.acceptStarts(10)
	must.Len(t, 1, second)
	h.reportEnd(second[0], schedule.EndDone)
	must.Eq(t, job.Running, h.jobState(1), must.Sprint("callers see a state only when it is durable"))
	h.commitChanges()
	must.Eq(t, job.Complete, h.jobState(1))
}

// Guards against a panic at the first end of a recovered job that has no progress, as its
// former owner crashed before any end was durable.
func TestRecoveredJobWithoutProgress(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Add(newJob(1, newStep(1)), testPolicy, &job.Progress{}, 0, 0)
	must.Len(t, 1, h.acceptStarts(0))
	h.pool.Observe("w0", schedule.Report{Ended: []schedule.EndReport{{Task: job.Ref{Job: jobID(1)}, Run: 1, Kind: schedule.EndDone}}}, 0)
	h.commitChanges()
	must.Eq(t, job.Complete, h.jobState(1))
}

// Guards against a recovered job without progress whose first failure is not counted.
func TestRecoveredJobWithoutProgressFails(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Add(newJob(1, newStep(1)), job.Policy{Attempts: 1}, &job.Progress{}, 0, 0)
	o := h.acceptStarts(0)
	h.reportEnd(o[0], schedule.EndFailed)
	h.commitChanges()
	must.Eq(t, job.Failed, h.jobState(1))
}

// Guards against a task that runs twice: a task of a recovered job still runs on a worker that
// has not responded, and is started before recovery is finished.
func TestRecoveredTasksWaitForRecovery(t *testing.T) {
	p := schedule.New(schedule.Config{Pool: "p", RunBase: 1000})
	p.Add(newJob(1, newStep(2)), testPolicy, &job.Progress{}, 0, 0)
	p.SetWorker(schedule.Worker{ID: "w0", Incarnation: 1, Capacity: job.Resources{CPU: 16000, Memory: 1000}}, 0)
	p.SetReachable("w0", true, 0)
	running := []schedule.RunReport{{Task: job.Ref{Job: jobID(1), Index: 1}, Run: 7}}
	p.Observe("w0", schedule.Report{Running: running}, 0)
	must.Len(t, 0, p.Plan(0, 0))
	p.FinishRecovery(0)
	orders := p.Plan(0, 0)
	must.Len(t, 1, orders, must.Sprint("the task that was listed as running is adopted"))
	must.Eq(t, 0, orders[0].Task.Index)
	must.Eq(t, 1001, orders[0].Run)
}

// Guards against a task that runs twice: the end of an earlier run arrives before the worker
// with the newer run was polled, and the task is started again.
func TestEndOfEarlierRunDoesNotRestartNewerRun(t *testing.T) {
	p := schedule.New(schedule.Config{Pool: "p", RunBase: 1000})
	p.Add(newJob(1, newStep(1)), testPolicy, &job.Progress{}, 0, 0)
	p.SetWorker(schedule.Worker{ID: "w0", Incarnation: 1, Capacity: job.Resources{CPU: 16000, Memory: 1000}}, 0)
	p.SetReachable("w0", true, 0)
	ref := job.Ref{Job: jobID(1)}
	p.Observe("w0", schedule.Report{Ended: []schedule.EndReport{{Task: ref, Run: 1, Kind: schedule.EndFailed}}}, 0)
	must.Len(t, 0, p.Plan(0, 0))
	p.SetWorker(schedule.Worker{ID: "w1", Incarnation: 1, Capacity: job.Resources{CPU: 16000, Memory: 1000}}, 0)
	p.SetReachable("w1", true, 0)
	p.Observe("w1", schedule.Report{Running: []schedule.RunReport{{Task: ref, Run: 2}}}, 0)
	p.FinishRecovery(0)
	must.Len(t, 0, p.Plan(0, 0), must.Sprint("run 2 is still running"))
}

// Guards against long-running tasks that stay on a draining worker until it ends: they were
// interrupted and did not work until their leases expired.
func TestLongRunningTasksLeaveDrainingWorker(t *testing.T) {
	h := newHarness(t, 1)
	longRunning := newStep(2)
	longRunning.LongRunning, longRunning.MaxUnavailable = true, 1
	h.pool.Add(newJob(1, longRunning), testPolicy, nil, 0, 0)
	must.Len(t, 2, h.acceptStarts(0))
	h.addWorker("w9", 16000)
	h.pool.SetWorker(schedule.Worker{ID: "w0", Incarnation: 1, Capacity: job.Resources{CPU: 16000, Memory: 32768}, Draining: true}, 0)
	stops := h.planAfter(10)
	must.Len(t, 2, stops)
	for _, o := range stops {
		must.Eq(t, schedule.Stop, o.Kind)
		h.reportEnd(o, schedule.EndStopped)
	}
	for _, o := range h.acceptStarts(10) {
		must.Eq(t, "w9", o.Worker)
	}
}

// Guards against a task that never starts again after a start without a response was withdrawn
// by a stop. The stop was repeated while a poll was pending, and each response to it postponed
// the time from which a poll counts.
func TestTaskRestartsAfterWithdrawnStart(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Add(newJob(1, newStep(1)), testPolicy, nil, 0, 0)
	start := h.planAfter(0)
	must.Len(t, 1, start)
	h.pool.Answered(start[0], schedule.UnknownOutcome, h.now)
	stopped := false
	for range 6 {
		requestedAt := h.now
		for _, o := range h.planAfter(800) {
			must.Eq(t, schedule.Stop, o.Kind)
			h.pool.Answered(o, schedule.Accepted, h.now)
			stopped = true
		}
		h.now += 200
		h.pool.Observe("w0", schedule.Report{RequestedAt: requestedAt}, h.now)
		if stopped && h.pool.Load(h.now).Workers[0].Tasks == 0 {
			break
		}
	}
	again := h.planAfter(0)
	must.Len(t, 1, again)
	must.Eq(t, schedule.Start, again[0].Kind)
	must.Eq(t, 2, again[0].Run)
}

// Guards against a step with more missing tasks than it permits. The task of a worker that had
// crashed without notice counted as working by its last report, and another task of the step
// was stopped to drain a worker.
func TestTasksOnUnresponsiveWorkerCountAsNotWorking(t *testing.T) {
	h := newHarness(t, 2)
	longRunning := newStep(2)
	longRunning.LongRunning, longRunning.MaxUnavailable, longRunning.MaxPerWorker = true, 1, 1
	h.pool.Add(newJob(1, longRunning), testPolicy, nil, 0, 0)
	started := h.acceptStarts(0)
	must.Len(t, 2, started)
	for _, o := range started {
		h.pool.Observe(o.Worker, schedule.Report{Running: []schedule.RunReport{{Task: o.Task, Run: o.Run, Percent: 100}}}, h.now)
	}
	h.addWorker("w9", 16000)
	h.pool.SetReachable("w0", false, h.now)
	h.pool.Cordon([]fleet.InstanceID{"w1"}, h.now)
	must.Len(t, 0, h.planAfter(10))
	h.pool.SetReachable("w0", true, h.now)
	must.Len(t, 1, h.planAfter(10))
}

// Guards against a step with more missing tasks than it permits. The former owner had
// ordered the stop of a task, which takes some time. The new owner saw the task as working and
// ordered the stop of another task of the step.
func TestAdoptedTaskMayStillBeStopping(t *testing.T) {
	const stopTime = 900
	h := &harness{t: t, pool: schedule.New(schedule.Config{Pool: "p", RunBase: 1000, StopTime: stopTime})}
	longRunning := newStep(2)
	longRunning.LongRunning, longRunning.MaxUnavailable, longRunning.MaxPerWorker = true, 1, 1
	h.pool.Add(newJob(1, longRunning), testPolicy, &job.Progress{State: job.Running}, 0, 0)
	poll := func() {
		for i := range 2 {
			run := schedule.RunReport{Task: job.Ref{Job: jobID(1), Index: i}, Run: 1, Percent: 100}
			h.pool.Observe(workerID(i), schedule.Report{RequestedAt: h.now, Running: []schedule.RunReport{run}}, h.now)
		}
	}
	for i := range 3 {
		h.addWorker(workerID(i), 16000)
	}
	poll()
	h.pool.FinishRecovery(0)
	h.pool.Cordon([]fleet.InstanceID{"w1"}, 0)
	must.Len(t, 0, h.planAfter(100))
	poll()
	must.Len(t, 0, h.planAfter(stopTime-100), must.Sprint("the last poll was sent before StopTime had passed"))
	poll()
	must.Len(t, 1, h.planAfter(1))
}

// Guards against a task that runs more often than its attempts permit. The new owner first
// received the report of the worker on which the second step had failed, and made the failed
// task ready to start. The first step was not confirmed as done yet, and other workers had
// more failures to report.
func TestFailuresReportedBeforeRecoveryFinishes(t *testing.T) {
	failed := func(step, run int) schedule.EndReport {
		return schedule.EndReport{Task: job.Ref{Job: jobID(1), Step: step}, Run: run, Kind: schedule.EndFailed}
	}
	for _, tc := range []struct {
		name   string
		first  schedule.Report // of w0, before w1 responds
		second schedule.Report // of w0, after first and before w1 responds
		state  job.State
	}{
		{"a later step", schedule.Report{Ended: []schedule.EndReport{failed(1, 2), failed(1, 3)}}, schedule.Report{}, job.Failed},
		{
			"an adopted run",
			schedule.Report{Running: []schedule.RunReport{{Task: job.Ref{Job: jobID(1), Step: 1}, Run: 2}}},
			schedule.Report{Ended: []schedule.EndReport{failed(1, 2), failed(1, 3)}},
			job.Failed,
		},
		{
			"a stopped run",
			schedule.Report{Running: []schedule.RunReport{{Task: job.Ref{Job: jobID(1), Step: 1}, Run: 2}}},
			schedule.Report{Ended: []schedule.EndReport{{Task: job.Ref{Job: jobID(1), Step: 1}, Run: 2, Kind: schedule.EndStopped}}},
			job.Running,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := &harness{t: t, pool: schedule.New(schedule.Config{Pool: "p", RunBase: 1000})}
			h.pool.Add(newJob(1, newStep(1), newStep(1, 0)), job.Policy{Attempts: 3}, &job.Progress{State: job.Running}, 0, 0)
			h.addWorker("w0", 16000)
			h.pool.Observe("w0", tc.first, 0)
			must.Len(t, 0, h.acceptStarts(10))
			h.pool.Observe("w0", tc.second, h.now)
			must.Len(t, 0, h.acceptStarts(10), must.Sprint("w1 has not responded"))
			h.addWorker("w1", 16000)
			h.pool.Observe("w1", schedule.Report{Ended: []schedule.EndReport{
				{Task: job.Ref{Job: jobID(1)}, Run: 1, Kind: schedule.EndDone}, failed(1, 1),
			}}, h.now)
			h.pool.FinishRecovery(h.now)
			h.commitChanges()
			must.Eq(t, tc.state, h.jobState(1))
			must.Eq(t, tc.state == job.Running, len(h.acceptStarts(10)) == 1)
		})
	}
}

// Guards against failures that are counted twice. The former owner had made two failures
// durable and was killed before it acknowledged them to the worker. The new owner counted them
// again and failed a job that had attempts left.
func TestFailuresAreCountedOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Add(newJob(1, newStep(1)), job.Policy{Attempts: 3}, nil, 0, 0)
	var ends []schedule.EndReport
	for range 2 {
		o := h.acceptStarts(10)
		must.Len(t, 1, o)
		h.reportEnd(o[0], schedule.EndFailed)
		ends = append(ends, schedule.EndReport{Task: o[0].Task, Run: o[0].Run, Kind: schedule.EndFailed})
	}
	text, err := h.pool.Changes(0, 10)[0].Progress.Encode()
	must.NoError(t, err)
	progress, err := job.DecodeProgress(text)
	must.NoError(t, err)

	next := newHarness(t, 1)
	next.pool.Add(newJob(1, newStep(1)), job.Policy{Attempts: 3}, progress, 0, 0)
	next.pool.Observe("w0", schedule.Report{Ended: ends}, 0)
	next.commitChanges()
	must.NotEq(t, job.Failed, next.jobState(1))
	must.Len(t, 1, next.acceptStarts(10))
}

// Guards against a step that never starts because it names an earlier step twice.
func TestStepThatIsNamedTwiceBlocksOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Add(newJob(1, newStep(2), newStep(1), newStep(1, 0, 1, 0, 0)), testPolicy, nil, 0, 0)
	first := h.acceptStarts(1)
	must.Len(t, 3, first)
	for _, o := range first {
		must.SliceEmpty(t, h.acceptStarts(1))
		h.reportEnd(o, schedule.EndDone)
	}
	must.Len(t, 1, h.acceptStarts(1))
}
