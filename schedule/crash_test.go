package schedule_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// Guards against a task that crashes one worker after the other because a run that is lost with its
// worker counts against nothing.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	s := newCrashSimulation(t, 8)
	s.deadly[s.ref(s.add(4), 2)] = true
	for range 25 {
		s.add(6)
		s.run(400)
	}
	s.run(20_000)
	s.checkDeadlyJobs()
	s.checkOtherJobs()
}

// Guards against crashes that are forgotten when the pool changes its owner: here the owner is
// replaced shortly after the second and the fourth crash, before the worker is back.
func TestCrashesAreKeptAcrossOwners(t *testing.T) {
	s := newCrashSimulation(t, 8)
	ref := s.ref(s.add(4), 2)
	s.deadly[ref] = true
	fence := 1
	for range 75 {
		before := s.starts[ref]
		s.run(400)
		if n := s.starts[ref]; n > before && n%2 == 0 {
			fence++
			s.replaceOwner(fence)
		}
	}
	s.checkDeadlyJobs()
	s.checkOtherJobs()
}

// Guards against a deadly task that crashes more workers than are needed to find it: one crash of a run
// that is alone is enough after the crash of a run beside which no other had just been started. It is
// not after crashes that others may have caused.
func TestCrashesThatShowTheCause(t *testing.T) {
	sole := job.Crash{Worker: "a", Age: 10}
	beside := job.Crash{Worker: "b", Age: 10, Peers: 1}
	later := job.Crash{Worker: "c", Age: 400}
	unknown := job.Crash{Worker: "d", Age: -1}
	for _, c := range []struct {
		name    string
		gang    bool
		crashes []job.Crash
		want    int // crashes of runs that are alone until the job fails
	}{
		{"beside others", false, []job.Crash{beside, beside}, 2},
		{"later", false, []job.Crash{later, later, later}, 2},
		{"unknown age", false, []job.Crash{unknown, unknown}, 2},
		{"one sole start", false, []job.Crash{beside, sole}, 1},
		{"sole starts", false, []job.Crash{sole, sole}, 1},
		{"two crashes", true, []job.Crash{sole}, 2},
		{"always at the same age", false, []job.Crash{beside, beside, beside}, 1},
		{"once at another age", false, []job.Crash{beside, beside, later}, 2},
	} {
		s := newCrashSimulation(t, 4)
		step := newStep(1)
		step.Gang = c.gang
		ref := s.ref(s.addLostBefore(step, c.crashes...), 0)
		s.deadly[ref] = true
		s.run(20_000)
		must.Eq(t, c.want, s.starts[ref], must.Sprint(c.name))
		s.checkDeadlyJobs()
	}
}

// Guards against a job that is shown as failed because its task was lost alone twice by chance: crashes
// at other ages count for less than those at the same one.
func TestCrashesAtOtherAgesNeedMoreProof(t *testing.T) {
	for _, c := range []struct {
		delay clock.Millis // of each crash after the one before
		want  int
	}{{30, 2}, {100, 3}, {200, 3}} {
		s := newCrashSimulation(t, 4)
		beside := job.Crash{Worker: "a", Age: 10, Peers: 1}
		ref := s.ref(s.addSuspect(beside, beside), 0)
		s.deadly[ref] = true
		s.onStart = func(*simulatedWorker) { s.crashDelay += c.delay }
		s.run(30_000)
		must.Eq(t, c.want, s.starts[ref], must.Sprintf("each crash %d ms later", c.delay))
		must.Len(t, c.want, s.startedAlone(), must.Sprint("each start after that of a run that was alone is alone, too"))
		s.checkDeadlyJobs()
	}
}

// Guards against a job that is shown as failed for crashes of other causes: all workers crash just
// after its start in a trial, but other runs had been started beside its earlier ones.
func TestCrashesBesideOtherStartsFailNoJob(t *testing.T) {
	s := newCrashSimulation(t, 4)
	n := s.addSuspect(job.Crash{Worker: "a", Age: 10, Peers: 3}, job.Crash{Worker: "b", Age: 10, Peers: 1})
	s.runUntil(func() bool {
		return slices.ContainsFunc(s.workers, func(w *simulatedWorker) bool { return len(w.runs) > 0 })
	})
	s.run(10)
	for _, w := range s.workers {
		s.crash(w)
	}
	s.run(20_000)
	must.Eq(t, job.Complete, s.pool.Job(jobID(n)).State())
}

// Guards against crashes that are not known as those of the only job that had just been started: its
// task is found at the third crash.
func TestJobThatStartsByItselfIsGivenUpAtThirdCrash(t *testing.T) {
	for _, tasks := range []int{1, 4} {
		s := newCrashSimulation(t, 4)
		ref := s.ref(s.add(tasks), 0)
		s.deadly[ref] = true
		s.run(20_000)
		must.Eq(t, 3, s.starts[ref], must.Sprintf("%d tasks", tasks))
		s.checkDeadlyJobs()
	}
}

// Guards against a crash at the start of a run that counts as a later one, because the pool learned late
// that the worker was silent: the worker has not answered the start.
func TestCrashBeforeAnswerIsAtStart(t *testing.T) {
	s := newCrashSimulation(t, 4)
	s.silent, s.unanswered = 400, true
	ref := s.ref(s.add(1), 0)
	s.deadly[ref] = true
	s.run(20_000)
	must.Eq(t, 3, s.starts[ref])
	s.checkDeadlyJobs()
}

// recordedAge returns the age that is recorded for a run whose worker stops responding after what meanwhile does
// with the order of its start.
func recordedAge(t *testing.T, meanwhile func(*harness, schedule.Order)) clock.Millis {
	h := newHarness(t, 1)
	h.pool.Add(newJob(1, newStep(1)), testPolicy, nil, 0, h.now)
	starts := h.planAfter(1000)
	must.Len(t, 1, starts)
	meanwhile(h, starts[0])
	h.pool.SetReachable("w0", false, h.now)
	h.now += 3000
	h.pool.RemoveWorker("w0", schedule.LossCrash, "it has restarted", h.now)
	changes := h.pool.Changes(h.now, 1)
	must.Len(t, 1, changes)
	return changes[0].Progress.Crashes[job.Position{}][0].Age
}

// Guards against a task that crashes more workers than it may, because a crash right after its start does not
// count with the others: the owner was slow, and sent the start long after it had ordered it.
func TestCrashAfterSlowStartIsAtStart(t *testing.T) {
	must.Eq(t, 10, recordedAge(t, func(h *harness, start schedule.Order) {
		h.now += 300
		h.pool.Answered(start, schedule.Accepted, h.now)
		h.now += 10
	}))
}

// Guards against the same with a start that got no answer: the worker listed its runs after the start was ordered,
// and did not run the task yet.
func TestCrashAfterSlowStartWithoutAnswerIsAtStart(t *testing.T) {
	must.Eq(t, 0, recordedAge(t, func(h *harness, start schedule.Order) {
		h.now += 780
		h.pool.Observe("w0", schedule.Report{RequestedAt: h.now}, h.now)
		h.now += 100
		h.pool.Answered(start, schedule.UnknownOutcome, h.now)
		h.now += 300
	}))
}

// Guards against a job that is shown as failed although none of its runs crashed a worker alone: the
// third crash comes long after its start, and takes a lasting task with it.
func TestLateCrashBesideOthersFailsNoJob(t *testing.T) {
	s := newCrashSimulation(t, 1)
	lasting := newStep(1)
	lasting.LongRunning = true
	s.addSteps(lasting)
	s.run(3000)
	s.runTime = 4000
	sole := job.Crash{Worker: "a", Age: 10}
	n := s.addSuspect(sole, sole)
	s.runUntil(func() bool { return len(s.workers[0].runs) == 2 })
	s.run(1500)
	s.crash(s.workers[0])
	s.run(20_000)
	must.Eq(t, job.Complete, s.pool.Job(jobID(n)).State())
}

// Guards against tasks that wait for trials of their own although the task that was lost with them has
// turned out to crash workers.
func TestCrashesArePutDownToTheirCause(t *testing.T) {
	s := newCrashSimulation(t, 1)
	at := func(w fleet.InstanceID) job.Crash { return job.Crash{Worker: w, Age: 10} }
	deadly := s.addSuspect(at("a"), at("b"))
	explained := s.addSuspect(at("a"), at("c"))
	unexplained := s.addSuspect(at("b"), at("d"), at("e"))
	s.deadly[s.ref(deadly, 0)] = true
	s.run(20_000)
	must.SliceNotContains(t, s.startedAlone(), jobID(explained), must.Sprint("it has one crash left"))
	must.SliceContains(t, s.startedAlone(), jobID(unexplained))
	s.checkDeadlyJobs()
	s.checkOtherJobs()
}

// Guards against jobs that are given up because their tasks were lost beside one that crashes workers,
// or because of crashes of other causes: workers of eight crash at random, a third of them each two
// seconds, while one deadly task is among the jobs.
func TestCrashesOfOtherCausesFailNoJob(t *testing.T) {
	for seed := range uint64(40) {
		s := newCrashSimulation(t, 8)
		s.rand = rand.New(rand.NewPCG(seed, 7))
		s.deadly[s.ref(s.add(4), 2)] = true
		for step := range 60 {
			s.add(1 + s.rand.IntN(8))
			s.run(clock.Millis(100 + s.rand.IntN(600)))
			if step%5 == 0 {
				for _, w := range s.workers {
					if s.rand.IntN(3) == 0 {
						s.crash(w)
					}
				}
			}
		}
		s.run(30_000)
		s.checkDeadlyJobs()
		s.checkOtherJobs()
	}
}

// Guards against a failure that is blamed on tasks when all power is lost, again and again, or racks
// are lost under the same tasks.
func TestLossOfAllWorkersFailsNoJob(t *testing.T) {
	s := newCrashSimulation(t, 8)
	s.runTime = 4000
	for range 8 {
		s.add(8)
	}
	for range 6 {
		s.run(5000)
		for _, w := range s.workers {
			s.crash(w)
		}
	}
	s.run(40_000)
	s.checkOtherJobs()
}

// Guards against a deadly task that is not found because its worker is silent for long before it
// counts as unreachable, or because the crash comes later than the start.
func TestLateAndSilentCrashesAreBlamed(t *testing.T) {
	for _, c := range []struct{ delay, silent clock.Millis }{{10, 750}, {1, 1}, {140, 3}, {240, 3}, {600, 300}, {700, 3}} {
		s := newCrashSimulation(t, 8)
		s.crashDelay, s.silent = c.delay, c.silent
		s.deadly[s.ref(s.add(4), 1)] = true
		for range 40 {
			s.add(5)
			s.run(400)
		}
		s.run(30_000)
		s.checkDeadlyJobs()
		s.checkOtherJobs()
	}
}

// Guards against a gang that crashes workers without end, and against blame on a gang beside it.
func TestGangThatCrashesWorkersIsGivenUp(t *testing.T) {
	s := newCrashSimulation(t, 8)
	gang := newStep(12)
	gang.Gang, gang.Needs.CPU = true, 8000
	deadly := s.addSteps(gang)
	s.deadly[s.ref(deadly, 7)] = true
	other := s.addSteps(gang)
	for range 30 {
		s.add(3)
		s.run(500)
	}
	s.run(30_000)
	s.checkDeadlyJobs()
	must.Eq(t, job.Complete, s.pool.Job(jobID(other)).State())
	s.checkOtherJobs()
}

// Guards against a long-running task that crashes workers without end, and against the loss of the
// long-running tasks of others.
func TestLongRunningTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	s := newCrashSimulation(t, 6)
	lasting := newStep(5)
	lasting.LongRunning = true
	deadly, other := s.addSteps(lasting), s.addSteps(lasting)
	s.deadly[s.ref(deadly, 3)] = true
	s.run(60_000)
	s.checkDeadlyJobs()
	must.Eq(t, job.Running, s.pool.Job(jobID(other)).State())
}

// suspectedTasks returns the number of events that count a crash against a suspected task.
func (h *harness) suspectedTasks() int {
	n := 0
	for _, e := range h.events {
		if e.Kind == "task_suspected" {
			n++
		}
	}
	return n
}

// Guards against blame on tasks for workers that were drained, moved or maintained under them, or that
// were cut off and respond again.
func TestExpectedLossesCountAgainstNoTask(t *testing.T) {
	next := clock.Millis(1)
	restart := func(h *harness) {
		next++
		h.pool.SetWorker(schedule.Worker{ID: "w0", Incarnation: next, Machine: "m0", Capacity: job.Resources{CPU: 16000, Memory: 32768}}, h.now)
		h.pool.SetReachable("w0", true, h.now)
		h.pool.Observe("w0", schedule.Report{RequestedAt: h.now}, h.now)
	}
	for _, c := range []struct {
		name     string
		suspects int
		lose     func(h *harness)
	}{
		{"a crash", 1, func(*harness) {}},
		{"the worker was draining", 0, func(h *harness) {
			h.pool.SetWorker(schedule.Worker{ID: "w0", Incarnation: next, Machine: "m0", Capacity: job.Resources{CPU: 16000, Memory: 32768}, Draining: true}, h.now)
		}},
		{"its machine was to move", 0, func(h *harness) { h.pool.Cordon([]fleet.InstanceID{"w0"}, h.now) }},
		{"its machine was moved", 0, func(h *harness) { h.pool.RemoveWorker("w0", schedule.LossExpected, "moved", h.now) }},
		{"it was silent and responds again", 0, func(h *harness) {
			h.pool.ExpireLeases("w0", h.now)
			h.pool.SetReachable("w0", true, h.now)
		}},
		{"it was silent and had crashed", 1, func(h *harness) { h.pool.ExpireLeases("w0", h.now) }},
		{"it was silent, is gone, and its machine has another worker", 1, func(h *harness) {
			h.pool.ExpireLeases("w0", h.now)
			h.pool.RemoveWorker("w0", schedule.LossSilent, "not listed", h.now)
			h.pool.SetWorker(schedule.Worker{ID: "w9", Incarnation: next + 1, Machine: "m0"}, h.now)
		}},
	} {
		h := newHarness(t, 0)
		h.now = 1000
		restart(h)
		h.pool.Add(newJob(1, newStep(1)), testPolicy, nil, 0, h.now)
		must.Len(t, 1, h.acceptStarts(0))
		h.now += 20
		h.pool.SetReachable("w0", false, h.now)
		h.now += 5000
		c.lose(h)
		restart(h)
		must.Eq(t, c.suspects, h.suspectedTasks(), must.Sprint(c.name))
	}
}

// Guards against a record of crashes that grows over weeks against a long-running task that works.
func TestCrashesAreForgottenByWorkingTasks(t *testing.T) {
	s := newCrashSimulation(t, 4)
	lasting := newStep(1)
	lasting.LongRunning = true
	ref := s.ref(s.addSteps(lasting), 0)
	s.run(100)
	for _, w := range s.workers {
		s.crash(w)
	}
	s.run(10_000)
	must.MapLen(t, 1, s.durable[ref.Job].Crashes)
	s.run(90_000)
	must.MapEmpty(t, s.durable[ref.Job].Crashes)
}
