package worker

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"citronknot/clock"
	"citronknot/schedule"
)

// Times of a session. A lease outlasts the time that another member needs to take over, so
// that a takeover ends no run.
const (
	LeaseLength clock.Millis = 4500
	lookWait    clock.Millis = 500 // longest wait of a look for an end, if Config names none
	lookSlack   clock.Millis = 250 // a look without an answer after its wait and this is given up
	orderWait   clock.Millis = 400 // longest wait for the answer to an order
	retryWait   clock.Millis = 150 // between looks at a worker that does not answer
)

// Config holds what a Session is made from.
type Config struct {
	Calls  Calls
	Target Target
	Born   clock.Millis // expected incarnation; 0 takes any
	Clock  clock.Clock
	Fence  uint64
	// LookWait is the longest wait of a look for an end. Looks cost processor time, and a worker
	// that went silent is noticed after two of them. 0 means 500 ms.
	LookWait clock.Millis
	Log      *slog.Logger

	// Authorized reports whether orders may be given and leases extended.
	Authorized func() bool
	// Report takes in a look and returns the number of the change that makes its ends durable.
	// It waits for a short while until they are.
	Report func(ctx context.Context, r schedule.Report) (change uint64)
	// Durable returns the number of the newest durable change.
	Durable func() uint64
	// Reachable is told when the worker begins or ceases to answer.
	Reachable func(yes bool)
	// Lost is told that nothing runs on the incarnation any more, once.
	Lost func(why string)
	// Lapsed is told that the leases that this session gave have ended unrenewed. It reports
	// whether that was taken in; if not, it is told again.
	Lapsed func() bool
	// Deposed is told that the worker takes orders of a higher fence.
	Deposed func()
}

// Session keeps one incarnation of a worker under one tenure.
type Session struct {
	Config

	mu        sync.Mutex
	lease     lease
	seen      int64     // highest number of an end that was reported
	forget    int64     // highest number of an end that is durable, with all before it
	pending   []pending // reported ends that are not known to be durable
	reachable bool
	failures  int // looks without an answer in a row
	lapsed    bool
}

// pending says that the ends up to a number are durable from a change on.
type pending struct {
	number int64
	change uint64
}

// NewSession returns a session; Run keeps it.
func NewSession(c Config) *Session {
	if c.LookWait == 0 {
		c.LookWait = lookWait
	}
	return &Session{Config: c}
}

// Run looks at the worker until ctx ends or the incarnation is lost.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.Authorized() {
			sleep(ctx, retryWait)
			continue
		}
		if !s.look(ctx) {
			return
		}
	}
}

// look looks once. It returns false if the session is over.
func (s *Session) look(ctx context.Context) bool {
	asked := s.Clock.Now()
	o := s.lookOrder(asked)
	callCtx, cancel := context.WithTimeout(ctx, (o.Wait + lookSlack).Duration())
	l, err := s.Calls.Look(callCtx, s.Target, o)
	cancel()
	now := s.Clock.Now()
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		s.unanswered(now, err)
		s.rest(ctx)
		return true
	}
	switch {
	case l.Result == OtherIncarnation:
		s.Lost("another incarnation answers at its address")
		return false
	case s.Born != 0 && l.Born != 0 && l.Born != s.Born:
		s.Lost("it started again")
		return false
	case l.Result == FenceTooOld:
		s.Deposed()
		return false
	case l.Result != Done:
		s.unanswered(now, &StatusError{Call: "look: " + l.Result.String()})
		sleep(ctx, retryWait)
		return true
	}
	s.answered(l.Clock, asked, now)
	fresh, newest := s.fresh(l.Ended)
	change := s.Report(ctx, schedule.Report{Asked: asked, Running: l.Running, Ended: fresh})
	s.reported(newest, change)
	if len(l.Ended) > 0 && len(fresh) == 0 {
		sleep(ctx, retryWait) // listed again because they are not durable yet
	}
	return true
}

// lookOrder returns the next look. The first one only learns the worker's clock.
func (s *Session) lookOrder(now clock.Millis) LookOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := LookOrder{Fence: s.Fence, Forget: s.forget}
	// A look that may not be answered extends no lease: the end of what runs on a worker that
	// has gone silent must come.
	if s.lease.heard && s.reachable {
		o.LeaseUntil = s.lease.extend(LeaseLength, now)
		if s.failures == 0 {
			o.Wait = s.LookWait
		}
	}
	return o
}

func (s *Session) answered(c, asked, now clock.Millis) {
	s.mu.Lock()
	s.lease.hear(c, asked, now)
	was := s.reachable
	s.reachable, s.lapsed, s.failures = true, false, 0
	s.mu.Unlock()
	if !was {
		s.Reachable(true)
	}
}

// unanswered notes that a look failed, and the end of the lease once it is certain.
func (s *Session) unanswered(now clock.Millis, err error) {
	s.mu.Lock()
	was := s.reachable
	s.failures++
	s.reachable = was && s.failures < silentLooks
	silent := was && !s.reachable
	ends := s.lease.endsBy()
	lapsed := !s.lapsed && s.lease.heard && now > ends
	s.mu.Unlock()
	if silent {
		s.Log.Warn("worker: no answer", "worker", s.Target.ID, "lease_ends_in_ms", int64(ends-now), "err", err)
		s.Reachable(false)
	}
	if lapsed && s.Lapsed() {
		s.mu.Lock()
		s.lapsed = !s.reachable
		s.mu.Unlock()
	}
}

// silentLooks is the number of looks in a row without an answer from which a worker counts as
// silent. Single answers get lost, and meanwhile the worker goes on working.
const silentLooks = 2

// rest waits before the next look at a worker that is silent.
func (s *Session) rest(ctx context.Context) {
	s.mu.Lock()
	silent := !s.reachable
	s.mu.Unlock()
	if silent {
		sleep(ctx, retryWait)
	}
}

// fresh returns the ends that were not reported before, and the highest number listed.
func (s *Session) fresh(ended []End) ([]schedule.EndReport, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []schedule.EndReport
	newest := s.seen
	for _, e := range ended {
		if e.Number > s.seen {
			out = append(out, e.EndReport)
			newest = max(newest, e.Number)
		}
	}
	return out, newest
}

// reported notes that the ends up to newest are durable from a change on, and lets the worker
// forget those that are by now.
func (s *Session) reported(newest int64, change uint64) {
	durable := s.Durable()
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest > s.seen {
		s.seen = newest
		s.pending = append(s.pending, pending{number: newest, change: change})
	}
	for len(s.pending) > 0 && s.pending[0].change <= durable {
		s.forget = s.pending[0].number
		s.pending = s.pending[1:]
	}
}

// Order sends an order of the schedule once and returns its outcome.
func (s *Session) Order(ctx context.Context, o schedule.Order) (schedule.Outcome, Result) {
	if !s.Authorized() {
		return schedule.NotSent, 0
	}
	ctx, cancel := context.WithTimeout(ctx, orderWait.Duration())
	defer cancel()
	asked := s.Clock.Now()
	a, err := s.send(ctx, o, asked)
	if err != nil {
		s.Log.Warn("worker: order not answered", "order", o.Kind.String(), "task", o.Task.String(), "run", o.Run, "worker", o.Worker, "err", err)
		return schedule.Unanswered, 0
	}
	if a.Clock != 0 {
		s.mu.Lock()
		s.lease.hear(a.Clock, asked, s.Clock.Now())
		s.mu.Unlock()
	}
	return s.outcome(a.Result), a.Result
}

func (s *Session) send(ctx context.Context, o schedule.Order, now clock.Millis) (Answer, error) {
	switch o.Kind {
	case schedule.Stop:
		return s.Calls.Stop(ctx, s.Target, o.Task, o.Run, s.Fence)
	case schedule.Pace:
		return s.Calls.Pace(ctx, s.Target, o.Task, o.Run, o.Percent, s.Fence)
	}
	s.mu.Lock()
	until := s.lease.extend(LeaseLength, now)
	s.mu.Unlock()
	if until == 0 {
		return Answer{Result: LeaseTooOld}, nil // the worker's clock is not known yet
	}
	return s.Calls.Start(ctx, s.Target, StartOrder{
		Task: o.Task, Run: o.Run, Spec: o.Spec, Saved: o.Saved, Ticket: o.Ticket, LeaseUntil: until, Fence: s.Fence,
	})
}

func (s *Session) outcome(r Result) schedule.Outcome {
	switch r {
	case Done:
		return schedule.Accepted
	case NoRoom:
		return schedule.NoRoom
	case TicketInvalid:
		return schedule.BadTicket
	case RunTooOld:
		return schedule.OldRun
	case LeaseTooOld:
		return schedule.NotSent
	case FenceTooOld:
		s.Deposed()
		return schedule.NotSent
	}
	return schedule.Refused
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d clock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
