package schedule

import (
	"citronknot/clock"
	"citronknot/job"
)

// Terms are what a queue promises its jobs.
type Terms struct {
	Priority int          // 0 comes first
	Attempts int          // failures of a task until the job fails; 0 means 1
	Stretch  float64      // part of the objective that grows with the chain
	Slack    clock.Millis // part of the objective that does not
	Advised  bool         // only workers that the adviser names may run a step
}

// Job is a job in the pool.
type Job struct {
	*job.Job
	terms     Terms
	progress  job.Progress
	state     job.State // decided
	shown     job.State // decided and durable
	runs      []*occurrence
	next      int // occurrence to create next
	complete  int // occurrences that are complete
	begun     bool
	recovered bool
	arrived   clock.Millis
	objective clock.Millis // latest end that still counts in full, on the owner's clock
	chain     clock.Millis
	dirty     bool
	cause     string // of a final state
}

// occurrence is one run of all steps.
type occurrence struct {
	index int
	steps []*stepRun
	left  int // steps that are not done
}

// State returns what callers are told, which is durable.
func (j *Job) State() job.State { return j.shown }

func (j *Job) attempts() int { return max(1, j.terms.Attempts) }

// eachStep calls f with each step of the occurrences that have begun.
func (j *Job) eachStep(f func(*stepRun)) {
	for _, o := range j.runs {
		for _, s := range o.steps {
			f(s)
		}
	}
}

func (j *Job) eachTask(f func(*task)) {
	j.eachStep(func(s *stepRun) {
		for i := range s.tasks {
			f(&s.tasks[i])
		}
	})
}

// remaining returns the longest chain of estimates through the steps of an occurrence that are
// not done, as of now.
func (o *occurrence) remaining(now clock.Millis) clock.Millis {
	var ends [job.MaxSteps]clock.Millis
	var longest clock.Millis
	for i, s := range o.steps {
		if s.finished() {
			continue
		}
		var from clock.Millis
		for _, a := range s.spec.After {
			from = max(from, ends[a])
		}
		left := s.spec.Estimate
		if s.waiting == 0 && s.blockedBy == 0 {
			left = max(0, left-s.elapsed(now))
		}
		ends[i] = from + left
		longest = max(longest, ends[i])
	}
	return longest
}

// elapsed returns how long the youngest running task of the step has run.
func (s *stepRun) elapsed(now clock.Millis) clock.Millis {
	least := clock.Millis(-1)
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == running && (least < 0 || now-t.since < least) {
			least = now - t.since
		}
	}
	return max(0, least)
}
