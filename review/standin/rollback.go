package main

import (
	"syscall"
	"time"
)

// playRollback hands a job in. While its second step has not begun, the operator removes its route, stops and starts the
// process that owns the pool, and adds the route again as it was. Then the task of the second step fails once.
func playRollback(w *world) int {
	const id = "5c0e7a21d94b36f8"
	if !w.deploy(3, 4, workerCPU, workerMem) {
		return w.fail("the deployment did not start")
	}
	time.Sleep(2 * time.Second) // the first allowances
	j := submission{Spec: "ms=12000,once:ms=500", Steps: []step{
		{Count: 1, CPU: 1000, MemMB: 256, EstMs: 12000}, {Count: 1, CPU: 1000, MemMB: 256, EstMs: 500, After: []int{0}},
	}}
	if !w.submit(id, j, 20*time.Second) {
		return w.fail("the job was not accepted")
	}
	if w.trouble {
		w.configure(8, map[int]route{0: {}})
		w.log("operator: version 8 removes route r-0")
		time.Sleep(2500 * time.Millisecond) // configMs is 2 s
		owner := w.owner(pools[0])
		if owner == nil {
			return w.fail("the pool has no owner")
		}
		owner.signal(syscall.SIGTERM)
		select {
		case <-owner.done:
		case <-time.After(6 * time.Second): // graceS
			owner.kill()
		}
		if err := owner.start(); err != nil {
			return w.fail("%v", err)
		}
		w.configure(9, nil)
		w.log("operator: version 9 adds route r-0 as it was")
	}
	state := w.awaitState(id, 30*time.Second, "complete", "failed", "cancelled")
	failures := 0
	for _, list := range w.runs() {
		for _, r := range list {
			if r.how == "failed" {
				failures++
			}
		}
	}
	if failures == 0 {
		return w.fail("no run of the job has failed")
	}
	var broken []string
	if state == "failed" || state == "cancelled" {
		broken = append(broken, "the job is shown as "+state+" after one run of one of its tasks has ended failed; attempts is 4 in each version that has its route")
	}
	return w.verdict("LOST", broken)
}
