package main

import (
	"fmt"
	"time"
)

// playCancel cancels three jobs of 3,000 running tasks each at the same time.
func playCancel(w *world) int {
	const jobs, tasks = 3, 3000
	const bound = 3000*time.Millisecond + stopMs*time.Millisecond // cancel_ms and stopMs after the acknowledgement
	if !w.deploy(3, 7, 64000, 131072) {
		return w.fail("the deployment did not start")
	}
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b36f%d", i)
		if !w.submit(id, submission{Spec: "ms=30000", Steps: []step{{Count: tasks, CPU: 12, MemMB: 13, EstMs: 30000}}}, 20*time.Second) {
			return w.fail("a job was not accepted")
		}
		ids = append(ids, id)
	}
	if !w.await(30*time.Second, func() bool { return w.running() == jobs*tasks }) {
		return w.fail("the tasks did not start")
	}
	time.Sleep(time.Second)
	if !w.trouble {
		return w.verdict("UNASKED", nil)
	}
	acked := make(chan time.Time, jobs)
	for i, id := range ids {
		go func() {
			for n := i; ; n++ {
				if status, _ := w.call(w.members[n%len(w.members)], "DELETE", id, nil); status/100 == 2 || status == 410 {
					acked <- time.Now()
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	var last time.Time
	for range jobs {
		select {
		case last = <-acked:
		case <-time.After(20 * time.Second):
			return w.fail("a cancel was not acknowledged")
		}
	}
	w.log("all cancels are acknowledged; %d tasks run", w.running())
	time.Sleep(time.Until(last.Add(bound + 100*time.Millisecond)))
	left := w.running()
	w.log("4.0 s after the last acknowledgement %d tasks run", left)
	var broken []string
	if left > 0 {
		broken = append(broken, fmt.Sprintf("%d tasks of cancelled jobs run 4.0 s after the last cancel was acknowledged", left))
	}
	w.await(25*time.Second, func() bool { return w.running() == 0 })
	w.log("%.1f s after the last acknowledgement %d tasks run", time.Since(last).Seconds(), w.running())
	return w.verdict("UNASKED", broken)
}
