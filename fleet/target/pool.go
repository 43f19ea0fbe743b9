package target

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"citronknot/clock"
	"citronknot/fleet"
)

// emptySnapshot is used for an unknown pool.
var emptySnapshot = &Snapshot{}

// Snapshot lists the instances of a pool that may get new requests. It is immutable. A target
// that is leaving, or whose phase is not serving, is not in the list (invariant I9).
type Snapshot struct {
	Targets []fleet.Instance
	// MaxEjected is the number of targets that may be ejected at once: the pool's availability
	// budget, which limits the absent targets, less those that are absent for other reasons.
	MaxEjected int
	// Members is the number of members that use these targets; 0 means 1. Rank is this member's
	// position among them, from 0, in an order that is the same at all members.
	Members int
	Rank    int
}

// ownSlots returns the number of slots of a target that are assigned to this member.
func (s *Snapshot) ownSlots(instance fleet.Instance) int {
	members := max(1, s.Members)
	offset := int(xxhash.Sum64String(string(instance.ID)) % uint64(members))
	return OwnSlots(int(instance.Slots), s.Rank, members, offset)
}

// noOwnSlots reports whether no slot of the pool is assigned to this member, which happens when
// the pool has fewer slots than members.
func (s *Snapshot) noOwnSlots() bool {
	for _, instance := range s.Targets {
		if s.ownSlots(instance) > 0 {
			return false
		}
	}
	return true
}

// targetState is the state of one target. All pools that list the target share it.
type targetState struct {
	id           fleet.InstanceID
	peerInFlight atomic.Int32
	connsOpened  atomic.Uint64 // number of connections opened so far

	mu           sync.Mutex
	instance     fleet.Instance
	ownSlots     int  // slots assigned to this member; see OwnSlots
	noOwnSlots   bool // see Load.AnySlot
	maxInFlight  int  // limit on requests in flight, and so on connections
	inFlight     int
	health       Health
	idle         []*pooledConn // the most recently used is at the end
	abandonedSeq uint64        // connections with a seq up to this one are not used again
	generation   uint64        // how often connections were abandoned
	viewCount    int           // number of pools that list the target
}

// load returns the load of the target at the time now.
func (s *targetState) load(now clock.Millis) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadLocked(now)
}

func (s *targetState) loadLocked(now clock.Millis) Load {
	return Load{
		InFlight: s.inFlight, PeerInFlight: int(s.peerInFlight.Load()), Slots: int(s.instance.Slots), OwnSlots: s.ownSlots, AnySlot: s.noOwnSlots,
		Limit: s.health.Limit(now, s.maxInFlight), Penalty: s.health.Penalty(now), Ejected: s.health.Ejected(now),
	}
}

// tryStart counts a request as in flight and returns true if the target is still usable.
// Another request may have taken the last slot since the target was selected. allowEjected
// accepts an ejected target.
func (s *targetState) tryStart(now clock.Millis, allowEjected bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.loadLocked(now)
	load.Ejected = load.Ejected && !allowEjected
	if !load.Usable() {
		return false
	}
	s.inFlight++
	return true
}

func (s *targetState) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// view is a snapshot together with the states of its targets.
type view struct {
	snapshot   *Snapshot
	sameZone   []*targetState // in the zone of this member
	otherZones []*targetState
	all        []*targetState
}

// pool is the state of one pool. mu is held only for a few additions for each request.
type pool struct {
	view atomic.Pointer[view]

	mu        sync.Mutex
	budget    RetryBudget
	latencies Latencies

	ejectMu sync.Mutex // serializes ejections, so that they do not exceed MaxEjected
}

// pool returns the state of a pool with the view of its newest snapshot.
func (d *Dispatcher) pool(id fleet.PoolID) *pool {
	var pool *pool
	if pools := d.pools.Load(); pools != nil {
		pool = (*pools)[id]
	}
	if pool != nil && pool.view.Load().snapshot == d.snapshot(id) {
		return pool
	}
	return d.rebuild(id)
}

func (d *Dispatcher) snapshot(id fleet.PoolID) *Snapshot {
	if s := d.Snapshot(id); s != nil {
		return s
	}
	return emptySnapshot
}

// rebuild replaces the view of a pool by one of its newest snapshot. The snapshot is read under
// the lock, so that a view is never replaced by one of an older snapshot.
func (d *Dispatcher) rebuild(id fleet.PoolID) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool, known := d.poolLocked(id)
	snapshot := d.snapshot(id)
	oldView := pool.view.Load()
	if oldView != nil && oldView.snapshot == snapshot {
		return pool
	}
	newView := &view{snapshot: snapshot}
	noOwnSlots := snapshot.noOwnSlots()
	for _, instance := range snapshot.Targets {
		target := d.targetLocked(instance)
		target.update(instance, snapshot, noOwnSlots)
		target.addViews(1)
		newView.all = append(newView.all, target)
		if instance.Zone == d.Zone {
			newView.sameZone = append(newView.sameZone, target)
		} else {
			newView.otherZones = append(newView.otherZones, target)
		}
	}
	pool.view.Store(newView)
	if !known {
		d.addPoolLocked(id, pool)
	}
	if oldView != nil {
		for _, target := range oldView.all {
			target.addViews(-1)
		}
	}
	d.pruneLocked()
	pool.readmitExcess(d.Clock.Now())
	return pool
}

func (d *Dispatcher) poolLocked(id fleet.PoolID) (found *pool, known bool) {
	if pools := d.pools.Load(); pools != nil {
		if found, ok := (*pools)[id]; ok {
			return found, true
		}
	}
	return &pool{}, false
}

// addPoolLocked adds a pool that already has a view. The map is copied, because it is read
// without a lock.
func (d *Dispatcher) addPoolLocked(id fleet.PoolID, added *pool) {
	updated := map[fleet.PoolID]*pool{id: added}
	if old := d.pools.Load(); old != nil {
		for k, o := range *old {
			updated[k] = o
		}
	}
	d.pools.Store(&updated)
}

func (d *Dispatcher) targetLocked(instance fleet.Instance) *targetState {
	target, ok := d.targets[instance.ID]
	if !ok {
		if d.targets == nil {
			d.targets = map[fleet.InstanceID]*targetState{}
		}
		target = &targetState{id: instance.ID}
		d.targets[instance.ID] = target
	}
	return target
}

// pruneLocked removes the targets that no pool lists and that have no request in flight. It
// closes the idle connections of every target that no pool lists.
func (d *Dispatcher) pruneLocked() {
	for id, target := range d.targets {
		target.mu.Lock()
		unlisted, idle := target.viewCount == 0, target.inFlight == 0
		target.mu.Unlock()
		if unlisted {
			target.closeIdle()
		}
		if unlisted && idle {
			delete(d.targets, id)
		}
	}
}

func (s *targetState) addViews(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.viewCount += change
}

// Acquire selects a target of a pool and counts a request as in flight there until release is
// called. It returns a nil release if no target is usable. Callers of Forward do not call it.
func (d *Dispatcher) Acquire(id fleet.PoolID) (instance fleet.InstanceID, release func()) {
	target := d.pool(id).acquire(d.Clock.Now(), nil)
	if target == nil {
		return "", nil
	}
	return target.id, target.finish
}

// acquire selects a target other than the tried ones and counts a request as in flight there.
// Targets in the zone of this member are preferred. An ejected target is selected only if all
// targets of the pool are ejected.
func (p *pool) acquire(now clock.Millis, tried []*targetState) *targetState {
	view := p.view.Load()
	for _, group := range [2][]*targetState{view.sameZone, view.otherZones} {
		if target := acquireFrom(group, now, tried, false); target != nil {
			return target
		}
	}
	if len(view.all) > 0 && p.countEjected(view, now) == len(view.all) {
		return acquireFrom(view.all, now, tried, true)
	}
	return nil
}

// acquireFrom selects among the targets of one group and counts a request as in flight.
// allowEjected accepts ejected targets.
func acquireFrom(group []*targetState, now clock.Millis, tried []*targetState, allowEjected bool) *targetState {
	// Another request can take the last slot between Choose and tryStart.
	for range 4 {
		i := Choose(len(group), func(i int) Load {
			for _, triedTarget := range tried {
				if triedTarget == group[i] {
					return Load{Ejected: true}
				}
			}
			load := group[i].load(now)
			load.Ejected = load.Ejected && !allowEjected
			return load
		}, rand.IntN)
		if i < 0 {
			return nil
		}
		if group[i].tryStart(now, allowEjected) {
			return group[i]
		}
	}
	return nil
}

// Capacity returns how many requests this member can run on the targets of a pool at once.
// Ejected targets count as 0.
func (d *Dispatcher) Capacity(id fleet.PoolID) fleet.Slots {
	now := d.Clock.Now()
	capacity := 0
	for _, target := range d.pool(id).view.Load().all {
		capacity += target.load(now).Capacity()
	}
	return fleet.Slots(capacity)
}

// full reports whether the requests in flight, by this member's counts and the summaries of the
// others, use all slots of the pool.
func (p *pool) full(now clock.Millis) bool {
	running, slots := 0, 0
	for _, target := range p.view.Load().all {
		load := target.load(now)
		running += load.InFlight + load.PeerInFlight
		slots += load.Slots
	}
	return running >= slots
}

func (p *pool) countEjected(view *view, now clock.Millis) int {
	count := 0
	for _, target := range view.all {
		target.mu.Lock()
		if target.health.Ejected(now) {
			count++
		}
		target.mu.Unlock()
	}
	return count
}

// recordFailure records a failure of a target and ejects the target if it is an outlier and
// fewer than MaxEjected targets are ejected. No other code ejects targets.
func (p *pool) recordFailure(target *targetState, now clock.Millis) {
	p.ejectMu.Lock()
	defer p.ejectMu.Unlock()
	target.mu.Lock()
	target.health.RecordFailure(now)
	target.mu.Unlock()
	view := p.view.Load()
	var otherTargets Health
	listed := false
	for _, other := range view.all {
		if other == target {
			listed = true
			continue
		}
		other.mu.Lock()
		other.health.decay(now)
		otherTargets.successes += other.health.successes
		otherTargets.failures += other.health.failures
		other.mu.Unlock()
	}
	if !listed || p.countEjected(view, now) >= view.snapshot.MaxEjected {
		return
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if !target.health.Ejected(now) && target.health.Outlier(otherTargets.FailureRate()) {
		target.health.Eject(now)
	}
}

// readmitExcess readmits targets when a new snapshot allows fewer ejections than there are.
func (p *pool) readmitExcess(now clock.Millis) {
	p.ejectMu.Lock()
	defer p.ejectMu.Unlock()
	view := p.view.Load()
	excess := p.countEjected(view, now) - view.snapshot.MaxEjected
	for _, target := range view.all {
		if excess <= 0 {
			return
		}
		target.mu.Lock()
		if target.health.Ejected(now) {
			target.health.Readmit(now)
			excess--
		}
		target.mu.Unlock()
	}
}
