package main

import "time"

// playCrash crashes one of seven workers of a pool while a large job runs on it.
func playCrash(w *world) int {
	const id, tasks = "5c0e7a21d94b36f8", 1000
	if !w.deploy(3, 7, workerCPU, workerMem) {
		return w.fail("the deployment did not start")
	}
	j := submission{Spec: "ms=6000", Steps: []step{{Count: tasks, CPU: 15, MemMB: 30, EstMs: 6000}}}
	if !w.submit(id, j, 20*time.Second) {
		return w.fail("the job was not accepted")
	}
	if !w.await(10*time.Second, func() bool { return w.started(id) == tasks }) {
		return w.fail("the tasks did not start")
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		fullest := w.workers[0]
		for _, k := range w.workers[:7] {
			if k.byJob[id] > fullest.byJob[id] {
				fullest = k
			}
		}
		fullest.crash()
		time.Sleep(4500 * time.Millisecond)
		if err := fullest.start(); err != nil {
			return w.fail("%v", err)
		}
	}
	state := w.awaitState(id, 60*time.Second, "complete", "failed", "cancelled")
	var broken []string
	if state == "failed" || state == "cancelled" {
		broken = append(broken, "the job is shown as "+state+", though none of its tasks has ended failed")
	}
	return w.verdict("LOST", broken)
}
