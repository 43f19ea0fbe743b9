package schedule_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// Guards against an order of workers by room that falls behind what they run: a task would
// start where it does not fit, wait beside a free worker, or spread over empty ones.
func TestTasksStartOnTheFullestWorkerWithRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &rig{t: t, pool: schedule.New(schedule.Config{Pool: "p"})}
		r.pool.Settle(0)
		free := map[fleet.InstanceID]int64{}
		cordoned := map[fleet.InstanceID]bool{}
		running := map[fleet.InstanceID][]schedule.Order{}
		needs := map[job.ID]int64{}
		cpus := rapid.SampledFrom([]int64{1000, 2000, 3000})
		for n := range rapid.IntRange(20, 60).Draw(rt, "steps") {
			w := workerID(rapid.IntRange(0, 7).Draw(rt, "worker"))
			switch rapid.SampledFrom([]string{"worker", "lose", "cordon", "end", "job", "job", "job"}).Draw(rt, "action") {
			case "worker":
				if _, known := free[w]; !known {
					free[w] = 1000 * int64(rapid.IntRange(1, 6).Draw(rt, "cores"))
					r.worker(w, free[w])
				}
			case "lose":
				r.pool.LoseWorker(w, "test", r.now)
				for _, o := range running[w] {
					r.pool.Cancel(o.Task.Job, r.now)
				}
				delete(free, w)
				delete(running, w)
				delete(cordoned, w)
			case "cordon":
				if _, known := free[w]; known {
					cordoned[w] = !cordoned[w]
				}
				var ids []fleet.InstanceID
				for id, yes := range cordoned {
					if yes {
						ids = append(ids, id)
					}
				}
				r.pool.Cordon(ids, r.now)
			case "end":
				if k := len(running[w]); k > 0 {
					o := running[w][k-1]
					running[w] = running[w][:k-1]
					free[w] += needs[o.Task.Job]
					r.end(o, schedule.EndDone)
				}
			case "job":
				cpu := cpus.Draw(rt, "cpu")
				needs[id(n)] = cpu
				r.pool.Add(newJob(n, job.Step{Count: 1, Needs: job.Resources{CPU: cpu, Memory: 1}, Estimate: 1000}), terms, nil, 0, r.now)
				want := fleet.InstanceID("")
				for i := range 8 {
					x := workerID(i)
					room, known := free[x]
					if known && !cordoned[x] && room >= cpu && (want == "" || room < free[want]) {
						want = x
					}
				}
				got := fleet.InstanceID("")
				for _, o := range r.starts(1) {
					got = o.Worker
					running[got] = append(running[got], o)
				}
				must.Eq(rt, want, got)
				if got == "" {
					r.pool.Cancel(id(n), r.now)
				} else {
					free[got] -= cpu
				}
			}
		}
	})
}

// Guards against an owner that gives more starts at once than it can take answers in: on
// members with 0.12 cores the looks came late then, leases lapsed, and tasks ran twice.
func TestStartsUnderWayAreBounded(t *testing.T) {
	r := &rig{t: t, pool: schedule.New(schedule.Config{Pool: "p", MaxStarting: 4})}
	r.pool.Settle(0)
	for i := range 3 {
		r.worker(workerID(i), 16000)
	}
	r.pool.Add(newJob(1, tasks(5)), terms, nil, 0, 0)
	r.pool.Add(newJob(2, tasks(5)), terms, nil, 0, 0)
	first := r.plan(1)
	must.Len(t, 4, first)
	must.True(t, r.pool.Held())
	must.Len(t, 0, r.plan(1))
	r.pool.Answered(first[0], schedule.Accepted, r.now)
	r.pool.Answered(first[1], schedule.NoRoom, r.now)
	for _, o := range append(first[2:], r.plan(1)...) {
		r.pool.Answered(o, schedule.Accepted, r.now)
	}
	for range 3 {
		r.starts(1)
	}
	must.False(t, r.pool.Held(), must.Sprint("nothing waits any more"))
}
