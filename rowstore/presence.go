package rowstore

import (
	"maps"
	"sync"
	"sync/atomic"

	"citronknot/fleet"
)

// Presence remembers what the platform's list has shown of the instances. The list lags, so an
// instance that was never listed counts as present. The zero value is ready to use.
type Presence struct {
	changes atomic.Uint64

	mu    sync.RWMutex
	state map[fleet.InstanceID]InstanceState
}

// stateGone marks an instance that was listed once and is not any more.
const stateGone InstanceState = "gone"

// Observe takes in a list.
func (p *Presence) Observe(list []Listed) {
	next := make(map[fleet.InstanceID]InstanceState, len(list))
	for _, in := range list {
		next[in.ID] = in.State
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.state {
		if _, ok := next[id]; !ok {
			next[id] = stateGone
		}
	}
	if !maps.Equal(p.state, next) {
		p.state = next
		p.changes.Add(1)
	}
}

// Changes counts the lists that differed from the one before.
func (p *Presence) Changes() uint64 { return p.changes.Load() }

// Leaving reports whether an instance is about to stop, or is gone.
func (p *Presence) Leaving(id fleet.InstanceID) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	s := p.state[id]
	return s == StateLeaving || s == stateGone
}

// Gone reports whether a member's instance was listed once and is not any more. A member has
// the id of its instance.
func (p *Presence) Gone(id fleet.MemberID) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.state[fleet.InstanceID(id)] == stateGone
}
