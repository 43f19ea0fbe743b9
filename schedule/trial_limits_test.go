package schedule_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// Guards against a pool that a class of tasks takes down: every third job has a task that crashes its
// worker. Suspected tasks may not take down more than a third of the workers at once.
func TestManyDeadlyTasksLeaveWorkersToOthers(t *testing.T) {
	s := newCrashSimulation(t, 24)
	for n := range 45 {
		job := s.add(6)
		if n%3 == 0 {
			s.deadly[s.ref(job, n%6)] = true
		}
		s.run(200)
	}
	s.run(60_000)
	must.LessEq(t, 8, s.mostDown)
	s.checkDeadlyJobs()
	s.checkOtherJobs()
}

// Guards against a small pool whose workers are all down or kept for trials, so that tasks that nobody
// suspects do not start: many tasks are deadly, and the pool has shrunk to three workers.
func TestTrialsLeaveWorkersOfSmallPools(t *testing.T) {
	s := newCrashSimulation(t, 10)
	for n := range 10 {
		s.deadly[s.ref(s.add(4), n%4)] = true
	}
	s.run(400)
	for _, w := range s.workers[3:] {
		s.pool.Cordon([]fleet.InstanceID{"w3", "w4", "w5", "w6", "w7", "w8", "w9"}, s.now)
		s.pool.RemoveWorker(w.id, schedule.LossExpected, "its machine was moved", s.now)
		w.restartAt = 1 << 40
	}
	s.run(4000)
	s.onStep = func() {
		must.True(t, slices.ContainsFunc(s.workers[:3], func(w *simulatedWorker) bool { return w.restartAt == 0 }), must.Sprint("suspects have taken all workers down"))
	}
	for range 20 {
		n := s.add(2)
		s.run(2000)
		must.NotEq(t, job.Queued, s.pool.Job(jobID(n)).State(), must.Sprint("a job that nobody suspects waits for trials of others"))
	}
}

// Guards against trials beyond the allowance of a team.
func TestTrialsStayWithinAllowance(t *testing.T) {
	s := newCrashSimulation(t, 4)
	s.pool.Limited = func(fleet.TeamID) bool { return true }
	allow := func(cpu int64) {
		s.pool.SetAllowance(map[fleet.TeamID]job.Resources{"alpha": {CPU: cpu, Memory: 1 << 30, GPU: 1 << 30}})
	}
	j := newJob(1, newStep(2))
	j.Team = "alpha"
	s.jobs = append(s.jobs, j)
	allow(4000)
	s.pool.Add(j, testPolicy, nil, 0, s.now)
	ref := s.ref(1, 0)
	s.deadly[ref] = true
	s.runUntil(func() bool { return s.starts[ref] == 2 })
	allow(500)
	s.run(8000)
	must.Eq(t, 2, s.starts[ref])
	allow(4000)
	s.run(20_000)
	s.checkDeadlyJobs()
}

// recoveryTime is the time after the loss of all power in which the deployments are to serve again.
const recoveryTime clock.Millis = 12_000

// Guards against jobs that wait in a long queue of trials although they have done nothing: all workers
// crash twice, each time just after all tasks have started.
func TestSuspectsOfBurstAreServedSoon(t *testing.T) {
	s := newCrashSimulation(t, 8)
	for range 40 {
		s.addSteps(newStep(6))
	}
	for range 2 {
		s.run(100)
		for _, w := range s.workers {
			s.crash(w)
		}
		s.run(workerDowntime)
	}
	s.run(recoveryTime)
	s.checkOtherJobs()
}

// Guards against suspected tasks that wait although nothing else uses the pool: more than half of its
// workers are down, and many tasks were lost with them.
func TestSuspectsUseIdlePool(t *testing.T) {
	s := newCrashSimulation(t, 22)
	for _, w := range s.workers[8:] {
		s.crash(w)
		w.restartAt = 1 << 40
	}
	for range 300 {
		s.addSuspect(atStart)
	}
	s.run(recoveryTime)
	s.checkOtherJobs()
}

// Guards against suspected tasks that take the last worker that responds while others wait for
// capacity.
func TestSuspectsLeaveLastWorkerToOthers(t *testing.T) {
	s := newCrashSimulation(t, 3)
	s.add(400)
	for _, w := range s.workers[1:] {
		s.crash(w)
		w.restartAt = 1 << 40
	}
	s.run(100)
	suspect := s.ref(s.addSuspect(atStart, atStart), 0)
	s.deadly[suspect] = true
	s.run(5000)
	must.Eq(t, 0, s.starts[suspect])
	s.workers[1].restartAt = s.now
	s.run(10_000)
	must.Greater(t, 0, s.starts[suspect])
}

// Guards against suspected tasks that wait for trials although nothing else uses the pool.
func TestTrialsUseHalfOfIdlePool(t *testing.T) {
	for _, c := range []struct {
		waiting int64 // millicores of another task that waits
		want    int   // trials at once
	}{{0, 8}, {65_000, 2}} {
		s := newCrashSimulation(t, 16)
		other := newStep(1)
		other.Needs.CPU = c.waiting
		s.addSteps(other)
		s.run(100)
		for range 20 {
			s.addSuspect(atStart, atStart)
		}
		s.run(100)
		must.Len(t, c.want, s.startedAlone(), must.Sprintf("a task of %d millicores waits", c.waiting))
	}
}

// Guards against a pool whose machines are moved away from tasks that were lost in crashes and are too
// late to count as demand. They count for the capacity that is there.
func TestLateSuspectsKeepMachines(t *testing.T) {
	s := newCrashSimulation(t, 2)
	for range 100 {
		s.addSuspect(atStart, atStart)
	}
	s.now += 60_000
	must.Eq(t, 128_000, s.pool.Load(s.now).Active)
	s.pool.SetReachable("w0", false, s.now)
	must.Eq(t, 64_000, s.pool.Load(s.now).Active, must.Sprint("the pool does not grow for them"))
}

// BenchmarkPlanWithSuspects plans a full pool of 240 workers in which tasks are suspected after bursts of
// crashes, and none can start: after one burst they are to start apart, after two in trials.
func BenchmarkPlanWithSuspects(b *testing.B) {
	for _, crashes := range []int{1, 2} {
		for _, suspects := range []int{0, 100, 1000} {
			b.Run(fmt.Sprintf("crashes=%d/suspects=%d", crashes, suspects), func(b *testing.B) { benchmarkSuspects(b, suspects, crashes) })
		}
	}
}

// benchmarkSuspects runs BenchmarkPlanWithSuspects with a number of suspected tasks, each with a number
// of crashes.
func benchmarkSuspects(b *testing.B, suspects, crashes int) {
	p := schedule.New(schedule.Config{Pool: "p"})
	now := clock.Millis(1000)
	for n := range suspects / 4 {
		progress := &job.Progress{}
		for index := range 4 {
			for run := range crashes {
				progress.AddCrash(job.Position{Index: index}, job.Crash{Run: 1 + run, Worker: "a", Age: 10})
			}
		}
		p.Add(newJob(n, newStep(4)), testPolicy, progress, 0, now)
	}
	p.FinishRecovery(now)
	for i := range 240 {
		w := fleet.InstanceID(fmt.Sprintf("w%03d", i))
		p.SetWorker(schedule.Worker{ID: w, Incarnation: 1, Capacity: job.Resources{CPU: 16000, Memory: 32768}}, now)
		p.SetReachable(w, true, now)
		var running []schedule.RunReport
		for k := range 16 {
			running = append(running, schedule.RunReport{Task: job.Ref{Job: jobID(1 << 20), Index: i*16 + k}, Run: 1})
		}
		if i == 0 {
			p.Add(newJob(1<<20, newStep(240*16)), testPolicy, &job.Progress{}, 0, now)
		}
		p.Observe(w, schedule.Report{Running: running}, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Plan(now, now)
	}
}
