package main

import "time"

// playProgress hands in a job that runs at given times, of which many occurrences wait for room at once.
func playProgress(w *world) int {
	const id = "5c0e7a21d94b36f8"
	if !w.deploy(3, 2, 64000, 131072) {
		return w.fail("the deployment did not start")
	}
	count := 300
	if w.trouble {
		count = 3300
	}
	j := submission{
		Spec: "ms=50,ms=50,ms=1000", RunCount: count, FirstMs: time.Now().UnixMilli() + 1000, IntervalMs: 10,
		Steps: []step{
			{Count: 1, CPU: 100, MemMB: 64, EstMs: 50}, {Count: 1, CPU: 100, MemMB: 64, EstMs: 50},
			{Count: 1, CPU: 16000, MemMB: 4096, EstMs: 1000, After: []int{0, 1}},
		},
	}
	if !w.submit(id, j, 20*time.Second) {
		return w.fail("the job was not accepted")
	}
	state := w.awaitState(id, 80*time.Second, "complete", "failed", "cancelled")
	var broken []string
	if state == "failed" || state == "cancelled" {
		broken = append(broken, "the job is shown as "+state+", though none of its tasks has failed")
	}
	return w.verdict("LOST", broken)
}
