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
	// viewRefreshInterval is the interval at which the view of a pool is read again without a
	// call to RefreshAll. The members replace their load summaries once a second.
	viewRefreshInterval clock.Millis = 1_000
	// waitCheckInterval is the interval of the checks of a pool in which requests wait.
	waitCheckInterval = 100 * time.Millisecond
)

// Admission decides when a request may start. It keeps its state in one shard for each pool, and
// each shard has its own lock. It calls TryStart with the lock of one shard held, so TryStart
// must not call back into the Admission. It calls the other functions with no lock held.
type Admission struct {
	Clock clock.Clock
	// Slots returns the number of slots of a pool. They are divided among the members that
	// Loads returns. Without Loads this process may use all of them.
	Slots func(fleet.PoolID) fleet.Slots
	// Loads returns the members and their load summaries for a pool. Admission overwrites
	// View.Slots. Nil means that this process is the only member.
	Loads func(fleet.PoolID) View
	// Share returns the share of a team. Nil means equal shares.
	Share func(fleet.TeamID) fleet.Share
	// TryStart counts one more running request of a team if the team's portion allows it, and
	// Finish takes that count back. Nil means no limit. Call RefreshAll when a portion has grown.
	TryStart func(fleet.TeamID) bool
	Finish   func(fleet.TeamID)

	shards   atomic.Pointer[map[fleet.PoolID]*shard] // copied on write
	shardsMu sync.Mutex                              // held while a shard is added
	atLimit  limitWaiters
}

// shard is the admission state of one pool.
type shard struct {
	pool fleet.PoolID

	mu             sync.Mutex
	scheduler      Scheduler
	appliedView    uint64 // number of the newest view that was applied
	checkScheduled bool   // whether a timer for the next check is running; false when nothing waits

	lastView    atomic.Uint64 // number of the newest view that was read
	nextRefresh atomic.Int64  // time of the next refresh of the view, in milliseconds of Clock
}

// Acquire waits until r may start and returns the function that ends it. The caller must call
// release exactly once, with the outcome of the request. The error is a *Problem, and its outcome
// is always not_run.
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
	if r.state.phase == phaseWaiting {
		r.state.decided = make(chan struct{})
		a.scheduleCheck(s)
	}
	decided := r.state.decided
	phase, problem := r.state.phase, r.state.problem
	s.mu.Unlock()
	if decided != nil {
		phase, problem = a.wait(ctx, s, r, decided)
	}
	if phase == phaseRunning {
		return func(o Outcome) { a.finish(s, r, o) }, nil
	}
	return nil, problem
}

// wait waits until r starts or is refused, its deadline passes, or its caller cancels it.
func (a *Admission) wait(ctx context.Context, s *shard, r *Request, decided <-chan struct{}) (phase, *Problem) {
	timer := time.NewTimer((r.Deadline - a.Clock.Now()).Duration())
	defer timer.Stop()
	var problem *Problem
	select {
	case <-decided:
	case <-timer.C:
		problem = deadlineMissed(0)
	case <-ctx.Done():
		problem = &Problem{
			Status: http.StatusServiceUnavailable, Title: "cancelled while waiting", Outcome: NotRun, Reason: "cancelled",
			Detail: "the caller closed the connection or the server is stopping",
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler.Remove(r) {
		return phaseRefused, problem
	}
	return r.state.phase, r.state.problem
}

// RefreshAll reads the view of every pool again and starts the requests that may start. Call it when a
// portion, a slot count or a load summary may have changed.
func (a *Admission) RefreshAll() {
	for _, s := range a.allShards() {
		a.readView(s)
	}
}

// update changes the scheduler of a shard under its lock, and then starts the requests that may
// start.
func (a *Admission) update(s *shard, change func(now clock.Millis)) {
	now := a.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	change(now)
	a.dispatch(s, now)
}

// scheduleCheck refreshes the shard and expires its requests every waitCheckInterval while
// requests wait in it. The caller holds the lock of the shard.
func (a *Admission) scheduleCheck(s *shard) {
	if s.checkScheduled {
		return
	}
	s.checkScheduled = true
	time.AfterFunc(waitCheckInterval, func() {
		a.refresh(s, a.Clock.Now())
		a.update(s, func(now clock.Millis) {
			s.checkScheduled = false
			s.scheduler.Expire(now)
		})
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.scheduler.Waiting() > 0 {
			a.scheduleCheck(s)
		}
	})
}

// refresh reads the view of the pool if its refresh is due.
func (a *Admission) refresh(s *shard, now clock.Millis) {
	due := s.nextRefresh.Load()
	if int64(now) >= due && s.nextRefresh.CompareAndSwap(due, int64(now+viewRefreshInterval)) {
		a.readView(s)
	}
}

// readView reads the view of the pool and starts the requests that may start. Teams at their
// limit try again, in case a call to RefreshAll was missed. The division of the slots takes
// milliseconds with many members and teams, so it is computed without the lock, and its result is
// dropped if a newer view has been applied meanwhile.
func (a *Admission) readView(s *shard) {
	viewNumber := s.lastView.Add(1)
	v := View{Members: 1}
	if a.Loads != nil {
		v = a.Loads(s.pool)
	}
	v.Slots = a.Slots(s.pool)
	d := divide(v, s.scheduler.shareOf)
	a.update(s, func(now clock.Millis) {
		if viewNumber < s.appliedView {
			return
		}
		s.appliedView = viewNumber
		s.scheduler.apply(now, v.Slots, d)
		s.scheduler.UnblockAll(now)
	})
}

// dispatch starts the requests that may start, and wakes only the waiters whose request was
// started or refused. The caller holds the lock of the shard.
func (a *Admission) dispatch(s *shard, now clock.Millis) {
	for {
		r := s.scheduler.Next(now)
		if r == nil {
			break
		}
		signalDecision(r)
	}
	for _, r := range s.scheduler.TakeRefused() {
		signalDecision(r)
	}
}

func signalDecision(r *Request) {
	if r.state.decided != nil {
		close(r.state.decided)
	}
}

func (a *Admission) finish(s *shard, r *Request, o Outcome) {
	if a.Finish != nil {
		a.Finish(r.Team)
	}
	a.update(s, func(now clock.Millis) { s.scheduler.Done(now, r, o) })
	for _, other := range a.atLimit.take(r.Team) {
		if other != s {
			a.update(other, func(now clock.Millis) { other.scheduler.Unblock(now, r.Team) })
		}
	}
}

// tryStart calls TryStart. If the team is at its limit, it records that the team waits in s and
// calls TryStart again. The second call closes a race: a request of the team may end in another
// pool after the first call and before the record.
func (a *Admission) tryStart(s *shard, t fleet.TeamID) bool {
	if a.TryStart == nil || a.TryStart(t) {
		return true
	}
	a.atLimit.add(t, s)
	return a.TryStart(t)
}

func (a *Admission) shard(id fleet.PoolID) *shard {
	if m := a.shards.Load(); m != nil {
		if s, ok := (*m)[id]; ok {
			return s
		}
	}
	a.shardsMu.Lock()
	defer a.shardsMu.Unlock()
	next := map[fleet.PoolID]*shard{}
	for k, s := range a.allShards() {
		next[k] = s
	}
	s, ok := next[id]
	if !ok {
		s = &shard{pool: id}
		s.nextRefresh.Store(math.MinInt64)
		s.scheduler.Share = a.Share
		s.scheduler.TryStart = func(t fleet.TeamID) bool { return a.tryStart(s, t) }
		next[id] = s
		a.shards.Store(&next)
	}
	return s
}

func (a *Admission) allShards() map[fleet.PoolID]*shard {
	if m := a.shards.Load(); m != nil {
		return *m
	}
	return nil
}

// limitWaiters records the shards in which a team waits because it is at its limit. A limit
// counts over all pools, so a request that ends in one pool may allow one in another pool to
// start.
type limitWaiters struct {
	teamCount atomic.Int64 // number of teams; if it is 0, take needs no lock
	mu        sync.Mutex
	shards    map[fleet.TeamID]map[*shard]struct{}
}

func (l *limitWaiters) add(t fleet.TeamID, s *shard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shards == nil {
		l.shards = map[fleet.TeamID]map[*shard]struct{}{}
	}
	if l.shards[t] == nil {
		l.shards[t] = map[*shard]struct{}{}
		l.teamCount.Add(1)
	}
	l.shards[t][s] = struct{}{}
}

// take returns the shards in which t waits and removes their records.
func (l *limitWaiters) take(t fleet.TeamID) []*shard {
	if l.teamCount.Load() == 0 {
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
		l.teamCount.Add(-1)
	}
	return out
}
