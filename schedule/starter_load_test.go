package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// newBusyPool returns a pool of 660 workers with free capacity, served by 20 dispatchers, with the given number
// of waiting jobs. All but one of the dispatchers have as many pending starts as they may; the workers of that one are
// too small for the tasks.
func newBusyPool(jobs int) *schedule.Pool {
	p := schedule.New(schedule.Config{Pool: "p", MaxStarting: 32, Weight: func(fleet.TeamID) float64 { return 1 }})
	p.FinishRecovery(0)
	for i := range 660 {
		w := fleet.InstanceID(fmt.Sprintf("w%03d", i))
		capacity := job.Resources{CPU: 64000, Memory: 262144}
		if i%20 == 0 {
			capacity.CPU = 1000
		}
		p.SetWorker(schedule.Worker{ID: w, Incarnation: 1, Capacity: capacity}, 0)
		p.SetDispatcher(w, fleet.MemberID(fmt.Sprintf("d%d", i%20)))
		p.SetReachable(w, true, 0)
		p.Observe(w, schedule.Report{}, 0)
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	for n := range jobs {
		step := newStep(8)
		step.Needs = job.Resources{CPU: 4000 + rnd.Int64N(20000), Memory: 5000 + rnd.Int64N(70000)}
		j := newJob(n+1, step)
		j.Team = fleet.TeamID(fmt.Sprintf("t%d", n%60))
		p.Add(j, testPolicy, nil, 0, 0)
	}
	p.Plan(1, 1)
	return p
}

// Guards against passes that take longer the more jobs wait while all starts are pending: a new owner with a backlog
// spent all its CPU time on them, and its commits took seconds.
func TestPassesWithPendingStartsSearchFewWorkers(t *testing.T) {
	for _, jobs := range []int{200, 2000} {
		p := newBusyPool(jobs)
		p.Plan(2, 2)
		must.True(t, p.StartsDeferred())
		must.LessEq(t, 100, p.Searches(), must.Sprint(jobs))
	}
}

// BenchmarkPlanWithPendingStarts plans while all starts are pending.
func BenchmarkPlanWithPendingStarts(b *testing.B) {
	for _, jobs := range []int{200, 2000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			p := newBusyPool(jobs)
			for b.Loop() {
				p.Plan(2, 2)
			}
		})
	}
}
