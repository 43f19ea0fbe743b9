package target

import (
	"slices"
	"strings"

	"citronknot/clock"
	"citronknot/fleet"
)

// Result is what became of an attempt.
type Result string

// The results. A response counts as answered whatever its status.
const (
	Answered   Result = "answered"   // a complete response was passed on
	Refused    Result = "refused"    // the target's guard refused the request
	Mismatched Result = "mismatched" // the response was for another request, or had no recognizable end
	Broken     Result = "broken"     // the connection failed, or the response ended early
	Silent     Result = "silent"     // nothing was received for the silence timeout
	Cancelled  Result = "cancelled"  // the caller left, or the deadline passed
)

// Observation reports one attempt.
type Observation struct {
	Pool    fleet.PoolID
	Target  fleet.InstanceID
	Attempt int // 0 is the first
	Result  Result
	Status  int // of the response; 0 if there was none
	Took    clock.Millis
}

// State is the state of one target at this member.
type State struct {
	ID           fleet.InstanceID
	InFlight     int
	Peers        int // requests of the other members, by their last summaries
	Idle         int // idle connections
	Generation   uint64
	Failures     int     // in a row
	FailureRate  float64 // part of the recent requests
	Ejections    int
	EjectedUntil clock.Millis // 0 if not ejected
}

// State returns the state of the targets, ordered by id.
func (d *Dispatcher) State() []State {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]State, 0, len(d.targets))
	for _, s := range d.targets {
		out = append(out, s.export(now))
	}
	slices.SortFunc(out, func(a, b State) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

func (s *state) export(now clock.Millis) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := State{
		ID: s.id, InFlight: s.inFlight, Peers: int(s.peers.Load()), Idle: len(s.idle), Generation: s.generation,
		Failures: s.health.inARow, FailureRate: s.health.Rate(), Ejections: s.health.ejections,
	}
	if s.health.Ejected(now) {
		t.EjectedUntil = s.health.ejectedUntil
	}
	return t
}

// InFlight returns the number of requests that this member has in flight on each target.
func (d *Dispatcher) InFlight() map[fleet.InstanceID]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[fleet.InstanceID]int, len(d.targets))
	for id, s := range d.targets {
		s.mu.Lock()
		out[id] = s.inFlight
		s.mu.Unlock()
	}
	return out
}
