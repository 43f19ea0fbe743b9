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

// world carries orders out at once and shows them in the list.
type world struct {
	t        *testing.T
	planner  *machine.Planner
	machines []machine.Machine
	active   map[fleet.PoolID]int64
	lasting  map[machine.ID]int
	now      clock.Millis
}

// newWorld returns pools a and b with some machines each, and the spare pool.
func newWorld(t *testing.T, a, b, spare int) *world {
	w := &world{
		t: t, planner: machine.NewPlanner(machine.Config{MoveTime: 1500, UpkeepTime: 2000}),
		active: map[fleet.PoolID]int64{}, lasting: map[machine.ID]int{}, now: 1000,
	}
	w.planner.SetPools([]fleet.PoolID{"a", "b"}, "spare")
	for pool, n := range map[fleet.PoolID]int{"a": a, "b": b, "spare": spare} {
		for i := range n {
			m := machine.Machine{ID: machine.ID(fmt.Sprintf("%s%d", pool, i)), Pool: pool, State: machine.Up, Capacity: job.Resources{CPU: 16000}}
			if pool != "spare" {
				m.Worker = fleet.InstanceID("w-" + m.ID)
			}
			w.machines = append(w.machines, m)
		}
	}
	w.report()
	return w
}

// report lists the machines and reports the pools; cordoned workers without tasks that last
// are empty.
func (w *world) report() {
	w.planner.SetMachines(w.machines, w.now, w.now)
	for _, pool := range []fleet.PoolID{"a", "b"} {
		l := machine.PoolLoad{Pool: pool, Fence: 1, Load: schedule.Load{Active: w.active[pool]}}
		cordoned := map[fleet.InstanceID]bool{}
		for _, id := range w.planner.Cordons(pool) {
			cordoned[id] = true
		}
		for _, m := range w.machines {
			if m.Pool == pool && m.Worker != "" {
				n := w.lasting[m.ID]
				l.Workers = append(l.Workers, schedule.WorkerLoad{ID: m.Worker, Tasks: n, Lasting: n, Emptied: cordoned[m.Worker] && n == 0})
			}
		}
		w.planner.SetLoad(l, w.now)
	}
}

// round plans, reports the cordons, and returns the orders.
func (w *world) round() []machine.Order {
	w.now += 200
	first := w.planner.Plan(w.now)
	w.report()
	return append(first, w.planner.Plan(w.now)...)
}

func wave(most int, ids ...machine.ID) machine.Wave {
	return machine.Wave{Number: 1, Machines: ids, Duration: 20_000, Most: most}
}

func TestWaveKeepsItsBound(t *testing.T) {
	w := newWorld(t, 6, 2, 0)
	w.planner.SetWave(wave(2, "a0", "a1", "a2", "a3"), nil, w.now)
	var down []machine.Order
	for range 5 {
		for _, o := range w.round() {
			must.Eq(t, 1, o.Wave)
			w.planner.Answered(o, machine.Done, true, w.now)
			down = append(down, o)
		}
	}
	must.Len(t, 2, down, must.Sprint("the first two have not come back"))
	must.Eq(t, machine.WaveRunning, w.planner.Waves()[1])
}

// An order without an answer counts as carried out for the bound, and is sent again until it
// is answered: taking it for done lets a wave be called complete too soon.
func TestUnansweredUpkeepIsSentAgain(t *testing.T) {
	w := newWorld(t, 4, 2, 0)
	w.planner.SetWave(wave(1, "a0"), nil, w.now)
	orders := w.round()
	must.Len(t, 1, orders)
	w.planner.Answered(orders[0], 0, false, w.now)
	must.Eq(t, machine.WaveRunning, w.planner.Waves()[1])
	w.now += 2000
	again := w.round()
	must.SliceContains(t, again, orders[0])
	w.planner.Answered(orders[0], machine.Done, true, w.now)
	w.round()
	must.Eq(t, machine.WaveComplete, w.planner.Waves()[1])
}

func TestMachinesGoneNeedNoUpkeep(t *testing.T) {
	w := newWorld(t, 4, 2, 0)
	w.planner.SetWave(wave(1, "a0", "gone"), []machine.ID{"a0"}, w.now)
	w.round()
	must.Eq(t, machine.WaveComplete, w.planner.Waves()[1])
}

// A machine is ordered only when its worker is reported empty.
func TestNoOrderBeforeAMachineIsEmpty(t *testing.T) {
	w := newWorld(t, 4, 2, 0)
	w.lasting["a0"] = 1
	w.planner.SetWave(wave(1, "a0"), nil, w.now)
	must.Len(t, 0, w.round())
	must.Eq(t, []fleet.InstanceID{"w-a0"}, w.planner.Cordons("a"))
	w.lasting["a0"] = 0
	must.Len(t, 1, w.round())
}

// A pool in its hot time takes the spare machines, and then what the other pool does not need.
func TestHotPoolTakesMachines(t *testing.T) {
	w := newWorld(t, 4, 8, 3)
	w.active["a"] = 200_000
	to := map[fleet.PoolID]int{}
	from := map[byte]int{}
	for range 4 {
		for _, o := range w.round() {
			must.Eq(t, fleet.PoolID("a"), o.Pool)
			to[o.Pool]++
			from[o.Machine[0]]++
			w.planner.Answered(o, machine.Done, true, w.now)
			for i := range w.machines {
				if w.machines[i].ID == o.Machine {
					w.machines[i].Pool, w.machines[i].State, w.machines[i].Worker = "a", machine.Moving, ""
				}
			}
		}
	}
	must.Eq(t, 3, from['s'], must.Sprint("the spare machines"))
	must.Positive(t, from['b'])
	must.LessEq(t, 5, from['b'], must.Sprint("the other pool keeps its floor"))
}

// A new holder took the grown size of a pool for its usual one and left its machines idle
// while another pool starved.
func TestNewHolderSeesSurplus(t *testing.T) {
	w := newWorld(t, 14, 2, 0)
	w.active["b"] = 150_000
	moved := 0
	for range 4 {
		for _, o := range w.round() {
			must.Eq(t, fleet.PoolID("b"), o.Pool)
			w.planner.Answered(o, machine.Done, true, w.now)
			moved++
		}
	}
	must.GreaterEq(t, 6, moved)
}

func TestStaleReportsOrderNothing(t *testing.T) {
	w := newWorld(t, 4, 8, 3)
	w.active["a"] = 200_000
	w.report()
	w.now += 10_000
	must.Len(t, 0, w.planner.Plan(w.now))
}

// BenchmarkPlan plans the target size: 910 machines in 82 pools.
func BenchmarkPlan(b *testing.B) {
	p := machine.NewPlanner(machine.Config{MoveTime: 1500, UpkeepTime: 2000})
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

// A move was carried out and not answered. Sent again, it was answered when the machine ran the
// next worker in its new pool: that worker was reported as ended, and its tasks ran twice.
func TestMoveSentAgainSparesTheNextWorker(t *testing.T) {
	for _, listed := range []bool{true, false} {
		w := newWorld(t, 1, 2, 1)
		w.active["a"] = 40_000
		var move machine.Order
		for _, o := range w.round() {
			if o.Machine == "spare0" {
				move = o
			}
		}
		must.Eq(t, fleet.PoolID("a"), move.Pool)
		w.planner.Answered(move, 0, false, w.now)
		w.now += 2000
		for i := range w.machines {
			if w.machines[i].ID == "spare0" {
				w.machines[i].Pool, w.machines[i].Worker = "a", "next"
			}
		}
		if listed {
			w.report()
		}
		w.planner.Plan(w.now)
		w.report()
		pool, ended := w.planner.Answered(move, machine.Done, true, w.now)
		must.Eq(t, "", ended, must.Sprint(pool))
		must.SliceNotContains(t, w.planner.Cordons("a"), "next")
	}
}
