package schedule_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/job"
)

// Guards against a crash that is forgotten because the owner was lost in the moment between the second
// start of a task and the return of its worker.
func TestSecondStartIsRecorded(t *testing.T) {
	s := newCrashSimulation(t, 4)
	ref := s.ref(s.add(1), 0)
	s.deadly[ref] = true
	s.runUntil(func() bool { return s.starts[ref] == 2 })
	s.run(100)
	s.replaceOwner(2)
	s.run(workerDowntime)
	must.Len(t, 2, s.durable[ref.Job].Crashes[job.Position{}])
}

// Guards against a crash that is forgotten because the owner was lost in the moment between the start of a
// task and the return of its worker, after the task had been lost at the start with a silent worker.
func TestStartAfterSilentLossIsRecorded(t *testing.T) {
	s := newCrashSimulation(t, 4)
	s.runTime = 10_000
	ref := s.ref(s.add(1), 0)
	s.runUntil(func() bool { return s.workerOf(ref) != nil })
	must.MapEmpty(t, s.durable[ref.Job].Trials)
	w := s.workerOf(ref)
	s.now += 10
	s.pool.SetReachable(w.id, false, s.now)
	s.run(600)
	w.runs, w.restartAt = nil, 1<<40
	s.pool.ExpireLeases(w.id, s.now)
	s.runUntil(func() bool { return s.workerOf(ref) != nil })
	must.MapLen(t, 1, s.durable[ref.Job].Trials)
}

// Guards against a third crash that is forgotten in the same way, because the second one came a little
// later after the start than the first one.
func TestStartAfterLaterCrashIsRecorded(t *testing.T) {
	s := newCrashSimulation(t, 4)
	ref := s.ref(s.addSuspect(job.Crash{Worker: "a", Age: 10}, job.Crash{Worker: "b", Age: 165}), 0)
	s.deadly[ref] = true
	s.runUntil(func() bool { return s.starts[ref] == 1 })
	s.run(100)
	s.replaceOwner(2)
	s.run(workerDowntime)
	must.Len(t, 3, s.durable[ref.Job].Crashes[job.Position{}])
}

// Guards against a second start while the store does not take the record of the first crash: the owner
// is lost before it does, and both crashes are forgotten.
func TestSuspectsDoNotStartWithoutStore(t *testing.T) {
	s := newCrashSimulation(t, 6)
	ref := s.ref(s.add(4), 1)
	s.deadly[ref] = true
	s.runUntil(func() bool { return s.starts[ref] == 1 })
	s.commitTime = 1 << 40
	s.run(workerDowntime + 3000)
	must.Eq(t, 1, s.starts[ref])
	s.commitTime = 15
	s.replaceOwner(2)
	s.run(40_000)
	s.checkDeadlyJobs()
	s.checkOtherJobs()
}

// Guards against other tasks that are lost, and are suspected in turn, because they were placed beside
// one that is suspected although there was room elsewhere.
func TestOthersKeepAwayFromSuspects(t *testing.T) {
	s := newCrashSimulation(t, 4)
	s.runTime = 10_000
	suspect := s.ref(s.addSuspect(atStart), 0)
	s.runUntil(func() bool { return s.workerOf(suspect) != nil })
	s.run(1000)
	s.add(40)
	s.run(100)
	must.MapLen(t, 1, s.workerOf(suspect).runs)
	s.add(20)
	s.run(100)
	must.Greater(t, 1, len(s.workerOf(suspect).runs), must.Sprint("the other workers are full"))
}

// Guards against starts of many suspected tasks on one worker at once: all of them would stay
// suspected if one crashes it. While other tasks wait for capacity, each has its own worker.
func TestFewSuspectsStartOnOneWorkerAtOnce(t *testing.T) {
	for _, c := range []struct {
		waiting int64 // millicores of another task that waits
		want    int   // suspected tasks that start on one worker at once
	}{{0, 2}, {65_000, 1}} {
		s := newCrashSimulation(t, 8)
		other := newStep(1)
		other.Needs.CPU = c.waiting
		s.addSteps(other)
		s.run(100)
		for range 40 {
			s.addSuspect(atStart)
		}
		most := 0
		s.onStart = func(w *simulatedWorker) {
			started := 0
			for ref, r := range w.runs {
				if ref.Job != jobID(1) && r.end >= s.now+s.runTime-100 {
					started++
				}
			}
			most = max(most, started)
		}
		s.run(5000)
		must.Eq(t, c.want, most, must.Sprintf("a task of %d millicores waits", c.waiting))
	}
}

// Guards against passes that search workers for each of many suspected tasks in a full pool.
func TestPassesSearchFewWorkersForSuspects(t *testing.T) {
	s := newCrashSimulation(t, 8)
	wide := newStep(1)
	wide.Needs.CPU = 65_000
	s.addSteps(wide)
	s.run(100)
	for range 200 {
		s.addSuspect(atStart)
	}
	s.onStep = func() { must.Less(t, 20, s.pool.Searches()) }
	s.run(500)
}

// Guards against a job that takes down a worker with each of its tasks: suspected tasks of a job start
// apart together, also while others wait for capacity.
func TestSuspectedTasksOfJobStartTogether(t *testing.T) {
	s := newCrashSimulation(t, 8)
	wide := newStep(1)
	wide.Needs.CPU = 65_000
	s.addSteps(wide)
	s.run(100)
	lost := []job.Crash{atStart}
	n := s.addLostTasksBefore(newStep(5), lost, lost, lost, lost, lost)
	s.runUntil(func() bool { return s.workerOf(s.ref(n, 0)) != nil })
	must.MapLen(t, 5, s.workerOf(s.ref(n, 0)).runs)
}
