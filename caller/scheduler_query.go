package caller

import (
	"maps"

	"citronknot/clock"
	"citronknot/fleet"
)

// Portion returns the slots of the pool that this member may fill.
func (s *Scheduler) Portion() fleet.Slots { return s.view.portion }

// Running returns the number of running requests.
func (s *Scheduler) Running() fleet.Slots { return s.running }

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return s.waiting }

// Load returns this member's load summary. It lists only teams with load.
func (s *Scheduler) Load(now clock.Millis) Load {
	out := Load{InFlight: s.running, Teams: map[fleet.TeamID]TeamLoad{}, Finished: s.finished, Refused: s.refusals}
	for f := range maps.Values(s.teams) {
		if f.running == 0 && f.waiting == 0 {
			continue
		}
		out.Teams[f.team] = TeamLoad{Running: f.running, Waiting: f.waiting}
		if f.waiting > 0 && !f.blocked {
			out.Oldest = max(out.Oldest, now-f.first(false).Arrived)
		}
	}
	return out
}
