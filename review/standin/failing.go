package main

import (
	"fmt"
	"time"
)

// playFailing hands a job of many small tasks in while one of twelve workers of its pool fails all that it starts.
func playFailing(w *world) int {
	const id, tasks = "5c0e7a21d94b36f8", 6000
	if !w.deploy(3, 12, workerCPU, workerMem) {
		return w.fail("the deployment did not start")
	}
	time.Sleep(2 * time.Second) // the first allowances
	first := submission{Spec: "ms=60000", Steps: []step{{Count: 1, CPU: 1000, MemMB: 256, EstMs: 60000}}}
	if !w.submit("5c0e7a21d94b3700", first, 20*time.Second) {
		return w.fail("the first job was not accepted")
	}
	if !w.await(10*time.Second, func() bool { return w.running() == 1 }) {
		return w.fail("the first job did not start")
	}
	if w.trouble {
		for _, k := range w.workers {
			if len(k.all) > 0 {
				k.failing = true
				w.log("worker %s: fails all that it starts", k.id)
				time.AfterFunc(6500*time.Millisecond, func() {
					k.mu.Lock()
					k.failing = false
					k.mu.Unlock()
					w.log("worker %s: is sound again", k.id)
				})
			}
		}
	}
	j := submission{Spec: "ms=4000", Steps: []step{{Count: tasks, CPU: 1, MemMB: 3, EstMs: 4000}}}
	if !w.submit(id, j, 20*time.Second) {
		return w.fail("the job was not accepted")
	}
	state := w.awaitState(id, 60*time.Second, "complete", "failed", "cancelled")
	var broken []string
	if state == "failed" || state == "cancelled" {
		most := 0
		for _, list := range w.runs() {
			n := 0
			for _, r := range list {
				if r.how == "failed" {
					n++
				}
			}
			most = max(most, n)
		}
		if most < 4 {
			broken = append(broken, fmt.Sprintf("the job is shown as %s, though no task has more than %d runs that ended failed; attempts is 4", state, most))
		}
	}
	return w.verdict("LOST", broken)
}
