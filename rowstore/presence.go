package rowstore

import (
	"maps"
	"sync"
	"sync/atomic"

	"citronknot/fleet"
)

// Presence records the states of the instances in the platform's list. The list lags, so an
// instance that was never listed counts as present. The zero value is ready to use.
type Presence struct {
	changes atomic.Uint64

	mu     sync.RWMutex
	states map[fleet.InstanceID]InstanceState
}

// stateGone marks an instance that was listed once and is not any more.
const stateGone InstanceState = "gone"

// Observe records a list as it was read.
func (p *Presence) Observe(list []Listed) {
	next := make(map[fleet.InstanceID]InstanceState, len(list))
	for _, in := range list {
		next[in.ID] = in.State
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.states {
		if _, ok := next[id]; !ok {
			next[id] = stateGone
		}
	}
	if !maps.Equal(p.states, next) {
		p.states = next
		p.changes.Add(1)
	}
}

// Changes returns the number of lists that differed from the one before.
func (p *Presence) Changes() uint64 { return p.changes.Load() }

// Leaving reports whether an instance is about to stop, or is gone.
func (p *Presence) Leaving(id fleet.InstanceID) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	s := p.states[id]
	return s == StateLeaving || s == stateGone
}

// Gone reports whether a member's instance was listed once and is not any more. A member has
// the id of its instance.
func (p *Presence) Gone(id fleet.MemberID) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.states[fleet.InstanceID(id)] == stateGone
}
