package main

import (
	"fmt"
	"time"
)

// playStarved runs a job of four tasks that last at one queue. Then the same tenant hands a large job in at another
// queue, whose pool it fills, and one of the tasks that last fails.
func playStarved(w *world) int {
	const large, lasting, lasts = "5c0e7a21d94b3700", "5c0e7a21d94b36f8", 4
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
	j = submission{Spec: "ms=4000", Steps: []step{{Count: 8, CPU: 4000, MemMB: 512, EstMs: 4000}}}
	if w.trouble {
		j.Steps[0].Count = 300
	}
	if !w.submit(large, j, 20*time.Second) {
		return w.fail("the large job was not accepted")
	}
	time.Sleep(8 * time.Second)
	var failed *run
	for _, k := range w.workers {
		k.mu.Lock()
		for _, r := range k.active {
			if id, _, _, _ := splitTask(r.task); id == lasting && failed == nil {
				failed = r
				k.end(r, "failed")
			}
		}
		k.mu.Unlock()
	}
	if failed == nil {
		return w.fail("no task that lasts is running")
	}
	var used map[string]int64
	started := func() bool { return w.started(lasting) > lasts }
	var broken []string
	for range 5 { // 5 s and more, in steps of 3 s, from 6 s after the last run
		if w.await(3*time.Second, started) {
			break
		}
		used = w.use()
		w.log("in use: %v of %d each", used, 2*workerCPU)
	}
	if !started() {
		broken = append(broken, fmt.Sprintf(
			"task %s, which lasts, has not been started again in the 15 s after its run failed; its pool uses %d of %d, the tenant %d of its cap of %d",
			failed.task, used[pools[1]], 2*workerCPU, used[pools[0]]+used[pools[1]], capCPU))
	}
	return w.verdict("LOST", broken)
}
