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

func TestCapacityCountsWhatIsBeingStopped(t *testing.T) {
	r := newRig(t, 1)
	r.pool.Add(newJob(1, tasks(16)), terms, nil, 0, 0)
	must.Len(t, 16, r.starts(0), must.Sprint("sixteen tasks of one core fill the worker"))
	r.pool.Add(newJob(2, tasks(1)), terms, nil, 0, 0)
	r.pool.Cancel(id(1), r.now)
	must.Len(t, 0, r.starts(10), must.Sprint("the capacity is free when the ends are listed"))
	r.pool.Observe("w0", schedule.Report{Ended: []schedule.EndReport{{Task: job.Ref{Job: id(1)}, Run: 1, Kind: schedule.EndStopped}}}, r.now)
	must.Len(t, 1, r.starts(10))
}

func TestPlacementRules(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*job.Step)
		starts int
	}{
		{"most on one worker", func(s *job.Step) { s.MaxPerWorker = 1 }, 2},
		{"a label that no worker has", func(s *job.Step) { s.Label = "gpu" }, 0},
		{"more memory than any worker", func(s *job.Step) { s.Needs.Memory = 1 << 20 }, 0},
		{"tasks that fill take no cores", func(s *job.Step) { s.Fills, s.Needs.CPU = true, 16000 }, 4},
	} {
		r := newRig(t, 2)
		step := tasks(4)
		c.change(&step)
		r.pool.Add(newJob(1, step), terms, nil, 0, 0)
		must.Len(t, c.starts, r.starts(0), must.Sprint(c.name))
	}
}

func TestTeamStaysWithinItsAllowance(t *testing.T) {
	r := newRig(t, 1)
	p := schedule.New(schedule.Config{Pool: "p", Limited: func(fleet.TeamID) bool { return true }})
	p.Settle(0)
	r.pool = p
	r.worker("w0", 16000)
	j := newJob(1, tasks(8))
	j.Team = "alpha"
	p.Add(j, terms, nil, 0, 0)
	must.Len(t, 0, r.starts(0), must.Sprint("no allowance has come yet"))
	p.SetAllowance(map[fleet.TeamID]job.Resources{"alpha": {CPU: 3000, Memory: 1 << 30, GPU: 1 << 30}})
	must.Len(t, 3, r.starts(0))
}

func TestGangStartsWhole(t *testing.T) {
	r := newRig(t, 1)
	gang := tasks(20)
	gang.Gang = true
	r.pool.Add(newJob(1, gang), terms, nil, 0, 0)
	must.Len(t, 0, r.starts(0), must.Sprint("sixteen cores do not hold the gang"))
	r.worker("w1", 16000)
	orders := r.plan(10)
	must.Len(t, 20, orders)
	for i, o := range orders {
		must.Eq(t, orders[0].Run, o.Run)
		out := schedule.Accepted
		if i == 7 {
			out = schedule.NoRoom
		}
		r.pool.Answered(o, out, r.now)
	}
	stops := 0
	for _, o := range r.plan(10) {
		if o.Kind == schedule.Stop {
			stops++
		}
	}
	must.Eq(t, 19, stops, must.Sprint("a gang without a member does not wait for it"))
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	r := newRig(t, 1)
	j := newJob(1, tasks(1))
	j.Runs, j.First, j.Interval = 2, 1000, 500
	r.pool.Add(j, terms, nil, 0, 0)
	must.Len(t, 0, r.starts(999))
	first := r.starts(1)
	must.Len(t, 1, first)
	second := r.starts(500)
	must.Len(t, 1, second, must.Sprint("occurrences may overlap"))
	must.Eq(t, 1, second[0].Task.Occurrence)
	r.end(first[0], schedule.EndDone)
	r.end(second[0], schedule.EndDone)
	r.commit()
	must.Eq(t, job.Complete, r.state(1))
}

// Load at its worst: the queue asks for five times what its pool holds. Jobs that can still
// meet their objective go before those that can't, and what has begun before what has not.
func TestOverloadServesWhatCanBeInTime(t *testing.T) {
	r := newRig(t, 1)
	r.pool.Add(newJob(1, tasks(16)), terms, nil, 5000, 0) // late already
	r.pool.Add(newJob(2, tasks(16)), terms, nil, 0, 0)
	started := r.starts(0)
	must.Len(t, 16, started)
	for _, o := range started {
		must.Eq(t, id(2), o.Task.Job)
	}
}

func TestFillIsPacedBeforeAServingTaskMissesItsTarget(t *testing.T) {
	r := newRig(t, 1)
	serving, fill := tasks(1), tasks(1)
	serving.LongRunning, serving.TailTarget = true, 100
	fill.Fills = true
	r.pool.Add(newJob(1, serving), terms, nil, 0, 0)
	r.pool.Add(newJob(2, fill), terms, nil, 0, 0)
	started := r.starts(0)
	must.Len(t, 2, started)
	report := func(tail int64) {
		r.pool.Observe("w0", schedule.Report{Asked: r.now, Running: []schedule.RunReport{
			{Task: job.Ref{Job: id(1)}, Run: 1, Percent: 100, Load: tail}, {Task: job.Ref{Job: id(2)}, Run: 1},
		}}, r.now)
	}
	report(90)
	orders := r.plan(500)
	must.Len(t, 1, orders)
	must.Eq(t, schedule.Pace, orders[0].Kind)
	must.Eq(t, 50, orders[0].Percent)
	report(10)
	must.Eq(t, 60, r.plan(500)[0].Percent)
}

// Whatever ends, is lost or is cancelled in whatever order: no worker is over its capacity, no
// task runs twice, and a done task never starts again.
func TestNoTaskRunsTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRig(t, 3)
		jobs := rapid.IntRange(1, 4).Draw(rt, "jobs")
		for n := range jobs {
			r.pool.Add(newJob(n, tasks(rapid.IntRange(1, 9).Draw(rt, "width")), tasks(2, 0)), terms, nil, 0, 0)
		}
		running := map[job.Ref]schedule.Order{}
		finished := map[job.Ref]bool{}
		born := map[fleet.InstanceID]clock.Millis{"w0": 1, "w1": 1, "w2": 1}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			for _, o := range r.plan(100) {
				if o.Kind != schedule.Start {
					if was, ok := running[o.Task]; ok && was.Run == o.Run {
						delete(running, o.Task)
						r.end(was, schedule.EndStopped)
					}
					continue
				}
				if _, twice := running[o.Task]; twice {
					rt.Fatalf("task %s starts while it runs", o.Task)
				}
				if finished[o.Task] {
					rt.Fatalf("task %s starts after it was done", o.Task)
				}
				out := schedule.Accepted
				if rapid.IntRange(0, 9).Draw(rt, "refused") == 0 {
					out = schedule.NoRoom
				} else {
					running[o.Task] = o
				}
				r.pool.Answered(o, out, r.now)
			}
			used := map[fleet.InstanceID]int{}
			for _, o := range running {
				used[o.Worker]++
				if used[o.Worker] > 16 {
					rt.Fatalf("worker %s is over its capacity", o.Worker)
				}
			}
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				w := fleet.InstanceID(fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(rt, "worker")))
				born[w]++
				for ref, o := range running {
					if o.Worker == w {
						delete(running, ref)
					}
				}
				r.pool.SetWorker(schedule.Worker{ID: w, Born: born[w], Capacity: job.Resources{CPU: 16000, Memory: 32768}}, r.now)
				r.pool.SetReachable(w, true)
				r.pool.Observe(w, schedule.Report{Asked: r.now}, r.now)
			case 1:
				r.pool.Cancel(id(rapid.IntRange(0, jobs-1).Draw(rt, "cancelled")), r.now)
			default:
				for ref, o := range running {
					kind := rapid.SampledFrom([]schedule.EndKind{schedule.EndDone, schedule.EndDone, schedule.EndFailed, schedule.EndLapsed}).Draw(rt, "end")
					delete(running, ref)
					finished[ref] = finished[ref] || kind == schedule.EndDone
					r.end(o, kind)
					break
				}
			}
		}
	})
}

// BenchmarkPlan plans 1,000 waiting tasks of 150 teams with 910 workers that are full.
func BenchmarkPlan(b *testing.B) {
	p := schedule.New(schedule.Config{Pool: "p"})
	p.Settle(0)
	for i := range 910 {
		w := fleet.InstanceID(fmt.Sprintf("w%03d", i))
		p.SetWorker(schedule.Worker{ID: w, Born: 1, Capacity: job.Resources{CPU: 16000, Memory: 32768}}, 0)
		p.SetReachable(w, true)
		p.Observe(w, schedule.Report{}, 0)
	}
	fill := tasks(9100)
	fill.Needs.CPU = 1600
	p.Add(newJob(0, fill), terms, nil, 0, 0)
	for _, o := range p.Plan(0, 0) {
		p.Answered(o, schedule.Accepted, 0)
	}
	for n := range 125 {
		j := newJob(n+1, tasks(8))
		j.Team = fleet.TeamID(fmt.Sprintf("t%d", n%150))
		p.Add(j, terms, nil, 0, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(p.Plan(1, 1)) > 0 {
			b.Fatal("a full pool started a task")
		}
	}
}

// BenchmarkStart takes one job in, places its task and takes its end in. A pool has about 11
// workers at the design size, 85 at the largest of the grown sites, and 910 if there is only one.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{11, 85, 910} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkStart(b, workers) })
	}
}

func benchmarkStart(b *testing.B, workers int) {
	p := schedule.New(schedule.Config{Pool: "p"})
	p.Settle(0)
	for i := range workers {
		w := fleet.InstanceID(fmt.Sprintf("w%03d", i))
		p.SetWorker(schedule.Worker{ID: w, Born: 1, Capacity: job.Resources{CPU: 16000, Memory: 32768}}, 0)
		p.SetReachable(w, true)
		p.Observe(w, schedule.Report{}, 0)
	}
	n := 0
	for b.Loop() {
		n++
		p.Add(newJob(n, tasks(1)), terms, nil, 0, 0)
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

// Starts that were never sent counted as faults of their worker, which was then avoided.
func TestOrdersNotSentAreNoFault(t *testing.T) {
	for _, c := range []struct {
		out    schedule.Outcome
		starts int
	}{{schedule.NotSent, 1}, {schedule.Refused, 0}} {
		r := newRig(t, 1)
		r.pool.Add(newJob(1, tasks(1)), terms, nil, 0, 0)
		for range 3 {
			for _, o := range r.plan(1) {
				r.pool.Answered(o, c.out, r.now)
			}
		}
		must.Len(t, c.starts, r.plan(1))
	}
}
