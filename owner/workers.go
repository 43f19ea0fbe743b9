package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
	"citronknot/schedule"
	"citronknot/worker"
)

// Listed is a worker as the platform lists it.
type Listed struct {
	schedule.Worker
	Address string
}

// knownWorker is what is kept of a worker on which something may run.
type knownWorker struct {
	Born    clock.Millis
	Address string
}

type wireKnown struct {
	Born    int64  `json:"born_ms"`
	Address string `json:"address"`
}

// SetWorkers takes in the workers of the pool that the platform lists now.
func (o *Owner) SetWorkers(list []Listed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded || o.stopped {
		return
	}
	now := o.Clock.Now()
	present := map[fleet.InstanceID]bool{}
	for _, l := range list {
		if o.hasEnded(l.ID, l.Born) {
			continue
		}
		present[l.ID] = true
		o.listed[l.ID], o.addresses[l.ID] = l.Worker, l.Address
		k, known := o.known[l.ID]
		if known && k.Born != 0 && k.Born != l.Born {
			o.proved(l.ID)
			o.drop(l.ID, "it is listed with a later start", now)
		}
		if k, ok := o.known[l.ID]; !ok || k.Born != l.Born {
			o.known[l.ID] = knownWorker{Born: l.Born, Address: l.Address}
			o.knownDirty = true
			wake(o.save)
		}
		if k, ok := o.savedKnown[l.ID]; ok && k.Born == l.Born {
			o.follow(l, now)
		}
	}
	for id := range o.listed {
		if !present[id] {
			o.pool.Unlist(id)
			delete(o.listed, id)
		}
	}
	wake(o.plan)
}

// follow keeps a session with a worker that is known durably.
func (o *Owner) follow(l Listed, now clock.Millis) {
	o.pool.SetWorker(l.Worker, now)
	s := o.sessions[l.ID]
	if s != nil && s.born == l.Born && s.addr == l.Address {
		return
	}
	if s != nil {
		s.cancel()
	}
	sessionCtx, cancel := context.WithCancel(o.ctx)
	id, born := l.ID, l.Born
	s = &session{cancel: cancel, born: born, addr: l.Address}
	s.Session = worker.NewSession(worker.Config{
		Calls: o.Calls, Target: worker.Target{ID: id, Address: l.Address}, Incarnation: born, Clock: o.Clock,
		Fence: o.Tenure.Fence(), PollWait: o.LookWait, Log: o.Log, Authorized: o.authorized,
		Report:    func(ctx context.Context, r schedule.Report) uint64 { return o.report(ctx, id, born, r) },
		Durable:   o.durable,
		Reachable: func(yes bool) { o.change(id, born, func(clock.Millis) { o.pool.SetReachable(id, yes) }) },
		Lost:      func(why string) { o.change(id, born, func(now clock.Millis) { o.proved(id); o.drop(id, why, now) }) },
		Expired:   func() bool { return o.lapsed(id, born) },
		Deposed:   o.deposed,
	})
	o.sessions[id] = s
	o.wg.Go(func() { s.Run(sessionCtx) })
}

// change runs f under the lock if the session of this incarnation is still the current one.
func (o *Owner) change(id fleet.InstanceID, born clock.Millis, f func(now clock.Millis)) {
	o.mu.Lock()
	if s := o.sessions[id]; s != nil && s.born == born && !o.stopped {
		f(o.Clock.Now())
	}
	o.mu.Unlock()
	wake(o.plan)
}

// proved notes that nothing of a former tenure runs unseen on a worker.
func (o *Owner) proved(id fleet.InstanceID) { delete(o.unproven, id) }

// drop forgets an incarnation on which nothing runs.
func (o *Owner) drop(id fleet.InstanceID, why string, now clock.Millis) {
	o.pool.LoseWorker(id, why, now)
	if s := o.sessions[id]; s != nil {
		s.cancel()
		delete(o.sessions, id)
	}
	delete(o.known, id)
	o.knownDirty = true
	wake(o.save)
}

// lapsed takes in that the leases given to a worker have ended. That says that nothing runs
// there only if no other owner can have extended them since: without a certain tenure it is not
// taken in. A worker that is not listed either is forgotten.
func (o *Owner) lapsed(id fleet.InstanceID, born clock.Millis) bool {
	if !o.Tenure.Certain() {
		return false
	}
	o.change(id, born, func(now clock.Millis) {
		o.pool.Lapse(id, now)
		if _, listed := o.listed[id]; !listed {
			o.drop(id, "it is not listed and its leases have ended", now)
		}
	})
	return true
}

func (o *Owner) deposed() {
	o.Log.Warn("owner: a worker takes orders of a higher fence", "pool", o.Pool, "fence", o.Tenure.Fence())
	o.Tenure.Depose()
	wake(o.save)
}

// reportWait is how long a report of ends waits until they are durable: two commits under load.
const reportWait = 100 * time.Millisecond

// report takes in a look at a worker.
func (o *Owner) report(ctx context.Context, id fleet.InstanceID, born clock.Millis, r schedule.Report) uint64 {
	o.mu.Lock()
	if s := o.sessions[id]; s == nil || s.born != born || o.stopped {
		o.mu.Unlock()
		return ^uint64(0)
	}
	now := o.Clock.Now()
	o.proved(id)
	o.pool.Observe(id, r, now)
	if len(r.Ended) == 0 {
		o.mu.Unlock()
		return 0
	}
	o.changes++
	change := o.changes
	o.mu.Unlock()
	wake(o.plan)
	wake(o.save)
	o.awaitDurable(ctx, change)
	return change
}

// awaitDurable waits until a change is durable, for reportWait at most.
func (o *Owner) awaitDurable(ctx context.Context, change uint64) {
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	for {
		o.mu.Lock()
		reached, saved := o.durableTo >= change, o.saved
		o.mu.Unlock()
		if reached {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-saved:
		}
	}
}

func (o *Owner) durable() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.durableTo
}

// knownRow returns the write that makes the known workers durable.
func (o *Owner) knownRow(known map[fleet.InstanceID]knownWorker) (rowstore.Write, error) {
	w := make(map[string]wireKnown, len(known))
	for id, k := range known {
		w[string(id)] = wireKnown{Born: int64(k.Born), Address: k.Address}
	}
	value, err := json.Marshal(w)
	if err != nil {
		return rowstore.Write{}, eris.Wrap(err, "owner: known workers")
	}
	return rowstore.Write{Ref: o.ref(workersTable, "known"), Value: value}, nil
}

func decodeKnown(value []byte) (map[fleet.InstanceID]knownWorker, error) {
	var w map[string]wireKnown
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, eris.Wrap(err, "owner: known workers")
	}
	out := make(map[fleet.InstanceID]knownWorker, len(w))
	for id, k := range w {
		out[fleet.InstanceID(id)] = knownWorker{Born: clock.Millis(k.Born), Address: k.Address}
	}
	return out, nil
}
