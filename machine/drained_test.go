package machine_test

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/machine"
	"citronknot/schedule"
)

// ownedPool is the pool a of a fake platform as one of its owners sees it.
type ownedPool struct {
	*schedule.Pool
	platform *fakePlatform
	fence    uint64
}

// newOwnedPool returns the pool of a new owner that knows a job and has not heard from any worker. The job is
// a service of which one task may be away.
func newOwnedPool(platform *fakePlatform, fence uint64, tasks int) *ownedPool {
	p := &ownedPool{Pool: schedule.New(schedule.Config{Pool: "a"}), platform: platform, fence: fence}
	step := job.Step{Count: tasks, Needs: job.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1}
	p.Add(&job.Job{ID: "00000000000000aa", Queue: "q", Steps: []job.Step{step}}, job.Policy{}, &job.Progress{}, 0, platform.now)
	for _, m := range platform.machines {
		if m.Pool == "a" {
			p.SetWorker(schedule.Worker{ID: m.Worker, Incarnation: 1, Capacity: m.Capacity}, platform.now)
		}
	}
	return p
}

// report exchanges a report with the fleet leader.
func (p *ownedPool) report() {
	now := p.platform.now
	load := p.Load(now)
	p.platform.planner.SetLoad(machine.PoolLoad{Pool: "a", Fence: p.fence, Load: load}, now)
	p.Cordon(p.platform.planner.Cordons("a"), now)
}

// list reports the runs of a worker to the owner.
func (p *ownedPool) list(id fleet.InstanceID, runs ...schedule.RunReport) {
	p.Observe(id, schedule.Report{RequestedAt: p.platform.now, Running: runs}, p.platform.now)
}

// run returns a run of the service that works.
func run(index int) schedule.RunReport {
	return schedule.RunReport{Task: job.Ref{Job: "00000000000000aa", Index: index}, Run: 1, Percent: 100}
}

// Guards against tasks of a service that end with their machine, because an owner that has just taken the pool
// over reports a worker as drained before it knows that the former owner's runs are there.
func TestMachineWithRunsOfFormerOwnerIsNotTakenDown(t *testing.T) {
	platform := newFakePlatform(t, 4, 2, 0)
	platform.planner.SetWave(newWave(1, "a0"), nil, platform.now)
	platform.planner.Plan(platform.now)
	p := newOwnedPool(platform, 2, 2)
	exchange := func() {
		for range 5 {
			platform.now += 120
			p.report()
			must.Len(t, 0, platform.planner.Plan(platform.now))
		}
	}
	exchange()
	p.list("w-a0", run(0), run(1))
	exchange()
	platform.now += 100
	p.list("w-a0")
	p.Observe("w-a0", schedule.Report{RequestedAt: platform.now, EndsOnly: true, Ended: []schedule.EndReport{
		{Task: run(0).Task, Run: 1, Kind: schedule.EndStopped}, {Task: run(1).Task, Run: 1, Kind: schedule.EndStopped},
	}}, platform.now)
	p.report()
	must.Len(t, 1, platform.planner.Plan(platform.now))
}

// Guards against tasks of a service that end with their machine, because the fleet leader believes the report
// of an owner that has lost the pool: it has not noticed that its successor starts tasks on the worker.
func TestReportOfFormerOwnerTakesNoMachineDown(t *testing.T) {
	platform := newFakePlatform(t, 4, 2, 0)
	platform.planner.SetWave(newWave(1, "a0"), nil, platform.now)
	platform.planner.Plan(platform.now)
	former, successor := newOwnedPool(platform, 1, 2), newOwnedPool(platform, 2, 2)
	former.report()
	former.list("w-a0")
	successor.list("w-a0", run(0), run(1))
	for range 5 {
		platform.now += 120
		successor.report()
		former.report()
		must.Len(t, 0, platform.planner.Plan(platform.now))
	}
}

// Guards against tasks of a service that end with their machine, because the worker was reported as drained for
// an earlier intent: the owner has been told since that the worker takes tasks.
func TestReportForEarlierIntentTakesNoMachineDown(t *testing.T) {
	platform := newFakePlatform(t, 4, 2, 0)
	platform.planner.Hold([]machine.ID{"a0"}, platform.now+1000)
	platform.planner.SetWave(newWave(1, "a0"), nil, platform.now)
	platform.planner.Plan(platform.now)
	p := newOwnedPool(platform, 1, 2)
	p.report()
	p.list("w-a0")
	setState := func(s machine.State) {
		platform.now += 500
		i := slices.IndexFunc(platform.machines, func(m machine.Machine) bool { return m.ID == "a0" })
		platform.machines[i].State = s
		platform.planner.SetMachines(platform.machines, platform.now, platform.now)
	}
	setState(machine.Down)
	must.Len(t, 0, platform.planner.Plan(platform.now))
	p.report() // as drained; the response says that the worker takes tasks
	p.list("w-a0", run(0), run(1))
	setState(machine.Up)
	must.Len(t, 0, platform.planner.Plan(platform.now))
	p.report()
	must.Len(t, 0, platform.planner.Plan(platform.now))
}
