package schedule_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// Guards against allowances that don't cover a waiting gang because its pool reports what one task needs, and
// against room that is kept for a gang that can't start yet.
func TestTeamsReportWhatHasToStartAsWhole(t *testing.T) {
	h := newLimitedHarness(t, 1)
	add := func(n int, s job.Step) {
		j := newJob(n, s)
		j.Team = "t"
		h.pool.Add(j, testPolicy, nil, 0, h.now)
	}
	add(1, newGang(3))
	add(2, newStep(5))
	h.planAfter(10)
	one, gang := job.Resources{CPU: 1000, Memory: 100}, job.Resources{CPU: 3000, Memory: 300}
	must.Eq(t, schedule.TeamLoad{Demand: one.Scale(8), Smallest: one, Largest: gang}, h.pool.Teams()["t"])

	h.pool.SetAllowance(map[fleet.TeamID]job.Resources{"t": {CPU: 100_000, Memory: 1 << 20}})
	started := h.acceptStarts(10)
	must.Len(t, 8, started)
	for _, o := range started {
		if o.Task.Job == jobID(1) {
			h.reportEnd(o, schedule.EndFailed)
			break
		}
	}
	load := h.pool.Teams()["t"]
	must.Eq(t, one.Scale(8), load.Demand)
	must.Eq(t, job.Resources{}, load.Largest)
}
