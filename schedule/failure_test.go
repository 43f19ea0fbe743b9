package schedule_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/job"
	"citronknot/schedule"
)

// Guards against workers that take no starts because the failures of one job count several times against
// them: tasks that fail together, as a gang or as tasks of one step, say more of their job than of the
// worker. Nothing else runs there, so that other jobs would wait with all room free.
func TestFailuresOfOneJobDoNotStopWorker(t *testing.T) {
	for _, c := range []struct {
		name string
		step job.Step
		runs int
	}{
		{name: "gang", step: newGang(3), runs: 1},
		{name: "gang, several runs", step: newGang(3), runs: 3},
		{name: "plain step", step: newStep(3), runs: 1},
		{name: "plain step, several runs", step: newStep(6), runs: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.pool.Add(newJob(1, c.step), job.Policy{Attempts: 5}, nil, 0, 0)
			for run := range c.runs {
				started := h.acceptStarts(10)
				must.Len(t, c.step.Count, started, must.Sprintf("run %d", run+1))
				h.reportEnds(started, schedule.EndFailed)
			}
			h.pool.Add(newJob(2, newStep(1)), testPolicy, nil, 0, h.now)
			must.Len(t, c.step.Count+1, h.acceptStarts(10))
			must.Len(t, 0, h.eventsOf("worker_avoided"))
		})
	}
}

// Guards against a worker that fails all that it starts and still gets starts: jobs that fail there count one
// by one, and so do all tasks of a job whose other tasks are done elsewhere.
func TestWorkerThatFailsManyJobsIsAvoided(t *testing.T) {
	t.Run("jobs", func(t *testing.T) {
		h := newHarness(t, 1)
		h.addWorker("w1", 500) // too small for the tasks
		for n := range 3 {
			must.Len(t, 0, h.eventsOf("worker_avoided"))
			h.pool.Add(newJob(n+1, newStep(1)), testPolicy, nil, 0, h.now)
			h.reportEnds(h.acceptStarts(10), schedule.EndFailed)
		}
		must.Len(t, 1, h.eventsOf("worker_avoided"))
		must.Len(t, 0, h.acceptStarts(10))
		must.True(t, h.pool.Dump(h.now).Workers[0].Avoided)
	})
	t.Run("two jobs, several tasks", func(t *testing.T) {
		h := newHarness(t, 1)
		h.addWorker("w1", 500)
		for n := range 2 {
			h.pool.Add(newJob(n+1, newStep(2)), testPolicy, nil, 0, h.now)
		}
		h.reportEnds(h.acceptStarts(10), schedule.EndFailed)
		must.Len(t, 1, h.eventsOf("worker_avoided"))
	})
	t.Run("a job that is done elsewhere", func(t *testing.T) {
		h := newHarness(t, 2)
		h.pool.Add(newJob(1, newStep(32)), testPolicy, nil, 0, h.now)
		var onFailing []schedule.Order
		for _, o := range h.acceptStarts(10) {
			if o.Worker == "w0" {
				onFailing = append(onFailing, o)
				continue
			}
			h.reportEnd(o, schedule.EndDone)
		}
		must.Len(t, 16, onFailing)
		h.reportEnds(onFailing[:3], schedule.EndFailed)
		must.Len(t, 1, h.eventsOf("worker_avoided"))
		must.Eq(t, "w0", h.eventsOf("worker_avoided")[0].Worker)
	})
}

// Guards against a gang that fails again because one of its members starts on the worker on which another one
// has failed, while there is room elsewhere.
func TestGangAvoidsWorkerOnWhichMemberFailed(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.Add(newJob(1, newGang(2)), testPolicy, nil, 0, 0)
	started := h.acceptStarts(10)
	must.Len(t, 2, started)
	must.Eq(t, started[0].Worker, started[1].Worker)
	h.reportEnd(started[1], schedule.EndFailed)
	h.reportEnd(started[0], schedule.EndGangBroken)
	for _, o := range h.acceptStarts(10) {
		must.NotEq(t, started[0].Worker, o.Worker, must.Sprintf("member %d", o.Task.Index))
	}
}

// Guards against a pool that starts nothing because all of its workers have failed what they started.
func TestMostWorkersAreNotAvoided(t *testing.T) {
	for _, workers := range []int{1, 2, 3, 8} {
		h := newHarness(t, workers)
		for n := range 20 * workers {
			h.pool.Add(newJob(n+1, newStep(4)), job.Policy{Attempts: 1}, nil, 0, h.now)
			h.reportEnds(h.acceptStarts(10), schedule.EndFailed)
		}
		avoided := h.pool.Usage(h.now).Avoided
		must.LessEq(t, workers/2, avoided)
		must.Eq(t, workers > 1, avoided > 0)
	}
}

// Guards against a worker that takes no starts for seconds because it has refused several at one moment: as a
// gang, or as tasks of one step.
func TestRefusalsAtOneMomentCountOnce(t *testing.T) {
	for _, step := range []job.Step{newGang(3), newStep(3)} {
		h := newHarness(t, 1)
		h.pool.Add(newJob(1, step), testPolicy, nil, 0, 0)
		for _, o := range h.planAfter(10) {
			h.now++
			h.pool.Answered(o, schedule.Refused, h.now)
		}
		must.Len(t, 0, h.eventsOf("worker_avoided"))
	}
}
