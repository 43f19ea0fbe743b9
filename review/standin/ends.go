package main

import (
	"fmt"
	"time"
)

// playEnds kills the process that owns a pool when two large jobs are about to end, so that the pool's workers have
// more than 500 ends each that nobody has taken note of when the next owner asks first.
func playEnds(w *world) int {
	const tasks, rounds = 9000, 2
	if !w.deploy(3, 2, workerCPU, workerMem) {
		return w.fail("the deployment did not start")
	}
	for round := range rounds {
		var ids []string
		for i, ms := range []int{9000, 6500} {
			id := fmt.Sprintf("5c0e7a21d94b3%d%d0", round, i)
			j := submission{Spec: fmt.Sprintf("ms=%d", ms), Steps: []step{{Count: tasks, CPU: 1, MemMB: 3, EstMs: int64(ms)}}}
			if !w.submit(id, j, 20*time.Second) {
				return w.fail("a job was not accepted")
			}
			ids = append(ids, id)
			if !w.await(30*time.Second, func() bool { return w.started(id) == tasks }) {
				return w.fail("the tasks of a job did not start")
			}
		}
		if !w.await(20*time.Second, func() bool { return w.started(ids[0])+w.started(ids[1])-w.running() > 0 }) {
			return w.fail("no task has ended")
		}
		owner := w.owner(pools[0])
		if owner == nil {
			return w.fail("the pool has no owner")
		}
		if w.trouble {
			owner.kill()
			time.Sleep(3500 * time.Millisecond)
			if err := owner.start(); err != nil {
				return w.fail("%v", err)
			}
		}
		for _, id := range ids {
			w.log("job %s is %s", id, w.awaitState(id, 10*time.Second, "complete", "failed"))
		}
		if broken := w.twice(); len(broken) > 0 {
			return w.verdict("TWICE", broken)
		}
	}
	return w.verdict("TWICE", nil)
}

// await waits until a condition holds.
func (w *world) await(within time.Duration, holds func() bool) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// started returns how many runs of a job were started.
func (w *world) started(id string) int {
	n := 0
	for _, k := range w.workers {
		k.mu.Lock()
		n += k.byJob[id]
		k.mu.Unlock()
	}
	return n
}
