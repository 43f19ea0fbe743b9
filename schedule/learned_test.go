package schedule_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// relaxedPolicy leaves so much slack that no step of a test is close to its latest start.
var relaxedPolicy = job.Policy{Attempts: 2, Stretch: 1.6, Slack: 60_000}

// addTo adds the nth job, of one task of one core in a queue, and returns it.
func (h *harness) addTo(n int, queue fleet.QueueID, step job.Step) *schedule.Job {
	j := newJob(n, step)
	j.Queue = queue
	return h.pool.Add(j, relaxedPolicy, nil, 0, h.now)
}

// observeRuns runs count jobs of a queue, each of one task with the estimate of newStep, and lets each
// of them run for ran.
func (h *harness) observeRuns(queue fleet.QueueID, count int, ran clock.Millis) {
	h.now += 1000 // a run that was ordered at time 0 counts as adopted
	for n := range count {
		h.addTo(500_000+int(h.now)*100+n, queue, newStep(1))
		started := h.acceptStarts(0)
		must.Len(h.t, 1, started)
		h.now += ran
		h.reportEnd(started[0], schedule.EndDone)
		h.commitChanges()
	}
}

// firstOfTwo returns the queue whose job starts first in a full worker: jobs of the queues a and b are
// added, in this order, with the same estimates.
func (h *harness) firstOfTwo() fleet.QueueID {
	h.addTo(1, "full", newStep(16))
	running := h.acceptStarts(0)
	must.Len(h.t, 16, running)
	h.addTo(2, "a", newStep(1))
	h.addTo(3, "b", newStep(1))
	must.Len(h.t, 0, h.acceptStarts(200))
	h.reportEnd(running[0], schedule.EndDone)
	started := h.acceptStarts(10)
	must.Len(h.t, 1, started)
	return h.pool.Job(started[0].Task.Job).Queue
}

// Guards against ranks that follow estimates which are known to be wrong, and against ranks that change
// by chance: with too few runs, or where the users' estimates are right.
func TestRanksFollowLearnedRunTimes(t *testing.T) {
	for _, c := range []struct {
		name  string
		runs  int
		ran   clock.Millis // of the tasks of queue b, with estimates of 1000
		first fleet.QueueID
	}{
		{"nothing is known", 0, 0, "a"},
		{"longer than estimated", 16, 1900, "b"},
		{"shorter than estimated", 16, 300, "a"},
		{"too few runs", 15, 1900, "a"},
		{"nearly as estimated", 100, 1150, "a"},
	} {
		h := newHarness(t, 1)
		h.observeRuns("b", c.runs, c.ran)
		must.Eq(t, c.first, h.firstOfTwo(), must.Sprint(c.name))
	}
}

// Guards against a queue that is neither served nor counted as load because its estimates are far too
// low: by the learned run time, its jobs could not meet their objective from the start.
func TestLearnedRunTimesMakeNoJobLate(t *testing.T) {
	h := newHarness(t, 1)
	h.observeRuns("b", 20, 9000)
	j := newJob(1, newStep(64))
	j.Queue = "b"
	h.pool.Add(j, testPolicy, nil, 0, h.now)
	h.acceptStarts(0)
	must.Eq(t, 64_000, h.pool.Load(h.now).Active)
	must.Eq(t, 16_000, h.pool.Load(h.now+2000).Active, must.Sprint("by the submitted estimate, the waiting tasks are late"))
}

// Guards against learning from runs whose length says nothing about the task: runs that resumed from a
// checkpoint, runs that an earlier owner started, and failed runs; and from best-effort tasks, which
// the pool slows down.
func TestOnlyWholeRunsAreLearned(t *testing.T) {
	h := newHarness(t, 1)
	h.now = 1000
	run := func(n int, step job.Step, kind schedule.EndKind, checkpoint string) {
		h.addTo(n, "q", step)
		started := h.acceptStarts(0)
		must.Len(t, 1, started)
		h.now += 700
		h.pool.Observe(started[0].Worker, schedule.Report{RequestedAt: h.now, Ended: []schedule.EndReport{
			{Task: started[0].Task, Run: started[0].Run, Kind: kind, Checkpoint: checkpoint},
		}}, h.now)
		h.commitChanges()
	}
	step := newStep(1)
	bestEffort := step
	bestEffort.BestEffort = true
	run(1, bestEffort, schedule.EndDone, "")
	run(2, step, schedule.EndFailed, "checkpoint")
	resumed := h.acceptStarts(0)
	must.Len(t, 1, resumed)
	must.Eq(t, "checkpoint", resumed[0].Checkpoint)
	h.now += 100
	h.reportEnd(resumed[0], schedule.EndDone)
	h.pool.Add(newJob(3, step), testPolicy, &job.Progress{State: job.Running}, 0, h.now)
	adopted := job.Ref{Job: jobID(3)}
	h.pool.Observe("w0", schedule.Report{RequestedAt: h.now, Running: []schedule.RunReport{{Task: adopted, Run: 7}}}, h.now)
	h.now += 50
	h.pool.Observe("w0", schedule.Report{RequestedAt: h.now, Ended: []schedule.EndReport{{Task: adopted, Run: 7, Kind: schedule.EndDone}}}, h.now)
	must.Len(t, 0, h.pool.Dump(h.now).RunTimes)
	run(4, step, schedule.EndDone, "")
	must.Len(t, 1, h.pool.Dump(h.now).RunTimes)
	must.Eq(t, 1, h.pool.Dump(h.now).RunTimes[0].Observations)
}

// Guards against learned run times that depend on where the tasks happened to run.
func TestFarRunsAreLearnedAsNearOnes(t *testing.T) {
	h := &harness{t: t, pool: schedule.New(schedule.Config{Pool: "p", FarFactor: 3})}
	h.pool.FinishRecovery(0)
	h.now = 1000
	h.addWorker("w0", 16_000)
	step := newStep(1)
	step.DataRack = "elsewhere"
	for n := range 20 {
		h.addTo(n, "q", step)
		started := h.acceptStarts(0)
		must.Len(t, 1, started, must.Sprint(fmt.Sprint("run ", n)))
		h.now += 1500
		h.reportEnd(started[0], schedule.EndDone)
	}
	must.Len(t, 1, h.pool.Dump(h.now).RunTimes)
	must.Between(t, 0.47, h.pool.Dump(h.now).RunTimes[0].Median, 0.53)
}
