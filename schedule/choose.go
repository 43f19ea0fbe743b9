package schedule

import (
	"slices"

	"citronknot/clock"
)

// eligible reports whether a worker may take a task, if it has the capacity, and how many of the
// step's tasks run there, if the step is long-running or limits them. It is the only function that
// enforces labels, advice and the limit on tasks of a step on one worker.
func (p *Pool) eligible(t *task, w *worker, now clock.Millis) (siblings int, ok bool) {
	spec := t.step.spec
	if !w.acceptsStarts(now) || !w.hasLabel(spec.Label) {
		return 0, false
	}
	if t.step.job.policy.Advised && !t.step.advice.allows(w, now) {
		return 0, false
	}
	if spec.MaxPerWorker > 0 || spec.LongRunning {
		siblings = t.step.countOn(w)
	}
	return siblings, spec.MaxPerWorker == 0 || siblings < spec.MaxPerWorker
}

// chooseWorker returns the best worker for a task, or nil if none can take it now. Only it and
// [Pool.hasRoom] enforce capacity. It is the only function that holds tasks back from cold workers.
func (p *Pool) chooseWorker(t *task, now clock.Millis) *worker {
	var best *worker
	var bestCost int64
	p.searches++
	needs := t.needs()
	spec := t.step.spec
	packed := !spec.BestEffort && !spec.LongRunning && t.record().suspicion == unsuspected
	candidates := p.sortedWorkers
	if packed {
		candidates = p.byFreeCPU.withFreeCPU(needs.CPU)
	}
	for _, w := range candidates {
		if !needs.Fits(w.free()) {
			continue
		}
		siblings, ok := p.eligible(t, w, now)
		if !ok || (w.cold.isCold(now) && !w.acceptsCold(t, now)) || p.starterBusy(w) || (t.record().suspicion == startApart && !p.mayStartApart(t, w, now)) {
			continue
		}
		cost := p.cost(t, w, siblings, now)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
		if packed && bestCost < costSibling {
			break // the workers that follow have more free CPU, so none is better
		}
	}
	return best
}

// countOn returns the number of tasks of the step that occupy a worker.
func (s *stepRun) countOn(w *worker) int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].worker == w {
			n++
		}
	}
	return n
}

// Costs of a placement. No sum of the lower ones reaches the next higher one.
const (
	costFailedBefore = 1 << 50 // the task, or its gang, failed on the worker before
	costSuspect      = 1 << 48 // a suspected task runs on the worker, or one of another job was just started there
	costCold         = 1 << 47 // a short task on a worker that is still slow after its start
	costOtherRack    = 1 << 45 // on another rack than the data or the rest of the step
	costSibling      = 1 << 38 // a long-running task on the same worker as another of its step
	costInterference = 1 << 32 // a best-effort task on the same worker as a serving task
)

// cost returns the cost of placing a task on a worker; the lowest cost is best. Tasks that end
// on their own are packed on the fullest workers, which leaves others empty for wide tasks,
// moves and maintenance. siblings is the number of the step's tasks on the worker, if the step
// is long-running or limits it.
func (p *Pool) cost(t *task, w *worker, siblings int, now clock.Millis) int64 {
	var c int64
	if t.record().failedOn[w] {
		c += costFailedBefore
	}
	suspected := t.record().suspicion != unsuspected
	switch {
	case !suspected && w.suspects > 0:
		c += costSuspect
	case !suspected || !w.hasStartedApart(now):
	case slices.Contains(w.apartJobs, t.step.job):
		c -= costSuspect // tasks of a job start together
	default:
		c += costSuspect
	}
	spec := t.step.spec
	c += coldCost(w.cold, spec.LongRunning, now)
	if t.step.isFarFromData(w) {
		c += costOtherRack
	}
	if spec.SameRack && (t.step.usesOtherRack(w) || (t.step.rack != "" && t.step.rack != w.Rack)) {
		c += costOtherRack
	}
	free := w.free()
	switch {
	case spec.BestEffort:
		c += int64(w.countServing())*costInterference + int64(w.countBestEffort())*costInterference/4 + int64(len(w.tasks))
	case spec.LongRunning:
		c += int64(siblings)*costSibling + w.used.CPU
	case suspected:
		c += int64(len(w.tasks)-w.suspects)*costInterference + w.used.CPU
	default:
		c += free.CPU
	}
	return c
}

// usesOtherRack reports whether a task of the step occupies a worker on another rack than w.
func (s *stepRun) usesOtherRack(w *worker) bool {
	for i := range s.tasks {
		if o := s.tasks[i].worker; o != nil && o.Rack != w.Rack {
			return true
		}
	}
	return false
}

// isFarFromData reports whether the data of the step's tasks is on another rack than w.
func (s *stepRun) isFarFromData(w *worker) bool {
	return s.spec.DataRack != "" && s.spec.DataRack != w.Rack
}

// wouldBeFar reports whether the task would run on w far from its data or from the rest of its step.
func (t *task) wouldBeFar(w *worker) bool {
	return t.step.isFarFromData(w) || (t.step.spec.SameRack && t.step.usesOtherRack(w))
}

// countServing returns the number of the worker's tasks that have a tail latency target.
func (w *worker) countServing() int {
	n := 0
	for t := range w.tasks {
		if t.step.spec.TailLatencyTarget > 0 {
			n++
		}
	}
	return n
}

// countBestEffort returns the number of the worker's best-effort tasks.
func (w *worker) countBestEffort() int {
	n := 0
	for t := range w.tasks {
		if t.step.spec.BestEffort {
			n++
		}
	}
	return n
}
