package schedule

import (
	"cmp"
	"maps"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// Worker describes an instance that runs tasks.
type Worker struct {
	ID          fleet.InstanceID
	Incarnation clock.Millis // start time of this incarnation, which identifies it
	Machine     string       // the hardware, which outlives the incarnation
	Zone        fleet.ZoneID
	Rack        fleet.RackID
	Labels      []string
	Capacity    job.Resources
	Draining    bool         // the worker ends soon; its tasks are moved or end with it
	Cold        clock.Millis // how much longer the worker stays slow after its start; at most MaxCold counts
}

// worker is the scheduler's record of a Worker.
type worker struct {
	Worker
	used           job.Resources
	unexpected     map[runKey]job.Resources // runs that no task accounts for, with what they occupy
	indexedFreeCPU int64                    // free CPU, in millicores, by which index sorts the worker
	index          *workerIndex             // of the worker's pool
	tasks          map[*task]bool
	responded      bool // has responded to a poll under this owner lease's fence
	startsHeld     bool // takes no starts; see Pool.HoldStarts
	reachable      bool // responds to calls
	// unreachableSince is when the worker stopped responding, or 0 if it responds or the time is
	// unknown.
	unreachableSince clock.Millis
	respondedAt      clock.Millis // when its latest response to a poll was processed
	listedAt         clock.Millis // when its newest list of running runs was made, or shortly before
	aliveAt          clock.Millis // the worker has certainly made a response at this time or later
	cordoned         bool         // takes no new tasks, as its machine is to move or to be maintained
	cordonedAt       clock.Millis
	evacuated        bool // takes no starts, as its zone is being evacuated
	evacuatedAt      clock.Millis
	cold             coldTime
	fullUntil        clock.Millis   // no starts before this time, after a refusal for lack of capacity
	closedUntil      clock.Millis   // no starts before this time, after a start that was held back
	recentFailures   float64        // halved by each success
	refusedAt        clock.Millis   // when a start was last refused that counts as a failure
	starter          *starter       // record of the member that sends the worker its orders
	starterID        fleet.MemberID // id of that member; empty for the owner
	avoidUntil       clock.Millis   // no starts before this time, after repeated failures
	unlisted         bool           // its entry is gone or names another incarnation
	apartAt          clock.Millis   // when a task was last started apart there
	suspects         int            // suspected tasks that occupy the worker
	apartJobs        []*Job         // jobs with tasks that were started apart there around apartAt
	trial            *trial         // nothing else is started during it; nil if there is none
}

// Limits on starts after refusals.
const (
	// fullDuration is the longest time for which a worker gets no starts after it refused one
	// for lack of capacity. The time ends early when the worker reports that a run has ended.
	fullDuration = clock.Millis(300)
	// closedDuration is how long a worker gets no starts after one was held back, because its
	// zone is or may be evacuated.
	closedDuration = clock.Millis(300)
)

// acceptsStarts reports whether the worker may be given new tasks now.
func (w *worker) acceptsStarts(now clock.Millis) bool {
	return w.isUsable(now) && now >= w.fullUntil && now >= w.closedUntil && w.trial == nil
}

// isUsable reports whether the worker is in a state to run new tasks.
func (w *worker) isUsable(now clock.Millis) bool {
	return w.responded && !w.startsHeld && w.reachable && !w.isBeingEmptied() && !w.unlisted && now >= w.avoidUntil
}

// isBeingEmptied reports whether the worker takes no starts and the tasks that can continue elsewhere are
// moved away from it: its machine is to move or to be maintained, it ends soon, or its zone is being
// evacuated.
func (w *worker) isBeingEmptied() bool { return w.cordoned || w.Draining || w.evacuated }

// isLeaving reports whether the worker is to end soon, so that its end is no crash.
func (w *worker) isLeaving() bool { return w.Draining || w.cordoned }

// sortedTasks returns the tasks that occupy the worker, in the order of their references.
func (w *worker) sortedTasks() []*task {
	return slices.SortedFunc(maps.Keys(w.tasks), func(a, b *task) int { return cmp.Compare(a.ref().String(), b.ref().String()) })
}

// runKey identifies a run.
type runKey struct {
	task job.Ref
	run  int
}

// free returns the capacity that no run occupies. Runs that the pool does not expect occupy theirs until
// they are listed as ended.
func (w *worker) free() job.Resources {
	if len(w.unexpected) == 0 {
		return w.Capacity.Sub(w.used)
	}
	return w.freeBesideUnexpected()
}

// freeBesideUnexpected returns the capacity that neither tasks nor unexpected runs occupy.
func (w *worker) freeBesideUnexpected() job.Resources {
	free := w.Capacity.Sub(w.used)
	for _, needs := range w.unexpected {
		free = free.Sub(needs)
	}
	return free
}

// isOverCapacity reports whether the worker's runs occupy more than its capacity, which may shrink
// while they run.
func (w *worker) isOverCapacity() bool { return !(job.Resources{}).Fits(w.free()) }

// reserve records that the task occupies the worker.
func (w *worker) reserve(t *task) {
	w.tasks[t] = true
	if t.record().suspicion != unsuspected {
		t.placedSuspect = true
		w.suspects++
	}
	w.used = w.used.Add(t.needs())
	w.index.update(w)
	t.worker = w
}

// release frees the capacity that the task occupies on the worker, if any.
func (w *worker) release(t *task) {
	if !w.tasks[t] {
		return
	}
	delete(w.tasks, t)
	if t.placedSuspect {
		t.placedSuspect = false
		w.suspects--
	}
	w.used = w.used.Sub(t.needs())
	w.index.update(w)
	t.worker = nil
}

// hasLabel reports whether the worker has a label. Each worker has the empty label.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}
