package dispatcher

import (
	"context"
	"crypto/rand"
	"log/slog"
	"sync"
	"time"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/schedule"
	"citronknot/worker"
)

// Times of the exchange with the owner.
const (
	callSlack   clock.Millis = 500 // added to the wait of a request to give its timeout
	retryDelay  clock.Millis = 100 // after a request that failed
	sendTimeout clock.Millis = 700 // longest wait for the response to results
	resultDelay clock.Millis = 10  // how long events wait for more of them
	durableWait clock.Millis = 100 // how long a session waits until ended runs are durable
)

// Config holds the settings and dependencies of a Dispatcher.
type Config struct {
	Pool     fleet.PoolID
	Self     fleet.MemberID
	CPUCores float64 // 0 if unknown
	Calls    worker.Calls
	Clock    clock.Clock
	Log      *slog.Logger
	PollWait clock.Millis // longest time that a worker delays its response to a poll; see worker.Config
	// Poll asks the owner for the next batch.
	Poll func(ctx context.Context, r PollRequest) (Batch, error)
	// Send sends results to the owner. An error means that they may not have arrived.
	Send func(ctx context.Context, r Results) error
	// MayStart reports whether a start may be sent to a worker of a zone now; the empty zone stands
	// for an unknown one. If it is nil, starts may be sent to all zones.
	MayStart func(fleet.ZoneID) bool
	// OnOrder is called with each completed order and how long it took.
	// It may be nil.
	OnOrder func(kind schedule.OrderKind, result worker.Result, took time.Duration)
}

// Dispatcher polls workers and sends them orders for the owner of a pool.
type Dispatcher struct {
	Config
	session SessionID

	mu          sync.Mutex
	fence       uint64
	received    uint64     // number of the newest batch that was received
	grantedFrom clock.Mark // when the request was sent that granted the right to call workers
	grant       clock.Millis
	ended       bool
	assignments map[AssignmentID]*assignment
	durable     uint64
	advanced    chan struct{} // closed and replaced when durable has grown or an assignment has ended
	changes     uint64        // number of reports with ended runs
	events      []Event       // not sent yet
	sent        uint64        // number of the newest results

	sessionsCtx   context.Context
	sessions      sync.WaitGroup
	orders        sync.WaitGroup
	eventsWaiting chan struct{} // buffers one
}

// assignment is an assignment with its session.
type assignment struct {
	Assignment
	session *worker.Session
	cancel  context.CancelFunc
	ended   bool // the owner gave the worker to another member or removed it
	reports reportFilter
}

// New returns a dispatcher, which serves once Run is called.
func New(c Config) *Dispatcher {
	return &Dispatcher{
		Config: c, session: SessionID(rand.Text()), assignments: map[AssignmentID]*assignment{}, advanced: make(chan struct{}), eventsWaiting: make(chan struct{}, 1),
	}
}

// Run serves the owner until ctx ends, the owner ends the service or the grant expires. In the
// latter cases it returns *EndedError or *GrantExpiredError. It calls no worker any more when it
// returns, and has tried to tell the owner so.
func (d *Dispatcher) Run(ctx context.Context) error {
	detached := context.WithoutCancel(ctx)
	sessionsCtx, cancelSessions := context.WithCancel(detached)
	sendCtx, cancelSend := context.WithCancel(detached)
	defer cancelSessions()
	defer cancelSend()
	d.sessionsCtx = sessionsCtx
	var sender sync.WaitGroup
	sender.Go(func() { d.runSender(sendCtx) })
	err := d.runPolls(ctx)
	d.mu.Lock()
	d.ended = true
	d.mu.Unlock()
	cancelSessions()
	d.sessions.Wait()
	d.orders.Wait()
	cancelSend()
	sender.Wait()
	d.leave(detached)
	return err
}

// Size returns the number of workers that are assigned to the dispatcher.
func (d *Dispatcher) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.assignments)
}

// runPolls asks for batches and carries them out.
func (d *Dispatcher) runPolls(ctx context.Context) error {
	for {
		requested := d.Clock.Mark()
		batch, err := d.poll(ctx, requested)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil && !d.authorized():
			return &GrantExpiredError{Pool: d.Pool, Err: err}
		case err != nil:
			sleep(ctx, retryDelay)
		case batch.Ended:
			return &EndedError{Pool: d.Pool, Reason: batch.Reason}
		default:
			d.apply(&batch, requested)
		}
	}
}

func (d *Dispatcher) poll(ctx context.Context, requested clock.Mark) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, (pollWait + callSlack).Duration())
	defer cancel()
	d.mu.Lock()
	received := d.received
	d.mu.Unlock()
	return d.Poll(ctx, PollRequest{
		Member: d.Self, Session: d.session, CPUCores: d.CPUCores, Received: received, SentAt: requested.Now, Wait: pollWait,
	})
}

// authorized reports whether the dispatcher may call workers now. No other code decides that.
func (d *Dispatcher) authorized() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.ended && d.grant > 0 && d.Clock.MaxElapsed(d.grantedFrom) < d.grant
}

// apply records the grant of a batch and carries out the batch, unless it was received before. The
// assignments that a batch ends are ended before its Durable applies, because ended runs that the
// owner refused to record for them must not count as durable.
func (d *Dispatcher) apply(b *Batch, requested clock.Mark) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fence, d.grantedFrom, d.grant = b.Fence, requested, b.Grant
	if b.HasContent() && b.Number <= d.received {
		return
	}
	d.received = max(d.received, b.Number)
	for _, id := range b.Unassigned {
		if a := d.assignments[id]; a != nil {
			a.ended = true
			a.cancel()
			delete(d.assignments, id)
		}
	}
	d.durable = max(d.durable, b.Durable)
	close(d.advanced)
	d.advanced = make(chan struct{})
	for _, a := range b.Assigned {
		d.assign(a)
	}
	for _, o := range b.Orders {
		if a := d.assignments[o.Assignment]; a != nil {
			d.orders.Go(func() { d.sendOrder(a, o.Order) })
		}
	}
}

// assign starts a session with the worker of an assignment. The caller holds d.mu.
func (d *Dispatcher) assign(given Assignment) {
	ctx, cancel := context.WithCancel(d.sessionsCtx)
	a := &assignment{Assignment: given, cancel: cancel}
	a.session = worker.NewSession(worker.Config{
		Calls: d.Calls, Endpoint: given.Endpoint, Incarnation: given.Incarnation, Clock: d.Clock, Fence: d.fence, PollWait: d.PollWait, Log: d.Log,
		FormerLeasesEnd: d.Clock.Now() + given.FormerLeases, FormerLease: given.FormerLease, MaxLease: given.MaxLease, Authorized: d.authorized,
		MayStart: func() bool { return d.MayStart == nil || d.MayStart(given.Zone) },
		Report:   func(ctx context.Context, r schedule.Report) uint64 { return d.report(ctx, a, r) },
		Durable:  func() uint64 { return d.durableFor(a) },
		Reachable: func(yes bool, since clock.Millis) {
			kind := Unreachable
			if yes {
				kind = Reachable
			}
			d.add(a, Event{Kind: kind, At: since})
		},
		Lost: func(l worker.Loss) { d.add(a, Event{Kind: IncarnationLost, Successor: l.Successor, Detail: l.Reason}) },
		Expired: func() bool {
			d.add(a, Event{Kind: LeasesExpired})
			return true // the owner begins another assignment, whether it can record the expiry or not
		},
		OnHigherFence: func() { d.add(a, Event{Kind: FenceRefused}) },
	})
	d.assignments[given.ID] = a
	d.sessions.Go(func() { a.session.Run(ctx) })
}

// sendOrder sends one order to a worker and reports its outcome.
func (d *Dispatcher) sendOrder(a *assignment, o schedule.Order) {
	started := time.Now()
	outcome, result := a.session.Order(context.WithoutCancel(d.sessionsCtx), o)
	if d.OnOrder != nil {
		d.OnOrder(o.Kind, result, time.Since(started))
	}
	if outcome == schedule.ZoneClosed && a.Zone == "" {
		outcome = schedule.NoCapacity // an owner whose version sends no zones does not know ZoneClosed, and does the same
	}
	d.mu.Lock()
	a.reports.orderedAt = d.Clock.Now()
	d.addLocked(a, Event{Kind: OrderCompleted, Order: schedule.Order{Kind: o.Kind, Task: o.Task, Run: o.Run}, Outcome: outcome})
	fence := d.fence
	d.mu.Unlock()
	d.Log.Info("dispatcher: order completed", "order", o.Kind.String(), "task", o.Task.String(), "run", o.Run, "worker", a.Endpoint.ID,
		"pool", d.Pool, "fence", fence, "reason", string(o.Reason), "answer", result.String())
}

// report passes the result of a poll to the owner, unless it has no news. It returns the number of
// the change that makes the ended runs durable, for which it waits a short time.
func (d *Dispatcher) report(ctx context.Context, a *assignment, r schedule.Report) uint64 {
	d.mu.Lock()
	if a.ended {
		d.mu.Unlock()
		return neverDurable
	}
	if !a.reports.isNews(&r) {
		d.mu.Unlock()
		return 0
	}
	var change uint64
	if len(r.Ended) > 0 {
		d.changes++
		change = d.changes
	}
	d.addLocked(a, Event{Kind: Polled, Report: r, Change: change})
	d.mu.Unlock()
	for _, e := range r.Ended {
		d.Log.Info("dispatcher: run ended", "task", e.Task.String(), "run", e.Run, "worker", a.Endpoint.ID, "pool", d.Pool, "how", e.Kind.String())
	}
	if change != 0 {
		d.awaitDurable(ctx, a, change)
	}
	return change
}

// neverDurable is a number that no change reaches.
const neverDurable = ^uint64(0)

// durableFor returns the highest number up to which the changes of an assignment are durable.
func (d *Dispatcher) durableFor(a *assignment) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.ended {
		return 0
	}
	return d.durable
}

// awaitDurable waits until a change is durable or the assignment has ended, for durableWait at most.
func (d *Dispatcher) awaitDurable(ctx context.Context, a *assignment, change uint64) {
	timer := time.NewTimer(durableWait.Duration())
	defer timer.Stop()
	for {
		d.mu.Lock()
		done, advanced := a.ended || d.durable >= change, d.advanced
		d.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-advanced:
		}
	}
}

// add queues an event of an assignment for the owner.
func (d *Dispatcher) add(a *assignment, e Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addLocked(a, e)
}

// addLocked is add for callers that hold d.mu.
func (d *Dispatcher) addLocked(a *assignment, e Event) {
	e.Assignment = a.ID
	if e.At == 0 {
		e.At = d.Clock.Now()
	}
	d.events = append(d.events, e)
	select {
	case d.eventsWaiting <- struct{}{}:
	default:
	}
}

// runSender sends events to the owner until ctx ends.
func (d *Dispatcher) runSender(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.eventsWaiting:
		}
		sleep(ctx, resultDelay)
		d.send(ctx, false)
	}
}

// send sends the events that wait. It repeats that until the owner responds or ctx ends; in the
// latter case the events go on waiting.
func (d *Dispatcher) send(ctx context.Context, leaving bool) {
	d.mu.Lock()
	r := Results{Member: d.Self, Session: d.session, Number: d.sent + 1, Leaving: leaving, Events: d.events}
	d.events = nil
	d.mu.Unlock()
	if len(r.Events) == 0 && !leaving {
		return
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
		r.SentAt = d.Clock.Now()
		err := d.Send(callCtx, r)
		cancel()
		if err == nil {
			d.mu.Lock()
			d.sent = r.Number
			d.mu.Unlock()
			return
		}
		sleep(ctx, retryDelay)
	}
	d.mu.Lock()
	d.events = append(r.Events, d.events...)
	d.mu.Unlock()
}

// leaveTimeout is the longest time that a dispatcher which stops tries to tell its owner. An owner
// that does not learn of it waits until the grant has expired.
const leaveTimeout clock.Millis = 500

// leave sends the last events and tells the owner that no worker is called any more. Results whose
// response was lost may have been applied; the owner ignores the number then, and waits for the
// grant to expire.
func (d *Dispatcher) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	d.send(ctx, true)
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, t clock.Millis) {
	timer := time.NewTimer(t.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
