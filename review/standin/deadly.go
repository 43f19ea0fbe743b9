package main

import (
	"fmt"
	"time"
)

// playDeadly hands in a job whose task crashes each worker that starts it, and kills the owner of its pool after each of the first
// three crashes, before the worker is back.
func playDeadly(w *world) int {
	const id = "5c0e7a21d94b36f8"
	const task = id + ".0.0.0"
	if !w.deploy(3, 7, workerCPU, workerMem) {
		return w.fail("the deployment did not start")
	}
	if !w.submit(id, submission{Spec: "crash", Steps: []step{{Count: 1, CPU: 1100, MemMB: 1200, EstMs: 800}}}, 20*time.Second) {
		return w.fail("the job was not accepted")
	}
	var kills []time.Time
	for n := 1; w.trouble && n <= 3; n++ {
		if !w.await(20*time.Second, func() bool { return len(w.runs()[task]) >= n }) {
			return w.fail("start %d did not come", n)
		}
		time.Sleep(time.Second)
		owner := w.owner(pools[0])
		if owner == nil {
			return w.fail("the pool has no owner")
		}
		owner.kill()
		kills = append(kills, time.Now())
		time.AfterFunc(3500*time.Millisecond, func() { _ = owner.start() })
	}
	w.log("the job is %s", w.awaitState(id, 60*time.Second, "complete", "failed", "cancelled"))
	runs := w.runs()[task]
	var broken []string
	if len(runs) >= 6 {
		broken = append(broken, fmt.Sprintf("task %s was started %d times more after three workers had crashed under it, the third at %.3f s",
			task, len(runs)-3, runs[2].ended.Sub(w.began).Seconds()))
	}
	for i, r := range runs {
		w.log("start %d: run %d on %s at %.3f s, the worker crashed at %.3f s", i+1, r.run, r.worker, r.started.Sub(w.began).Seconds(), r.ended.Sub(w.began).Seconds())
	}
	return w.verdict("BUDGET", broken)
}
