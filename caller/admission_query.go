package caller

import (
	"citronknot/fleet"
)

// Summary returns the load summary of this process: the in-flight and waiting requests of each
// pool and team. It lists only pools with load.
func (a *Admission) Summary() map[fleet.PoolID]Load {
	now := a.Clock.Now()
	out := map[fleet.PoolID]Load{}
	for id, s := range a.allShards() {
		s.mu.Lock()
		l := s.scheduler.Load(now)
		s.mu.Unlock()
		if len(l.Teams) > 0 {
			out[id] = l
		}
	}
	return out
}

// Portions returns the number of slots of each pool that this process may use.
func (a *Admission) Portions() map[fleet.PoolID]fleet.Slots {
	out := map[fleet.PoolID]fleet.Slots{}
	for id, s := range a.allShards() {
		s.mu.Lock()
		out[id] = s.scheduler.Portion()
		s.mu.Unlock()
	}
	return out
}
