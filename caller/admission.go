package caller

import (
	"context"
	"net/http"
	"sync"

	"citronknot/clock"
	"citronknot/fleet"
)

// Admission decides when a request may start. Its state is kept in one shard for each pool.
type Admission struct {
	Clock clock.Clock
	// Slots returns the slots of a pool that this process may fill.
	Slots func(fleet.PoolID) fleet.Slots
	// TryStart counts one more running request of a team if its portion allows it, and Finish
	// takes it back. Nil means no limit.
	TryStart func(fleet.TeamID) bool
	Finish   func(fleet.TeamID)

	mu     sync.Mutex
	shards map[fleet.PoolID]*shard
}

type shard struct {
	mu      sync.Mutex
	running fleet.Slots
	waiting []*waiter
}

type waiter struct {
	request *Request
	granted chan struct{}
}

// Acquire waits until r may start and returns the function that ends it. It fails with
// *Problem, always with the outcome not_run.
func (a *Admission) Acquire(ctx context.Context, r *Request) (release func(), err error) {
	s := a.shard(r.Queue.Pool)
	w := &waiter{request: r, granted: make(chan struct{})}
	s.mu.Lock()
	if s.waitingOf(r.Team) >= r.Queue.MaxWaiting {
		s.mu.Unlock()
		return nil, &Problem{Status: http.StatusTooManyRequests, Title: "queue full", Run: NotRun}
	}
	s.waiting = append(s.waiting, w)
	a.dispatch(s)
	s.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, (r.Deadline - a.Clock.Now()).Duration())
	defer cancel()
	select {
	case <-w.granted:
		return func() { a.finish(s, r) }, nil
	case <-ctx.Done():
	}
	if s.remove(w) {
		return nil, &Problem{Status: http.StatusServiceUnavailable, Title: "deadline passed while waiting", Run: NotRun}
	}
	a.finish(s, r)
	return nil, &Problem{Status: http.StatusServiceUnavailable, Title: "deadline passed before start", Run: NotRun}
}

func (a *Admission) shard(id fleet.PoolID) *shard {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.shards[id]
	if !ok {
		if a.shards == nil {
			a.shards = map[fleet.PoolID]*shard{}
		}
		s = &shard{}
		a.shards[id] = s
	}
	return s
}

// dispatch starts waiting requests while slots are free. The shard is locked.
func (a *Admission) dispatch(s *shard) {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if s.running >= a.Slots(w.request.Queue.Pool) || a.TryStart != nil && !a.TryStart(w.request.Team) {
			kept = append(kept, w)
			continue
		}
		s.running++
		close(w.granted)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

func (a *Admission) finish(s *shard, r *Request) {
	if a.Finish != nil {
		a.Finish(r.Team)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	a.dispatch(s)
}

func (s *shard) waitingOf(t fleet.TeamID) int {
	n := 0
	for _, w := range s.waiting {
		if w.request.Team == t {
			n++
		}
	}
	return n
}

// remove takes w out of the queue and reports whether it was still there.
func (s *shard) remove(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.waiting {
		if x == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}
