package main

import "time"

// playMoved hands a job in, takes its route out of the configuration, adds it again with another service, and
// delivers the client's request once more.
func playMoved(w *world) int {
	const id, tasks = "5c0e7a21d94b36f8", 8
	if !w.deploy(3, 4, workerCPU, workerMem) {
		return w.fail("the deployment did not start")
	}
	time.Sleep(2 * time.Second) // the first allowances
	j := submission{Spec: "ms=800", Steps: []step{{Count: tasks, CPU: 2000, MemMB: 256, EstMs: 800}}}
	if !w.submit(id, j, 20*time.Second) {
		return w.fail("the job was not accepted")
	}
	accepted := time.Now()
	if state := w.awaitState(id, 10*time.Second, "complete", "failed"); state != "complete" {
		return w.fail("the job is %s", state)
	}
	if w.trouble {
		w.configure(8, map[int]route{0: {}})
		w.log("operator: version 8 removes route r-0")
		time.Sleep(time.Second)
		w.configure(9, map[int]route{0: {name: "r-0", pool: 1}})
		w.log("operator: version 9 adds route r-0, to %s", pools[1])
	}
	time.Sleep(3 * time.Second) // configMs is 2 s
	w.log("the client's request arrives again, %.1f s after it was answered", time.Since(accepted).Seconds())
	w.call(w.members[1], "POST", id, j)
	time.Sleep(4 * time.Second)
	w.log("job %s is %s", id, w.awaitState(id, 3*time.Second, "complete"))
	return w.verdict("TWICE", w.twice())
}
