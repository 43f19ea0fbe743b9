package schedule_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// Guards against the start of a suspected task that no other owner knows of: if the owner were lost
// together with the worker, the crash would not count.
func TestTrialIsDurableBeforeItsStart(t *testing.T) {
	s := newCrashSimulation(t, 4)
	s.commitTime = 700
	ref := s.ref(s.add(1), 0)
	s.deadly[ref] = true
	s.run(5000)
	must.Eq(t, 2, s.starts[ref])
	s.runUntil(func() bool {
		if !s.durable[ref.Job].Trials[job.Position{}].Alone {
			must.Eq(t, 2, s.starts[ref], must.Sprint("the third start was ordered before its trial was durable"))
		}
		return s.starts[ref] == 3
	})
	must.True(t, s.durable[ref.Job].Trials[job.Position{}].Alone)
}

// untilRecording runs the simulation until the trial of a task is being recorded, and holds it there.
func (s *crashSimulation) untilRecording(ref job.Ref) {
	s.commitTime = 15
	s.runUntil(func() bool { return s.starts[ref] == 2 })
	s.run(workerDowntime - 200)
	s.commitTime = 1 << 40
	s.run(1000)
	must.Eq(s.t, 2, s.starts[ref])
}

// Guards against capacity that stays taken after a trial that was not started: the job is cancelled, an
// earlier run turns out to be done, or the worker is to be drained.
func TestWithdrawnTrialsFreeTheirWorkers(t *testing.T) {
	for _, c := range []struct {
		name     string
		withdraw func(s *crashSimulation, ref job.Ref)
	}{
		{"cancelled", func(s *crashSimulation, ref job.Ref) { s.pool.Cancel(ref.Job, s.now) }},
		{"done", func(s *crashSimulation, ref job.Ref) {
			s.pool.Observe("w0", schedule.Report{EndsOnly: true, Ended: []schedule.EndReport{{Task: ref, Run: 1, Kind: schedule.EndDone}}}, s.now)
		}},
		{"drained", func(s *crashSimulation, ref job.Ref) { s.pool.Cordon([]fleet.InstanceID{"w0"}, s.now) }},
	} {
		s := newCrashSimulation(t, 1)
		ref := s.ref(s.add(1), 0)
		s.deadly[ref] = true
		s.untilRecording(ref)
		c.withdraw(s, ref)
		s.pool.Plan(s.now, s.now)
		s.pool.Cordon(nil, s.now)
		for _, change := range s.changes {
			s.pool.Committed(change)
		}
		s.pool.Cancel(ref.Job, s.now)
		wide := newStep(1)
		wide.Needs.CPU = 64000
		other := s.addSteps(wide)
		s.commitAt, s.commitTime = 0, 15
		s.run(5000)
		must.Eq(t, 2, s.starts[ref], must.Sprint(c.name))
		must.Eq(t, job.Complete, s.pool.Job(jobID(other)).State(), must.Sprint(c.name))
	}
}

// Guards against blame on a task for a crash of a run that was started just before it on the same
// worker: a trial waits until the other runs on its worker have gone on for two seconds.
func TestTrialWaitsUntilOtherRunsHaveSettled(t *testing.T) {
	s := newCrashSimulation(t, 2)
	s.pool.Cordon([]fleet.InstanceID{"w1"}, s.now)
	ref := s.ref(s.add(1), 0)
	s.deadly[ref] = true
	s.runUntil(func() bool { return s.starts[ref] == 2 })
	s.run(workerDowntime - 500)
	s.pool.Cordon(nil, s.now)
	s.workers[0].cpu = 0 // the task does not fit there any more
	s.runTime = 5000
	s.add(1)
	s.run(20)
	must.MapLen(t, 1, s.workers[1].runs)
	s.run(1900)
	must.Eq(t, 2, s.starts[ref], must.Sprint("the other run is younger than two seconds"))
	s.run(300)
	must.Eq(t, 3, s.starts[ref])
}

// Guards against a task that crashes worker after worker because these stay silent until the leases have
// expired: such a loss at the start of a run, after a crash at the start of another, is a reason for a
// trial, unless the worker responds again.
func TestSilentLossAtStartLeadsToTrial(t *testing.T) {
	for _, c := range []struct {
		responds bool
		trials   int
	}{{false, 1}, {true, 0}} {
		s := newCrashSimulation(t, 4)
		ref := s.ref(s.addSuspect(atStart), 0)
		s.runUntil(func() bool { return s.workerOf(ref) != nil })
		w := s.workerOf(ref)
		s.now += 10
		s.pool.SetReachable(w.id, false, s.now)
		s.run(600)
		must.Len(t, 0, s.startedAlone())
		w.runs, w.restartAt = nil, 1<<40
		s.pool.ExpireLeases(w.id, s.now)
		s.pool.SetReachable(w.id, c.responds, s.now)
		s.run(3000)
		must.Len(t, c.trials, s.startedAlone(), must.Sprintf("responds again: %t", c.responds))
	}
}

// Guards against tasks that have done nothing and wait until others have crashed the workers: those
// that were lost beside more starts go first.
func TestLeastLikelySuspectsGoFirst(t *testing.T) {
	s := newCrashSimulation(t, 1)
	beside := func(peers int) job.Crash { return job.Crash{Worker: "a", Age: 10, Peers: peers} }
	third := s.addSuspect(beside(0), beside(1))
	first := s.addSuspect(beside(9), beside(5))
	second := s.addSuspect(beside(2), beside(5))
	s.run(20_000)
	must.Eq(t, []job.ID{jobID(first), jobID(second), jobID(third)}, s.startedAlone())
}

// Guards against a task that waits for its trial as long as less likely ones keep coming.
func TestLikelySuspectsGoAfterWait(t *testing.T) {
	s := newCrashSimulation(t, 1)
	sole := job.Crash{Worker: "a", Age: 10}
	beside := job.Crash{Worker: "a", Age: 10, Peers: 9}
	likely := s.addSuspect(sole, sole)
	for range 60 {
		s.addSuspect(beside, beside)
		s.run(400)
	}
	must.SliceContains(t, s.startedAlone(), jobID(likely))
}

// Guards against a job whose tasks crash more workers while one of them waits for a trial: its other
// suspected tasks wait for the trial, too, and share it.
func TestSuspectedTasksOfJobShareTrial(t *testing.T) {
	s := newCrashSimulation(t, 8)
	s.runTime = 3000
	others := newStep(8)
	others.MaxPerWorker = 1
	s.addSteps(others)
	s.run(100)
	lost := []job.Crash{atStart}
	n := s.addLostTasksBefore(newStep(3), []job.Crash{atStart, atStart}, lost, lost)
	s.run(500)
	must.Nil(t, s.workerOf(s.ref(n, 1)), must.Sprint("the trial waits until other runs have settled"))
	s.run(2000)
	must.Len(t, 3, s.startedAlone())
	must.MapLen(t, 4, s.workerOf(s.ref(n, 0)).runs)
}

// Guards against a job that crashes several workers at once: a suspected task that does not fit into
// the trial of its job waits for the end of the trial. It then starts apart.
func TestSuspectedTasksStartApartAfterTrial(t *testing.T) {
	s := newCrashSimulation(t, 8)
	half := newStep(2)
	half.Needs.CPU = 40_000
	n := s.addLostTasksBefore(half, []job.Crash{atStart, atStart}, []job.Crash{atStart})
	s.run(400)
	must.Nil(t, s.workerOf(s.ref(n, 1)))
	s.run(5000)
	must.Eq(t, job.Complete, s.pool.Job(jobID(n)).State())
	must.Len(t, 1, s.startedAlone())
}
