package entry

import (
	"sync"
	"sync/atomic"

	"citronknot/fleet"
	"citronknot/fleet/target"
	"citronknot/rowstore"
)

// snapshots computes the instances of each pool that may get new requests, when the
// configuration, an assignment, the instance list or the list of members changes. It is the
// one place that keeps work from leaving targets (I9).
type snapshots struct {
	current     *fleet.Current
	assignments *fleet.Assignments
	list        *rowstore.Presence
	place       *place
	// stale reports whether a zone's assignment is too old to route by; see routeLapse.
	stale func(fleet.ZoneID) bool

	computed atomic.Pointer[computed]
	mu       sync.Mutex
}

// inputs are the versions of what the snapshots are computed from.
type inputs struct {
	config      *fleet.Config
	assignments uint64
	list        uint64
	place       uint64
}

type computed struct {
	inputs
	pools map[fleet.PoolID]*target.Snapshot
}

// of returns the newest snapshot of a pool, or nil for an unknown pool.
func (s *snapshots) of(pool fleet.PoolID) *target.Snapshot {
	c := s.computed.Load()
	if c == nil || c.inputs != s.inputs() {
		c = s.compute()
	}
	return c.pools[pool]
}

// slots returns the slots of the instances of a pool that may get new requests.
func (s *snapshots) slots(pool fleet.PoolID) fleet.Slots {
	var n fleet.Slots
	if p := s.of(pool); p != nil {
		for _, in := range p.Targets {
			n += in.Slots
		}
	}
	return n
}

func (s *snapshots) inputs() inputs {
	return inputs{
		config: s.current.Load(), assignments: s.assignments.Changes(),
		list: s.list.Changes(), place: s.place.version.Load(),
	}
}

func (s *snapshots) compute() *computed {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The versions are read before the data: a change in between leads to another computation.
	c := &computed{inputs: s.inputs(), pools: map[fleet.PoolID]*target.Snapshot{}}
	if old := s.computed.Load(); old != nil && old.inputs == c.inputs {
		return old
	}
	rank, members := s.place.load()
	for id, p := range c.config.Pools {
		c.pools[id] = &target.Snapshot{MaxEjected: p.MaxAbsent, Members: members, Rank: rank}
	}
	for _, in := range c.config.Instances {
		at := s.assignments.Load(in.Zone).Of(in)
		p, ok := c.pools[at.Pool]
		switch {
		case !ok || s.stale(in.Zone):
		case at.Phase != fleet.Serving || s.list.Leaving(in.ID):
			p.MaxEjected = max(0, p.MaxEjected-1)
		default:
			p.Targets = append(p.Targets, in)
		}
	}
	s.computed.Store(c)
	return c
}
