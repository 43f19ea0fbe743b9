package schedule_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// Guards against a worker index that is not updated when tasks start or end: a task would
// start where it does not fit, wait although a worker is free, or spread over empty workers.
func TestTasksStartOnFullestWorkerThatFits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &harness{t: t, pool: schedule.New(schedule.Config{Pool: "p"})}
		h.pool.FinishRecovery(0)
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
					h.addWorker(w, free[w])
				}
			case "lose":
				h.pool.RemoveWorker(w, schedule.LossSilent, "test", h.now)
				for _, o := range running[w] {
					h.pool.Cancel(o.Task.Job, h.now)
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
				h.pool.Cordon(ids, h.now)
			case "end":
				if k := len(running[w]); k > 0 {
					o := running[w][k-1]
					running[w] = running[w][:k-1]
					free[w] += needs[o.Task.Job]
					h.reportEnd(o, schedule.EndDone)
				}
			case "job":
				cpu := cpus.Draw(rt, "cpu")
				needs[jobID(n)] = cpu
				h.pool.Add(newJob(n, job.Step{Count: 1, Needs: job.Resources{CPU: cpu, Memory: 1}, Estimate: 1000}), testPolicy, nil, 0, h.now)
				want := fleet.InstanceID("")
				for i := range 8 {
					candidate := workerID(i)
					freeCPU, known := free[candidate]
					if known && !cordoned[candidate] && freeCPU >= cpu && (want == "" || freeCPU < free[want]) {
						want = candidate
					}
				}
				got := fleet.InstanceID("")
				for _, o := range h.acceptStarts(1) {
					got = o.Worker
					running[got] = append(running[got], o)
				}
				must.Eq(rt, want, got)
				if got == "" {
					h.pool.Cancel(jobID(n), h.now)
				} else {
					free[got] -= cpu
				}
			}
		}
	})
}

// Guards against an owner that sends more starts at once than it can process responses for. On
// members with 0.12 cores its polls were late, leases expired, and tasks ran twice.
func TestPendingStartsAreLimited(t *testing.T) {
	h := &harness{t: t, pool: schedule.New(schedule.Config{Pool: "p", MaxStarting: 4})}
	h.pool.FinishRecovery(0)
	for i := range 3 {
		h.addWorker(workerID(i), 16000)
	}
	h.pool.Add(newJob(1, newStep(5)), testPolicy, nil, 0, 0)
	h.pool.Add(newJob(2, newStep(5)), testPolicy, nil, 0, 0)
	first := h.planAfter(1)
	must.Len(t, 4, first)
	must.True(t, h.pool.StartsDeferred())
	must.Len(t, 0, h.planAfter(1))
	h.pool.Answered(first[0], schedule.Accepted, h.now)
	h.pool.Answered(first[1], schedule.NoCapacity, h.now)
	for _, o := range append(first[2:], h.planAfter(1)...) {
		h.pool.Answered(o, schedule.Accepted, h.now)
	}
	for range 3 {
		h.acceptStarts(1)
	}
	must.False(t, h.pool.StartsDeferred(), must.Sprint("no start is held"))
}
