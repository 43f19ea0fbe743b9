package entry

import (
	"hash/fnv"
	"sync"
	"sync/atomic"

	"citronknot/fleet"
	"citronknot/target"
)

// snapshots computes the instances of each pool that may get new requests, when the
// configuration or the instance list changes. It is the one place that keeps work from leaving
// targets (I9).
type snapshots struct {
	current *fleet.Current
	list    *instanceList
	members int
	rank    int

	computed atomic.Pointer[computed]
	mu       sync.Mutex
}

// rankOf spreads members over ranks by their id, as long as the list of members is not known.
func rankOf(member string, members int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(member))
	return int(h.Sum32() % uint32(members))
}

type computed struct {
	config *fleet.Config
	list   uint64
	pools  map[fleet.PoolID]*target.Snapshot
}

// of returns the newest snapshot of a pool, or nil for an unknown pool.
func (s *snapshots) of(pool fleet.PoolID) *target.Snapshot {
	c := s.computed.Load()
	if c == nil || c.config != s.current.Load() || c.list != s.list.version.Load() {
		c = s.compute()
	}
	return c.pools[pool]
}

func (s *snapshots) compute() *computed {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The versions are read before the data: a change in between leads to another computation.
	c := &computed{list: s.list.version.Load(), config: s.current.Load(), pools: map[fleet.PoolID]*target.Snapshot{}}
	if old := s.computed.Load(); old != nil && old.config == c.config && old.list == c.list {
		return old
	}
	for id, p := range c.config.Pools {
		c.pools[id] = &target.Snapshot{MaxEjected: p.MaxAbsent, Members: s.members, Rank: s.rank}
	}
	for _, in := range c.config.Instances {
		p, ok := c.pools[in.Pool]
		switch {
		case !ok:
		case s.list.leaving(in.ID):
			p.MaxEjected = max(0, p.MaxEjected-1)
		default:
			p.Targets = append(p.Targets, in)
		}
	}
	s.computed.Store(c)
	return c
}
