package owner

import (
	"context"
	"maps"
	"time"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/schedule"
	"citronknot/worker"
)

// ListedWorker is a worker as the platform lists it, with the network address at which it is
// reached.
type ListedWorker struct {
	schedule.Worker
	Address string
}

// SetWorkers sets the workers of the pool that the platform lists now. A worker that is new is
// polled once it is recorded durably. SetWorkers does nothing if the pool is not loaded or the
// owner has stopped.
func (o *Owner) SetWorkers(list []ListedWorker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded || o.stopped {
		return
	}
	now := o.Clock.Now()
	present := map[fleet.InstanceID]bool{}
	for _, listed := range list {
		recorded, known := o.knownWorkers[listed.ID]
		if o.hasEnded(listed.ID, listed.Incarnation) || (known && listed.Incarnation < recorded.Incarnation) {
			continue // the entry is older than what the worker has answered
		}
		present[listed.ID] = true
		o.listedWorkers[listed.ID], o.addresses[listed.ID] = listed.Worker, listed.Address
		if known && recorded.Incarnation != 0 && recorded.Incarnation != listed.Incarnation {
			o.replaceIncarnation(listed.ID, worker.Loss{Reason: "a later incarnation is listed", Successor: listed.Incarnation}, now)
		}
		if recorded, ok := o.knownWorkers[listed.ID]; !ok || recorded.Incarnation != listed.Incarnation {
			_, restarted := o.strayLeases[listed.ID]
			o.knownWorkers[listed.ID] = knownWorker{Incarnation: listed.Incarnation, Address: listed.Address, Unused: true, Restarted: restarted}
			o.knownWorkersDirty = true
			wake(o.commitWake)
		}
		if recorded, ok := o.savedKnownWorkers[listed.ID]; ok && recorded.Incarnation == listed.Incarnation {
			o.followWorker(listed, now)
		}
	}
	for id := range o.listedWorkers {
		if !present[id] {
			o.pool.Unlist(id, now)
			delete(o.listedWorkers, id)
		}
	}
	wake(o.planWake)
}

// followWorker ensures a session with a worker that is recorded durably.
func (o *Owner) followWorker(l ListedWorker, now clock.Millis) {
	o.pool.SetWorker(l.Worker, now)
	o.pool.HoldStarts(l.ID, o.savedKnownWorkers[l.ID].Unused)
	s := o.sessions[l.ID]
	if s != nil && s.incarnation == l.Incarnation && s.address == l.Address && s.zone == l.Zone {
		return
	}
	if s != nil {
		o.endSession(s)
	}
	o.startSession(&session{worker: l.ID, incarnation: l.Incarnation, address: l.Address, zone: l.Zone}, now)
}

// ifCurrent runs f under the lock if the owner still polls the worker through this session of its
// own.
func (o *Owner) ifCurrent(s *session, f func(now clock.Millis)) {
	o.mu.Lock()
	if o.isCurrent(s) {
		f(o.Clock.Now())
	}
	o.mu.Unlock()
	wake(o.planWake)
}

// isCurrent reports whether the owner polls a worker through this session of its own. A session that
// was ended, or whose worker was given to a dispatcher, may still have a response in hand.
func (o *Owner) isCurrent(s *session) bool {
	return o.sessions[s.worker] == s && s.dispatcher == nil && !o.stopped
}

// confirmWorker marks a worker as confirmed: this owner has received the list of its runs and all of its ended
// runs, or nothing runs on it any more.
func (o *Owner) confirmWorker(id fleet.InstanceID) {
	delete(o.unconfirmed, id)
	delete(o.unreadEnds, id)
}

// removeWorker removes an incarnation on which nothing runs from the pool, ends its session and
// deletes its record.
func (o *Owner) removeWorker(id fleet.InstanceID, cause schedule.LossCause, reason string, now clock.Millis) {
	delete(o.unreadEnds, id)
	o.pool.RemoveWorker(id, cause, reason, now)
	if s := o.sessions[id]; s != nil {
		o.endSession(s)
	}
	delete(o.knownWorkers, id)
	o.knownWorkersDirty = true
	wake(o.commitWake)
}

// incarnation is one life of a worker. One that has certainly ended, because its machine was moved or taken
// down, or because another one has answered in its place, may be listed by the platform for a while.
type incarnation struct {
	worker fleet.InstanceID
	born   clock.Millis // its start time
}

// endedRetention is how long an ended incarnation is remembered. The platform removes the entry of a
// worker after a few heartbeats without one.
const endedRetention clock.Millis = 60_000

// recordEnded records that an incarnation of a worker has ended.
func (o *Owner) recordEnded(id fleet.InstanceID, born, now clock.Millis) {
	maps.DeleteFunc(o.endedIncarnations, func(_ incarnation, since clock.Millis) bool { return now-since > endedRetention })
	o.endedIncarnations[incarnation{worker: id, born: born}] = now
}

// hasEnded reports whether an incarnation of a worker is known to have ended.
func (o *Owner) hasEnded(id fleet.InstanceID, born clock.Millis) bool {
	_, ended := o.endedIncarnations[incarnation{worker: id, born: born}]
	return ended
}

// loseIncarnation removes an incarnation of which a session has found that it has ended.
func (o *Owner) loseIncarnation(s *session, l worker.Loss, now clock.Millis) {
	if l.Successor != 0 {
		o.replaceIncarnation(s.worker, l, now)
		return
	}
	o.recordEnded(s.worker, s.incarnation, now)
	o.confirmWorker(s.worker)
	o.removeWorker(s.worker, schedule.LossCrash, l.Reason, now)
}

// replaceIncarnation records that a worker has started again under its id. Its successor may have carried
// out orders that were meant for the ended incarnation, and may yet carry out those without an answer. If there are
// such orders, or if an earlier owner may have given some, the successor is polled at once, and its tasks wait until
// it has listed them, or until the leases that it may have given them have expired. It gets no starts before
// the platform lists it and its record is durable.
func (o *Owner) replaceIncarnation(id fleet.InstanceID, l worker.Loss, now clock.Millis) {
	former := o.knownWorkers[id]
	o.recordEnded(id, former.Incarnation, now)
	delete(o.unreadEnds, id)
	o.expectStrayLeases(id, now)
	kept := o.pool.UnprovenRuns(id)
	if kept == 0 && !o.unconfirmed[id] {
		o.removeWorker(id, schedule.LossCrash, l.Reason, now)
		return
	}
	o.pool.RestartWorker(id, l.Successor, l.Reason, now)
	o.Log.Info("owner: a restarted worker may have runs of its former incarnation", "pool", o.Pool, "fence", o.Lease.Fence(), "worker", id, "runs", kept)
	o.knownWorkers[id] = knownWorker{Incarnation: l.Successor, Address: former.Address, Restarted: true}
	o.knownWorkersDirty = true
	wake(o.commitWake)
	successor := &session{worker: id, incarnation: l.Successor, address: former.Address}
	if s := o.sessions[id]; s != nil {
		successor.address, successor.zone = s.address, s.zone
		o.endSession(s)
	}
	o.startSession(successor, now)
}

// handleExpiredLeases records that the leases given to a worker have expired, and reports whether
// it did. Expiry means that nothing runs there only if no other owner can have extended the
// leases since, so it is not recorded unless this member is certain to hold the owner lease.
func (o *Owner) handleExpiredLeases(s *session) bool {
	if !o.Lease.Exclusive() {
		return false
	}
	o.ifCurrent(s, func(now clock.Millis) { o.expireLeases(s, now) })
	return true
}

// expireLeases ends the runs of a worker whose leases have expired. A worker that is not listed is
// removed as well; another one gets a new session.
func (o *Owner) expireLeases(s *session, now clock.Millis) {
	delete(o.unreadEnds, s.worker)
	o.pool.ExpireLeases(s.worker, now)
	if _, listed := o.listedWorkers[s.worker]; !listed {
		o.removeWorker(s.worker, schedule.LossSilent, "it is not listed and its leases have expired", now)
		return
	}
	o.restartSession(s, now)
}

// handleHigherFence gives up the owner lease after a worker has accepted a higher fence, which
// means that another member holds the lease.
func (o *Owner) handleHigherFence() {
	o.Log.Warn("owner: a worker has accepted a higher fence; another member owns the pool", "pool", o.Pool, "fence", o.Lease.Fence())
	o.Lease.MarkLost()
	wake(o.commitWake)
}

// durableWait is how long a report of ended runs waits until these are durable. Two commits take
// as long under load.
const durableWait = 100 * time.Millisecond

// handleReport applies the result of a poll to the pool. It returns the number of the change that
// makes the report's ended runs durable, 0 if there are none, and the highest number if the
// session is no longer current, so that these runs never count as durable.
func (o *Owner) handleReport(ctx context.Context, s *session, r schedule.Report) uint64 {
	o.mu.Lock()
	if !o.isCurrent(s) {
		o.mu.Unlock()
		return ^uint64(0)
	}
	o.observe(s.worker, r, o.Clock.Now())
	if len(r.Ended) == 0 {
		o.mu.Unlock()
		return 0
	}
	change := o.lastChange
	o.mu.Unlock()
	wake(o.planWake)
	wake(o.commitWake)
	o.awaitDurable(ctx, change)
	return change
}

// observe applies the result of a poll to the pool. Ended runs in it get the next number of a change.
func (o *Owner) observe(id fleet.InstanceID, r schedule.Report, now clock.Millis) {
	if r.MoreEnds {
		o.unreadEnds[id] = true
	} else {
		o.confirmWorker(id)
	}
	o.markUsed(id)
	o.pool.Observe(id, r, now)
	o.activity.ends += len(r.Ended)
	if len(r.Ended) > 0 {
		o.lastChange++
	}
}

// markUsed records that starts may be sent to a worker from the next commit on; see applyCommitted.
func (o *Owner) markUsed(id fleet.InstanceID) {
	k, known := o.knownWorkers[id]
	if !known || !k.Unused {
		return
	}
	k.Unused = false
	o.knownWorkers[id] = k
	o.knownWorkersDirty = true
	wake(o.commitWake)
}

// awaitDurable waits until a change is durable, for durableWait at most.
func (o *Owner) awaitDurable(ctx context.Context, change uint64) {
	timer := time.NewTimer(durableWait)
	defer timer.Stop()
	for {
		o.mu.Lock()
		done, committed := o.durableChange >= change, o.committed
		o.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-committed:
		}
	}
}

// lastDurableChange returns the number of the newest durable change.
func (o *Owner) lastDurableChange() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.durableChange
}
