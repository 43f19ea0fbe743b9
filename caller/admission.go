package caller

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// viewEvery is the time after which a pool's view is read again without a Wake. Load
	// summaries are replaced once a second.
	viewEvery clock.Millis = 1_000
	// checkEvery is the time between checks of a pool in which requests wait.
	checkEvery = 100 * time.Millisecond
)

// Admission decides when a request may start. Its state is kept in one shard for each pool,
// each under its own lock. TryStart is called with the lock of one shard held, the other seams
// with none. TryStart must not call back.
type Admission struct {
	Clock clock.Clock
	// Slots returns the slots of a pool. They are divided among the members that Loads knows;
	// without Loads this process fills all of them.
	Slots func(fleet.PoolID) fleet.Slots
	// Loads returns the members and their load summaries for a pool; Slots of the view is
	// overwritten. Nil means that this process is the only member.
	Loads func(fleet.PoolID) View
	// Share returns the share of a team. Nil means equal shares.
	Share func(fleet.TeamID) fleet.Share
	// TryStart counts one more running request of a team if its portion allows it, and Finish
	// takes it back. Nil means no limit. When a portion has grown, Wake has to be called.
	TryStart func(fleet.TeamID) bool
	Finish   func(fleet.TeamID)

	shards atomic.Pointer[map[fleet.PoolID]*shard] // copied on write
	grow   sync.Mutex                              // held while a shard is added
	limits limitWaits
}

type shard struct {
	pool fleet.PoolID

	mu        sync.Mutex
	scheduler Scheduler
	applied   uint64 // number of the newest view in use
	checking  bool   // a check is due; it ends when nothing waits

	views atomic.Uint64 // numbers the views that were read
	due   atomic.Int64  // when the next view is to be read
}

// Acquire waits until r may start and returns the function that ends it, which has to be
// called once with the outcome. It fails with *Problem, always with the outcome not_run.
func (a *Admission) Acquire(ctx context.Context, r *Request) (release func(Outcome), err error) {
	s := a.shard(r.Queue.Pool)
	now := a.Clock.Now()
	a.refresh(s, now)
	s.mu.Lock()
	if p := s.scheduler.Add(now, r); p != nil {
		s.mu.Unlock()
		return nil, p
	}
	a.dispatch(s, now)
	if r.ticket.phase == phaseWaiting {
		r.ticket.decided = make(chan struct{})
		a.check(s)
	}
	decided := r.ticket.decided
	phase, refusal := r.ticket.phase, r.ticket.refusal
	s.mu.Unlock()
	if decided != nil {
		phase, refusal = a.wait(ctx, s, r, decided)
	}
	if phase == phaseRunning {
		return func(o Outcome) { a.finish(s, r, o) }, nil
	}
	return nil, refusal
}

// wait waits until r starts or is refused, its deadline passes or its caller gives up.
func (a *Admission) wait(ctx context.Context, s *shard, r *Request, decided <-chan struct{}) (phase, *Problem) {
	timer := time.NewTimer((r.Deadline - a.Clock.Now()).Duration())
	defer timer.Stop()
	var refusal *Problem
	select {
	case <-decided:
	case <-timer.C:
		refusal = deadlineMissed(0)
	case <-ctx.Done():
		refusal = &Problem{
			Status: http.StatusServiceUnavailable, Title: "cancelled while waiting", Run: NotRun, Reason: "cancelled",
			Detail: "the caller closed the connection or the server is stopping",
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler.Remove(r) {
		return phaseRefused, refusal
	}
	return r.ticket.phase, r.ticket.refusal
}

// Wake looks at all pools again: a portion, a slot count or a load summary may have changed.
func (a *Admission) Wake() {
	for _, s := range a.all() {
		a.view(s)
	}
}

// wake changes a shard and starts what may start then.
func (a *Admission) wake(s *shard, change func(now clock.Millis)) {
	now := a.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	change(now)
	a.dispatch(s, now)
}

// check looks at the shard every checkEvery while requests wait in it. The shard is locked.
func (a *Admission) check(s *shard) {
	if s.checking {
		return
	}
	s.checking = true
	time.AfterFunc(checkEvery, func() {
		a.refresh(s, a.Clock.Now())
		a.wake(s, func(now clock.Millis) {
			s.checking = false
			s.scheduler.Expire(now)
		})
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.scheduler.Waiting() > 0 {
			a.check(s)
		}
	})
}

// refresh reads the view of the pool if it is due.
func (a *Admission) refresh(s *shard, now clock.Millis) {
	due := s.due.Load()
	if int64(now) >= due && s.due.CompareAndSwap(due, int64(now+viewEvery)) {
		a.view(s)
	}
}

// view reads the view of the pool and starts what may start then. Teams at their limit try
// again, in case a Wake was missed. The division takes milliseconds with many members and teams,
// so it is computed without the lock; a view that was overtaken is dropped.
func (a *Admission) view(s *shard) {
	number := s.views.Add(1)
	v := View{Members: 1}
	if a.Loads != nil {
		v = a.Loads(s.pool)
	}
	v.Slots = a.Slots(s.pool)
	d := divide(v, s.scheduler.shareOf)
	a.wake(s, func(now clock.Millis) {
		if number < s.applied {
			return
		}
		s.applied = number
		s.scheduler.apply(now, v.Slots, d)
		s.scheduler.UnblockAll(now)
	})
}

// dispatch starts what may start and tells exactly those that wait for it. The shard is locked.
func (a *Admission) dispatch(s *shard, now clock.Millis) {
	for {
		r := s.scheduler.Next(now)
		if r == nil {
			break
		}
		decide(r)
	}
	for _, r := range s.scheduler.TakeRefused() {
		decide(r)
	}
}

func decide(r *Request) {
	if r.ticket.decided != nil {
		close(r.ticket.decided)
	}
}

func (a *Admission) finish(s *shard, r *Request, o Outcome) {
	if a.Finish != nil {
		a.Finish(r.Team)
	}
	a.wake(s, func(now clock.Millis) { s.scheduler.Done(now, r, o) })
	for _, other := range a.limits.take(r.Team) {
		if other != s {
			a.wake(other, func(now clock.Millis) { other.scheduler.Unblock(now, r.Team) })
		}
	}
}

// tryStart calls the seam and notes where the team waits for its limit. The second call closes
// the gap in which a request of the team ends elsewhere after the first call and before the
// note.
func (a *Admission) tryStart(s *shard, t fleet.TeamID) bool {
	if a.TryStart == nil || a.TryStart(t) {
		return true
	}
	a.limits.add(t, s)
	return a.TryStart(t)
}

func (a *Admission) shard(id fleet.PoolID) *shard {
	if m := a.shards.Load(); m != nil {
		if s, ok := (*m)[id]; ok {
			return s
		}
	}
	a.grow.Lock()
	defer a.grow.Unlock()
	next := map[fleet.PoolID]*shard{}
	for k, s := range a.all() {
		next[k] = s
	}
	s, ok := next[id]
	if !ok {
		s = &shard{pool: id}
		s.due.Store(math.MinInt64)
		s.scheduler.Share = a.Share
		s.scheduler.TryStart = func(t fleet.TeamID) bool { return a.tryStart(s, t) }
		next[id] = s
		a.shards.Store(&next)
	}
	return s
}

func (a *Admission) all() map[fleet.PoolID]*shard {
	if m := a.shards.Load(); m != nil {
		return *m
	}
	return nil
}

// limitWaits keeps the shards in which a team waits because it is at its limit. A limit counts
// over all pools, so a request that ends in one pool may let one of another pool start.
type limitWaits struct {
	count  atomic.Int64 // of teams; spares the lock when none waits
	mu     sync.Mutex
	shards map[fleet.TeamID]map[*shard]struct{}
}

func (l *limitWaits) add(t fleet.TeamID, s *shard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shards == nil {
		l.shards = map[fleet.TeamID]map[*shard]struct{}{}
	}
	if l.shards[t] == nil {
		l.shards[t] = map[*shard]struct{}{}
		l.count.Add(1)
	}
	l.shards[t][s] = struct{}{}
}

// take returns the shards in which t waits and forgets them.
func (l *limitWaits) take(t fleet.TeamID) []*shard {
	if l.count.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*shard
	for s := range l.shards[t] {
		out = append(out, s)
	}
	if l.shards[t] != nil {
		delete(l.shards, t)
		l.count.Add(-1)
	}
	return out
}
