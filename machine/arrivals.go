package machine

import (
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// moveTime is how long a machine counts as arriving once it is ordered to another pool. It does not follow
// Config.MoveTime, which not all settings contain. A longer time than the real one would have jobs refused
// that the machine can serve.
const moveTime clock.Millis = 2000

// Arrival is a machine that is on its way to a pool.
type Arrival struct {
	In       clock.Millis // until it is expected to take tasks there
	Capacity job.Resources
}

// Arriving returns the machines that are on their way to a pool: those that move, and those that are
// drained for a move.
func (p *Planner) Arriving(pool fleet.PoolID, now clock.Millis) []Arrival {
	var out []Arrival
	for _, m := range p.machinesByID() {
		if m.destination() != pool || !p.counts(m) {
			continue
		}
		switch {
		case m.State == Moving && m.ordered:
			out = append(out, Arrival{In: max(0, moveTime-(now-m.orderSentAt)), Capacity: m.Capacity})
		case m.State == Moving: // a former leader ordered it, at an unknown time
			out = append(out, Arrival{In: moveTime, Capacity: m.Capacity})
		case m.Pool != pool && m.ordered:
			out = append(out, Arrival{In: moveTime, Capacity: m.Capacity})
		case m.Pool != pool:
			out = append(out, Arrival{In: max(0, drainTime-(now-m.intentSince)) + moveTime, Capacity: m.Capacity})
		}
	}
	return out
}
