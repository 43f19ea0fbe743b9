package schedule_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// Guards against starts on a worker whose capacity is still occupied by tasks that are stopping.
func TestStoppingTasksOccupyCapacity(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Add(newJob(1, newStep(16)), testPolicy, nil, 0, 0)
	must.Len(t, 16, h.acceptStarts(0), must.Sprint("sixteen tasks of one core fill the worker"))
	h.pool.Add(newJob(2, newStep(1)), testPolicy, nil, 0, 0)
	h.pool.Cancel(jobID(1), h.now)
	must.Len(t, 0, h.acceptStarts(10), must.Sprint("the capacity is freed when the ends are reported"))
	h.pool.Observe("w0", schedule.Report{Ended: []schedule.EndReport{{Task: job.Ref{Job: jobID(1)}, Run: 1, Kind: schedule.EndStopped}}}, h.now)
	must.Len(t, 1, h.acceptStarts(10))
}

func TestPlacementRules(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*job.Step)
		starts int
	}{
		{"limit on tasks on one worker", func(s *job.Step) { s.MaxPerWorker = 1 }, 2},
		{"a label that no worker has", func(s *job.Step) { s.Label = "gpu" }, 0},
		{"more memory than any worker", func(s *job.Step) { s.Needs.Memory = 1 << 20 }, 0},
		{"best-effort tasks occupy no CPU", func(s *job.Step) { s.BestEffort, s.Needs.CPU = true, 16000 }, 4},
	} {
		h := newHarness(t, 2)
		step := newStep(4)
		c.change(&step)
		h.pool.Add(newJob(1, step), testPolicy, nil, 0, 0)
		must.Len(t, c.starts, h.acceptStarts(0), must.Sprint(c.name))
	}
}

// Guards against tasks of a limited team that start without an allowance or beyond it.
func TestTeamStaysWithinAllowance(t *testing.T) {
	h := newHarness(t, 1)
	p := schedule.New(schedule.Config{Pool: "p", Limited: func(fleet.TeamID) bool { return true }})
	p.FinishRecovery(0)
	h.pool = p
	h.addWorker("w0", 16000)
	j := newJob(1, newStep(8))
	j.Team = "alpha"
	p.Add(j, testPolicy, nil, 0, 0)
	must.Len(t, 0, h.acceptStarts(0), must.Sprint("no allowance was set"))
	p.SetAllowance(map[fleet.TeamID]job.Resources{"alpha": {CPU: 3000, Memory: 1 << 30, GPU: 1 << 30}})
	must.Len(t, 3, h.acceptStarts(0))
}

// Guards against a gang of which only some tasks run, which then wait for the others.
func TestGangStartsAllTasksOrNone(t *testing.T) {
	h := newHarness(t, 1)
	gang := newStep(20)
	gang.Gang = true
	h.pool.Add(newJob(1, gang), testPolicy, nil, 0, 0)
	must.Len(t, 0, h.acceptStarts(0), must.Sprint("the gang does not fit on sixteen cores"))
	h.addWorker("w1", 16000)
	orders := h.planAfter(10)
	must.Len(t, 20, orders)
	for i, o := range orders {
		must.Eq(t, orders[0].Run, o.Run)
		out := schedule.Accepted
		if i == 7 {
			out = schedule.NoCapacity
		}
		h.pool.Answered(o, out, h.now)
	}
	stops := 0
	for _, o := range h.planAfter(10) {
		if o.Kind == schedule.Stop {
			stops++
		}
	}
	must.Eq(t, 19, stops, must.Sprint("the other members are stopped when one cannot start"))
}

// Guards against occurrences that start before they are due, or that wait for the end of an earlier
// occurrence.
func TestOccurrencesStartWhenDue(t *testing.T) {
	h := newHarness(t, 1)
	j := newJob(1, newStep(1))
	j.Runs, j.First, j.Interval = 2, 1000, 500
	h.pool.Add(j, testPolicy, nil, 0, 0)
	must.Len(t, 0, h.acceptStarts(999))
	first := h.acceptStarts(1)
	must.Len(t, 1, first)
	second := h.acceptStarts(500)
	must.Len(t, 1, second, must.Sprint("occurrences may overlap"))
	must.Eq(t, 1, second[0].Task.Occurrence)
	h.reportEnd(first[0], schedule.EndDone)
	h.reportEnd(second[0], schedule.EndDone)
	h.commitChanges()
	must.Eq(t, job.Complete, h.jobState(1))
}

// Guards against late jobs that take the capacity from jobs that can still meet their objective.
// This decides under overload, when the demand reaches five times the capacity of the pool.
func TestOverloadStartsJobsThatCanMeetObjective(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Add(newJob(1, newStep(16)), testPolicy, nil, 5000, 0) // already late
	h.pool.Add(newJob(2, newStep(16)), testPolicy, nil, 0, 0)
	started := h.acceptStarts(0)
	must.Len(t, 16, started)
	for _, o := range started {
		must.Eq(t, jobID(2), o.Task.Job)
	}
}

// Guards against best-effort tasks that make a serving task on the same worker miss its tail latency
// target.
func TestBestEffortTaskIsPacedToProtectServingTask(t *testing.T) {
	h := newHarness(t, 1)
	serving, bestEffort := newStep(1), newStep(1)
	serving.LongRunning, serving.TailLatencyTarget = true, 100
	bestEffort.BestEffort = true
	h.pool.Add(newJob(1, serving), testPolicy, nil, 0, 0)
	h.pool.Add(newJob(2, bestEffort), testPolicy, nil, 0, 0)
	started := h.acceptStarts(0)
	must.Len(t, 2, started)
	report := func(tail int64) {
		h.pool.Observe("w0", schedule.Report{RequestedAt: h.now, Running: []schedule.RunReport{
			{Task: job.Ref{Job: jobID(1)}, Run: 1, Percent: 100, Load: tail}, {Task: job.Ref{Job: jobID(2)}, Run: 1},
		}}, h.now)
	}
	report(90)
	orders := h.planAfter(500)
	must.Len(t, 1, orders)
	must.Eq(t, schedule.Pace, orders[0].Kind)
	must.Eq(t, 50, orders[0].Percent)
	report(10)
	must.Eq(t, 60, h.planAfter(500)[0].Percent)
}

// Guards against workers that exceed their capacity, tasks that run twice, and done tasks that
// start again, for any order of ends, lost workers and cancellations.
func TestNoTaskRunsTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, 3)
		jobs := rapid.IntRange(1, 4).Draw(rt, "jobs")
		for n := range jobs {
			h.pool.Add(newJob(n, newStep(rapid.IntRange(1, 9).Draw(rt, "width")), newStep(2, 0)), testPolicy, nil, 0, 0)
		}
		running := map[job.Ref]schedule.Order{}
		finished := map[job.Ref]bool{}
		incarnations := map[fleet.InstanceID]clock.Millis{"w0": 1, "w1": 1, "w2": 1}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			for _, o := range h.planAfter(100) {
				if o.Kind != schedule.Start {
					if previous, ok := running[o.Task]; ok && previous.Run == o.Run {
						delete(running, o.Task)
						h.reportEnd(previous, schedule.EndStopped)
					}
					continue
				}
				if _, twice := running[o.Task]; twice {
					rt.Fatalf("task %s is started while it runs", o.Task)
				}
				if finished[o.Task] {
					rt.Fatalf("task %s is started after it was done", o.Task)
				}
				out := schedule.Accepted
				if rapid.IntRange(0, 9).Draw(rt, "refused") == 0 {
					out = schedule.NoCapacity
				} else {
					running[o.Task] = o
				}
				h.pool.Answered(o, out, h.now)
			}
			used := map[fleet.InstanceID]int{}
			for _, o := range running {
				used[o.Worker]++
				if used[o.Worker] > 16 {
					rt.Fatalf("worker %s exceeds its capacity", o.Worker)
				}
			}
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				w := fleet.InstanceID(fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(rt, "worker")))
				incarnations[w]++
				for ref, o := range running {
					if o.Worker == w {
						delete(running, ref)
					}
				}
				h.pool.SetWorker(schedule.Worker{ID: w, Incarnation: incarnations[w], Capacity: job.Resources{CPU: 16000, Memory: 32768}}, h.now)
				h.pool.SetReachable(w, true, h.now)
				h.pool.Observe(w, schedule.Report{RequestedAt: h.now}, h.now)
			case 1:
				h.pool.Cancel(jobID(rapid.IntRange(0, jobs-1).Draw(rt, "cancelled")), h.now)
			default:
				for ref, o := range running {
					kind := rapid.SampledFrom([]schedule.EndKind{schedule.EndDone, schedule.EndDone, schedule.EndFailed, schedule.EndExpired}).Draw(rt, "end")
					delete(running, ref)
					finished[ref] = finished[ref] || kind == schedule.EndDone
					h.reportEnd(o, kind)
					break
				}
			}
		}
	})
}

// BenchmarkPlan plans 1,000 waiting tasks of 125 jobs, each of another team, with 910 full workers.
func BenchmarkPlan(b *testing.B) {
	p := schedule.New(schedule.Config{Pool: "p"})
	p.FinishRecovery(0)
	for i := range 910 {
		w := fleet.InstanceID(fmt.Sprintf("w%03d", i))
		p.SetWorker(schedule.Worker{ID: w, Incarnation: 1, Capacity: job.Resources{CPU: 16000, Memory: 32768}}, 0)
		p.SetReachable(w, true, 0)
		p.Observe(w, schedule.Report{}, 0)
	}
	allWorkers := newStep(9100)
	allWorkers.Needs.CPU = 1600
	p.Add(newJob(0, allWorkers), testPolicy, nil, 0, 0)
	for _, o := range p.Plan(0, 0) {
		p.Answered(o, schedule.Accepted, 0)
	}
	for n := range 125 {
		j := newJob(n+1, newStep(8))
		j.Team = fleet.TeamID(fmt.Sprintf("t%d", n%150))
		p.Add(j, testPolicy, nil, 0, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(p.Plan(1, 1)) > 0 {
			b.Fatal("Plan ordered a start in a full pool")
		}
	}
}

// BenchmarkStart adds one job, places its task and processes the end of its run. A pool has
// about 11 workers at the design size, 85 in the largest of the enlarged deployments, and 910
// if it is the only pool.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{11, 85, 910} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkStart(b, workers) })
	}
}

// benchmarkStart runs BenchmarkStart with a number of workers.
func benchmarkStart(b *testing.B, workers int) {
	p := schedule.New(schedule.Config{Pool: "p"})
	p.FinishRecovery(0)
	for i := range workers {
		w := fleet.InstanceID(fmt.Sprintf("w%03d", i))
		p.SetWorker(schedule.Worker{ID: w, Incarnation: 1, Capacity: job.Resources{CPU: 16000, Memory: 32768}}, 0)
		p.SetReachable(w, true, 0)
		p.Observe(w, schedule.Report{}, 0)
	}
	n := 0
	for b.Loop() {
		n++
		p.Add(newJob(n, newStep(1)), testPolicy, nil, 0, 0)
		for _, o := range p.Plan(0, 0) {
			p.Answered(o, schedule.Accepted, 0)
			p.Observe(o.Worker, schedule.Report{Ended: []schedule.EndReport{{Task: o.Task, Run: o.Run, Kind: schedule.EndDone}}}, 0)
		}
		for _, c := range p.Changes(0, 10) {
			p.Committed(c)
			p.Remove(c.Job)
		}
	}
}

// Guards against starts that were never sent counting as failures of their worker, which then
// received no starts.
func TestUnsentOrdersAreNotWorkerFailures(t *testing.T) {
	for _, c := range []struct {
		out    schedule.Outcome
		starts int
	}{{schedule.NotSent, 1}, {schedule.Refused, 0}} {
		h := newHarness(t, 1)
		h.pool.Add(newJob(1, newStep(1)), testPolicy, nil, 0, 0)
		for range 3 {
			for _, o := range h.planAfter(1) {
				h.pool.Answered(o, c.out, h.now)
			}
		}
		must.Len(t, c.starts, h.planAfter(1))
	}
}
