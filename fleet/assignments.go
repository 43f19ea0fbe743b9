package fleet

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Assignments holds the newest assignment of each zone that a process has received. The zero
// value holds none. It is safe for concurrent use.
type Assignments struct {
	mu    sync.RWMutex
	zones map[ZoneID]*Assignment

	changes atomic.Uint64
}

// Changes returns the number of assignments published so far. A caller that caches values
// computed from the assignments recomputes them when the number changes.
func (s *Assignments) Changes() uint64 { return s.changes.Load() }

// Load returns the newest assignment of a zone, or nil if none was published.
func (s *Assignments) Load(zone ZoneID) *Assignment {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.zones[zone]
}

// Versions returns the version of the newest assignment of each zone.
func (s *Assignments) Versions() map[ZoneID]Version {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[ZoneID]Version, len(s.zones))
	for id, a := range s.zones {
		out[id] = a.Version
	}
	return out
}

// Advance publishes next if it is newer than the current assignment of its zone, and reports
// whether it did. Version 0 is never published. Only Advance enforces that a zone's assignment
// never goes back to an older version.
func (s *Assignments) Advance(next *Assignment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.zones[next.Zone]; next.Version == 0 || old != nil && next.Version <= old.Version {
		return false
	}
	if s.zones == nil {
		s.zones = map[ZoneID]*Assignment{}
	}
	s.zones[next.Zone] = next
	s.changes.Add(1)
	return true
}

// AssignmentChange is the difference between the version Base of a zone's assignment and the
// later version Version. If Base is 0, Set holds the whole assignment.
type AssignmentChange struct {
	Zone    ZoneID
	Base    Version
	Version Version
	Set     map[InstanceID]Placement
	Removed []InstanceID
}

// ChangeFrom returns the difference between old and a. If old is nil, it returns the whole of a.
func (a *Assignment) ChangeFrom(old *Assignment) AssignmentChange {
	c := AssignmentChange{Zone: a.Zone, Version: a.Version, Set: map[InstanceID]Placement{}}
	if old == nil {
		maps.Copy(c.Set, a.Placements)
		return c
	}
	c.Base = old.Version
	for id, p := range a.Placements {
		if q, ok := old.Placements[id]; !ok || p != q {
			c.Set[id] = p
		}
	}
	for id := range old.Placements {
		if _, ok := a.Placements[id]; !ok {
			c.Removed = append(c.Removed, id)
		}
	}
	return c
}

// Apply returns the assignment that results from applying c to a; a may be nil if c holds a
// whole assignment. ok is false if c was not made for the zone and version of a.
func (a *Assignment) Apply(c AssignmentChange) (next *Assignment, ok bool) {
	next = &Assignment{Zone: c.Zone, Version: c.Version, Placements: map[InstanceID]Placement{}}
	if c.Base != 0 {
		if a == nil || a.Zone != c.Zone || a.Version != c.Base {
			return nil, false
		}
		maps.Copy(next.Placements, a.Placements)
	}
	for _, id := range c.Removed {
		delete(next.Placements, id)
	}
	maps.Copy(next.Placements, c.Set)
	return next, true
}
