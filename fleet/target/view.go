package target

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"citronknot/clock"
	"citronknot/fleet"
)

// noTargets stands for the snapshot of an unknown pool.
var noTargets = &Snapshot{}

// Snapshot lists the instances of a pool that may get new requests. It is immutable. A target
// that is leaving, or whose phase is not serving, is absent from it (I9).
type Snapshot struct {
	Targets []fleet.Instance
	// MaxEjected is what the pool's availability budget leaves: the number of targets that may
	// be ejected at once.
	MaxEjected int
	// Members is the number of members that use these targets; 0 means 1. Rank is this member's
	// place among them, from 0, in an order that all members agree on.
	Members int
	Rank    int
}

// part returns the slots of a target that are this member's own.
func (s *Snapshot) part(in fleet.Instance) int {
	members := max(1, s.Members)
	offset := int(xxhash.Sum64String(string(in.ID)) % uint64(members))
	return Part(int(in.Slots), s.Rank, members, offset)
}

// ownsNothing reports whether no slot of the pool is this member's own, which happens when the
// pool has fewer slots than members.
func (s *Snapshot) ownsNothing() bool {
	for _, in := range s.Targets {
		if s.part(in) > 0 {
			return false
		}
	}
	return true
}

// state is the shard of one target.
type state struct {
	id     fleet.InstanceID
	peers  atomic.Int32
	opened atomic.Uint64 // connections opened

	mu         sync.Mutex
	instance   fleet.Instance
	part       int  // see Part
	shared     bool // see Load
	limit      int  // bound on requests in flight, and so on connections
	inFlight   int
	health     Health
	idle       []*pooledConn // the one used last is at the end
	abandoned  uint64        // connections up to this one are not used again
	generation uint64        // times that connections were abandoned
	views      int           // pools that list the target
}

// load returns what selection knows of the target.
func (s *state) load(now clock.Millis) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadLocked(now)
}

func (s *state) loadLocked(now clock.Millis) Load {
	return Load{
		InFlight: s.inFlight, Peers: int(s.peers.Load()), Slots: int(s.instance.Slots), Part: s.part, Shared: s.shared,
		Limit: s.health.Limit(now, s.limit), Penalty: s.health.Penalty(now), Ejected: s.health.Ejected(now),
	}
}

// start counts a request if the target is still usable. Another request may have taken the
// last slot since the target was selected. anyway accepts an ejected target.
func (s *state) start(now clock.Millis, anyway bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loadLocked(now)
	l.Ejected = l.Ejected && !anyway
	if !l.Usable() {
		return false
	}
	s.inFlight++
	return true
}

func (s *state) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// view is a snapshot with the state of its targets.
type view struct {
	snapshot *Snapshot
	own      []*state // in the member's zone
	others   []*state
	all      []*state
}

// pool is the shard of one pool. Its lock is held for a few additions for each request.
type pool struct {
	view atomic.Pointer[view]

	mu        sync.Mutex
	budget    RetryBudget
	latencies Latencies

	ejecting sync.Mutex // serializes ejections, so that they are counted correctly
}

// pool returns the shard of a pool with its view up to date.
func (d *Dispatcher) pool(id fleet.PoolID) *pool {
	var p *pool
	if m := d.pools.Load(); m != nil {
		p = (*m)[id]
	}
	if p != nil && p.view.Load().snapshot == d.snapshot(id) {
		return p
	}
	return d.rebuild(id)
}

func (d *Dispatcher) snapshot(id fleet.PoolID) *Snapshot {
	if s := d.Serving(id); s != nil {
		return s
	}
	return noTargets
}

// rebuild makes the view of a pool for its newest snapshot. The snapshot is read under the
// lock, so that a view is never replaced by one of an older snapshot.
func (d *Dispatcher) rebuild(id fleet.PoolID) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, known := d.poolLocked(id)
	snapshot := d.snapshot(id)
	old := p.view.Load()
	if old != nil && old.snapshot == snapshot {
		return p
	}
	v := &view{snapshot: snapshot}
	shared := snapshot.ownsNothing()
	for _, in := range snapshot.Targets {
		s := d.targetLocked(in)
		s.adopt(in, snapshot, shared)
		s.hold(1)
		v.all = append(v.all, s)
		if in.Zone == d.Zone {
			v.own = append(v.own, s)
		} else {
			v.others = append(v.others, s)
		}
	}
	p.view.Store(v)
	if !known {
		d.addPoolLocked(id, p)
	}
	if old != nil {
		for _, s := range old.all {
			s.hold(-1)
		}
	}
	d.pruneLocked()
	p.trim(d.Clock.Now())
	return p
}

func (d *Dispatcher) poolLocked(id fleet.PoolID) (p *pool, known bool) {
	if m := d.pools.Load(); m != nil {
		if p, ok := (*m)[id]; ok {
			return p, true
		}
	}
	return &pool{}, false
}

// addPoolLocked publishes a pool that has its view. The map is copied, because readers hold it
// without a lock.
func (d *Dispatcher) addPoolLocked(id fleet.PoolID, p *pool) {
	next := map[fleet.PoolID]*pool{id: p}
	if old := d.pools.Load(); old != nil {
		for k, o := range *old {
			next[k] = o
		}
	}
	d.pools.Store(&next)
}

func (d *Dispatcher) targetLocked(in fleet.Instance) *state {
	s, ok := d.targets[in.ID]
	if !ok {
		if d.targets == nil {
			d.targets = map[fleet.InstanceID]*state{}
		}
		s = &state{id: in.ID}
		d.targets[in.ID] = s
	}
	return s
}

// pruneLocked drops the targets that no pool lists and that have no request in flight.
func (d *Dispatcher) pruneLocked() {
	for id, s := range d.targets {
		s.mu.Lock()
		unlisted, idle := s.views == 0, s.inFlight == 0
		s.mu.Unlock()
		if unlisted {
			s.closeIdle()
		}
		if unlisted && idle {
			delete(d.targets, id)
		}
	}
}

func (s *state) hold(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views += n
}

// Acquire selects a target of a pool and counts a request there until release is called. It
// returns a nil release if no target is usable. Forward does this by itself.
func (d *Dispatcher) Acquire(id fleet.PoolID) (in fleet.InstanceID, release func()) {
	s := d.pool(id).acquire(d.Clock.Now(), nil)
	if s == nil {
		return "", nil
	}
	return s.id, s.finish
}

// acquire selects a target other than the tried ones and counts a request there. Targets in
// the member's own zone come first.
func (p *pool) acquire(now clock.Millis, tried []*state) *state {
	v := p.view.Load()
	for _, group := range [2][]*state{v.own, v.others} {
		if s := acquireFrom(group, now, tried, false); s != nil {
			return s
		}
	}
	if len(v.all) > 0 && p.ejected(v, now) == len(v.all) {
		return acquireFrom(v.all, now, tried, true)
	}
	return nil
}

// acquireFrom selects among the targets of one group. anyway accepts ejected targets.
func acquireFrom(group []*state, now clock.Millis, tried []*state, anyway bool) *state {
	// Selection and start are not atomic, so another request can take the last slot between.
	for range 4 {
		i := Choose(len(group), func(i int) Load {
			for _, t := range tried {
				if t == group[i] {
					return Load{Ejected: true}
				}
			}
			l := group[i].load(now)
			l.Ejected = l.Ejected && !anyway
			return l
		}, rand.IntN)
		if i < 0 {
			return nil
		}
		if group[i].start(now, anyway) {
			return group[i]
		}
	}
	return nil
}

// Capacity returns how many requests this member can run on a pool's targets at once. Ejected
// targets add nothing.
func (d *Dispatcher) Capacity(id fleet.PoolID) fleet.Slots {
	now := d.Clock.Now()
	n := 0
	for _, s := range d.pool(id).view.Load().all {
		n += s.load(now).Capacity()
	}
	return fleet.Slots(n)
}

// full reports whether the requests known to run fill the pool's slots.
func (p *pool) full(now clock.Millis) bool {
	running, slots := 0, 0
	for _, s := range p.view.Load().all {
		l := s.load(now)
		running += l.InFlight + l.Peers
		slots += l.Slots
	}
	return running >= slots
}

func (p *pool) ejected(v *view, now clock.Millis) int {
	n := 0
	for _, s := range v.all {
		s.mu.Lock()
		if s.health.Ejected(now) {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// failed records a failure of a target and ejects it if it is an outlier and the pool's
// availability budget leaves room. It is the one place that ejects targets.
func (p *pool) failed(s *state, now clock.Millis) {
	p.ejecting.Lock()
	defer p.ejecting.Unlock()
	s.mu.Lock()
	s.health.Failed(now)
	s.mu.Unlock()
	v := p.view.Load()
	var others Health
	listed := false
	for _, o := range v.all {
		if o == s {
			listed = true
			continue
		}
		o.mu.Lock()
		o.health.decay(now)
		others.good += o.health.good
		others.bad += o.health.bad
		o.mu.Unlock()
	}
	if !listed || p.ejected(v, now) >= v.snapshot.MaxEjected {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.health.Ejected(now) && s.health.Outlier(others.Rate()) {
		s.health.Eject(now)
	}
}

// trim readmits targets when a new snapshot leaves less room for ejections.
func (p *pool) trim(now clock.Millis) {
	p.ejecting.Lock()
	defer p.ejecting.Unlock()
	v := p.view.Load()
	excess := p.ejected(v, now) - v.snapshot.MaxEjected
	for _, s := range v.all {
		if excess <= 0 {
			return
		}
		s.mu.Lock()
		if s.health.Ejected(now) {
			s.health.Readmit(now)
			excess--
		}
		s.mu.Unlock()
	}
}
