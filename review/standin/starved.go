package main

import (
	"fmt"
	"time"
)

// playStarved runs a job of four tasks that last at one queue. Then the same tenant hands twenty jobs in at another queue,
// of which one can never be done, and one of the tasks that last fails.
func playStarved(w *world) int {
	const lasting, lasts = "5c0e7a21d94b36f8", 4
	if !w.deploy(3, 2, workerCPU, workerMem) {
		return w.fail("the deployment did not start")
	}
	time.Sleep(2 * time.Second) // the first allowances
	j := submission{Spec: "lasts", Steps: []step{{Count: lasts, CPU: 4000, MemMB: 512, LongRunning: true}}, queue: 1}
	if !w.submit(lasting, j, 20*time.Second) {
		return w.fail("the job that lasts was not accepted")
	}
	if !w.await(10*time.Second, func() bool { return w.started(lasting) == lasts }) {
		return w.fail("the job that lasts did not start")
	}
	for i := range 20 {
		j := submission{Spec: "ms=500", Steps: []step{{Count: 4, CPU: 4000, MemMB: 512, EstMs: 500}}}
		if i == 10 && w.trouble { // one in twenty needs more than any worker has
			j.Steps[0].Count, j.Steps[0].CPU = 32, 20000
		}
		if !w.submit(fmt.Sprintf("5c0e7a21d94b37%02x", i), j, 20*time.Second) {
			return w.fail("a job was not accepted")
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.log("the traffic ends")
	time.Sleep(8 * time.Second)
	failed := w.failOne(lasting)
	if failed == "" {
		return w.fail("no task that lasts is running")
	}
	started := func() bool { return w.started(lasting) > lasts }
	var broken []string
	for range 5 { // the rule holds from 6 s after the last run, for 3 s
		if w.await(3*time.Second, started) {
			break
		}
		w.log("in use: %v of %d each", w.use(), 2*workerCPU)
	}
	if used := w.use(); !started() {
		broken = append(broken, fmt.Sprintf(
			"task %s, which lasts, has not been started again in the 15 s after its run failed; its pool uses %d of %d, the tenant %d of its cap of %d",
			failed, used[pools[1]], 2*workerCPU, used[pools[0]]+used[pools[1]], capCPU))
	}
	return w.verdict("LOST", broken)
}

// failOne ends one run of a job as failed, by its own fault, and returns its task.
func (w *world) failOne(job string) string {
	for _, k := range w.workers {
		k.mu.Lock()
		for _, r := range k.active {
			if id, _, _, _ := splitTask(r.task); id == job {
				k.end(r, "failed")
				k.mu.Unlock()
				return r.task
			}
		}
		k.mu.Unlock()
	}
	return ""
}

// use returns the capacity in use by pool, in thousandths of a core.
func (w *world) use() map[string]int64 {
	used := map[string]int64{}
	for _, k := range w.workers {
		k.mu.Lock()
		used[k.pool] += k.cpu - k.free.cpu
		k.mu.Unlock()
	}
	return used
}
