package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// pending asks a member for the number of a queue's jobs that have not begun.
func (w *world) pending(m *member, queue int) int {
	r, _ := http.NewRequest("GET", fmt.Sprintf("http://%s:%d%s", m.ip, w.ports[0], queues[queue]), nil)
	r.Host = host
	r.Header.Set("X-Citronknot-Credential", key)
	answer, err := client.Do(r)
	if err != nil {
		return -1
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	w.log("client: GET %s at %s: %d %s", queues[queue], m.name, answer.StatusCode, text)
	var body struct{ Pending *int }
	if json.Unmarshal(text, &body) != nil || body.Pending == nil || answer.StatusCode != 200 {
		return -1
	}
	return *body.Pending
}

// playPending fills a pool, hands ten more jobs in that have to wait, replaces their route by one to another service, and
// asks how many wait.
func playPending(w *world) int {
	const waiting = 10
	if !w.deploy(3, 2, workerCPU, workerMem) {
		return w.fail("the deployment did not start")
	}
	time.Sleep(2 * time.Second) // the first allowances
	if !w.submit("5c0e7a21d94b36f8", submission{Spec: "ms=40000", Steps: []step{{Count: 4, CPU: 8000, MemMB: 256, EstMs: 40000}}}, 20*time.Second) {
		return w.fail("the first job was not accepted")
	}
	if !w.await(10*time.Second, func() bool { return w.running() == 4 }) {
		return w.fail("the first job did not start")
	}
	for i := range waiting {
		j := submission{Spec: "ms=500", Steps: []step{{Count: 1, CPU: 8000, MemMB: 256, EstMs: 500}}}
		if !w.submit(fmt.Sprintf("5c0e7a21d94b37%02x", i), j, 20*time.Second) {
			return w.fail("a job was not accepted")
		}
	}
	time.Sleep(6 * time.Second) // visible_ms + 2 s is 5 s
	if w.trouble {
		w.configure(8, map[int]route{0: {name: "r-0", pool: 1}})
		w.log("operator: version 8 sends route r-0 to %s", pools[1])
	}
	time.Sleep(6 * time.Second) // configMs is 2 s, stabilityMs 3 s
	var broken []string
	for _, m := range w.members {
		if n := w.pending(m, 0); n >= 0 && 2*n < waiting {
			broken = append(broken, fmt.Sprintf("%s says that %d jobs of %s are pending; %d have been accepted over 11 s before and have not begun", m.name, n, queues[0], waiting))
		}
	}
	return w.verdict("MIXED", broken)
}
