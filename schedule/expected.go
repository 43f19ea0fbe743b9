package schedule

import (
	"citronknot/clock"
	"citronknot/schedule/runtimes"
)

const (
	// learnedInterval is how long a step's expected run time is used before it is computed again.
	// A lookup for each step of a long backlog in each ranking would take too much CPU time.
	learnedInterval clock.Millis = 2000
	// learnedMargin is the part of the estimate, as a divisor, by which the learned run time has to
	// differ from it to be used. Medians of small samples vary by that much, so that without it, users
	// with correct estimates would have their jobs ranked by chance.
	learnedMargin = 5
)

// expectedRun is the expected run time of a step's tasks.
type expectedRun struct {
	time    clock.Millis
	learned bool         // not the submitted estimate
	until   clock.Millis // when it is computed again
}

// runTimeKey returns the key under which the run times of the step's tasks are learned.
func (s *stepRun) runTimeKey() runtimes.Key {
	return runtimes.Key{Queue: s.job.Queue, Image: s.spec.Image, Estimate: s.spec.Estimate}
}

// expectedRunTime returns the expected run time of one of the step's tasks near its data: the learned
// median, or the submitted estimate if too few runs were observed or they have confirmed it.
func (s *stepRun) expectedRunTime(now clock.Millis) expectedRun {
	if now >= s.expected.until {
		s.updateExpected(now)
	}
	return s.expected
}

// updateExpected computes the expected run time of the step's tasks.
func (s *stepRun) updateExpected(now clock.Millis) {
	s.expected = expectedRun{time: s.spec.Estimate, until: now + learnedInterval}
	if s.spec.LongRunning || s.job.runTimes.Len() == 0 {
		return
	}
	estimate := s.spec.Estimate
	if median, ok := s.job.runTimes.Quantile(s.runTimeKey(), 0.5); ok && max(median-estimate, estimate-median) > estimate/learnedMargin {
		s.expected.time, s.expected.learned = median, true
	}
}

// observeRunTime learns from a run that has ended successfully. Runs of which the whole length is not
// known, or that were slowed down by the pool, are left out.
func (p *Pool) observeRunTime(t *task, now clock.Millis) {
	s := t.step
	wholeRun := t.state == running && t.orderedAt != 0 && !t.resumed
	if !wholeRun || s.spec.LongRunning || s.spec.BestEffort || (s.spread && !t.far) {
		return
	}
	ran := now - t.stateSince
	if t.far {
		ran = clock.Millis(float64(ran) / p.farFactor())
	}
	p.runTimes.Observe(s.runTimeKey(), ran)
}

// farFactor returns how many times as long a far run takes; 1 if that is unknown.
func (p *Pool) farFactor() float64 { return max(1, p.FarFactor) }

// remainingTime returns how much longer a task is expected to occupy its worker. A run that has passed
// its expected end is expected to go on as long as the runs like it that took as long, or, if there
// are none, for as long as it is overdue.
func (p *Pool) remainingTime(t *task, now clock.Millis) clock.Millis {
	s := t.step
	factor := 1.0
	if t.far || s.isFarFromData(t.worker) { // far is set only when this owner starts a run
		factor = p.farFactor()
	}
	expected := clock.Millis(factor * float64(s.expectedRunTime(now).time))
	switch t.state {
	case running:
	case stopping:
		return max(0, p.StopTime-(now-t.stateSince))
	default:
		return expected
	}
	elapsed := now - t.stateSince
	if elapsed < expected {
		return expected - elapsed
	}
	if left, ok := s.job.runTimes.Remaining(s.runTimeKey(), clock.Millis(float64(elapsed)/factor)); ok {
		return clock.Millis(factor * float64(left))
	}
	return elapsed - expected
}
