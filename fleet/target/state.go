package target

import (
	"slices"
	"strings"

	"citronknot/clock"
	"citronknot/fleet"
)

// Result classifies the outcome of an attempt.
type Result string

// The results of an attempt. A complete response has the result Completed whatever its status.
const (
	Completed    Result = "answered"   // a complete response was copied to the caller
	Refused      Result = "refused"    // the target's guard refused the request
	Mismatched   Result = "mismatched" // the response was for another request, or had no recognizable end
	Broken       Result = "broken"     // the connection failed, or the response ended early
	Unresponsive Result = "silent"     // the inactivity timeout expired, or the deadline passed with an overdue response
	Cancelled    Result = "cancelled"  // the caller closed its connection, or the deadline passed
)

// Observation describes one attempt.
type Observation struct {
	Pool     fleet.PoolID
	Target   fleet.InstanceID
	Attempt  int // 0 is the first
	Result   Result
	Status   int // of the response; 0 if there was none
	Duration clock.Millis
}

// State is the state of one target as recorded by this member.
type State struct {
	ID           fleet.InstanceID
	InFlight     int
	Peers        int          // requests of the other members in flight, by their last summaries
	Idle         int          // idle connections
	Generation   uint64       // how often connections were abandoned as unresponsive
	Failures     int          // since the last success
	FailureRate  float64      // fraction of the recent requests that failed, from 0 to 1
	Ejections    int          // that lengthen the next ejection
	EjectedUntil clock.Millis // 0 if not ejected
}

// State returns the state of all targets, ordered by ID.
func (d *Dispatcher) State() []State {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	states := make([]State, 0, len(d.targets))
	for _, target := range d.targets {
		states = append(states, target.dump(now))
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return states
}

func (s *targetState) dump(now clock.Millis) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	dumped := State{
		ID: s.id, InFlight: s.inFlight, Peers: int(s.peerInFlight.Load()), Idle: len(s.idle), Generation: s.generation,
		Failures: s.health.consecutiveFailures, FailureRate: s.health.FailureRate(), Ejections: s.health.ejections,
	}
	if s.health.Ejected(now) {
		dumped.EjectedUntil = s.health.ejectedUntil
	}
	return dumped
}

// InFlight returns the number of requests that this member has in flight on each target.
func (d *Dispatcher) InFlight() map[fleet.InstanceID]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	inFlight := make(map[fleet.InstanceID]int, len(d.targets))
	for id, target := range d.targets {
		target.mu.Lock()
		inFlight[id] = target.inFlight
		target.mu.Unlock()
	}
	return inFlight
}
