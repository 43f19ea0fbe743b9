package pool

import (
	"maps"

	"citronknot/fleet"
	"citronknot/rowstore"
)

// State is the state of a controller at its last tick, for diagnostics.
type State struct {
	Zone    fleet.ZoneID
	Holder  bool          // this process held the zone's lease
	Version fleet.Version // of the zone's assignment
	Paused  bool          // maintenance is paused
	Pools   map[fleet.PoolID]Counts
	Err     string // of the last tick
}

// Counts holds the instance counts and the need of one pool.
type Counts struct {
	Phases    map[fleet.Phase]int // number of instances in the zone, by phase
	Planned   int                 // planned absences in all zones
	Unplanned int                 // unplanned absences in all zones
	Need      fleet.Slots         // slots needed in all zones; 0 while no need is computed
}

// Dump returns the state of the controller at its last tick. It is safe for concurrent use.
func (c *Controller) Dump() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state
	s.Pools = maps.Clone(s.Pools)
	return s
}

// record stores the state that Dump returns. rows is nil if this process does not hold the lease.
func (c *Controller) record(rows *rowstore.ZoneRows, v View, err error) {
	s := State{Zone: c.Zone, Pools: map[fleet.PoolID]Counts{}}
	if err != nil {
		s.Err = err.Error()
	}
	if rows != nil && v.Config != nil {
		s.Holder, s.Version, s.Paused = true, rows.Version, Paused(v)
		for id := range v.Config.Pools {
			b := rows.Budgets[id]
			s.Pools[id] = Counts{
				Phases: map[fleet.Phase]int{}, Planned: b.Count(rowstore.Planned), Unplanned: b.Count(rowstore.Unplanned), Need: v.Need[id],
			}
		}
		for _, r := range rows.Instances {
			if p, ok := s.Pools[r.Pool]; ok {
				p.Phases[r.Phase]++
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
}
