package pool

import (
	"maps"

	"citronknot/fleet"
	"citronknot/rowstore"
)

// State is the state of a controller at its last tick.
type State struct {
	Zone    fleet.ZoneID
	Holder  bool          // this process held the zone's lease
	Version fleet.Version // of the zone's assignment
	Paused  bool          // maintenance is paused
	Pools   map[fleet.PoolID]Counts
	Err     string // of the last tick
}

// Counts describe one pool.
type Counts struct {
	Phases    map[fleet.Phase]int // instances in the zone
	Planned   int                 // absences in all zones
	Unplanned int
	Need      fleet.Slots // in all zones; 0 while it is not known
}

// Dump returns the state at the last tick.
func (c *Controller) Dump() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state
	s.Pools = maps.Clone(s.Pools)
	return s
}

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
