package schedule

import (
	"citronknot/clock"
)

// rank orders steps when capacity does not suffice for all of them.
type rank struct {
	class       int8
	tight       bool // of a job that has not started: little of its slack is left
	keepsPlace  bool // the share of the step's team has no effect on its place
	priority    int
	latestStart clock.Millis // latest start that still meets the objective
}

// The classes of steps, in the order in which they are served. Long-running tasks come first:
// they are few, run for long, and each second in which they do not run counts. Steps that can no
// longer end within their objective come last, since late jobs have a small part of the value of
// the others.
const (
	classLongRunning int8 = iota
	classStarted
	classFeasible
	classLate
)

// rank returns the step's rank at now.
func (s *stepRun) rank(now clock.Millis) rank {
	j := s.job
	r := rank{priority: j.policy.Priority}
	if s.spec.LongRunning {
		r.keepsPlace = true
		return r
	}
	o := j.occurrenceOf(s)
	r.keepsPlace = o.remainingSteps == 1 && s.hasBegun(o)
	var lateAfter clock.Millis
	r.latestStart, lateAfter = s.latestStarts(now)
	switch {
	case now > lateAfter+lateMargin:
		r.class = classLate
	case j.started:
		r.class = classStarted
	default:
		r.class = classFeasible
		r.tight = now > r.latestStart-j.reserve()
	}
	return r
}

// hasBegun reports whether a task of the occurrence has started. The step is the only one of it that is
// not done.
func (s *stepRun) hasBegun(o *occurrence) bool {
	return len(o.steps) > 1 || s.waitingTasks < len(s.tasks)
}

// latestStarts returns the latest start of the step that still meets the objective, by the expected run
// times, and the same by the submitted estimates if that is later. A step is late only by both. The
// objective follows the submitted estimates, so that by the learned run times alone, all jobs of a queue
// with low estimates would be late from the start, and neither served nor counted as load.
func (s *stepRun) latestStarts(now clock.Millis) (latestStart, lateAfter clock.Millis) {
	j := s.job
	if j.Runs > 0 { // the objective counts from acceptance, which does not fit later occurrences
		return now, now
	}
	o := j.occurrenceOf(s)
	path, learned := o.remainingCriticalPath(now, false)
	latestStart = j.objective - path
	if !learned {
		return latestStart, latestStart
	}
	path, _ = o.remainingCriticalPath(now, true)
	return latestStart, max(latestStart, j.objective-path)
}

// reservePercent is the part of a job's slack, in percent, that is kept for delays after its first
// start. In an overloaded pool, the steps that are closest to their latest start would be served
// first if none was kept: each of them would start when it is about to be late, and hardly any job
// would meet its objective.
const reservePercent = 40

// reserve returns the part of the job's slack that is kept for delays after its first start.
func (j *Job) reserve() clock.Millis {
	return reserveOf(j.objective-j.acceptedAt, j.criticalPath)
}

// reserveOf returns the reserve of a job with an objective, from its acceptance, and a critical path.
func reserveOf(objective, path clock.Millis) clock.Millis {
	return max(0, objective-path) * reservePercent / 100
}

// lateMargin is the delay after which a step counts as late. Estimates are rough, and a job whose
// step is classed as late too early loses its full value.
const lateMargin clock.Millis = 150

// occurrenceOf returns the occurrence that a step belongs to, or nil.
func (j *Job) occurrenceOf(s *stepRun) *occurrence {
	for _, o := range j.occurrences {
		if o.index == s.occurrence {
			return o
		}
	}
	return nil
}
