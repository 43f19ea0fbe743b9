package caller

import (
	"maps"

	"citronknot/clock"
	"citronknot/fleet"
)

// Portion returns the number of slots of the pool that this member may use.
func (s *Scheduler) Portion() fleet.Slots { return s.division.portion }

// Running returns the number of running requests.
func (s *Scheduler) Running() fleet.Slots { return s.running }

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return s.waiting }

// Load returns this member's load summary. It lists only teams with load.
func (s *Scheduler) Load(now clock.Millis) Load {
	out := Load{InFlight: s.running, Teams: map[fleet.TeamID]TeamLoad{}, Finished: s.finishedCount, Refused: s.refusedCount}
	for f := range maps.Values(s.teams) {
		if f.running == 0 && f.waiting == 0 {
			continue
		}
		out.Teams[f.team] = TeamLoad{Running: f.running, Waiting: f.waiting}
		if f.waiting > 0 && !f.blocked {
			out.LongestWait = max(out.LongestWait, now-f.first(false).Arrived)
		}
	}
	return out
}
