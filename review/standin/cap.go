package main

import (
	"fmt"
	"time"
)

// playCap hands in twenty jobs at one queue, of which one can never be done, and then a small job of the same tenant at
// another queue, whose workers are idle.
func playCap(w *world) int {
	const small = "5c0e7a21d94b36f8"
	const finish = 14 * time.Second // finish_s
	if !w.deploy(3, 2, workerCPU, workerMem) {
		return w.fail("the deployment did not start")
	}
	time.Sleep(2 * time.Second) // the first allowances
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
	if !w.submit(small, submission{Spec: "ms=500", Steps: []step{{Count: 2, CPU: 4000, MemMB: 512, EstMs: 500}}, queue: 1}, 20*time.Second) {
		return w.fail("the small job was not accepted")
	}
	w.log("the traffic ends")
	state := w.awaitState(small, finish+6*time.Second, "complete", "failed", "cancelled")
	var broken []string
	if w.started(small) == 0 {
		used := w.use()
		broken = append(broken, fmt.Sprintf(
			"20 s after the end of the traffic no task of job %s has started; it is shown as %s; its pool uses %d of %d, the tenant %d of its cap of %d",
			small, state, used[pools[1]], 2*workerCPU, used[pools[0]]+used[pools[1]], capCPU))
	}
	return w.verdict("LOST", broken)
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
