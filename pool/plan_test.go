package pool_test

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/pool"
	"citronknot/rowstore"
)

// oneZone returns the view of a fleet in one zone in which every instance is serving.
func oneZone(c *fleet.Config, need map[fleet.PoolID]fleet.Slots) pool.View {
	v := pool.View{
		Zone: "z0", Config: c, Need: need, Capacity: map[fleet.ZoneID]fleet.Slots{}, Down: map[fleet.InstanceID]bool{},
		Rows: &rowstore.ZoneRows{Instances: map[fleet.InstanceID]rowstore.InstanceRow{}, Budgets: map[fleet.PoolID]rowstore.Budget{}},
	}
	for id, in := range c.Instances {
		v.Capacity[in.Zone] += in.Slots
		v.Rows.Instances[id] = rowstore.InstanceRow{ID: id, Pool: in.Pool, Home: in.Pool, Phase: fleet.Serving}
	}
	return v
}

// TestPlanKeepsSpread guards against a move that breaks the spread of a pool over the racks
// although another instance of the same pool would not, or although the receiving pool has what
// its demand needs. It also guards against more moves than allowed.
func TestPlanKeepsSpread(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := testFleet(4, 6, 8, 1, 2)
		need := map[fleet.PoolID]fleet.Slots{}
		for _, id := range slices.Sorted(maps.Keys(c.Pools)) {
			if !c.Pools[id].Spare {
				need[id] = fleet.Slots(rapid.IntRange(1, 90).Draw(r, string(id)))
			}
		}
		v := oneZone(c, need)
		v.Policy.MaxMoves = 1
		pools := []fleet.PoolID{"p00", "p01", "p02", "p03", "spare"}
		load := map[fleet.InstanceID]int{}
		for _, id := range slices.Sorted(maps.Keys(c.Instances)) {
			row := v.Rows.Instances[id]
			row.Pool = rapid.SampledFrom(pools).Draw(r, "pool")
			v.Rows.Instances[id], load[id] = row, rapid.IntRange(0, 2).Draw(r, "in flight")
		}
		v.Members = []pool.Member{{ID: "m", InFlight: load}}
		for range 30 {
			moves := pool.Plan(40*day, v, pool.AssociationWeights())
			if len(moves) > 1 {
				r.Fatalf("%d moves", len(moves))
			}
			for _, m := range moves {
				row := v.Rows.Instances[m.Instance]
				excess, size := rackExcess(v, m.To, c.Instances[m.Instance].Rack)
				if short := float64(size) < math.Ceil(float64(need[m.To])/8); excess > 0 && m.To != "spare" {
					for _, id := range slices.Sorted(maps.Keys(v.Rows.Instances)) {
						other := v.Rows.Instances[id]
						if k, _ := rackExcess(v, m.To, c.Instances[id].Rack); other.Pool == m.From && other.Moved == 0 && k < excess || !short {
							r.Fatalf("%s exceeds the even spread of %s in its rack by %d; %s would by %d; short %v", m.Instance, m.To, excess, id, k, short)
						}
					}
				}
				row.Pool, row.Moved = m.To, 40*day
				v.Rows.Instances[m.Instance] = row
			}
		}
	})
}

// rackExcess returns the number of instances by which a rack would exceed an even spread of a
// pool if it got one more, and the number of instances of the pool.
func rackExcess(v pool.View, p fleet.PoolID, rack fleet.RackID) (excess, size int) {
	racks := map[fleet.RackID]bool{}
	in := 0
	for id, r := range v.Rows.Instances {
		racks[v.Config.Instances[id].Rack] = true
		if r.Pool == p {
			size++
			if v.Config.Instances[id].Rack == rack {
				in++
			}
		}
	}
	return max(0, in+1-(size+len(racks))/len(racks)), size
}

// TestEstimatorRotatingDemand guards against an estimate that follows bursts or declared sizes
// instead of the work. A queue that receives about five times its mean for 8 s of every 40 s,
// with late and missing reports, needs less than half of its peak; a queue with steady demand
// needs what it uses.
func TestEstimatorRotatingDemand(t *testing.T) {
	var rotating, steady pool.Estimator
	waiting, since, run := 0.0, 0, 0.0
	for s := range 600 {
		arrived := 2.0
		if s/8%5 == 0 {
			arrived = 200 // slot-seconds; the mean is 41.6
		}
		served := min(waiting+arrived, 90)
		waiting, run, since = waiting+arrived-served, run+served, since+1
		if s%7 < 4 { // three of seven reports are lost
			at := clock.Millis(s+1) * second
			rotating.Observe(pool.Load{At: at, Running: run / float64(since), Finished: run / 2 / float64(since), Waiting: waiting / 2})
			steady.Observe(pool.Load{At: at, Running: 40, Finished: 20})
			run, since = 0, 0
		}
	}
	got, ok := rotating.Need(20 * second)
	must.True(t, ok)
	must.Between(t, 50, int(got), 95)
	all, _ := rotating.Need(0)
	none, _ := rotating.Need(2 * second) // the run time leaves no time for waiting
	must.Eq(t, all, none)
	got, _ = steady.Need(0)
	must.Between(t, 40, int(got), 42)
}

// TestWavesStayInOneRackAndPause guards against maintenance in two racks of a pool at once, and
// against new drains while there are more unplanned absences than normal.
func TestWavesStayInOneRackAndPause(t *testing.T) {
	c := testFleet(1, 8, 0, 1, 3)
	v := oneZone(c, nil)
	now := 14*day - 20*hour // due, but not late
	racks := map[fleet.RackID]bool{}
	steps := pool.PlanMaintenance(now, v)
	for _, s := range steps {
		must.Eq(t, fleet.Draining, s.To)
		racks[c.Instances[s.Instance].Rack] = true
	}
	must.Eq(t, 3, len(steps))
	must.Eq(t, 1, len(racks))
	must.Eq(t, 0, len(pool.PlanMaintenance(now-2*day, v)))

	v.Rows.Budgets["other"] = rowstore.Budget{Absent: map[fleet.InstanceID]rowstore.Absence{
		"x": {Reason: rowstore.Unplanned}, "y": {Reason: rowstore.Unplanned},
	}}
	must.Eq(t, 0, len(pool.PlanMaintenance(now, v)))
}

// TestOperatorDrain guards against an operator's request to drain an instance or to return it to
// service that the lease holder does not carry out.
func TestOperatorDrain(t *testing.T) {
	sim := newSimulation(testFleet(1, 4, 0, 1, 1), 1, 1, pool.Policy{}, t.Fatalf)
	sim.round(1)
	for _, want := range []struct {
		drain bool
		phase string
	}{{true, "absent"}, {false, "serving"}} {
		must.NoError(t, sim.controllers[1].SetDrain(t.Context(), "i0000", want.drain))
		for range 5 {
			sim.now += second
			sim.round(1)
		}
		must.Eq(t, want.phase, sim.rows["i0000"].Phase)
	}
	must.Eq(t, 0, len(sim.rebootEnds))
	must.True(t, sim.controllers[0].Dump().Holder)
	must.Error(t, sim.controllers[1].SetDrain(t.Context(), "nobody", true))
}

// benchmark runs f on the views of fleets of three sizes.
func benchmark(b *testing.B, f func(pool.View)) {
	for _, size := range []struct{ pools, perPool, spares int }{{5, 9, 5}, {18, 10, 20}, {81, 11, 19}} {
		c := testFleet(size.pools, size.perPool, size.spares, 1, 1)
		need := map[fleet.PoolID]fleet.Slots{}
		for id := range c.Pools {
			need[id] = fleet.Slots(8 * (size.perPool - 2 + len(need)%4))
		}
		v := oneZone(c, need)
		b.Run(fmt.Sprint(len(c.Instances)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f(v)
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	benchmark(b, func(v pool.View) { pool.Plan(40*day, v, pool.AgencyWeights()) })
}

func BenchmarkPlanMaintenance(b *testing.B) {
	benchmark(b, func(v pool.View) { pool.PlanMaintenance(40*day, v) })
}

// TestRunStops guards against a controller that runs on after its context is done, or acts
// without the lease.
func TestRunStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		leaseReads := 0
		c := &pool.Controller{Log: quiet, Lease: func() (rowstore.Check, clock.Millis, bool) {
			leaseReads++
			return rowstore.Check{}, 0, false
		}}
		go c.Run(ctx)
		time.Sleep(3500 * time.Millisecond)
		cancel()
		synctest.Wait()
		must.Eq(t, 4, leaseReads)
		must.False(t, c.Dump().Holder)
	})
}

// TestConfigIsFollowed guards against a configured pool that is ignored, a second move within
// the minimum stay, and a withdrawn instance that a budget row still counts.
func TestConfigIsFollowed(t *testing.T) {
	c := testFleet(2, 4, 0, 1, 1)
	sim := newSimulation(c, 1, 1, pool.Policy{}, t.Fatalf)
	sim.round(1)
	move := func(to fleet.PoolID, wait clock.Millis) string {
		in := c.Instances["i0000"]
		in.Pool = to
		c.Instances["i0000"] = in
		for range 5 {
			sim.now += wait
			sim.round(1)
		}
		return sim.rows["i0000"].Pool
	}
	must.Eq(t, "p01", move("p01", second))
	must.Eq(t, "p01", move("p00", second))
	must.Eq(t, "p00", move("p00", hour))

	sim.down["i0001"] = true
	sim.round(1)
	must.MapContainsKey(t, sim.budgets["p00"].Absent, "i0001")
	delete(c.Instances, "i0001")
	sim.round(1)
	must.MapEmpty(t, sim.budgets["p00"].Absent)
	must.Eq(t, 7, sim.controllers[0].Dump().Pools["p00"].Phases["serving"]+sim.controllers[0].Dump().Pools["p01"].Phases["serving"])
}
