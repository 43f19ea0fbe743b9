package schedule_test

import (
	"testing"

	"github.com/shoenig/test/must"

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
