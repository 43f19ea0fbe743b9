package quota_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/quota"
)

const team fleet.TeamID = "alpha"

// modelPool is the owner of one pool in the model. It starts tasks only within its allowance.
type modelPool struct {
	fence     uint64
	allowance int64
	used      int64
	want      int64
	unit      int64 // of a task or gang, which starts as a whole
}

// Guards against pools that together use more than a team's limit, for any demand, while responses
// are lost, pools change owners while their tasks run, and the fleet leader changes.
func TestTotalUseStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		now := clock.Millis(0)
		names := []fleet.PoolID{"a", "b", "c"}
		pools := map[fleet.PoolID]*modelPool{}
		for _, id := range names {
			pools[id] = &modelPool{fence: 1, unit: rapid.Int64Range(1, 60).Draw(t, "unit")}
		}
		ledger := quota.New(now)
		configure := func() {
			ledger.Configure(names, map[fleet.TeamID]job.Resources{team: {CPU: limit}})
		}
		configure()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			id := rapid.SampledFrom(names).Draw(t, "pool")
			p := pools[id]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				p.want = rapid.Int64Range(0, 150).Draw(t, "want")
			case 1: // tasks end
				p.used = rapid.Int64Range(0, p.used).Draw(t, "used")
			case 2: // another owner takes over the running tasks
				p.fence++
				p.allowance = 0
				now += 100
			case 3: // another fleet leader, without any reports
				now += 100
				ledger = quota.New(now)
				configure()
			default:
				u := quota.Usage{Used: cores(p.used), Demand: cores(max(p.used, p.want)), Allowance: cores(p.allowance)}
				if p.want >= p.used+p.unit {
					u.Smallest = cores(p.unit)
					u.Largest = cores(rapid.Int64Range(p.unit, p.want-p.used).Draw(t, "largest"))
				}
				out := ledger.Report(id, p.fence, map[fleet.TeamID]quota.Usage{team: u}, now)
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					p.allowance = out[team].CPU
				}
				for p.used+p.unit <= min(p.want, p.allowance) { // start what the allowance permits
					p.used += p.unit
				}
				now += 50
			}
			var sum int64
			for _, q := range pools {
				sum += q.used
			}
			if sum > limit {
				t.Fatalf("the pools use %d, above the limit of %d", sum, limit)
			}
		}
	})
}

// Guards against unused allowances that stay with their pools: a pool that wants all of a limit
// gets all of it after the other pools have reported lower wants.
func TestAllowanceFollowsDemand(t *testing.T) {
	l := quota.New(0)
	l.Configure([]fleet.PoolID{"a", "b"}, map[fleet.TeamID]job.Resources{team: {CPU: 100}})
	have := map[fleet.PoolID]int64{}
	var memory int64
	want := map[fleet.PoolID]int64{"a": 10, "b": 10}
	for round := range clock.Millis(6) {
		if round == 3 {
			want = map[fleet.PoolID]int64{"a": 500, "b": 0}
		}
		for _, id := range []fleet.PoolID{"a", "b"} {
			out := l.Report(id, 1, map[fleet.TeamID]quota.Usage{team: {Demand: job.Resources{CPU: want[id]}, Allowance: job.Resources{CPU: have[id]}}}, round)
			have[id] = out[team].CPU
			memory = out[team].Memory
		}
	}
	must.Eq(t, quota.Unlimited, memory)
	must.Eq(t, 100, have["a"])
}

func ExampleLimit() {
	limit, limited := quota.Limit(job.Resources{CPU: 4000})
	fmt.Println(limit.CPU, limit.Memory == quota.Unlimited, limited)
	// Output: 4000 true true
}
