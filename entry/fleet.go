package entry

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"citronknot/fleet"
	"citronknot/platform"
)

// instanceList holds what the platform's list said last. Instances that it shows as leaving,
// or that it showed once and shows no more, get no new requests.
type instanceList struct {
	version atomic.Uint64 // counts the lists that differed from the one before

	mu    sync.RWMutex
	state map[fleet.InstanceID]platform.InstanceState
}

const listEvery = time.Second

func (l *instanceList) run(ctx context.Context, c *platform.Client, log *slog.Logger) {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	for {
		if list, err := c.Instances(ctx); err == nil {
			l.set(list)
		} else if ctx.Err() == nil {
			log.Warn("entry: instance list not read", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *instanceList) set(list []platform.Listed) {
	next := make(map[fleet.InstanceID]platform.InstanceState, len(list))
	for _, in := range list {
		next[in.ID] = in.State
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.state {
		if _, ok := next[id]; !ok {
			next[id] = platform.StateLeaving
		}
	}
	if !maps.Equal(l.state, next) {
		l.state = next
		l.version.Add(1)
	}
}

// leaving reports whether the list shows an instance as leaving. An instance that was never
// listed is taken for live, because the list lags.
func (l *instanceList) leaving(id fleet.InstanceID) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state[id] == platform.StateLeaving
}

// slots returns the part of a pool's slots that this process may fill.
func (p *Process) slots(pool fleet.PoolID) fleet.Slots {
	var n fleet.Slots
	if s := p.serving.of(pool); s != nil {
		for _, in := range s.Targets {
			n += in.Slots
		}
	}
	return max(1, n/fleet.Slots(p.settings.Members))
}

func (p *Process) portion(t fleet.TeamID) fleet.Slots {
	return p.current.Load().Teams[t].Limit / fleet.Slots(p.settings.Members)
}

// teamCounts counts the running requests of each team against this process's portion.
type teamCounts struct {
	portion func(fleet.TeamID) fleet.Slots

	mu      sync.Mutex
	running map[fleet.TeamID]fleet.Slots
}

func (c *teamCounts) tryStart(t fleet.TeamID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t != "" && c.running[t] >= c.portion(t) {
		return false
	}
	if c.running == nil {
		c.running = map[fleet.TeamID]fleet.Slots{}
	}
	c.running[t]++
	return true
}

func (c *teamCounts) finish(t fleet.TeamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[t]--
}
