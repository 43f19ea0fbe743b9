package main

import (
	"fmt"
	"time"
)

func init() {
	cases["timed"] = playTimed
	cases["crash"] = playCrash
}

// The store is slow as in the site file: 60 times txMs, for 4.5 s.
const (
	slowBy  = 59 * txTime
	slowFor = 4500 * time.Millisecond
)

// playTimed stops the owner of the service, as planned, while the first occurrence of a scheduled job is at work and the
// store is slow.
func playTimed(root, record string, trouble bool) int {
	const tasks = 140
	return playCase(root, record, vansBelts, func(d *deployment) ([]string, error) {
		id := jobID()
		first := time.Now().Add(3 * time.Second)
		err := d.submit(id, jobBody{
			Spec: "1000", Steps: []step{{Count: tasks, CPU: 1000, MemMb: 256, EstMs: 1000}}, RunCount: 2, FirstMs: first.UnixMilli(), IntervalMs: 12_000,
		})
		if err != nil {
			return nil, err
		}
		if trouble {
			time.Sleep(time.Until(first.Add(-2600 * time.Millisecond)))
			d.note("each answer of the store takes %v longer, for %v", slowBy, slowFor)
			d.store.setSlow(slowBy)
			time.AfterFunc(slowFor, func() {
				d.store.setSlow(0)
				d.note("the store is as fast as before")
			})
		}
		if err := d.awaitRunning(tasks, 10*time.Second); err != nil {
			return nil, err
		}
		if trouble {
			time.Sleep(time.Until(first.Add(450 * time.Millisecond)))
			d.terminate(d.owner())
		}
		state := d.awaitFinal(id, 45*time.Second)
		if state != "complete" {
			return d.twice(), fmt.Errorf("the job is %q in the end", state)
		}
		return d.twice(), nil
	})
}

// playCrash crashes one worker on which many tasks of a job work.
func playCrash(root, record string, trouble bool) int {
	const tasks = 2000
	return playCase(root, record, vansBelts, func(d *deployment) ([]string, error) {
		id := jobID()
		if err := d.submit(id, jobBody{Spec: "6000", Steps: []step{{Count: tasks, CPU: 16, MemMb: 30, EstMs: 6000}}}); err != nil {
			return nil, err
		}
		if err := d.awaitRunning(tasks, 5*time.Second); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
		if trouble {
			w := d.busiest()
			d.note("worker %s crashes with %d runs, and starts again after %v", w.id, len(w.active), 4500*time.Millisecond)
			w.crash()
			time.AfterFunc(4500*time.Millisecond, func() { _ = w.begin() })
		}
		state := d.awaitFinal(id, 40*time.Second)
		failed := 0
		for _, runs := range runsOf(d.workers) {
			for _, r := range runs {
				if r.How == "failed" {
					failed++
				}
			}
		}
		switch {
		case state == "failed":
			return []string{fmt.Sprintf("LOST: job %s is shown as failed, though %d runs ended failed, one worker crashed once, and nobody cancelled it", id, failed)}, nil
		case state != "complete":
			return nil, fmt.Errorf("the job is %q in the end", state)
		}
		return nil, nil
	})
}

// busiest returns the worker on which most tasks work.
func (d *deployment) busiest() *worker {
	best, most := d.workers[0], -1
	for _, w := range d.workers {
		w.mu.Lock()
		if n := len(w.active); n > most {
			best, most = w, n
		}
		w.mu.Unlock()
	}
	return best
}
