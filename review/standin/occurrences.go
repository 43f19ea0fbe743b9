package main

import (
	"fmt"
	"time"
)

// playOccurrences kills the process that owns a pool as the second occurrence of a large timed job begins. It does so
// with up to four jobs, one after the other, until the rule is broken.
func playOccurrences(w *world) int {
	const tasks, rounds = 6000, 4
	if !w.deploy(3, 4, workerCPU, workerMem) {
		return w.fail("the deployment did not start")
	}
	time.Sleep(2 * time.Second) // the first allowances
	for round := range rounds {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", round)
		j := submission{
			Spec: "ms=500", RunCount: 2, FirstMs: time.Now().UnixMilli(), IntervalMs: 1000,
			Steps: []step{{Count: tasks, CPU: 1, MemMB: 3, EstMs: 500}},
		}
		if !w.submit(id, j, 20*time.Second) {
			return w.fail("a job was not accepted")
		}
		began := false
		for until := time.Now().Add(30 * time.Second); !began && time.Now().Before(until); time.Sleep(time.Millisecond) {
			began = w.started(id) > tasks
		}
		if !began {
			return w.fail("the second occurrence did not start")
		}
		if w.trouble {
			owner := w.owner(pools[0])
			if owner == nil {
				return w.fail("the pool has no owner")
			}
			owner.kill()
			time.Sleep(3500 * time.Millisecond)
			if err := owner.start(); err != nil {
				return w.fail("%v", err)
			}
		}
		w.log("job %s is %s", id, w.awaitState(id, 15*time.Second, "complete", "failed"))
		fmt.Println("job", id, "had", w.started(id), "starts of", 2*tasks, "tasks")
		if broken := w.twice(); len(broken) > 0 {
			return w.verdict("TWICE", broken)
		}
	}
	return w.verdict("TWICE", nil)
}
