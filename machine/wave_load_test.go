package machine_test

import (
	"fmt"
	"testing"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/machine"
	"citronknot/schedule"
)

// BenchmarkPlanInWave plans for 1,100 machines in four pools and the spare pool while more than half
// of all machines await their maintenance and two pools are short of machines.
func BenchmarkPlanInWave(b *testing.B) {
	p := machine.NewPlanner(machine.Config{MaintenanceTime: 2000, MoveTime: 1500})
	pools := []fleet.PoolID{"p0", "p1", "p2", "p3"}
	sizes := map[fleet.PoolID]int{"p0": 194, "p1": 218, "p2": 244, "p3": 268, "spare": 176}
	loads := map[fleet.PoolID]*machine.PoolLoad{}
	var list []machine.Machine
	var wave []machine.ID
	for pool, size := range sizes {
		loads[pool] = &machine.PoolLoad{Pool: pool, Fence: 1}
		for i := range size {
			id := machine.ID(fmt.Sprintf("machine-%s-%d", pool, i))
			m := machine.Machine{ID: id, Pool: pool, State: machine.Up, Capacity: job.Resources{CPU: 64000}}
			if pool != "spare" {
				m.Worker = fleet.InstanceID("w-" + id)
				loads[pool].Workers = append(loads[pool].Workers, schedule.WorkerLoad{ID: m.Worker, Tasks: 3})
			}
			list = append(list, m)
			if i%50 < 27 {
				wave = append(wave, id)
			}
		}
	}
	loads["p0"].Active, loads["p2"].Active = 14_000_000, 22_000_000
	loads["p1"].Active, loads["p3"].Active = 12_000_000, 14_000_000
	p.SetPools(pools, "spare")
	p.SetMachines(list, 1, 1)
	p.SetWave(machine.Wave{Number: 1, Machines: wave, Duration: 25_000, MaxDown: 60}, nil, 1)
	now := clock.Millis(1)
	for b.Loop() {
		now++
		for _, id := range pools {
			p.SetLoad(*loads[id], now)
		}
		p.SetMachines(list, now, now)
		p.Plan(now)
	}
}
