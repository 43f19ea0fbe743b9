package main

import "time"

// playNewRoute turns the member that owns a pool away from the store, silently. Meanwhile the operator adds a route to that
// pool, and a client hands a job in on it at a member that knows the route. Then one task of the job fails once.
func playNewRoute(w *world) int {
	const id = "5c0e7a21d94b36f8"
	w.configure(8, map[int]route{0: {}})
	if !w.deploy(3, 4, workerCPU, workerMem) {
		return w.fail("the deployment did not start")
	}
	time.Sleep(2 * time.Second) // the first allowances
	owner := w.owner(pools[0])
	if owner == nil {
		return w.fail("the pool has no owner")
	}
	if w.trouble {
		w.log("store: silent to %s", owner.name)
		owner.silent.Store(true)
		time.AfterFunc(6*time.Second, func() {
			owner.silent.Store(false)
			w.log("store: answers %s again", owner.name)
		})
		time.Sleep(100 * time.Millisecond)
	}
	w.configure(9, nil)
	w.log("operator: version 9 adds route r-0")
	time.Sleep(200 * time.Millisecond)
	other := w.members[0]
	if other == owner {
		other = w.members[1]
	}
	j := submission{Spec: "ms=3000,once:ms=500", Steps: []step{
		{Count: 1, CPU: 1000, MemMB: 256, EstMs: 3000}, {Count: 1, CPU: 1000, MemMB: 256, EstMs: 500, After: []int{0}},
	}}
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	accepted := false
	for until := time.Now().Add(10 * time.Second); !accepted && time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		status, _ := w.call(other, "POST", id, j)
		accepted = status/100 == 2
	}
	if !accepted {
		return w.fail("the job was not accepted")
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
