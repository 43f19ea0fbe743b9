package schedule_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// crashSimulation drives a pool whose workers crash: under certain tasks, shortly after each start,
// or at times that the test chooses. A crashed worker is unreachable until it restarts.
type crashSimulation struct {
	*harness
	rand       *rand.Rand
	workers    []*simulatedWorker
	deadly     map[job.Ref]bool // tasks that crash their workers
	crashDelay clock.Millis     // from the start of such a task until the crash
	silent     clock.Millis     // from a crash until the pool learns that the worker does not respond
	runTime    clock.Millis     // of the other tasks
	commitTime clock.Millis     // until changes are durable
	commitAt   clock.Millis     // when changes are durable; 0 if none are on the way
	changes    []schedule.Change
	durable    map[job.ID]job.Progress // last durable progress
	jobs       []*job.Job
	starts     map[job.Ref]int // starts that crashed their workers
	mostDown   int             // workers that were down at once because of a third or later start

	onStep  func()                 // called in each step, if not nil
	onStart func(*simulatedWorker) // called after each start on a worker, if not nil
	lost    map[job.Ref]int        // runs lost with their workers
}

// simulatedWorker is a worker of a crashSimulation.
type simulatedWorker struct {
	id          fleet.InstanceID
	rack        fleet.RackID
	cpu         int64
	incarnation clock.Millis
	runs        map[job.Ref]*simulatedRun
	crashAt     clock.Millis // 0 if no crash is due
	unseenAt    clock.Millis // when the pool learns of the crash; 0 if it has
	restartAt   clock.Millis // 0 while the worker is up
	repeated    bool         // the last crash was the third or a later one of a deadly task
}

// simulatedRun is a run on a simulatedWorker.
type simulatedRun struct {
	run int
	end clock.Millis // 0 if it does not end by itself
}

// workerDowntime is how long a crashed worker is down.
const workerDowntime clock.Millis = 3300

// newCrashSimulation returns a simulation with the given number of workers of 64 cores, four on each
// rack.
func newCrashSimulation(t *testing.T, workers int) *crashSimulation {
	s := &crashSimulation{
		rand: rand.New(rand.NewPCG(1, 2)), deadly: map[job.Ref]bool{}, crashDelay: 10, silent: 3, runTime: 800, commitTime: 15,
		durable: map[job.ID]job.Progress{}, starts: map[job.Ref]int{}, lost: map[job.Ref]int{},
	}
	s.harness = newHarness(t, 0)
	s.now = 1000
	for i := range workers {
		w := &simulatedWorker{id: workerID(i), rack: fleet.RackID(fmt.Sprintf("r%d", i/4)), cpu: 64000, incarnation: s.now}
		s.workers = append(s.workers, w)
		s.register(w)
	}
	return s
}

// register shows the pool a new incarnation of a worker.
func (s *crashSimulation) register(w *simulatedWorker) {
	w.incarnation, w.runs, w.restartAt, w.crashAt = s.now, map[job.Ref]*simulatedRun{}, 0, 0
	s.show(w)
	s.pool.SetReachable(w.id, true, s.now)
	s.pool.Observe(w.id, schedule.Report{RequestedAt: s.now}, s.now)
}

// show describes a worker to the pool.
func (s *crashSimulation) show(w *simulatedWorker) {
	s.pool.SetWorker(schedule.Worker{
		ID: w.id, Incarnation: w.incarnation, Machine: "m-" + string(w.id), Rack: w.rack, Capacity: job.Resources{CPU: w.cpu, Memory: 1 << 20},
	}, s.now)
}

// add adds a job of one step with count tasks of 3.5 cores and returns its number.
func (s *crashSimulation) add(count int) int {
	step := newStep(count)
	step.Needs.CPU = 3500
	return s.addSteps(step)
}

// addSteps adds a job with the given steps and returns its number.
func (s *crashSimulation) addSteps(steps ...job.Step) int {
	n := len(s.jobs) + 1
	j := newJob(n, steps...)
	s.jobs = append(s.jobs, j)
	s.pool.Add(j, testPolicy, nil, 0, s.now)
	return n
}

// ref returns a task of the first step of the nth job.
func (s *crashSimulation) ref(n, index int) job.Ref { return job.Ref{Job: jobID(n), Index: index} }

// crash ends a worker and its runs.
func (s *crashSimulation) crash(w *simulatedWorker) {
	if w.restartAt != 0 {
		return
	}
	w.repeated = false
	for ref := range w.runs {
		s.lost[ref]++
		w.repeated = w.repeated || s.starts[ref] >= 3
		if s.spec(ref).Gang {
			s.breakGang(ref, w)
		}
	}
	w.runs, w.crashAt, w.unseenAt, w.restartAt = map[job.Ref]*simulatedRun{}, 0, s.now+s.silent, s.now+workerDowntime
}

// breakGang ends the runs of a gang on other workers than the one that crashed.
func (s *crashSimulation) breakGang(lost job.Ref, crashed *simulatedWorker) {
	for _, w := range s.workers {
		report := schedule.Report{RequestedAt: s.now, EndsOnly: true}
		for ref, r := range w.runs {
			if w != crashed && ref.StepName() == lost.StepName() {
				delete(w.runs, ref)
				report.Ended = append(report.Ended, schedule.EndReport{Task: ref, Run: r.run, Kind: schedule.EndGangBroken})
			}
		}
		if len(report.Ended) > 0 {
			s.pool.Observe(w.id, report, s.now)
		}
	}
}

// run advances the simulation by d, in steps of 5 ms.
func (s *crashSimulation) run(d clock.Millis) {
	for end := s.now + d; s.now < end; {
		s.now += 5
		for _, w := range s.workers {
			s.advance(w)
		}
		s.countDown()
		if s.onStep != nil {
			s.onStep()
		}
		for _, o := range s.pool.Plan(s.now, s.now) {
			s.carryOut(&o)
		}
		s.commit()
	}
}

// runUntil runs the simulation until condition is true, and fails the test after a minute.
func (s *crashSimulation) runUntil(condition func() bool) {
	s.t.Helper()
	for end := s.now + 60_000; !condition(); {
		must.Less(s.t, end, s.now)
		s.run(5)
	}
}

// countDown updates mostDown.
func (s *crashSimulation) countDown() {
	down := 0
	for _, w := range s.workers {
		if w.restartAt != 0 && w.repeated {
			down++
		}
	}
	s.mostDown = max(s.mostDown, down)
}

// advance lets a worker crash, restart and report the ends of its runs.
func (s *crashSimulation) advance(w *simulatedWorker) {
	if w.crashAt != 0 && s.now >= w.crashAt {
		s.crash(w)
	}
	if w.unseenAt != 0 && s.now >= w.unseenAt {
		w.unseenAt = 0
		s.pool.SetReachable(w.id, false, s.now)
	}
	if w.restartAt != 0 {
		if s.now >= w.restartAt {
			s.register(w)
		}
		return
	}
	report := schedule.Report{RequestedAt: s.now, EndsOnly: true}
	for ref, r := range w.runs {
		if r.end != 0 && s.now >= r.end {
			delete(w.runs, ref)
			report.Ended = append(report.Ended, schedule.EndReport{Task: ref, Run: r.run, Kind: schedule.EndDone})
		}
	}
	if len(report.Ended) > 0 {
		s.pool.Observe(w.id, report, s.now)
	}
}

// carryOut carries out an order at its worker.
func (s *crashSimulation) carryOut(o *schedule.Order) {
	i := slices.IndexFunc(s.workers, func(w *simulatedWorker) bool { return w.id == o.Worker })
	w := s.workers[i]
	switch {
	case w.restartAt != 0 || w.incarnation != o.Incarnation:
		s.pool.Answered(*o, schedule.UnknownOutcome, s.now)
		return
	case o.Kind == schedule.Stop:
		delete(w.runs, o.Task)
		s.pool.Answered(*o, schedule.Accepted, s.now)
		s.pool.Observe(w.id, schedule.Report{RequestedAt: s.now, EndsOnly: true, Ended: []schedule.EndReport{{Task: o.Task, Run: o.Run, Kind: schedule.EndStopped}}}, s.now)
		return
	}
	r := &simulatedRun{run: o.Run, end: s.now + s.runTime}
	if s.spec(o.Task).LongRunning {
		r.end = 0
	}
	w.runs[o.Task] = r
	if s.onStart != nil {
		s.onStart(w)
	}
	if s.deadly[o.Task] {
		s.starts[o.Task]++
		if w.crashAt == 0 {
			w.crashAt = s.now + s.crashDelay
		}
	}
	s.pool.Answered(*o, schedule.Accepted, s.now)
}

// spec returns the step of a task.
func (s *crashSimulation) spec(ref job.Ref) *job.Step {
	i := slices.IndexFunc(s.jobs, func(j *job.Job) bool { return j.ID == ref.Job })
	return &s.jobs[i].Steps[ref.Step]
}

// commit makes the changes of jobs durable after commitTime.
func (s *crashSimulation) commit() {
	if s.commitAt != 0 && s.now >= s.commitAt {
		for _, c := range s.changes {
			s.durable[c.Job] = c.Progress
			s.pool.Committed(c)
		}
		s.commitAt = 0
	}
	if s.commitAt == 0 && s.pool.Dirty() {
		s.changes, s.commitAt = s.pool.Changes(s.now, 90), s.now+s.commitTime
	}
}

// replaceOwner kills the owner of the pool: another one starts from what is durable, and adopts what
// the workers list.
func (s *crashSimulation) replaceOwner(fence int) {
	s.commitAt = 0
	s.pool = schedule.New(schedule.Config{Pool: "p", RunBase: 1000 * (fence - 1), OnEvent: func(e schedule.Event) { s.events = append(s.events, e) }})
	for _, j := range s.jobs {
		progress := s.durable[j.ID]
		s.pool.Add(j, testPolicy, &progress, 0, s.now)
	}
	for _, w := range s.workers {
		s.show(w) // the former owner has stored which workers it used
		if w.restartAt != 0 {
			continue
		}
		s.pool.SetReachable(w.id, true, s.now)
		report := schedule.Report{RequestedAt: s.now}
		for ref, r := range w.runs {
			report.Running = append(report.Running, schedule.RunReport{Task: ref, Run: r.run})
		}
		slices.SortFunc(report.Running, func(a, b schedule.RunReport) int { return cmp.Compare(a.Task.String(), b.Task.String()) })
		s.pool.Observe(w.id, report, s.now)
	}
	s.pool.FinishRecovery(s.now)
}

// The rule of the deployment: a task under which three workers have crashed may crash two more.
const maxCrashes = 5

// checkDeadlyJobs fails the test unless each job with a deadly task has failed, and no deadly task
// has crashed more workers than it may.
func (s *crashSimulation) checkDeadlyJobs() {
	s.t.Helper()
	for ref := range s.deadly {
		must.LessEq(s.t, maxCrashes, s.starts[ref], must.Sprintf("task %s crashed %d workers", ref, s.starts[ref]))
		must.Eq(s.t, job.Failed, s.pool.Job(ref.Job).State(), must.Sprintf("task %s crashed %d workers, and its job is to fail", ref, s.starts[ref]))
	}
}

// checkOtherJobs fails the test unless all jobs without a deadly task are complete.
func (s *crashSimulation) checkOtherJobs() {
	s.t.Helper()
	for _, j := range s.jobs {
		deadly := false
		for ref := range s.deadly {
			deadly = deadly || ref.Job == j.ID
		}
		if !deadly {
			must.Eq(s.t, job.Complete, s.pool.Job(j.ID).State(), must.Sprintf("job %s can be done", j.ID))
		}
	}
}

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

// BenchmarkPlanWithSuspects plans a full pool of 240 workers in which 1,000 tasks of 250 jobs are
// suspected after a burst of crashes, none of which can start.
func BenchmarkPlanWithSuspects(b *testing.B) {
	for _, suspects := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("suspects=%d", suspects), func(b *testing.B) { benchmarkSuspects(b, suspects) })
	}
}

// benchmarkSuspects runs BenchmarkPlanWithSuspects with a number of suspected tasks.
func benchmarkSuspects(b *testing.B, suspects int) {
	p := schedule.New(schedule.Config{Pool: "p"})
	now := clock.Millis(1000)
	for n := range suspects / 4 {
		progress := &job.Progress{}
		for index := range 4 {
			at := job.Position{Index: index}
			progress.AddCrash(at, job.Crash{Run: 1, Worker: "a", Age: 10})
			progress.AddCrash(at, job.Crash{Run: 2, Worker: "b", Age: 10})
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
