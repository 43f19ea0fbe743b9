package entry

import (
	"sync"
	"sync/atomic"

	"citronknot/fleet"
	"citronknot/fleet/target"
	"citronknot/rowstore"
)

// snapshots holds, for each pool, the instances that may get new requests. It computes them
// again when the configuration, an assignment, the instance list or the list of members
// changes. No other check keeps new requests from targets that are leaving (invariant I9).
type snapshots struct {
	current     *fleet.Current
	assignments *fleet.Assignments
	instances   *rowstore.Presence
	ranking     *ranking
	// expired reports whether a zone's assignment is too old to route by; see routeExpiry.
	expired func(fleet.ZoneID) bool

	computed atomic.Pointer[computedSnapshots]
	mu       sync.Mutex
}

// inputVersions identifies the data from which the snapshots were computed.
type inputVersions struct {
	config      *fleet.Config
	assignments uint64
	instances   uint64
	ranking     uint64
}

// computedSnapshots is the result of one computation. It is immutable.
type computedSnapshots struct {
	inputVersions
	pools map[fleet.PoolID]*target.Snapshot
}

// snapshot returns the newest snapshot of a pool, or nil for an unknown pool.
func (s *snapshots) snapshot(pool fleet.PoolID) *target.Snapshot {
	c := s.computed.Load()
	if c == nil || c.inputVersions != s.versions() {
		c = s.compute()
	}
	return c.pools[pool]
}

// slots returns the total of the slots of a pool's instances that may get new requests.
func (s *snapshots) slots(pool fleet.PoolID) fleet.Slots {
	var n fleet.Slots
	if p := s.snapshot(pool); p != nil {
		for _, in := range p.Targets {
			n += in.Slots
		}
	}
	return n
}

func (s *snapshots) versions() inputVersions {
	return inputVersions{
		config: s.current.Load(), assignments: s.assignments.Changes(),
		instances: s.instances.Changes(), ranking: s.ranking.version.Load(),
	}
}

// compute computes the snapshots, unless another call has computed them from the same data.
func (s *snapshots) compute() *computedSnapshots {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The versions are read before the data: a change in between then causes another
	// computation.
	c := &computedSnapshots{inputVersions: s.versions(), pools: map[fleet.PoolID]*target.Snapshot{}}
	if old := s.computed.Load(); old != nil && old.inputVersions == c.inputVersions {
		return old
	}
	rank, members := s.ranking.load()
	for id, p := range c.config.Pools {
		c.pools[id] = &target.Snapshot{MaxEjected: p.MaxAbsent, Members: members, Rank: rank}
	}
	for _, instance := range c.config.Instances {
		placement := s.assignments.Load(instance.Zone).Of(instance)
		snapshot, ok := c.pools[placement.Pool]
		switch {
		case !ok || s.expired(instance.Zone):
		case placement.Phase != fleet.Serving || s.instances.Leaving(instance.ID):
			// An instance that is out of service uses up part of the pool's availability budget.
			snapshot.MaxEjected = max(0, snapshot.MaxEjected-1)
		default:
			snapshot.Targets = append(snapshot.Targets, instance)
		}
	}
	s.computed.Store(c)
	return c
}
