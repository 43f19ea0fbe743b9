package schedule_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

func TestStepsInOrderUntilComplete(t *testing.T) {
	r := newRig(t, 1)
	r.pool.Add(newJob(1, tasks(2), tasks(1, 0)), terms, nil, 0, 0)
	first := r.starts(0)
	must.Len(t, 2, first)
	must.Eq(t, job.Running, r.state(1))
	r.end(first[0], schedule.EndDone)
	must.Len(t, 0, r.starts(10), must.Sprint("the second step waits for all tasks of the first"))
	r.end(first[1], schedule.EndDone)
	second := r.starts(10)
	must.Len(t, 1, second)
	r.end(second[0], schedule.EndDone)
	must.Eq(t, job.Running, r.state(1), must.Sprint("a state is shown only when it is durable"))
	r.commit()
	must.Eq(t, job.Complete, r.state(1))
}

// A job whose owner died before any end was durable has no progress. Its first end panicked.
func TestRecoveredJobWithoutProgress(t *testing.T) {
	r := newRig(t, 1)
	r.pool.Add(newJob(1, tasks(1)), terms, &job.Progress{}, 0, 0)
	must.Len(t, 1, r.starts(0))
	r.pool.Observe("w0", schedule.Report{Ended: []schedule.EndReport{{Task: job.Ref{Job: id(1)}, Run: 1, Kind: schedule.EndDone}}}, 0)
	r.commit()
	must.Eq(t, job.Complete, r.state(1))
}

func TestRecoveredJobWithoutProgressFails(t *testing.T) {
	r := newRig(t, 1)
	r.pool.Add(newJob(1, tasks(1)), schedule.Terms{Attempts: 1}, &job.Progress{}, 0, 0)
	o := r.starts(0)
	r.end(o[0], schedule.EndFailed)
	r.commit()
	must.Eq(t, job.Failed, r.state(1))
}

// A task of a recovered job may run on a worker that has not answered: starting it again runs
// it twice.
func TestRecoveredTasksWaitForSettle(t *testing.T) {
	p := schedule.New(schedule.Config{Pool: "p", RunBase: 1000})
	p.Add(newJob(1, tasks(2)), terms, &job.Progress{}, 0, 0)
	p.SetWorker(schedule.Worker{ID: "w0", Born: 1, Capacity: job.Resources{CPU: 16000, Memory: 1000}}, 0)
	p.SetReachable("w0", true)
	running := []schedule.RunReport{{Task: job.Ref{Job: id(1), Index: 1}, Run: 7}}
	p.Observe("w0", schedule.Report{Running: running}, 0)
	must.Len(t, 0, p.Plan(0, 0))
	p.Settle(0)
	orders := p.Plan(0, 0)
	must.Len(t, 1, orders, must.Sprint("the task that was listed as running is adopted"))
	must.Eq(t, 0, orders[0].Task.Index)
	must.Eq(t, 1001, orders[0].Run)
}

// The end of an earlier run arrives before the worker with the newer run was looked at:
// starting the task then runs it twice.
func TestEarlierEndDoesNotProveTheNewerRun(t *testing.T) {
	p := schedule.New(schedule.Config{Pool: "p", RunBase: 1000})
	p.Add(newJob(1, tasks(1)), terms, &job.Progress{}, 0, 0)
	p.SetWorker(schedule.Worker{ID: "w0", Born: 1, Capacity: job.Resources{CPU: 16000, Memory: 1000}}, 0)
	p.SetReachable("w0", true)
	ref := job.Ref{Job: id(1)}
	p.Observe("w0", schedule.Report{Ended: []schedule.EndReport{{Task: ref, Run: 1, Kind: schedule.EndFailed}}}, 0)
	must.Len(t, 0, p.Plan(0, 0))
	p.SetWorker(schedule.Worker{ID: "w1", Born: 1, Capacity: job.Resources{CPU: 16000, Memory: 1000}}, 0)
	p.SetReachable("w1", true)
	p.Observe("w1", schedule.Report{Running: []schedule.RunReport{{Task: ref, Run: 2}}}, 0)
	p.Settle(0)
	must.Len(t, 0, p.Plan(0, 0), must.Sprint("run 2 goes on"))
}

// Tasks that last ran on until a leaving worker cut them, and were away for the rest of their
// lease.
func TestLastingTasksLeaveADrainingWorker(t *testing.T) {
	r := newRig(t, 1)
	lasting := tasks(2)
	lasting.LongRunning, lasting.MayMiss = true, 1
	r.pool.Add(newJob(1, lasting), terms, nil, 0, 0)
	must.Len(t, 2, r.starts(0))
	r.worker("w9", 16000)
	r.pool.SetWorker(schedule.Worker{ID: "w0", Born: 1, Capacity: job.Resources{CPU: 16000, Memory: 32768}, Draining: true}, 0)
	stops := r.plan(10)
	must.Len(t, 2, stops)
	for _, o := range stops {
		must.Eq(t, schedule.Stop, o.Kind)
		r.end(o, schedule.EndStopped)
	}
	for _, o := range r.starts(10) {
		must.Eq(t, "w9", o.Worker)
	}
}

// A start that was never answered is withdrawn by a stop. The stop was repeated while a look
// was under way, and each answer moved the time from which a look counts, so that the task
// stayed away for good.
func TestWithdrawnStartIsResolved(t *testing.T) {
	r := newRig(t, 1)
	r.pool.Add(newJob(1, tasks(1)), terms, nil, 0, 0)
	start := r.plan(0)
	must.Len(t, 1, start)
	r.pool.Answered(start[0], schedule.Unanswered, r.now)
	stopped := false
	for range 6 {
		asked := r.now
		for _, o := range r.plan(800) {
			must.Eq(t, schedule.Stop, o.Kind)
			r.pool.Answered(o, schedule.Accepted, r.now)
			stopped = true
		}
		r.now += 200
		r.pool.Observe("w0", schedule.Report{Asked: asked}, r.now)
		if stopped && r.pool.Load(r.now).Workers[0].Tasks == 0 {
			break
		}
	}
	again := r.plan(0)
	must.Len(t, 1, again)
	must.Eq(t, schedule.Start, again[0].Kind)
	must.Eq(t, 2, again[0].Run)
}

// A worker had crashed silently. Its task counted as at work by its last report, and another
// task of the step was stopped to empty a worker, so that two were away.
func TestSilentWorkersTasksCountAsAway(t *testing.T) {
	r := newRig(t, 2)
	lasting := tasks(2)
	lasting.LongRunning, lasting.MayMiss, lasting.MaxPerWorker = true, 1, 1
	r.pool.Add(newJob(1, lasting), terms, nil, 0, 0)
	started := r.starts(0)
	must.Len(t, 2, started)
	for _, o := range started {
		r.pool.Observe(o.Worker, schedule.Report{Running: []schedule.RunReport{{Task: o.Task, Run: o.Run, Percent: 100}}}, r.now)
	}
	r.worker("w9", 16000)
	r.pool.SetReachable("w0", false)
	r.pool.Cordon([]fleet.InstanceID{"w1"}, r.now)
	must.Len(t, 0, r.plan(10))
	r.pool.SetReachable("w0", true)
	must.Len(t, 1, r.plan(10))
}

// A former owner had ordered a task's end, which takes a moment. Its successor saw the task at
// work and ordered the end of another one of the step, so that two were away.
func TestAdoptedTaskMayStillBeStopping(t *testing.T) {
	const stopTime = 900
	r := &rig{t: t, pool: schedule.New(schedule.Config{Pool: "p", RunBase: 1000, StopTime: stopTime})}
	lasting := tasks(2)
	lasting.LongRunning, lasting.MayMiss, lasting.MaxPerWorker = true, 1, 1
	r.pool.Add(newJob(1, lasting), terms, &job.Progress{State: job.Running}, 0, 0)
	look := func() {
		for i := range 2 {
			run := schedule.RunReport{Task: job.Ref{Job: id(1), Index: i}, Run: 1, Percent: 100}
			r.pool.Observe(workerID(i), schedule.Report{Asked: r.now, Running: []schedule.RunReport{run}}, r.now)
		}
	}
	for i := range 3 {
		r.worker(workerID(i), 16000)
	}
	look()
	r.pool.Settle(0)
	r.pool.Cordon([]fleet.InstanceID{"w1"}, 0)
	must.Len(t, 0, r.plan(100))
	look()
	must.Len(t, 0, r.plan(stopTime-100), must.Sprint("the last look was sent before the stop must have ended"))
	look()
	must.Len(t, 1, r.plan(1))
}

// A new owner heard first from the worker on which the second step had failed, and took the
// failed task for one that may start: the first step had not been shown as done yet, and
// other workers still had failures to tell, so that the task ran more often than allowed.
func TestFailuresBeforeAllWorkersAnswered(t *testing.T) {
	failed := func(step, run int) schedule.EndReport {
		return schedule.EndReport{Task: job.Ref{Job: id(1), Step: step}, Run: run, Kind: schedule.EndFailed}
	}
	for _, tc := range []struct {
		name  string
		first schedule.Report // of w0, before w1 answers
		then  schedule.Report // of w0, after it
		state job.State
	}{
		{"a later step", schedule.Report{Ended: []schedule.EndReport{failed(1, 2), failed(1, 3)}}, schedule.Report{}, job.Failed},
		{
			"an adopted run",
			schedule.Report{Running: []schedule.RunReport{{Task: job.Ref{Job: id(1), Step: 1}, Run: 2}}},
			schedule.Report{Ended: []schedule.EndReport{failed(1, 2), failed(1, 3)}},
			job.Failed,
		},
		{
			"a stopped run",
			schedule.Report{Running: []schedule.RunReport{{Task: job.Ref{Job: id(1), Step: 1}, Run: 2}}},
			schedule.Report{Ended: []schedule.EndReport{{Task: job.Ref{Job: id(1), Step: 1}, Run: 2, Kind: schedule.EndStopped}}},
			job.Running,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &rig{t: t, pool: schedule.New(schedule.Config{Pool: "p", RunBase: 1000})}
			r.pool.Add(newJob(1, tasks(1), tasks(1, 0)), schedule.Terms{Attempts: 3}, &job.Progress{State: job.Running}, 0, 0)
			r.worker("w0", 16000)
			r.pool.Observe("w0", tc.first, 0)
			must.Len(t, 0, r.starts(10))
			r.pool.Observe("w0", tc.then, r.now)
			must.Len(t, 0, r.starts(10), must.Sprint("w1 has not answered"))
			r.worker("w1", 16000)
			r.pool.Observe("w1", schedule.Report{Ended: []schedule.EndReport{
				{Task: job.Ref{Job: id(1)}, Run: 1, Kind: schedule.EndDone}, failed(1, 1),
			}}, r.now)
			r.pool.Settle(r.now)
			r.commit()
			must.Eq(t, tc.state, r.state(1))
			must.Eq(t, tc.state == job.Running, len(r.starts(10)) == 1)
		})
	}
}

// An owner made two failures durable and was killed before it told the worker to forget them.
// Its successor counted them again and failed a job that had attempts left.
func TestFailuresCountOnce(t *testing.T) {
	r := newRig(t, 1)
	r.pool.Add(newJob(1, tasks(1)), schedule.Terms{Attempts: 3}, nil, 0, 0)
	var ends []schedule.EndReport
	for range 2 {
		o := r.starts(10)
		must.Len(t, 1, o)
		r.end(o[0], schedule.EndFailed)
		ends = append(ends, schedule.EndReport{Task: o[0].Task, Run: o[0].Run, Kind: schedule.EndFailed})
	}
	text, err := r.pool.Changes(0, 10)[0].Progress.Encode()
	must.NoError(t, err)
	progress, err := job.DecodeProgress(text)
	must.NoError(t, err)

	next := newRig(t, 1)
	next.pool.Add(newJob(1, tasks(1)), schedule.Terms{Attempts: 3}, progress, 0, 0)
	next.pool.Observe("w0", schedule.Report{Ended: ends}, 0)
	next.commit()
	must.NotEq(t, job.Failed, next.state(1))
	must.Len(t, 1, next.starts(10))
}
