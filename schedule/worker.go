package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// Worker describes an instance that runs tasks.
type Worker struct {
	ID       fleet.InstanceID
	Born     clock.Millis // start of this incarnation; another value is another incarnation
	Machine  string       // the hardware, which outlives the incarnation
	Zone     fleet.ZoneID
	Rack     fleet.RackID
	Labels   []string
	Capacity job.Resources
	Draining bool
}

// worker is the scheduler's view of a Worker.
type worker struct {
	Worker
	used       job.Resources
	room       int64  // free processor time under which the worker stands in rooms
	rooms      *rooms // of its pool
	tasks      map[*task]bool
	answered   bool // under this tenure's fence
	reachable  bool
	cordoned   bool // takes no new tasks: it is to move or to be maintained
	cordonedAt clock.Millis
	fullUntil  clock.Millis // refused a start for want of room
	faults     float64      // recent failures, halved by each success
	shunUntil  clock.Millis // no new starts: it fails what it starts
	lost       bool         // its entry is gone or names another incarnation
}

// Failures in a row on a worker, over different jobs, from which it is avoided, and for how
// long. One job that always fails must not take workers away.
const (
	shunFaults = 3.0
	shunFor    = clock.Millis(3000)
	// fullFor bounds how long a refusal for want of room is believed without news of an end.
	fullFor = clock.Millis(300)
)

func (w *worker) open(now clock.Millis) bool {
	return w.answered && w.reachable && !w.cordoned && !w.Draining && !w.lost && now >= w.fullUntil && now >= w.shunUntil
}

func (w *worker) free() job.Resources { return w.Capacity.Sub(w.used) }

func (w *worker) take(t *task) {
	w.tasks[t] = true
	w.used = w.used.Add(t.needs())
	w.rooms.update(w)
	t.worker = w
}

func (w *worker) release(t *task) {
	if !w.tasks[t] {
		return
	}
	delete(w.tasks, t)
	w.used = w.used.Sub(t.needs())
	w.rooms.update(w)
	t.worker = nil
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// failed notes that a task failed here.
func (w *worker) failed(now clock.Millis) {
	w.faults++
	if w.faults >= shunFaults {
		w.shunUntil = now + shunFor
		w.faults = shunFaults / 2
	}
}

func (w *worker) succeeded() { w.faults /= 2 }
