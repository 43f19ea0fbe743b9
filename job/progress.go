package job

import (
	"maps"
	"slices"

	"citronknot/clock"
)

// State is what callers are told of a job.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Complete  State = "complete"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in state s never runs again.
func (s State) Final() bool { return s == Complete || s == Failed || s == Cancelled }

// Position names a task within its job.
type Position struct {
	Occurrence int
	Step       int
	Index      int
}

// Progress is the durable part of what is known of a job's tasks. It holds each end that the
// workers are told to forget: a task whose done end was acknowledged must never start again,
// and each acknowledged failure counts against the attempts. The zero value is that of a new job.
type Progress struct {
	State    State
	Finished clock.Millis // wall time at which a final state was reached
	Done     map[Position]bool
	Failures map[Position][]int // numbers of the runs that failed
}

// MarkDone notes that a task is done.
func (p *Progress) MarkDone(at Position) {
	if p.Done == nil {
		p.Done = map[Position]bool{}
	}
	p.Done[at] = true
}

// AddFailure notes that a run of a task failed and returns the number of runs that did. A run
// that is noted already counts once: a worker lists an end until it is told to forget it, and
// the owner that noted it may be gone by then.
func (p *Progress) AddFailure(at Position, run int) int {
	if p.Failures == nil {
		p.Failures = map[Position][]int{}
	}
	if !slices.Contains(p.Failures[at], run) {
		p.Failures[at] = append(p.Failures[at], run)
	}
	return len(p.Failures[at])
}

// Clone returns a deep copy.
func (p *Progress) Clone() Progress {
	c := Progress{State: p.State, Finished: p.Finished, Done: maps.Clone(p.Done), Failures: maps.Clone(p.Failures)}
	for at, runs := range c.Failures {
		c.Failures[at] = slices.Clone(runs)
	}
	return c
}
