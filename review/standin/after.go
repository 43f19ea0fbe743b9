package main

import "time"

// playAfter hands in a job whose second step names the first one twice in after.
func playAfter(w *world) int {
	const id = "5c0e7a21d94b36f8"
	if !w.deploy(3, 2, 64000, 131072) {
		return w.fail("the deployment did not start")
	}
	after := []int{0}
	if w.trouble {
		after = []int{0, 0}
	}
	j := submission{Spec: "ms=500", Steps: []step{{Count: 4, CPU: 500, MemMB: 256, EstMs: 500}, {Count: 4, CPU: 500, MemMB: 256, EstMs: 500, After: after}}}
	if !w.submit(id, j, 20*time.Second) {
		return w.fail("the job was not accepted")
	}
	state := w.awaitState(id, 25*time.Second, "complete", "failed", "cancelled")
	var broken []string
	if state != "complete" {
		broken = append(broken, "the job is "+state+" 25 s after it was accepted; its second step has not begun, though the first one is done and the workers are idle")
	}
	return w.verdict("LOST", broken)
}
