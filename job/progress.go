package job

import (
	"maps"
	"slices"

	"citronknot/clock"
)

// State is the state of a job as callers see it.
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

// Position identifies a task within its job.
type Position struct {
	Occurrence int
	Step       int
	Index      int
}

// Progress is the durable progress of a job. It contains each ended run that has been acknowledged
// to a worker, which the worker may then forget: a task must never start again once its successful
// run was acknowledged, and each acknowledged failure counts against the attempts. It also
// contains the crashes of workers that count against tasks. A gang counts as a whole, at the position
// of its first task, in all fields but Done and Trials: each member's trial names its worker. The zero value is the progress of a new job.
type Progress struct {
	State    State
	Cause    string             // why a final state was reached
	Finished clock.Millis       // wall time at which a final state was reached
	Done     map[Position]bool  // tasks of occurrences that are not in Complete
	Complete []OccurrenceRange  // occurrences of which all tasks are done, in order
	Failures map[Position][]int // numbers of the runs that failed
	Crashes  map[Position][]Crash
	Trials   map[Position]Trial
}

// OccurrenceRange is a range of occurrences of a timed job.
type OccurrenceRange struct {
	First, Last int
}

// CompleteOccurrence records that all tasks of an occurrence are done, in place of what is recorded of
// each of them.
func (p *Progress) CompleteOccurrence(occurrence int) {
	of := func(at Position) bool { return at.Occurrence == occurrence }
	maps.DeleteFunc(p.Done, func(at Position, _ bool) bool { return of(at) })
	maps.DeleteFunc(p.Failures, func(at Position, _ []int) bool { return of(at) })
	maps.DeleteFunc(p.Crashes, func(at Position, _ []Crash) bool { return of(at) })
	maps.DeleteFunc(p.Trials, func(at Position, _ Trial) bool { return of(at) })
	i, found := p.findOccurrence(occurrence)
	if found {
		return
	}
	p.Complete = slices.Insert(p.Complete, i, OccurrenceRange{First: occurrence, Last: occurrence})
	if i+1 < len(p.Complete) && p.Complete[i+1].First == occurrence+1 {
		p.Complete[i].Last = p.Complete[i+1].Last
		p.Complete = slices.Delete(p.Complete, i+1, i+2)
	}
	if i > 0 && p.Complete[i-1].Last == occurrence-1 {
		p.Complete[i-1].Last = p.Complete[i].Last
		p.Complete = slices.Delete(p.Complete, i, i+1)
	}
}

// appendComplete adds an occurrence that comes after all that are recorded as complete.
func (p *Progress) appendComplete(occurrence int) {
	if n := len(p.Complete); n > 0 && p.Complete[n-1].Last == occurrence-1 {
		p.Complete[n-1].Last = occurrence
		return
	}
	p.Complete = append(p.Complete, OccurrenceRange{First: occurrence, Last: occurrence})
}

// IsComplete reports whether all tasks of an occurrence are done.
func (p *Progress) IsComplete(occurrence int) bool {
	_, found := p.findOccurrence(occurrence)
	return found
}

// findOccurrence returns the index of the range that contains an occurrence, or at which it is to be
// inserted.
func (p *Progress) findOccurrence(occurrence int) (i int, found bool) {
	return slices.BinarySearchFunc(p.Complete, occurrence, func(r OccurrenceRange, n int) int {
		switch {
		case r.Last < n:
			return -1
		case r.First > n:
			return 1
		}
		return 0
	})
}

// CompleteCount returns the number of complete occurrences.
func (p *Progress) CompleteCount() int {
	n := 0
	for _, r := range p.Complete {
		n += r.Last - r.First + 1
	}
	return n
}

// MarkDone records that a task is done.
func (p *Progress) MarkDone(at Position) {
	if p.Done == nil {
		p.Done = map[Position]bool{}
	}
	p.Done[at] = true
}

// AddFailure records that a run of a task failed and returns the number of the task's failed runs.
// A run counts once however often it is recorded: a worker lists an ended run until it may forget
// the run, and a later owner may receive the list after a former owner has recorded the run.
func (p *Progress) AddFailure(at Position, run int) int {
	if p.Failures == nil {
		p.Failures = map[Position][]int{}
	}
	if !slices.Contains(p.Failures[at], run) {
		p.Failures[at] = append(p.Failures[at], run)
	}
	return len(p.Failures[at])
}

// Clone returns a deep copy of p.
func (p *Progress) Clone() Progress {
	c := Progress{
		State: p.State, Cause: p.Cause, Finished: p.Finished, Done: maps.Clone(p.Done), Complete: slices.Clone(p.Complete), Failures: maps.Clone(p.Failures),
		Crashes: maps.Clone(p.Crashes), Trials: maps.Clone(p.Trials),
	}
	for at, runs := range c.Failures {
		c.Failures[at] = slices.Clone(runs)
	}
	for at, crashes := range c.Crashes {
		c.Crashes[at] = slices.Clone(crashes)
	}
	return c
}
