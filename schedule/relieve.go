package schedule

import (
	"cmp"
	"fmt"
	"slices"

	"citronknot/clock"
	"citronknot/job"
)

// Times that decide which runs are stopped on a worker that is over its capacity.
const (
	// relieveGrace is how long a worker is over its capacity before runs are stopped there, because a
	// capacity may fluctuate.
	relieveGrace clock.Millis = 300
	// endsSoon is how long a run may still be expected to take when it is left to end. A stop and a
	// start elsewhere take as long.
	endsSoon clock.Millis = 500
	// moveTime is how long a stop and a start elsewhere take, during which the task does not run.
	moveTime clock.Millis = 300
	// moveRest is how long a run stays after its task was moved, by relief, out of an evacuated zone or
	// from a worker that had to become empty.
	moveRest clock.Millis = 5000
)

// noteCapacity records when a worker begins to be over its capacity.
func (p *Pool) noteCapacity(w *worker, now clock.Millis) {
	if _, noted := p.overCapacity[w]; noted || !w.isOverCapacity() {
		return
	}
	p.overCapacity[w] = now
	p.emit(Event{Kind: "worker_over_capacity", Worker: w.ID, Detail: w.describeUse()})
}

// describeUse returns what the worker's tasks occupy and its capacity, for log lines.
func (w *worker) describeUse() string {
	used := w.Capacity.Sub(w.free())
	return fmt.Sprintf("uses %d millicores, %d MB and %d GPUs of %d, %d and %d", used.CPU, used.Memory, used.GPU, w.Capacity.CPU, w.Capacity.Memory, w.Capacity.GPU)
}

// workersOverCapacity returns the workers that are over their capacity, by id, and forgets the others.
func (p *Pool) workersOverCapacity() []*worker {
	if len(p.overCapacity) == 0 {
		return nil
	}
	var out []*worker
	for w := range p.overCapacity {
		if p.workers[w.ID] != w || !w.isOverCapacity() {
			delete(p.overCapacity, w)
			continue
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// withdrawExcessStarts stops the runs whose starts were ordered when their worker had more capacity and
// have no answer yet, the newest first, until the others fit. Nothing is lost with them, so they are not
// given the grace period. The start of a gang is withdrawn as a whole.
func (p *Pool) withdrawExcessStarts(now clock.Millis) {
	for _, w := range p.workersOverCapacity() {
		starts := slices.DeleteFunc(w.sortedTasks(), func(t *task) bool { return t.state != starting })
		slices.SortStableFunc(starts, func(a, b *task) int { return cmp.Compare(b.orderedAt, a.orderedAt) })
		for _, t := range starts {
			excess := w.excess(now)
			if t.state != starting || !relieves(t.needs(), excess) {
				continue
			}
			if !p.mayStop(t, StopExcessStart, now) {
				continue
			}
			p.emit(Event{Kind: "start_withdrawn", Task: t.ref(), Run: t.run, Worker: w.ID, Detail: w.describeUse()})
			if t.step.spec.Gang {
				p.stopGang(t.step, now)
			} else {
				p.stop(t, StopExcessStart, now)
			}
		}
	}
}

// excess returns by how much the runs that stay on the worker exceed its capacity: all but those that
// are being stopped, were not ordered yet, or are expected to end soon. It is positive only in the
// dimensions that are exceeded.
func (w *worker) excess(now clock.Millis) job.Resources {
	var stay job.Resources
	for t := range w.tasks {
		if t.state != stopping && t.state != recording && !t.isEndingSoon(now) {
			stay = stay.Add(t.needs())
		}
	}
	return stay.Sub(w.Capacity).Max(job.Resources{})
}

// relieves reports whether the end of a run reduces the excess of its worker.
func relieves(needs, excess job.Resources) bool {
	return (needs.CPU > 0 && excess.CPU > 0) || (needs.Memory > 0 && excess.Memory > 0) || (needs.GPU > 0 && excess.GPU > 0)
}

// isEndingSoon reports whether a run is expected to end within endsSoon. The estimate says nothing of a
// run that has already gone on for longer.
func (t *task) isEndingSoon(now clock.Millis) bool {
	left := t.expectedLeft(now)
	return t.state == running && !t.step.spec.LongRunning && left <= endsSoon && left >= -endsSoon
}

// expectedLeft returns the estimate of the run's time less the time that it has gone on. Of an adopted
// run, only the time since its adoption is known.
func (t *task) expectedLeft(now clock.Millis) clock.Millis {
	return t.step.spec.Estimate - (now - t.stateSince)
}

// relieve stops at most one run on each worker that has been over its capacity for relieveGrace.
func (p *Pool) relieve(now clock.Millis) {
	over := p.workersOverCapacity()
	if len(over) == 0 {
		return
	}
	room := p.roomForMoves(now)
	var full noCapacity
	for _, w := range over {
		if now-p.overCapacity[w] < relieveGrace || !w.reachable || w.isBeingEmptied() {
			continue // the tasks of workers that are being emptied move for that reason
		}
		t := p.chooseRelief(w, room, &full, now)
		if t == nil {
			continue
		}
		room = room.Sub(t.needs())
		p.emit(Event{
			Kind: "run_relieved", Task: t.ref(), Run: t.run, Worker: w.ID,
			Detail: fmt.Sprintf("%s for %d ms; the run has gone on for %d ms of %d, loses %d ms, and has a checkpoint: %t",
				w.describeUse(), now-p.overCapacity[w], now-t.stateSince, t.step.spec.Estimate, t.lostWork(now), t.canResume()),
		})
		p.stop(t, StopOverCapacity, now)
	}
}

// roomForMoves returns the capacity that no task occupies, less the needs of the runs that are being
// moved already.
func (p *Pool) roomForMoves(now clock.Millis) job.Resources {
	var sum job.Resources
	for _, w := range p.sortedWorkers {
		if w.acceptsStarts(now) && !w.isOverCapacity() {
			sum = sum.Add(w.free())
		}
	}
	for t := range p.stoppingTasks {
		if t.stopReason == StopOverCapacity {
			sum = sum.Sub(t.needs())
		}
	}
	return sum
}

// chooseRelief returns the run to stop first on a worker that is over its capacity, or nil if none is to
// be stopped: runs with a checkpoint, the one that loses least first; then the youngest of the runs without one,
// if a stop can pay; then long-running tasks. Each needs room on another worker. full records what found
// none in this pass.
func (p *Pool) chooseRelief(w *worker, room job.Resources, full *noCapacity, now clock.Millis) *task {
	excess := w.excess(now)
	if excess == (job.Resources{}) {
		return nil
	}
	candidates := slices.DeleteFunc(w.sortedTasks(), func(t *task) bool {
		return !relieves(t.needs(), excess) || !t.mayBeRelieved(now)
	})
	slices.SortStableFunc(candidates, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.reliefClass(), b.reliefClass()), cmp.Compare(a.lostWork(now), b.lostWork(now)))
	})
	for _, t := range candidates {
		needs := t.needs()
		if !needs.Fits(room) || full.covers(needs) {
			continue
		}
		if p.chooseWorker(t, now) != nil {
			return t
		}
		full.record(&rankedStep{needs: needs, step: t.step})
	}
	return nil
}

// mayBeRelieved reports whether the run of a task may be stopped because its worker is over its
// capacity. The runs of gangs would end with it, those of suspected tasks would have to be repeated with care, and
// those that were just moved would never get anywhere.
func (t *task) mayBeRelieved(now clock.Millis) bool {
	spec := t.step.spec
	switch {
	case t.state != running || spec.Gang || t.record().suspicion != unsuspected || t.isEndingSoon(now) || t.wasJustMoved(now):
		return false
	case spec.LongRunning:
		return t.step.mayLose(t, now)
	case t.canResume():
		return true
	}
	return t.stopPays(now)
}

// wasJustMoved reports whether the task was moved to its worker a short time ago.
func (t *task) wasJustMoved(now clock.Millis) bool {
	return (t.stopReason == StopEmpty || t.stopReason == StopEvacuated || t.stopReason == StopOverCapacity) && now-t.stateSince < moveRest
}

// lostWork returns how long the run has worked since its last checkpoint or, without one, since it
// started.
func (t *task) lostWork(now clock.Millis) clock.Millis {
	if t.canResume() {
		return now - max(t.checkpointAt, t.stateSince)
	}
	return now - t.stateSince
}

// stopPays reports whether the stop of a run without a checkpoint can pay. Whether a worker over its
// capacity is slow is not known. At worst, all its runs take longer in proportion to the excess. A stop can pay
// if that would make the job late, and the job is still in time if the run begins again elsewhere.
func (t *task) stopPays(now clock.Millis) bool {
	left := t.expectedLeft(now)
	if left <= 0 || t.orderedAt == 0 {
		return false // how long an adopted run has gone on is not known
	}
	slack := t.step.slack(now)
	if t.lostWork(now)+moveTime > slack {
		return false
	}
	w := t.worker
	delays := func(used, capacity int64) bool {
		return used > capacity && int64(slack)*capacity < (used-capacity)*int64(left)
	}
	return delays(w.used.CPU, w.Capacity.CPU) || delays(w.used.Memory, w.Capacity.Memory) || delays(w.used.GPU, w.Capacity.GPU)
}

// slack returns how much longer than estimated the step's occurrence may take to be in time. It is 0
// for timed jobs, whose objective does not fit later occurrences.
func (s *stepRun) slack(now clock.Millis) clock.Millis {
	if s.job.Runs > 0 {
		return 0
	}
	_, lateAfter := s.latestStarts(now)
	return lateAfter - now
}

// Classes of runs in the order in which they are stopped for relief.
const (
	reliefResumes int8 = iota
	reliefRestarts
	reliefLongRunning
)

// reliefClass returns the class of the run.
func (t *task) reliefClass() int8 {
	switch {
	case t.step.spec.LongRunning:
		return reliefLongRunning
	case t.canResume():
		return reliefResumes
	}
	return reliefRestarts
}
