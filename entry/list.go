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

// instanceList holds what the platform's list said last.
type instanceList struct {
	version atomic.Uint64 // counts the lists that differed from the one before

	mu    sync.RWMutex
	state map[fleet.InstanceID]platform.InstanceState
}

// stateGone marks an instance that the list showed once and shows no more.
const stateGone platform.InstanceState = "gone"

// listEvery is short against the 3 s within which a leaving target gets its last new request.
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
			next[id] = stateGone
		}
	}
	if !maps.Equal(l.state, next) {
		l.state = next
		l.version.Add(1)
	}
}

// leaving reports whether an instance gets no new requests. An instance that was never listed
// is taken for live, because the list lags.
func (l *instanceList) leaving(id fleet.InstanceID) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := l.state[id]
	return s == platform.StateLeaving || s == stateGone
}

// gone reports whether the list showed an instance once and shows it no more.
func (l *instanceList) gone(id fleet.InstanceID) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state[id] == stateGone
}
