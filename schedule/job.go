package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/job"
	"citronknot/schedule/runtimes"
)

// Job is the scheduling state of a job in the pool.
type Job struct {
	*job.Job
	policy         job.Policy
	progress       job.Progress
	state          job.State // as decided; may not be durable yet
	durableState   job.State // the last decided state that is durable
	occurrences    []*occurrence
	nextOccurrence int // index of the next occurrence to create
	started        bool
	recovered      bool
	acceptedAt     clock.Millis
	objective      clock.Millis    // latest end at which the job still has its full value, on the owner's clock
	criticalPath   clock.Millis    // sum of the estimates on the longest path through the steps
	workLeft       job.Resources   // what the pool's backlog contains of the job
	group          backlogGroup    // where
	groupStart     clock.Millis    // latest start under which it does
	failuresOn     map[*worker]int // failures that counted against a worker
	dirty          bool
	trial          *trial          // of its suspected tasks; nil if there is none
	trialDue       bool            // one of its tasks is to start alone
	share          *shareTeam      // nil if the configuration has no weights
	beyondRate     bool            // submitted beyond the rate of its team
	runTimes       *runtimes.Table // of the pool
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	index          int
	steps          []*stepRun
	remainingSteps int // steps that are not done
	// held is set while no task may start because the occurrence may not be due yet. It was created
	// because a worker had run some of its tasks.
	held bool
}

// occurrence returns the occurrence with an index, or nil if it is not created or was removed.
func (j *Job) occurrence(index int) *occurrence {
	for _, o := range j.occurrences {
		if o.index == index {
			return o
		}
	}
	return nil
}

// countUnfinished returns the number of steps that are not done, of those with the given indexes. A step counts
// once, however often it is named.
func (o *occurrence) countUnfinished(indexes []int) int {
	n := 0
	for i, index := range indexes {
		if !o.steps[index].finished() && !slices.Contains(indexes[:i], index) {
			n++
		}
	}
	return n
}

// State returns the job's durable state, which is the one that callers see.
func (j *Job) State() job.State { return j.durableState }

// Cause returns why the job has its final state, if that is durable, or an empty string.
func (j *Job) Cause() string {
	if !j.durableState.Final() {
		return ""
	}
	return j.progress.Cause
}

// isPending reports whether no task of the job has started and one may still start.
func (j *Job) isPending() bool { return !j.started && !j.state.Final() }

// attempts returns the number of failures of one task after which the job fails.
func (j *Job) attempts() int { return max(1, j.policy.Attempts) }

// maxTimedTasks is the number of tasks of a timed job that exist at once, unless a single occurrence
// has more.
const maxTimedTasks = job.MaxTasks

// mayCreateOccurrence reports whether another occurrence of a timed job may exist beside those that
// are not complete.
func (j *Job) mayCreateOccurrence() bool {
	return len(j.occurrences) == 0 || (len(j.occurrences)+1)*j.Tasks() <= maxTimedTasks
}

// countNotBegun returns the number of the job's tasks that end by themselves and have not begun, or have to
// begin again.
func (j *Job) countNotBegun() int {
	n := 0
	if j.state.Final() {
		return 0
	}
	j.eachTask(func(t *task) {
		if t.state != done && t.worker == nil && !t.step.spec.LongRunning && !t.step.spec.BestEffort {
			n++
		}
	})
	return n
}

// removeCompleteOccurrences removes the occurrences that are complete and occupy no worker. What is
// durable of them is in the job's progress.
func (j *Job) removeCompleteOccurrences() {
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool { return o.remainingSteps == 0 && !o.isPlaced() })
}

// isPlaced reports whether a task of the occurrence occupies a worker.
func (o *occurrence) isPlaced() bool {
	return slices.ContainsFunc(o.steps, func(s *stepRun) bool {
		return slices.ContainsFunc(s.tasks, func(t task) bool { return t.worker != nil })
	})
}

// eachStep calls visit for each step of the occurrences that were created.
func (j *Job) eachStep(visit func(*stepRun)) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			visit(s)
		}
	}
}

// eachTask calls visit for each task of the occurrences that were created.
func (j *Job) eachTask(visit func(*task)) {
	j.eachStep(func(s *stepRun) {
		for i := range s.tasks {
			visit(&s.tasks[i])
		}
	})
}

// remainingCriticalPath returns the sum of the remaining run times, as of now, on the longest path
// through the steps of the occurrence that are not done. It sums up the expected run times, or the
// submitted estimates. learned reports whether these differ.
func (o *occurrence) remainingCriticalPath(now clock.Millis, submitted bool) (longest clock.Millis, learned bool) {
	var ends [job.MaxSteps]clock.Millis
	for i, s := range o.steps {
		if s.finished() {
			continue
		}
		var from clock.Millis
		for _, a := range s.spec.After {
			from = max(from, ends[a])
		}
		left := s.spec.Estimate
		if now >= s.expected.until {
			s.updateExpected(now)
		}
		if s.expected.learned {
			learned = true
			if !submitted {
				left = s.expected.time
			}
		}
		if s.waitingTasks == 0 && s.blockedBy == 0 {
			left = max(0, left-s.elapsed(now))
		}
		ends[i] = from + left
		longest = max(longest, ends[i])
	}
	return longest, learned
}

// elapsed returns how long the most recently started running task of the step has run, or 0 if
// none runs.
func (s *stepRun) elapsed(now clock.Millis) clock.Millis {
	shortest := clock.Millis(-1)
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == running && (shortest < 0 || now-t.stateSince < shortest) {
			shortest = now - t.stateSince
		}
	}
	return max(0, shortest)
}
