package schedule_test

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/job"
	"citronknot/schedule"
)

// endAll reports all started tasks as done and makes the changes durable.
func (h *harness) endAll(started []schedule.Order) {
	for _, o := range started {
		h.reportEnd(o, schedule.EndDone)
	}
	h.commitChanges()
}

// Guards against a timed job that takes all memory of its pool's owner, and then of each next one: all
// its occurrences are due at once.
func TestOccurrencesThatAreDueAtOnceAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	j := newJob(1, newStep(100))
	j.Runs, j.First = 1000, 0
	h.pool.Add(j, testPolicy, nil, 0, 0)
	h.planAfter(10)
	must.LessEq(t, job.MaxTasks, h.pool.Dump(h.now).Waiting)
	must.Positive(t, h.pool.Dump(h.now).Waiting)
}

// Guards against a record of done occurrences that grows until the store does not take it, and against
// done occurrences that run again under the next owner.
func TestDoneOccurrencesAreFoldedUp(t *testing.T) {
	h := newHarness(t, 1)
	j := newJob(1, newStep(8), newStep(8, 0))
	j.Runs, j.First, j.Interval = 2000, 0, 1
	h.pool.Add(j, testPolicy, nil, 0, 0)
	var durable job.Progress
	runs := 0
	for runs < 1500*16 {
		must.Less(t, 100_000, h.now)
		started := h.acceptStarts(1)
		runs += len(started)
		for _, o := range started {
			h.reportEnd(o, schedule.EndDone)
		}
		for _, c := range h.pool.Changes(h.now, 1000) {
			durable = c.Progress
			h.pool.Committed(c)
		}
	}
	text, err := durable.Encode()
	must.NoError(t, err)
	must.LessEq(t, 2000, len(text))
	recovered, err := job.DecodeProgress(text)
	must.NoError(t, err)

	next := newHarness(t, 1)
	next.now = h.now
	next.pool.Add(j, testPolicy, recovered, 0, next.now)
	for next.jobState(1) != job.Complete {
		started := next.acceptStarts(1)
		must.SliceNotEmpty(t, started)
		runs += len(started)
		next.endAll(started)
	}
	must.Eq(t, 2000*16, runs)
}

// newTimedJob returns a job of one step, whose tasks have one core each, with occurrences a second apart.
func newTimedJob(tasks, runs int) *job.Job {
	j := newJob(1, newStep(tasks))
	j.Runs, j.First, j.Interval = runs, 1000, 1000
	return j
}

// newRecoveringHarness returns a pool that has just loaded a timed job of a former owner, and has made no
// scheduling pass.
func newRecoveringHarness(t *testing.T, j *job.Job, now clock.Millis) *harness {
	h := &harness{t: t, now: now}
	h.pool = schedule.New(schedule.Config{Pool: "p", RunBase: 1000, OnEvent: func(e schedule.Event) { h.events = append(h.events, e) }})
	h.pool.Add(j, testPolicy, &job.Progress{State: job.Running}, 0, now)
	h.addWorker(workerID(0), 16000)
	return h
}

// Guards against a second run of tasks that are done, and against the stop of tasks that go on: a worker
// responds to a new owner that has not created the occurrence of its tasks yet. It has not because it
// has made no scheduling pass, because its clock is behind that of the former owner, or because
// the tasks of earlier occurrences take the room of one that is due.
func TestRunsOfOccurrencesThatAreNotCreatedAreKept(t *testing.T) {
	for _, c := range []struct {
		name       string
		tasks      int
		occurrence int
		now        clock.Millis
		passBefore bool
		runsFirst  bool
	}{
		{name: "before the first pass", tasks: 3, now: 1500},
		{name: "before the first pass, runs first", tasks: 3, now: 1500, runsFirst: true},
		{name: "clock behind", tasks: 3, occurrence: 2, now: 2500, passBefore: true},
		{name: "no room", tasks: 6000, occurrence: 1, now: 2500, passBefore: true},
	} {
		j := newTimedJob(c.tasks, 3)
		h := newRecoveringHarness(t, j, c.now)
		if c.passBefore {
			h.planAfter(0)
		}
		ended := job.Ref{Job: j.ID, Occurrence: c.occurrence, Index: 0}
		running := job.Ref{Job: j.ID, Occurrence: c.occurrence, Index: 1}
		reports := []schedule.Report{
			{RequestedAt: h.now, EndsOnly: true, Ended: []schedule.EndReport{{Task: ended, Run: 7, Kind: schedule.EndDone}}},
			{RequestedAt: h.now, Running: []schedule.RunReport{{Task: running, Run: 8}}},
		}
		if c.runsFirst {
			slices.Reverse(reports)
		}
		for _, r := range reports {
			h.pool.Observe(workerID(0), r, h.now)
		}
		changes := h.pool.Changes(h.now, 1000)
		must.Len(t, 1, changes, must.Sprint(c.name))
		must.True(t, changes[0].Progress.Done[job.Position{Occurrence: c.occurrence}], must.Sprint(c.name))
		h.pool.FinishRecovery(h.now)
		for range 10 {
			for _, o := range h.planAfter(100) {
				must.NotEq(t, schedule.Stop, o.Kind, must.Sprint(c.name))
				must.NotEq(t, ended, o.Task, must.Sprint(c.name))
				must.NotEq(t, running, o.Task, must.Sprint(c.name))
				must.True(t, j.Due(o.Task.Occurrence) <= h.now, must.Sprint(c.name, " starts before its time"))
			}
		}
	}
}

// Guards against an occurrence that waits for ever because a later one, which a worker has reported, takes its
// room and waits for the earlier one, and against one that a worker reports before it is due here.
func TestReportedOccurrencesStartOnceTheyAreDue(t *testing.T) {
	j := newTimedJob(6000, 3)
	j.Steps[0].Needs.CPU = 1
	h := newRecoveringHarness(t, j, 2500)
	report := func(occurrence int) {
		h.pool.Observe(workerID(0), schedule.Report{RequestedAt: h.now, Ended: []schedule.EndReport{
			{Task: job.Ref{Job: j.ID, Occurrence: occurrence}, Run: 7, Kind: schedule.EndDone},
		}}, h.now)
	}
	report(1)
	report(2)
	h.pool.FinishRecovery(h.now)
	started := map[int]int{}
	for h.now < 100_000 && h.jobState(1) != job.Complete {
		orders := h.acceptStarts(100)
		for _, o := range orders {
			must.LessEq(t, h.now, j.Due(o.Task.Occurrence))
			started[o.Task.Occurrence]++
		}
		h.endAll(orders)
	}
	must.Eq(t, job.Complete, h.jobState(1))
	must.Eq(t, map[int]int{0: 6000, 1: 5999, 2: 5999}, started)
}

// Guards against occurrences that a worker names although no former owner can have created them.
func TestUnknownOccurrencesAreNotCreated(t *testing.T) {
	j := newTimedJob(3, 3)
	h := newRecoveringHarness(t, j, 500)
	for _, ref := range []job.Ref{{Job: j.ID, Occurrence: 3}, {Job: j.ID, Step: 1}, {Job: j.ID, Index: 3}} {
		h.pool.Observe(workerID(0), schedule.Report{RequestedAt: h.now, Ended: []schedule.EndReport{{Task: ref, Run: 7, Kind: schedule.EndDone}}}, h.now)
		must.SliceEmpty(t, h.pool.Changes(h.now, 1000))
	}
	must.Zero(t, h.pool.Dump(h.now).NotBegun)
}
