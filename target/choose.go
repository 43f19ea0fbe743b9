package target

import "citronknot/fleet"

// Candidate is a target that may take a request.
type Candidate struct {
	Instance fleet.Instance
	InFlight int // requests that this process has running there
}

// Choose picks a target: the own zone first, then the less loaded of two random candidates.
// random returns a number in [0, n).
func Choose(zone fleet.ZoneID, candidates []Candidate, random func(n int) int) (Candidate, bool) {
	free := candidates[:0:0]
	for _, c := range candidates {
		if c.InFlight < int(c.Instance.Slots) {
			free = append(free, c)
		}
	}
	own := free[:0:0]
	for _, c := range free {
		if c.Instance.Zone == zone {
			own = append(own, c)
		}
	}
	if len(own) > 0 {
		free = own
	}
	if len(free) == 0 {
		return Candidate{}, false
	}
	a, b := free[random(len(free))], free[random(len(free))]
	if b.InFlight < a.InFlight {
		return b, true
	}
	return a, true
}
