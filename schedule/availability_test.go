package schedule_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// serviceHarness is a harness with one service, whose tasks run on workers of their own.
type serviceHarness struct {
	*harness
	runs map[job.Ref]schedule.Order // the newest start of each task
}

// newServiceHarness returns a harness in which the tasks of a service work, of which one may be away.
// There are spare workers without tasks.
func newServiceHarness(t *testing.T, tasks, spare int) *serviceHarness {
	s := &serviceHarness{harness: newHarness(t, tasks+spare), runs: map[job.Ref]schedule.Order{}}
	step := newStep(tasks)
	step.LongRunning, step.MaxUnavailable, step.MaxPerWorker = true, 1, 1
	s.pool.Add(newJob(1, step), testPolicy, nil, 0, s.now)
	for _, o := range s.acceptStarts(10) {
		s.runs[o.Task] = o
	}
	must.MapLen(t, tasks, s.runs)
	s.reportAll(10)
	return s
}

// task returns the reference of a task of the service.
func (s *serviceHarness) task(index int) job.Ref { return job.Ref{Job: jobID(1), Index: index} }

// report advances the clock and reports what a task's worker runs: its run, with the given progress.
func (s *serviceHarness) report(o schedule.Order, percent int, elapsed clock.Millis) {
	s.now += elapsed
	s.pool.Observe(o.Worker, schedule.Report{
		RequestedAt: s.now, Running: []schedule.RunReport{{Task: o.Task, Run: o.Run, Percent: percent}},
	}, s.now)
}

// reportAll advances the clock and reports all tasks as working.
func (s *serviceHarness) reportAll(elapsed clock.Millis) {
	s.now += elapsed
	for _, o := range s.runs {
		s.report(o, 100, 0)
	}
}

// stopEvents returns the descriptions of the stops so far.
func (s *serviceHarness) stopEvents() []*schedule.LongRunningStop {
	var out []*schedule.LongRunningStop
	for _, e := range s.events {
		if e.Kind == "long_running_stop" {
			out = append(out, e.Stop)
		}
	}
	return out
}

// Guards against stops of tasks of a service of which nobody can tell later how many others were away, why,
// and how old the owner's view of the rest was.
func TestStopOfServiceTaskSaysWhoWasAway(t *testing.T) {
	s := newServiceHarness(t, 3, 2)
	step := s.runs[s.task(0)]
	s.pool.SetReachable(s.runs[s.task(2)].Worker, false, s.now)
	s.now += 50
	w := schedule.Worker{ID: step.Worker, Incarnation: 1, Rack: "r1-1", Capacity: job.Resources{CPU: 16000, Memory: 32768}, Draining: true}
	s.pool.SetWorker(w, s.now)
	must.Len(t, 1, s.planAfter(0))
	stops := s.stopEvents()
	must.Len(t, 1, stops)
	must.Eq(t, schedule.StopEmpty, stops[0].Reason)
	must.Eq(t, 1, stops[0].Away)
	must.Eq(t, 1, stops[0].Causes[schedule.AbsentSilent])
	must.Eq(t, 50, stops[0].Newest)
	must.Eq(t, 50, stops[0].Oldest)
	must.Eq(t, 1, s.pool.Absences(s.now)[schedule.AbsentStopped])
	must.Eq(t, 1, s.pool.Absences(s.now)[schedule.AbsentSilent])
}

// ordersOf returns the orders of a kind.
func ordersOf(kind schedule.OrderKind, orders []schedule.Order) []schedule.Order {
	var out []schedule.Order
	for _, o := range orders {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out
}

// restartWithoutAnswer loses the worker of a task, and leaves the start on another worker without an answer.
func (s *serviceHarness) restartWithoutAnswer(index int) schedule.Order {
	s.pool.RemoveWorker(s.runs[s.task(index)].Worker, schedule.LossExpected, "its machine was taken down", s.now)
	starts := ordersOf(schedule.Start, s.planAfter(10))
	must.Len(s.t, 1, starts)
	s.now += 400
	s.pool.Answered(starts[0], schedule.UnknownOutcome, s.now)
	s.runs[s.task(index)] = starts[0]
	return starts[0]
}

// Guards against a service of which more tasks are away than it allows because a run is ended whose start
// got no answer: the worker may have carried the start out, and the task may work while others are away.
func TestServiceRunWithoutAnswerIsNotEndedAtWork(t *testing.T) {
	s := newServiceHarness(t, 3, 2)
	start := s.restartWithoutAnswer(0)
	must.Len(t, 0, ordersOf(schedule.Stop, s.planAfter(10)), must.Sprint("it is not known whether the task works"))
	s.reportAll(500)
	s.pool.SetReachable(s.runs[s.task(1)].Worker, false, s.now)
	for range 20 {
		must.Len(t, 0, s.planAfter(100), must.Sprint("the task works, and another one is away"))
	}
	s.pool.SetReachable(s.runs[s.task(1)].Worker, true, s.now)
	s.reportAll(100)
	must.Len(t, 0, s.planAfter(1000))
	must.MapLen(t, 0, s.away(), must.Sprintf("run %d on %s works", start.Run, start.Worker))
}

// away returns the numbers of absent tasks by cause, without those that are 0.
func (s *serviceHarness) away() map[schedule.Absence]int {
	out := s.pool.Absences(s.now)
	for a, n := range out {
		if n == 0 {
			delete(out, a)
		}
	}
	return out
}

// Guards against a task of a service that stays away because its start never reached the worker: the start is
// withdrawn once a list that is newer shows that the worker does not run it.
func TestLostStartOfServiceIsWithdrawn(t *testing.T) {
	s := newServiceHarness(t, 3, 2)
	start := s.restartWithoutAnswer(0)
	s.now += 10
	s.pool.Observe(start.Worker, schedule.Report{RequestedAt: s.now}, s.now)
	stops := ordersOf(schedule.Stop, s.planAfter(10))
	must.Len(t, 1, stops)
	must.Eq(t, schedule.StopUnanswered, stops[0].Reason)
	s.pool.Answered(stops[0], schedule.Accepted, s.now)
	s.now += 10
	s.pool.Observe(start.Worker, schedule.Report{RequestedAt: s.now}, s.now)
	must.Len(t, 1, ordersOf(schedule.Start, s.planAfter(10)))
}

// Guards against the end of a task at work by a stop that is repeated: the start was carried out after the
// list without it. The first stop may still take effect, so that for a while the task does not count as
// working.
func TestStopOfServiceRunThatStartedLateIsTakenBack(t *testing.T) {
	s := newServiceHarness(t, 3, 2)
	start := s.restartWithoutAnswer(0)
	s.now += 10
	s.pool.Observe(start.Worker, schedule.Report{RequestedAt: s.now}, s.now)
	must.Len(t, 1, ordersOf(schedule.Stop, s.planAfter(10)))
	s.reportAll(400)
	must.Len(t, 0, s.planAfter(400), must.Sprint("the run works, and the stop may not be repeated"))
	must.Eq(t, map[schedule.Absence]int{schedule.AbsentUnconfirmed: 1}, s.away())
	s.pool.Cordon([]fleet.InstanceID{s.runs[s.task(1)].Worker}, s.now)
	s.reportAll(100)
	must.Len(t, 0, s.planAfter(10), must.Sprint("two tasks could be away at once"))
	s.reportAll(12_000)
	must.Len(t, 1, ordersOf(schedule.Stop, s.planAfter(10)), must.Sprint("no stop is on its way any more"))
}

// Guards against stops on an old list: a worker may hold a poll open, and carry out a start meanwhile. The
// time at which it made the list counts.
func TestOldListDoesNotShowThatServiceRunIsAbsent(t *testing.T) {
	for _, c := range []struct {
		name          string
		listed, heard clock.Millis // after the start was given up
		stops         int
	}{
		{"made before", -10, 20, 0},
		{"made after", 10, 20, 1},
		{"made after, and processed late", 10, 600, 0},
	} {
		s := newServiceHarness(t, 3, 2)
		start := s.restartWithoutAnswer(0)
		report := schedule.Report{RequestedAt: s.now - 400, ListedAt: s.now + c.listed}
		s.now += c.heard
		s.pool.Observe(start.Worker, report, s.now)
		must.Len(t, c.stops, ordersOf(schedule.Stop, s.planAfter(0)), must.Sprint(c.name))
	}
}

// Guards against a task of a service that is stopped on an old view of the others: a slow owner takes tasks for
// working that have been away for seconds.
func TestOldViewStopsNoServiceTask(t *testing.T) {
	s := newServiceHarness(t, 3, 2)
	s.pool.Cordon([]fleet.InstanceID{s.runs[s.task(0)].Worker}, s.now)
	s.report(s.runs[s.task(0)], 100, 3500)
	s.report(s.runs[s.task(1)], 100, 0)
	must.Len(t, 0, s.planAfter(10))
	must.Eq(t, map[schedule.Absence]int{schedule.AbsentUnseen: 1}, s.away())
	s.report(s.runs[s.task(2)], 100, 0)
	must.Len(t, 1, s.planAfter(10))
}

// Guards against the same after a suspension of the owner's machine, in which its clock stood still.
func TestListsFromBeforeSuspensionStopNoServiceTask(t *testing.T) {
	s := newServiceHarness(t, 3, 2)
	s.pool.Cordon([]fleet.InstanceID{s.runs[s.task(0)].Worker}, s.now)
	s.pool.ForgetLists(s.now)
	must.Len(t, 0, s.planAfter(10))
	s.reportAll(10)
	must.Len(t, 1, s.planAfter(10))
}
