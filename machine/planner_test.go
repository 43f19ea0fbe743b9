package machine_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/machine"
	"citronknot/schedule"
)

// fakePlatform drives a planner with a list of machines and the reports of the pools.
type fakePlatform struct {
	t           *testing.T
	planner     *machine.Planner
	machines    []machine.Machine
	active      map[fleet.PoolID]int64
	longRunning map[machine.ID]int
	now         clock.Millis
}

// newFakePlatform returns a platform with the given numbers of machines in pools a, b and
// spare.
func newFakePlatform(t *testing.T, a, b, spare int) *fakePlatform {
	platform := &fakePlatform{
		t: t, planner: machine.NewPlanner(machine.Config{MaintenanceTime: 2000}),
		active: map[fleet.PoolID]int64{}, longRunning: map[machine.ID]int{}, now: 1000,
	}
	platform.planner.SetPools([]fleet.PoolID{"a", "b"}, "spare")
	for pool, n := range map[fleet.PoolID]int{"a": a, "b": b, "spare": spare} {
		for i := range n {
			m := machine.Machine{ID: machine.ID(fmt.Sprintf("%s%d", pool, i)), Pool: pool, State: machine.Up, Capacity: job.Resources{CPU: 16000}}
			if pool != "spare" {
				m.Worker = fleet.InstanceID("w-" + m.ID)
			}
			platform.machines = append(platform.machines, m)
		}
	}
	platform.report()
	return platform
}

// report gives the planner the list of machines and the load of the pools. Cordoned workers
// without long-running tasks are reported as drained.
func (f *fakePlatform) report() {
	f.planner.SetMachines(f.machines, f.now, f.now)
	for _, pool := range []fleet.PoolID{"a", "b"} {
		l := machine.PoolLoad{Pool: pool, Fence: 1, Load: schedule.Load{Active: f.active[pool]}}
		cordoned := map[fleet.InstanceID]bool{}
		for _, id := range f.planner.Cordons(pool) {
			cordoned[id] = true
		}
		for _, m := range f.machines {
			if m.Pool == pool && m.Worker != "" {
				n := f.longRunning[m.ID]
				l.Workers = append(l.Workers, schedule.WorkerLoad{ID: m.Worker, Tasks: n, LongRunning: n, Drained: cordoned[m.Worker] && n == 0})
			}
		}
		f.planner.SetLoad(l, f.now)
	}
}

// planRound plans, reports the load with the new cordons, plans again, and returns all orders.
func (f *fakePlatform) planRound() []machine.Order {
	f.now += 200
	first := f.planner.Plan(f.now)
	f.report()
	return append(first, f.planner.Plan(f.now)...)
}

// newWave returns wave 1, of which at most maxDown machines may be down.
func newWave(maxDown int, ids ...machine.ID) machine.Wave {
	return machine.Wave{Number: 1, Machines: ids, Duration: 20_000, MaxDown: maxDown}
}

// Guards against more machines of a wave that are down at the same time than the wave allows.
func TestWaveLimitsMachinesDown(t *testing.T) {
	platform := newFakePlatform(t, 6, 2, 0)
	platform.planner.SetWave(newWave(2, "a0", "a1", "a2", "a3"), nil, platform.now)
	var down []machine.Order
	for range 5 {
		for _, o := range platform.planRound() {
			must.Eq(t, 1, o.Wave)
			platform.planner.Answered(o, machine.Done, true, platform.now)
			down = append(down, o)
		}
	}
	must.Len(t, 2, down, must.Sprint("the first two machines are still down"))
	must.Eq(t, machine.WaveRunning, platform.planner.Waves()[1])
}

// Guards against a wave that is reported as complete too early because an order without a
// response counts as done. Such an order counts as carried out for the limit on machines that
// are down, and is sent again until it has a response.
func TestUnansweredMaintenanceOrderIsResent(t *testing.T) {
	platform := newFakePlatform(t, 4, 2, 0)
	platform.planner.SetWave(newWave(1, "a0"), nil, platform.now)
	orders := platform.planRound()
	must.Len(t, 1, orders)
	platform.planner.Answered(orders[0], 0, false, platform.now)
	must.Eq(t, machine.WaveRunning, platform.planner.Waves()[1])
	platform.now += 2000
	again := platform.planRound()
	must.SliceContains(t, again, orders[0])
	platform.planner.Answered(orders[0], machine.Done, true, platform.now)
	platform.planRound()
	must.Eq(t, machine.WaveComplete, platform.planner.Waves()[1])
}

// Guards against a wave that is never complete because one of its machines no longer exists.
func TestRemovedMachinesNeedNoMaintenance(t *testing.T) {
	platform := newFakePlatform(t, 4, 2, 0)
	platform.planner.SetWave(newWave(1, "a0", "gone"), []machine.ID{"a0"}, platform.now)
	platform.planRound()
	must.Eq(t, machine.WaveComplete, platform.planner.Waves()[1])
}

// Guards against an order for a machine whose worker was not reported as drained: the order would
// end its tasks.
func TestNoOrderBeforeMachineIsDrained(t *testing.T) {
	platform := newFakePlatform(t, 4, 2, 0)
	platform.longRunning["a0"] = 1
	platform.planner.SetWave(newWave(1, "a0"), nil, platform.now)
	must.Len(t, 0, platform.planRound())
	must.Eq(t, []fleet.InstanceID{"w-a0"}, platform.planner.Cordons("a"))
	platform.longRunning["a0"] = 0
	must.Len(t, 1, platform.planRound())
}

// Guards against a pool in a peak of demand that does not receive the spare machines and those
// that the other pool does not need, or that receives machines which the other pool needs.
func TestPoolInPeakReceivesMachines(t *testing.T) {
	platform := newFakePlatform(t, 4, 8, 3)
	platform.active["a"] = 200_000
	to := map[fleet.PoolID]int{}
	from := map[byte]int{}
	for range 4 {
		for _, o := range platform.planRound() {
			must.Eq(t, fleet.PoolID("a"), o.Pool)
			to[o.Pool]++
			from[o.Machine[0]]++
			platform.planner.Answered(o, machine.Done, true, platform.now)
			for i := range platform.machines {
				if platform.machines[i].ID == o.Machine {
					platform.machines[i].Pool, platform.machines[i].State, platform.machines[i].Worker = "a", machine.Moving, ""
				}
			}
		}
	}
	must.Eq(t, 3, from['s'], must.Sprint("all spare machines are moved"))
	must.Positive(t, from['b'])
	must.LessEq(t, 5, from['b'], must.Sprint("the other pool keeps its minimum capacity"))
}

// Guards against a new fleet leader that takes the grown size of a pool for its usual size:
// the pool's idle machines were not moved while another pool lacked capacity.
func TestNewLeaderDetectsSurplus(t *testing.T) {
	platform := newFakePlatform(t, 14, 2, 0)
	platform.active["b"] = 150_000
	moved := 0
	for range 4 {
		for _, o := range platform.planRound() {
			must.Eq(t, fleet.PoolID("b"), o.Pool)
			platform.planner.Answered(o, machine.Done, true, platform.now)
			moved++
		}
	}
	must.GreaterEq(t, 6, moved)
}

// Guards against orders that are based on an outdated list of machines or outdated reports.
func TestStaleReportsProduceNoOrders(t *testing.T) {
	platform := newFakePlatform(t, 4, 8, 3)
	platform.active["a"] = 200_000
	platform.report()
	platform.now += 10_000
	must.Len(t, 0, platform.planner.Plan(platform.now))
}

// BenchmarkPlan plans at the target size: 910 machines in 82 pools.
func BenchmarkPlan(b *testing.B) {
	p := machine.NewPlanner(machine.Config{MaintenanceTime: 2000})
	var pools []fleet.PoolID
	var list []machine.Machine
	loads := map[fleet.PoolID]*machine.PoolLoad{}
	for i := range 82 {
		id := fleet.PoolID(fmt.Sprintf("p%d", i))
		pools = append(pools, id)
		loads[id] = &machine.PoolLoad{Pool: id, Fence: 1}
	}
	for i := range 910 {
		pool := pools[i%len(pools)]
		m := machine.Machine{ID: machine.ID(fmt.Sprintf("m%d", i)), Pool: pool, State: machine.Up, Worker: fleet.InstanceID(fmt.Sprintf("w%d", i)), Capacity: job.Resources{CPU: 64000}}
		list = append(list, m)
		loads[pool].Workers = append(loads[pool].Workers, schedule.WorkerLoad{ID: m.Worker})
	}
	loads["p0"].Active = 2_000_000
	p.SetPools(pools, "spare")
	p.SetMachines(list, 1, 1)
	for b.Loop() {
		for _, id := range pools {
			p.SetLoad(*loads[id], 1)
		}
		p.Plan(2)
	}
}

// Guards against tasks that run twice after a move that was carried out without a response.
// The response to the second order arrived when the next worker already ran on the machine in
// its new pool, and that worker was reported as ended.
func TestResentMoveDoesNotEndNextWorker(t *testing.T) {
	for _, listed := range []bool{true, false} {
		platform := newFakePlatform(t, 1, 2, 1)
		platform.active["a"] = 40_000
		var move machine.Order
		for _, o := range platform.planRound() {
			if o.Machine == "spare0" {
				move = o
			}
		}
		must.Eq(t, fleet.PoolID("a"), move.Pool)
		platform.planner.Answered(move, 0, false, platform.now)
		platform.now += 2000
		for i := range platform.machines {
			if platform.machines[i].ID == "spare0" {
				platform.machines[i].Pool, platform.machines[i].Worker = "a", "next"
			}
		}
		if listed {
			platform.report()
		}
		platform.planner.Plan(platform.now)
		platform.report()
		pool, ended := platform.planner.Answered(move, machine.Done, true, platform.now)
		must.Eq(t, "", ended, must.Sprint(pool))
		must.SliceNotContains(t, platform.planner.Cordons("a"), "next")
	}
}
