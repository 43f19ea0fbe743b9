package owner

import (
	"context"

	"citronknot/clock"
	"citronknot/dispatcher"
	"citronknot/fleet"
	"citronknot/schedule"
	"citronknot/worker"
)

// session is how the owner reaches one incarnation of a worker: through a worker session of its own
// or through a dispatcher.
type session struct {
	worker      fleet.InstanceID
	incarnation clock.Millis
	address     string
	zone        fleet.ZoneID // of the worker; empty if unknown

	own      *worker.Session // nil if a dispatcher serves the worker
	cancel   context.CancelFunc
	inFlight int // orders through own without an outcome

	dispatcher *dispatcherRecord // nil if the owner serves the worker
	assignment dispatcher.AssignmentID
	reachable  bool // as the dispatcher reported last
}

// startSession starts to poll a worker that is recorded durably, through a dispatcher if the pool is
// divided and one has capacity left.
func (o *Owner) startSession(s *session, now clock.Millis) {
	id := s.worker
	o.sessions[id] = s
	if d := o.chooseDispatcher(); d != nil {
		o.assignTo(d, s, now)
		return
	}
	o.pool.SetDispatcher(id, "")
	o.startOwnSession(s, now)
}

// endSession stops polling a worker.
func (o *Owner) endSession(s *session) {
	delete(o.sessions, s.worker)
	if s.dispatcher != nil {
		o.unassign(s)
		return
	}
	s.cancel()
}

// restartSession replaces the session with a worker whose leases have expired. The former one sends no
// starts any more, because the tasks may start on other workers.
func (o *Owner) restartSession(s *session, now clock.Millis) {
	o.endSession(s)
	o.startSession(s.renewed(), now)
}

// renewed returns a session that is not started, with the same worker.
func (s *session) renewed() *session {
	return &session{worker: s.worker, incarnation: s.incarnation, address: s.address, zone: s.zone}
}

// startOwnSession starts a worker session of this member.
func (o *Owner) startOwnSession(s *session, now clock.Millis) {
	ctx, cancel := context.WithCancel(o.sessionsCtx)
	s.cancel = cancel
	s.own = worker.NewSession(worker.Config{
		Calls: o.Calls, Endpoint: worker.Endpoint{ID: s.worker, Address: s.address}, Incarnation: s.incarnation, Clock: o.Clock,
		Fence: o.Lease.Fence(), PollWait: o.PollWait, Log: o.Log, Authorized: o.mayGiveOrders, FormerLeasesEnd: now + o.formerLeases(s.worker, now),
		FormerLease: o.strayLease(s.worker, now), MaxLease: o.MaxLease,
		MayStart: func() bool { return o.MayStart == nil || o.MayStart(s.zone) },
		Report:   func(ctx context.Context, r schedule.Report) uint64 { return o.handleReport(ctx, s, r) },
		Durable:  o.lastDurableChange,
		Reachable: func(yes bool, since clock.Millis) {
			o.ifCurrent(s, func(clock.Millis) { o.pool.SetReachable(s.worker, yes, since) })
		},
		Lost: func(l worker.Loss) {
			o.ifCurrent(s, func(now clock.Millis) { o.loseIncarnation(s, l, now) })
		},
		Expired:       func() bool { return o.handleExpiredLeases(s) },
		OnHigherFence: o.handleHigherFence,
	})
	own := s.own
	o.wg.Go(func() { own.Run(ctx) })
}

// formerLeases returns the longest time from now for which leases can last that an earlier owner, or
// a session of this owner that has ended, gave to a worker's runs.
func (o *Owner) formerLeases(id fleet.InstanceID, now clock.Millis) clock.Millis {
	left := max(formerLeaseLimit, o.formerLeasesEnd-now)
	if end, ok := o.strayLeases[id]; ok {
		left = max(left, end-now)
	}
	return left
}

// strayLease returns the longest lease that runs on a worker may have beside those that its sessions give, or 0.
// An incarnation that receives a poll or a start for an earlier one grants the longest lease, to all of its runs: the
// clock on which that lease was to end has started anew.
func (o *Owner) strayLease(id fleet.InstanceID, now clock.Millis) clock.Millis {
	if end, ok := o.strayLeases[id]; !ok || now >= end {
		return 0
	}
	return o.MaxLease
}

// expectStrayLeases records that runs on a worker may have the longest lease, granted at a given time or before. A
// recovery that waits for the worker waits until that has expired.
func (o *Owner) expectStrayLeases(id fleet.InstanceID, grantedAt clock.Millis) {
	end := grantedAt + worker.MaxElapsed(o.MaxLease) + formerLeaseSlack
	o.strayLeases[id] = end
	if o.unconfirmed[id] {
		o.formerLeasesEnd = max(o.formerLeasesEnd, end)
	}
}

// forgetStrayLeases removes the marks of restarted workers whose runs have no longer leases any more.
func (o *Owner) forgetStrayLeases(now clock.Millis) {
	for id, end := range o.strayLeases {
		if now < end {
			continue
		}
		delete(o.strayLeases, id)
		if k, known := o.knownWorkers[id]; known && k.Restarted {
			k.Restarted = false
			o.knownWorkers[id] = k
			o.knownWorkersDirty = true
			wake(o.commitWake)
		}
	}
}
