package job

import (
	"maps"

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
	Failures map[Position]int
}

// MarkDone notes that a task is done.
func (p *Progress) MarkDone(at Position) {
	if p.Done == nil {
		p.Done = map[Position]bool{}
	}
	p.Done[at] = true
}

// AddFailure counts one more failure of a task and returns their number.
func (p *Progress) AddFailure(at Position) int {
	if p.Failures == nil {
		p.Failures = map[Position]int{}
	}
	p.Failures[at]++
	return p.Failures[at]
}

// Clone returns a deep copy.
func (p *Progress) Clone() Progress {
	return Progress{State: p.State, Finished: p.Finished, Done: maps.Clone(p.Done), Failures: maps.Clone(p.Failures)}
}
