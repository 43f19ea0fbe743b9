package worker

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"citronknot/clock"
	"citronknot/schedule"
)

// Times of a session. LeaseLength is the length of the lease of all runs on a worker. It is
// longer than the time that another member needs to take over the pool, so that no run ends
// because of a takeover.
const (
	LeaseLength      clock.Millis = 4500
	defaultPollWait  clock.Millis = 500 // default of Config.PollWait
	pollTimeoutSlack clock.Millis = 250 // added to the wait of a poll to give its timeout
	orderTimeout     clock.Millis = 400 // longest wait for the response to an order
	retryDelay       clock.Millis = 150 // between polls of a worker that does not respond
)

// Config holds the settings and dependencies of a Session.
type Config struct {
	Calls       Calls
	Endpoint    Endpoint
	Incarnation clock.Millis // expected incarnation; 0 takes any
	Clock       clock.Clock
	Fence       uint64
	// PollWait is how long the worker may delay its response to a poll until a run ends. A longer
	// wait saves CPU time, but two polls have to fail before a worker counts as unreachable. 0
	// means 500 ms.
	PollWait clock.Millis
	// FormerLeasesEnd is the local time at which the leases that earlier sessions gave have expired
	// if the worker never responds to this session. 0 means that it is unknown.
	FormerLeasesEnd clock.Millis
	// FormerLease is the longest lease that runs may have when the worker first responds to this session,
	// if that is longer than those that sessions give.
	FormerLease clock.Millis
	// MaxLease is the longest lease that the worker grants; 0 means DefaultMaxLease.
	MaxLease clock.Millis
	Log      *slog.Logger

	// Authorized reports whether orders may be sent and leases renewed.
	Authorized func() bool
	// MayStart reports whether a start may be sent to the worker. It is called directly before each
	// one; nil means always.
	MayStart func() bool
	// Report applies the result of a poll and returns the number of the change that makes the
	// ended runs durable. It waits for a short time until they are.
	Report func(ctx context.Context, r schedule.Report) (change uint64)
	// Durable returns the number of the newest durable change.
	Durable func() uint64
	// Reachable is called when the worker becomes reachable or unreachable. since is when it began or
	// stopped to respond.
	Reachable func(yes bool, since clock.Millis)
	// Lost is called once, when it is certain that nothing runs on the incarnation any more. Orders that this
	// session has sent may have been carried out by its successor, or may yet be.
	Lost func(l Loss)
	// Expired is called when all leases that this session gave have expired. It reports whether
	// the expiry was recorded; if not, it is called again. Once it was recorded, the session sends
	// no starts, and is to be replaced by another one.
	Expired func() bool
	// OnHigherFence is called when the worker refuses a call because it has accepted a higher fence.
	OnHigherFence func()
}

// Loss describes the end of an incarnation.
type Loss struct {
	Reason    string
	Successor clock.Millis // the incarnation that has started under its id; 0 if none is known
}

// Session polls one incarnation of a worker and sends it orders, while this member holds the
// owner lease with the fence in Config.
type Session struct {
	Config

	mu              sync.Mutex
	lease           lease
	reportedThrough int64         // highest number of an ended run that was passed to Report
	durableThrough  int64         // highest number up to which all ended runs are durable
	pending         []pendingEnds // reported ended runs that may not be durable yet
	reachable       bool
	failedPolls     int          // failed polls in a row
	respondedAt     clock.Millis // when the worker last responded
	silentSince     clock.Millis // when it stopped responding, if polls have failed since
	expired         bool         // Expired has recorded the expiry of the lease
	startsBlocked   bool         // Expired may have recorded it, or the incarnation is lost; see Order
	listed          bool         // a report has contained the running runs; the latest one was requested at listedAt
	listedAt        clock.Millis
}

// pendingEnds says that the ended runs up to a number become durable with a change.
type pendingEnds struct {
	through int64
	change  uint64
}

// NewSession returns a session, which starts to poll once Run is called.
func NewSession(c Config) *Session {
	if c.PollWait == 0 {
		c.PollWait = defaultPollWait
	}
	if c.MaxLease == 0 {
		c.MaxLease = DefaultMaxLease
	}
	return &Session{Config: c, lease: lease{formerEnd: c.FormerLeasesEnd, formerLease: c.FormerLease}}
}

// Run polls the worker until ctx ends, the incarnation is lost, or the worker refuses the fence.
// It pauses while Authorized returns false.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.Authorized() {
			sleep(ctx, retryDelay)
			continue
		}
		if !s.poll(ctx) {
			return
		}
	}
}

// poll polls the worker once. It returns false if the session is over.
func (s *Session) poll(ctx context.Context) bool {
	requestedAt := s.Clock.Now()
	order := s.nextPoll(requestedAt)
	callCtx, cancel := context.WithTimeout(ctx, (order.Wait + pollTimeoutSlack).Duration())
	listing, err := s.Calls.Poll(callCtx, s.Endpoint, order)
	cancel()
	now := s.Clock.Now()
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		s.pollFailed(now, err)
		s.pauseIfUnreachable(ctx)
		return true
	}
	switch {
	case listing.Result == OtherIncarnation:
		s.lose(Loss{Reason: "another incarnation responds at its address"})
		return false
	case s.Incarnation != 0 && listing.Incarnation != 0 && listing.Incarnation != s.Incarnation:
		s.lose(Loss{Reason: "it has restarted", Successor: listing.Incarnation})
		return false
	case listing.Result == FenceTooOld:
		s.OnHigherFence()
		return false
	case listing.Result != Done:
		s.pollFailed(now, &StatusError{Call: "poll: " + listing.Result.String()})
		sleep(ctx, retryDelay)
		return true
	}
	s.pollSucceeded(listing.Clock, requestedAt, now)
	ends, newest := s.newEnds(listing.Ended)
	change := s.Report(ctx, s.newReport(requestedAt, &listing, ends))
	s.recordReported(newest, change)
	if len(listing.Ended) > 0 && len(ends) == 0 {
		sleep(ctx, retryDelay) // the worker lists them again, as they are not durable yet
	}
	return true
}

// lose reports that the incarnation has ended. No start is sent any more: its successor would carry it out.
func (s *Session) lose(l Loss) {
	s.mu.Lock()
	s.startsBlocked = true
	s.mu.Unlock()
	s.Lost(l)
}

// nextPoll returns the next poll. The first one renews no lease: it only reads the worker's clock.
func (s *Session) nextPoll(now clock.Millis) PollRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	order := PollRequest{Fence: s.Fence}
	if s.failedPolls == 0 { // otherwise the worker may have restarted, and its ended runs have other numbers
		order.AcknowledgedThrough = s.durableThrough
	}
	// A poll of an unreachable worker does not renew the lease: it may arrive without a response,
	// and the lease of an unresponsive worker has to expire.
	if s.lease.clockKnown && s.reachable {
		order.LeaseUntil = s.lease.extend(LeaseLength, now)
		if s.failedPolls == 0 {
			order.Wait = s.PollWait
		}
	}
	return order
}

// pollSucceeded records a response: the worker's clock, and that the worker is reachable.
func (s *Session) pollSucceeded(workerClock, requestedAt, now clock.Millis) {
	s.mu.Lock()
	s.lease.observeClock(workerClock, requestedAt, now)
	wasReachable := s.reachable
	s.reachable, s.expired, s.failedPolls, s.respondedAt = true, false, 0, now
	s.mu.Unlock()
	if !wasReachable {
		s.Reachable(true, now)
	}
}

// pollFailed records a failed poll, and the expiry of the lease once it is certain.
func (s *Session) pollFailed(now clock.Millis, err error) {
	s.mu.Lock()
	wasReachable := s.reachable
	s.failedPolls++
	if s.failedPolls == 1 {
		s.silentSince = s.endOfResponses(now, err)
	}
	since := s.silentSince
	s.reachable = wasReachable && s.failedPolls < unreachableAfter
	becameUnreachable := wasReachable && !s.reachable
	leaseEnd := s.lease.latestEnd()
	expired := !s.expired && leaseEnd != 0 && now > leaseEnd
	s.startsBlocked = s.startsBlocked || expired
	s.mu.Unlock()
	if becameUnreachable {
		s.Log.Warn("worker: polls get no response", "worker", s.Endpoint.ID, "lease_ends_in_ms", int64(leaseEnd-now), "err", err)
		s.Reachable(false, since)
	}
	if expired {
		recorded := s.Expired()
		s.mu.Lock()
		s.expired, s.startsBlocked = recorded && !s.reachable, recorded
		s.mu.Unlock()
	}
}

// endOfResponses returns when a worker stopped responding whose poll has failed now. A poll that was sent
// breaks as the worker ends. One that could not be sent was made some time after that.
func (s *Session) endOfResponses(now clock.Millis, err error) clock.Millis {
	var notSent *NotSentError
	if errors.As(err, &notSent) && s.respondedAt != 0 {
		return s.respondedAt
	}
	return now
}

// unreachableAfter is the number of failed polls in a row after which a worker counts as
// unreachable. Single responses get lost while the worker goes on working.
const unreachableAfter = 2

// pauseIfUnreachable waits before the next poll of an unreachable worker.
func (s *Session) pauseIfUnreachable(ctx context.Context) {
	s.mu.Lock()
	unreachable := !s.reachable
	s.mu.Unlock()
	if unreachable {
		sleep(ctx, retryDelay)
	}
}

// listInterval is the shortest time between two reports that list the running runs besides ended
// ones. A worker responds to a poll as soon as a run ends, and on a busy one the same running runs
// would be processed many times a second.
const listInterval clock.Millis = 400

// newReport returns the report of a poll. It leaves the running runs out if runs have ended and the
// running ones were reported within listInterval.
func (s *Session) newReport(requestedAt clock.Millis, l *PollResponse, ends []schedule.EndReport) schedule.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(ends) > 0 && s.listed && requestedAt-s.listedAt < listInterval {
		return schedule.Report{RequestedAt: requestedAt, EndsOnly: true, Ended: ends, MoreEnds: l.MoreEnds}
	}
	s.listed, s.listedAt = true, requestedAt
	return schedule.Report{
		RequestedAt: requestedAt, ListedAt: s.lease.responseTime(l.Clock, requestedAt), Running: l.Running, Ended: ends, MoreEnds: l.MoreEnds,
	}
}

// newEnds returns the ended runs that were not reported before, and the highest number reported
// so far, with theirs.
func (s *Session) newEnds(ended []EndedRun) ([]schedule.EndReport, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ends []schedule.EndReport
	newest := s.reportedThrough
	for _, e := range ended {
		if e.Number > s.reportedThrough {
			ends = append(ends, e.EndReport)
			newest = max(newest, e.Number)
		}
	}
	return ends, newest
}

// recordReported records that the ended runs up to newest become durable with a change, and lets
// the worker forget those that are durable now.
func (s *Session) recordReported(newest int64, change uint64) {
	durable := s.Durable()
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest > s.reportedThrough {
		s.reportedThrough = newest
		s.pending = append(s.pending, pendingEnds{through: newest, change: change})
	}
	for len(s.pending) > 0 && s.pending[0].change <= durable {
		s.durableThrough = s.pending[0].through
		s.pending = s.pending[1:]
	}
}

// Order sends an order of the schedule once and returns its outcome and the worker's result. The
// result is 0 if the order was not sent or got no response. Starts that were given before the expiry
// of all leases was recorded are not sent after it, since their tasks may start on other workers.
func (s *Session) Order(ctx context.Context, o schedule.Order) (schedule.Outcome, Result) {
	if !s.Authorized() {
		return schedule.NotSent, 0
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	requestedAt := s.Clock.Now()
	answer, err := s.send(ctx, o, requestedAt)
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return s.outcome(NotReached), NotReached
	}
	if answer.Result == HeldBack {
		return schedule.ZoneClosed, HeldBack
	}
	if err != nil {
		s.Log.Warn("worker: no response to an order", "order", o.Kind.String(), "task", o.Task.String(), "run", o.Run, "worker", s.Endpoint.ID, "err", err)
		return schedule.UnknownOutcome, 0
	}
	if !s.recordAnswer(&answer, requestedAt) {
		s.Log.Warn("worker: a later incarnation has answered an order", "order", o.Kind.String(), "task", o.Task.String(), "run", o.Run, "worker", s.Endpoint.ID)
		if answer.Result == Done {
			return schedule.UnknownOutcome, answer.Result
		}
	}
	return s.outcome(answer.Result), answer.Result
}

// recordAnswer records that the worker has answered an order, and its clock. It returns false if a later
// incarnation has answered.
func (s *Session) recordAnswer(answer *Reply, requestedAt clock.Millis) bool {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease.isStray(answer.Clock, requestedAt) {
		s.lease.observeStray(s.MaxLease, now)
		return false
	}
	s.respondedAt = now
	if answer.Clock != 0 {
		s.lease.observeClock(answer.Clock, requestedAt, now)
	}
	return true
}

// send makes the call for an order. A start renews the worker's lease as well. No other function sends
// starts.
func (s *Session) send(ctx context.Context, o schedule.Order, now clock.Millis) (Reply, error) {
	switch o.Kind {
	case schedule.Stop:
		return s.Calls.Stop(ctx, s.Endpoint, o.Task, o.Run, s.Fence)
	case schedule.Pace:
		return s.Calls.Pace(ctx, s.Endpoint, o.Task, o.Run, o.Percent, s.Fence)
	}
	if s.MayStart != nil && !s.MayStart() {
		return Reply{Result: HeldBack}, nil
	}
	s.mu.Lock()
	if s.startsBlocked || !s.lease.clockKnown {
		s.mu.Unlock()
		return Reply{Result: LeaseTooOld}, nil
	}
	until := s.lease.extend(LeaseLength, now)
	s.mu.Unlock()
	return s.Calls.Start(ctx, s.Endpoint, StartOrder{
		Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, LeaseUntil: until, Fence: s.Fence,
	})
}

// outcome converts a worker's result to the schedule's outcome. It calls OnHigherFence if the worker
// refused the fence.
func (s *Session) outcome(r Result) schedule.Outcome {
	switch r {
	case Done:
		return schedule.Accepted
	case NoCapacity, NotReached: // a worker that can't be reached gets no starts for a short time
		return schedule.NoCapacity
	case TicketInvalid:
		return schedule.BadTicket
	case RunTooOld:
		return schedule.OldRun
	case LeaseTooOld:
		return schedule.NotSent
	case FenceTooOld:
		s.OnHigherFence()
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
