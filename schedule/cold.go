package schedule

import (
	"citronknot/clock"
	"citronknot/job"
)

// MaxCold is the longest time for which a worker counts as cold. A registration with a wrong value can't
// keep work from a worker for longer.
const MaxCold clock.Millis = 60_000

// coldFloorPercent is the part of its capacity that a worker accepts at the beginning of its cold time.
// It is small enough that a zone that returns does not take most of the waiting tasks at once, and large
// enough that a pool whose workers are all cold goes on.
const coldFloorPercent = 25

// coldTime is the time in which a worker is slow after its start, on the owner's clock.
type coldTime struct {
	since, until clock.Millis
}

// isCold reports whether the worker is still slow.
func (c coldTime) isCold(now clock.Millis) bool { return now < c.until }

// update returns the cold time after a registration with the time left. before is the time left in
// the previous registration. A registration that is read again has the same value, and one that a worker
// writes during its cold time has a lower one, so neither extends it. A higher value means that the
// worker has become cold again; during the cold time it is ignored.
func (c coldTime) update(left, before, now clock.Millis) coldTime {
	left = min(left, MaxCold)
	if !c.isCold(now) && left > before {
		return coldTime{since: now, until: now + left}
	}
	c.until = min(c.until, now+left)
	return c
}

// coldRoom returns the part of its capacity that a worker accepts for short tasks. It grows linearly
// from coldFloorPercent to all of it during the cold time.
func coldRoom(capacity job.Resources, c coldTime, now clock.Millis) job.Resources {
	total := int64(c.until - c.since)
	if total <= 0 || !c.isCold(now) {
		return capacity
	}
	elapsed := int64(max(0, now-c.since))
	part := func(n int64) int64 {
		return n * (coldFloorPercent*total + (100-coldFloorPercent)*elapsed) / (100 * total)
	}
	return job.Resources{CPU: part(capacity.CPU), Memory: part(capacity.Memory), GPU: part(capacity.GPU)}
}

// coldCost returns the cost of a worker's being cold for a task, which long-running tasks do not have:
// they outlast the cold time.
func coldCost(c coldTime, longRunning bool, now clock.Millis) int64 {
	if longRunning || !c.isCold(now) {
		return 0
	}
	return costCold
}

// acceptsCold reports whether a cold worker may take another task: a long-running one; one that fits in
// what the worker accepts so far; or one of any size, or the tasks of one gang, if it runs no other
// short task. Otherwise wide tasks that fit nowhere else would wait for the end of the cold time.
func (w *worker) acceptsCold(t *task, now clock.Millis) bool {
	if t.step.spec.LongRunning || w.used.Add(t.needs()).Fits(coldRoom(w.Capacity, w.cold, now)) {
		return true
	}
	for o := range w.tasks {
		if !o.step.spec.LongRunning && (!t.step.spec.Gang || o.step != t.step) {
			return false
		}
	}
	return true
}
