package owner

import (
	"context"
	"slices"
	"time"

	"citronknot/clock"
	"citronknot/dispatcher"
	"citronknot/fleet"
	"citronknot/rowstore"
	"citronknot/schedule"
	"citronknot/worker"
)

// Times of the exchange with dispatchers.
const (
	// batchInterval is the shortest time between two responses to a dispatcher. Orders that are
	// placed within it share a response.
	batchInterval clock.Millis = 15
	// suspectAfter is the silence after which a dispatcher's workers get no more starts.
	suspectAfter clock.Millis = 1000
	// grantExpiry is the silence after which a dispatcher's last grant has certainly expired, also
	// if its clock is slower by a tenth.
	grantExpiry = dispatcher.GrantLength + dispatcher.GrantLength/10
	// idleLimit is how long a dispatcher without workers is kept.
	idleLimit clock.Millis = 2000
	// stopLimit is how long an owner that stops waits for its dispatchers to confirm that they have
	// stopped. After that it does not release the pool.
	stopLimit clock.Millis = 800
)

// dispatcherRecord is the owner's record of a dispatcher.
type dispatcherRecord struct {
	member     fleet.MemberID
	session    dispatcher.SessionID
	capacity   int // workers
	sessions   map[dispatcher.AssignmentID]*session
	emptySince clock.Millis // since when it has had no workers; 0 if it has some

	batch          dispatcher.Batch  // what the next response will contain
	unacknowledged *dispatcher.Batch // the newest batch, until a request says that it was received
	batches        uint64            // number of the newest batch
	results        uint64            // number of the newest results
	requests       uint64            // number of requests; a newer one ends the wait of an older one
	respondedAt    clock.Mark        // when it was given its latest grant
	suspected      bool              // silent for suspectAfter
	endReason      string            // why the service is to end; empty while it goes on
	wakeup         chan struct{}     // ends the wait of a request; buffers one

	offset      clock.Millis // owner's clock less the dispatcher's, at most; see observeClock
	offsetKnown bool
	changes     []pendingChange // ended runs that may not be durable yet
	durable     uint64          // highest of the dispatcher's changes up to which all are durable
}

// pendingChange maps a dispatcher's number of a change to the owner's.
type pendingChange struct{ theirs, ours uint64 }

// observeClock updates the difference between the clocks from a message that the dispatcher sent at
// sentAt, on its clock. Each difference that is seen includes the time that the message took, so the
// smallest one is closest to the true one. It only shrinks: times in later messages are never shifted
// further ahead than those in earlier ones, so a list of runs that is older than the outcome of an
// order does not seem newer.
func (d *dispatcherRecord) observeClock(sentAt, now clock.Millis) {
	if !d.offsetKnown || now-sentAt < d.offset {
		d.offset, d.offsetKnown = now-sentAt, true
	}
}

// advanceDurable reports whether more of the dispatcher's changes are durable than it was told.
func (d *dispatcherRecord) advanceDurable(durable uint64) bool {
	before := d.durable
	for len(d.changes) > 0 && d.changes[0].ours <= durable {
		d.durable = d.changes[0].theirs
		d.changes = d.changes[1:]
	}
	return d.durable > before
}

// end ends the service at the dispatcher's next request.
func (d *dispatcherRecord) end(reason string) {
	d.endReason = reason
	wake(d.wakeup)
}

// NextBatch returns the next batch for a dispatcher, and grants it the right to call workers. The
// first request of a session offers the service. NextBatch waits for content, for r.Wait at most. It
// fails with *RefusedError if the pool is not loaded, or if the dispatcher has sent another request.
func (o *Owner) NextBatch(ctx context.Context, r dispatcher.PollRequest) (dispatcher.Batch, error) {
	d, request, err := o.registerRequest(&r)
	if err != nil {
		return dispatcher.Batch{}, err
	}
	if d == nil {
		return dispatcher.Batch{Ended: true, Reason: "the owner needs no more dispatchers, or has replaced this one"}, nil
	}
	o.awaitContent(ctx, d, request, r.Wait)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case d.requests != request:
		wake(d.wakeup) // the wake-up may have been for the newer request
		return dispatcher.Batch{}, &RefusedError{Reason: "the dispatcher has sent another request"}
	case o.stopped:
		return dispatcher.Batch{Ended: true, Reason: "the owner stops"}, nil
	case d.endReason != "":
		return dispatcher.Batch{Ended: true, Reason: d.endReason}, nil
	}
	return o.takeBatchFor(d), nil
}

// registerRequest finds or creates the record of the dispatcher that sent a request. It returns nil
// if the service has ended or the owner has no use for the offer.
func (o *Owner) registerRequest(r *dispatcher.PollRequest) (d *dispatcherRecord, request uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded && !o.stopped {
		return nil, 0, &RefusedError{Reason: "the pool changes its owner", RetryAfter: retryAfterNoOwner}
	}
	now := o.Clock.Now()
	d = o.dispatchers[r.Member]
	if d == nil || d.session != r.Session {
		if d = o.acceptOffer(r, now); d == nil {
			return nil, 0, nil
		}
	}
	d.requests++
	wake(d.wakeup)
	d.observeClock(r.SentAt, now)
	if d.unacknowledged != nil && r.Received >= d.unacknowledged.Number {
		d.unacknowledged = nil
	}
	o.clearSuspicion(d)
	return d, d.requests, nil
}

// acceptOffer records the dispatcher that offers its service with the first request of a session. It
// returns nil if the owner needs no more dispatchers, or if the request is not the first one, so
// that the owner has ended the service.
func (o *Owner) acceptOffer(r *dispatcher.PollRequest, now clock.Millis) *dispatcherRecord {
	if o.stopped || r.Received != 0 {
		return nil
	}
	if former := o.dispatchers[r.Member]; former != nil {
		o.dropDispatcher(former, "its member has begun another service", now)
	}
	if o.dispatchersWanted() == 0 {
		return nil
	}
	d := &dispatcherRecord{
		member: r.Member, session: r.Session, capacity: DispatcherCapacity(r.CPUCores), sessions: map[dispatcher.AssignmentID]*session{},
		respondedAt: o.Clock.Mark(), emptySince: now, wakeup: make(chan struct{}, 1),
	}
	o.dispatchers[r.Member] = d
	o.Log.Info("owner: dispatcher joined", "pool", o.Pool, "fence", o.Lease.Fence(), "dispatcher", d.member, "capacity", d.capacity)
	wake(o.planWake)
	return d
}

// awaitContent waits until there is something to respond to a request, for wait at most.
func (o *Owner) awaitContent(ctx context.Context, d *dispatcherRecord, request uint64, wait clock.Millis) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for !o.hasContent(d, request) {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-d.wakeup:
		}
	}
	o.mu.Lock()
	pause := batchInterval - o.Clock.MinElapsed(d.respondedAt)
	o.mu.Unlock()
	time.Sleep(pause.Duration())
}

// hasContent reports whether a request can be responded to.
func (o *Owner) hasContent(d *dispatcherRecord, request uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopped || d.endReason != "" || d.requests != request || d.unacknowledged != nil || d.batch.HasContent() ||
		(len(d.changes) > 0 && d.changes[0].ours <= o.durableChange)
}

// takeBatchFor returns the batch that a dispatcher has not confirmed, or else the next one, with a
// new grant. A batch is repeated as it was: a newer Durable could cover ended runs of an assignment
// that only the next batch ends.
func (o *Owner) takeBatchFor(d *dispatcherRecord) dispatcher.Batch {
	if d.unacknowledged == nil {
		d.advanceDurable(o.durableChange)
		next := d.batch
		next.Durable = d.durable
		next.Fence = o.Lease.Fence()
		if next.HasContent() {
			d.batches++
			d.unacknowledged = &next
		}
		next.Number = d.batches
		d.batch = dispatcher.Batch{}
		if d.unacknowledged == nil {
			return o.grant(d, next)
		}
	}
	return o.grant(d, *d.unacknowledged)
}

// grant adds the grant to a batch. No grant outlasts the owner's own authority.
func (o *Owner) grant(d *dispatcherRecord, b dispatcher.Batch) dispatcher.Batch {
	b.Grant = max(0, min(dispatcher.GrantLength, rowstore.OwnerLeaseAuthority-o.Lease.SinceCommit()))
	if !o.mayGiveOrders() {
		b.Grant = 0
	}
	d.respondedAt = o.Clock.Mark()
	return b
}

// TakeResults applies the results of a dispatcher. It ignores results of a service that has ended,
// and those that it has applied before.
func (o *Owner) TakeResults(r dispatcher.Results) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.dispatchers[r.Member]
	if d == nil || d.session != r.Session {
		return
	}
	now := o.Clock.Now()
	d.observeClock(r.SentAt, now)
	if r.Number == d.results+1 {
		d.results = r.Number
		for i := range r.Events {
			o.applyEvent(d, &r.Events[i], now)
		}
	}
	if r.Leaving {
		o.dropDispatcher(d, "it leaves", now)
	}
	wake(o.planWake)
}

// EndDispatcher ends the service of a dispatcher, which sends what can't be decoded.
func (o *Owner) EndDispatcher(member fleet.MemberID, reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if d := o.dispatchers[member]; d != nil {
		d.end(reason)
	}
}

// applyEvent applies one event of a dispatcher, unless its assignment has ended.
func (o *Owner) applyEvent(d *dispatcherRecord, e *dispatcher.Event, now clock.Millis) {
	s := d.sessions[e.Assignment]
	if s == nil || o.stopped {
		return
	}
	switch e.Kind {
	case dispatcher.OrderCompleted:
		order := e.Order
		order.Worker, order.Incarnation = s.worker, s.incarnation
		o.pool.Answered(order, e.Outcome, e.At+d.offset)
	case dispatcher.Polled:
		o.applyReport(d, s, e, now)
	case dispatcher.Reachable, dispatcher.Unreachable:
		s.reachable = e.Kind == dispatcher.Reachable
		o.pool.SetReachable(s.worker, s.reachable && !d.suspected, e.At+d.offset)
	case dispatcher.IncarnationLost:
		o.loseIncarnation(s, worker.Loss{Reason: e.Detail, Successor: e.Successor}, now)
	case dispatcher.LeasesExpired:
		if o.Lease.Exclusive() {
			o.expireLeases(s, now)
		} else {
			o.restartSession(s, now)
		}
	case dispatcher.FenceRefused:
		o.handleHigherFence()
	}
}

// applyReport applies the response of a worker to a dispatcher's poll.
func (o *Owner) applyReport(d *dispatcherRecord, s *session, e *dispatcher.Event, now clock.Millis) {
	report := e.Report
	report.RequestedAt += d.offset
	if report.ListedAt != 0 {
		report.ListedAt += d.offset
	}
	o.endsLogged = true // by the dispatcher
	o.observe(s.worker, report, now)
	o.endsLogged = false
	if len(report.Ended) > 0 {
		d.changes = append(d.changes, pendingChange{theirs: e.Change, ours: o.lastChange})
		wake(o.commitWake)
	}
}

// enqueueOrder adds an order to the next batch of the dispatcher that serves its worker. The stop of a run
// takes the place of its start, if no response to the dispatcher contains that yet: the batch may
// wait, and a dispatcher carries out its orders in no particular order.
func (o *Owner) enqueueOrder(s *session, order schedule.Order) {
	if order.Kind == schedule.Stop {
		s.dispatcher.batch.Orders = slices.DeleteFunc(s.dispatcher.batch.Orders, func(b dispatcher.Order) bool {
			return b.Kind == schedule.Start && b.Assignment == s.assignment && b.Task == order.Task && b.Run == order.Run
		})
	}
	s.dispatcher.batch.Orders = append(s.dispatcher.batch.Orders, dispatcher.Order{Assignment: s.assignment, Order: order})
	wake(s.dispatcher.wakeup)
}

// assignTo gives the worker of a session to a dispatcher. The worker counts as unreachable until the
// dispatcher reports otherwise.
func (o *Owner) assignTo(d *dispatcherRecord, s *session, now clock.Millis) {
	o.assignments++
	s.dispatcher, s.assignment, s.own = d, o.assignments, nil
	d.sessions[s.assignment], d.emptySince = s, 0
	d.batch.Assigned = append(d.batch.Assigned, dispatcher.Assignment{
		ID: s.assignment, Endpoint: worker.Endpoint{ID: s.worker, Address: s.address}, Incarnation: s.incarnation, FormerLeases: o.formerLeases(s.worker, now),
		FormerLease: o.strayLease(s.worker, now), MaxLease: o.MaxLease, Zone: s.zone,
	})
	o.pool.SetDispatcher(s.worker, d.member)
	wake(d.wakeup)
}

// unassign takes a worker away from its dispatcher. An assignment that was not sent yet is never
// sent.
func (o *Owner) unassign(s *session) {
	d := s.dispatcher
	delete(d.sessions, s.assignment)
	sent := len(d.batch.Assigned)
	d.batch.Assigned = slices.DeleteFunc(d.batch.Assigned, func(a dispatcher.Assignment) bool { return a.ID == s.assignment })
	if len(d.batch.Assigned) == sent {
		d.batch.Unassigned = append(d.batch.Unassigned, s.assignment)
	}
	if len(d.sessions) == 0 {
		d.emptySince = o.Clock.Now()
	}
	wake(d.wakeup)
}

// dropDispatcher ends the record of a dispatcher that calls no workers any more. Its workers are
// polled by others from now on. Responses to its orders that have not arrived never will.
func (o *Owner) dropDispatcher(d *dispatcherRecord, reason string, now clock.Millis) {
	delete(o.dispatchers, d.member)
	d.end(reason)
	o.Log.Info("owner: dispatcher left", "pool", o.Pool, "fence", o.Lease.Fence(), "dispatcher", d.member, "workers", len(d.sessions), "reason", reason)
	if o.stopped {
		wake(o.dispatcherLeft)
		return
	}
	for _, s := range d.sessions {
		o.pool.LoseOrders(s.worker, now)
		o.startSession(s.renewed(), now)
	}
	d.sessions = nil
}

// clearSuspicion makes the workers of a dispatcher that has sent a request available again.
func (o *Owner) clearSuspicion(d *dispatcherRecord) {
	if !d.suspected {
		return
	}
	d.suspected = false
	for _, s := range d.sessions {
		o.pool.SetReachable(s.worker, s.reachable, 0)
	}
}

// checkDispatchers ends the records of dispatchers whose grant has expired or which have no workers,
// and keeps starts away from those that are silent.
func (o *Owner) checkDispatchers(now clock.Millis) {
	for _, d := range o.dispatchers {
		silent := o.Clock.MinElapsed(d.respondedAt)
		switch {
		case silent > grantExpiry:
			o.dropDispatcher(d, "its grant has expired", now)
		case silent > suspectAfter && !d.suspected:
			d.suspected = true
			o.Log.Warn("owner: dispatcher is silent", "pool", o.Pool, "dispatcher", d.member, "workers", len(d.sessions), "silent_ms", int64(silent))
			for _, s := range d.sessions {
				o.pool.SetReachable(s.worker, false, 0)
			}
		case d.emptySince != 0 && now-d.emptySince > idleLimit && o.dispatcherCapacity()-d.capacity >= o.workersToDispatch():
			d.end("it has no workers")
		}
	}
}

// divide decides whether the pool is divided among dispatchers, passes workers of this member's own
// sessions to dispatchers with capacity left, and asks for more dispatchers.
func (o *Owner) divide(now clock.Millis) {
	divided := Divides(len(o.sessions), o.CPUCores, o.divided)
	if divided != o.divided {
		o.divided = divided
		o.Log.Info("owner: pool division changed", "pool", o.Pool, "fence", o.Lease.Fence(), "divided", divided, "workers", len(o.sessions))
	}
	wanted := o.dispatchersWanted()
	o.Lease.WantDispatchers(wanted)
	o.Metrics.Dispatchers.WithLabelValues(string(o.Pool)).Set(float64(len(o.dispatchers)))
	if !o.divided || len(o.dispatchers) == 0 {
		return
	}
	for _, s := range o.sessions {
		if s.dispatcher != nil || s.inFlight > 0 {
			continue
		}
		d := o.chooseDispatcher()
		if d == nil {
			return
		}
		s.cancel()
		o.assignTo(d, s, now)
	}
}

// chooseDispatcher returns the dispatcher with the smallest part of its capacity in use, or nil if
// the pool is not divided or no dispatcher has capacity left.
func (o *Owner) chooseDispatcher() *dispatcherRecord {
	if !o.divided {
		return nil
	}
	var best *dispatcherRecord
	for _, d := range o.dispatchers {
		if d.suspected || d.endReason != "" || len(d.sessions) >= d.capacity {
			continue
		}
		if best == nil || len(d.sessions)*best.capacity < len(best.sessions)*d.capacity {
			best = d
		}
	}
	return best
}

// workersToDispatch returns the number of workers that dispatchers are to serve.
func (o *Owner) workersToDispatch() int {
	if !o.divided {
		return 0
	}
	return len(o.sessions)
}

// dispatcherCapacity returns the number of workers that the dispatchers can take.
func (o *Owner) dispatcherCapacity() int {
	sum := 0
	for _, d := range o.dispatchers {
		if d.endReason == "" {
			sum += d.capacity
		}
	}
	return sum
}

// dispatchersWanted returns how many more dispatchers the pool needs.
func (o *Owner) dispatchersWanted() int {
	return DispatchersWanted(o.workersToDispatch(), o.dispatcherCapacity())
}

// awaitDispatchers waits until all dispatchers have stopped or their grants have expired, for
// stopLimit at most, and reports whether they have.
func (o *Owner) awaitDispatchers() bool {
	timer := time.NewTimer(stopLimit.Duration())
	defer timer.Stop()
	for o.dispatchersActive() {
		select {
		case <-timer.C:
			return false
		case <-o.dispatcherLeft:
		}
	}
	return true
}

// dispatchersActive reports whether a dispatcher may still call workers.
func (o *Owner) dispatchersActive() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.dispatchers {
		if o.Clock.MinElapsed(d.respondedAt) <= grantExpiry {
			return true
		}
	}
	return false
}
