package schedule_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// newLimitedHarness returns a harness of a pool in which all teams have a limit.
func newLimitedHarness(t *testing.T, workers int) *harness {
	h := newHarness(t, workers)
	h.pool.Limited = func(fleet.TeamID) bool { return true }
	return h
}

// newGang returns a step whose tasks, each of one core and one second, run together.
func newGang(count int) job.Step {
	s := newStep(count)
	s.Gang = true
	return s
}

// eventsOf returns the events of a kind.
func (h *harness) eventsOf(kind string) []schedule.Event {
	return slices.DeleteFunc(slices.Clone(h.events), func(e schedule.Event) bool { return e.Kind != kind })
}

// Guards against waits of which no log line or metric tells the cause.
func TestWaitsNameTheirCauses(t *testing.T) {
	h := newLimitedHarness(t, 1)
	h.pool.SetAllowance(map[fleet.TeamID]job.Resources{"small": {CPU: 2500, Memory: 1000}, "large": {CPU: 100_000, Memory: 1 << 20}})
	add := func(n int, team fleet.TeamID, s job.Step) {
		j := newJob(n, s)
		j.Team = team
		h.pool.Add(j, testPolicy, nil, 0, h.now)
	}
	add(1, "small", newGang(3))
	wide := newStep(1)
	wide.Needs.CPU = 20_000
	add(2, "large", wide)
	must.Len(t, 0, h.acceptStarts(700))
	waits := h.pool.Waits(h.now)
	must.Eq(t, 3, waits.Tasks[schedule.WaitAllowance])
	must.Eq(t, 1, waits.Tasks[schedule.WaitWorker])
	must.Eq(t, []schedule.TeamWait{{
		Team: "small", Tasks: 3, Longest: 700, Needs: job.Resources{CPU: 3000, Memory: 300}, Allowance: job.Resources{CPU: 2500, Memory: 1000},
	}}, waits.Teams)
	must.Eq(t, "allowance", h.pool.Dump(h.now).Waits[0].Cause)

	h.pool.SetAllowance(map[fleet.TeamID]job.Resources{"small": {CPU: 3000, Memory: 1000}})
	started := h.acceptStarts(100)
	must.Len(t, 3, started)
	h.reportEnd(started[0], schedule.EndFailed)
	must.Eq(t, 1, h.pool.Waits(h.now).Tasks[schedule.WaitGang])
}

// Guards against a job that fails without a line that tells which of its runs failed.
func TestFailedJobNamesItsFailedRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Add(newJob(1, newStep(1)), testPolicy, nil, 0, 0)
	for range 2 {
		h.reportEnd(h.acceptStarts(10)[0], schedule.EndFailed)
	}
	h.commitChanges()
	must.StrContains(t, h.pool.Job(jobID(1)).Cause(), "in its runs [1 2]")
	must.StrContains(t, h.eventsOf("job_failed")[0].Detail, "in its runs [1 2]")
}

// BenchmarkWaits measures one count of what waits in a pool, which the owner takes twice a second.
func BenchmarkWaits(b *testing.B) {
	for _, jobs := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			p := schedule.New(schedule.Config{Pool: "p", Limited: func(fleet.TeamID) bool { return true }})
			p.FinishRecovery(0)
			for n := range jobs {
				j := newJob(n+1, newStep(8))
				j.Team = fleet.TeamID(fmt.Sprintf("t%d", n%20))
				p.Add(j, testPolicy, nil, 0, 0)
			}
			p.Plan(0, 0)
			for b.Loop() {
				p.Waits(1000)
			}
		})
	}
}
