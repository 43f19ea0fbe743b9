package target

import "slices"

// Load is what target selection knows of one target.
type Load struct {
	InFlight int     // requests that this member has running there
	Peers    int     // requests of the other members, by their last summaries
	Slots    int     // slots of the target
	Part     int     // slots that are this member's own; see [Part]
	Shared   bool    // the member owns no slot in the pool and may use any
	Limit    int     // requests that this member may have running there now
	Penalty  float64 // raise for recent failures and refusals; 0 is a healthy target
	Ejected  bool
}

// Part returns the slots of a target that are the own part of the member with a rank among
// members. offset differs between targets, so that no member always gets the larger part. The
// parts of all ranks add up to slots.
func Part(slots, rank, members, offset int) int {
	if members <= 1 {
		return slots
	}
	r := (rank + offset) % members
	return (r+1)*slots/members - r*slots/members
}

// A slot beyond the own part is borrowed only while less than 5/8 of the target's slots are
// known to be in use: the peers' summaries are up to a second old, and a borrowed slot may be
// missing to its owner. docs/design/target-selection.md compares other bounds.
const borrowNumerator, borrowDenominator = 5, 8

// Usable reports whether the target may get another request of this member. Nothing is borrowed
// from a target that failed or refused lately.
func (l Load) Usable() bool {
	if l.Ejected || l.InFlight >= l.Limit {
		return false
	}
	return l.InFlight < l.Part || l.Shared ||
		l.Penalty < 1 && borrowDenominator*(l.InFlight+l.Peers) < borrowNumerator*l.Slots
}

// Capacity returns how many requests this member can run on the target at once, by what it knows
// now.
func (l Load) Capacity() int {
	switch {
	case l.Ejected:
		return 0
	case l.Shared:
		return l.Limit
	}
	borrowable := (borrowNumerator*l.Slots + borrowDenominator - 1) / borrowDenominator
	return min(l.Limit, max(l.Part, borrowable-l.Peers))
}

// Score orders targets; the lowest is the best. Within the own part the peers do not matter.
// A borrowed slot costs as much as a full target.
func (l Load) Score() float64 {
	if l.InFlight < l.Part {
		return float64(l.InFlight+1)/float64(max(1, l.Slots)) + l.Penalty
	}
	return 1 + float64(l.InFlight+l.Peers+1)/float64(max(1, l.Slots)) + l.Penalty
}

// draws bounds the random draws before the targets are scanned in order.
const draws = 4

// candidate is the better of up to two targets.
type candidate struct {
	index, seen int
	score       float64
}

func (c *candidate) offer(i int, score float64) {
	if c.seen == 0 || score < c.score {
		c.index, c.score = i, score
	}
	c.seen++
}

// Choose returns the better of two random targets among n in which the member has a free slot
// of its own part, else the better of two in which it can borrow one, else -1. random returns a
// number in [0, n).
func Choose(n int, load func(int) Load, random func(int) int) int {
	if n == 0 {
		return -1
	}
	var own, borrowed candidate
	var drawn [draws]int
	for k := range drawn {
		i := random(n)
		drawn[k] = i
		if slices.Contains(drawn[:k], i) {
			continue
		}
		if offer(i, load(i), &own, &borrowed); own.seen == 2 {
			return own.index
		}
	}
	for k := range n {
		i := (drawn[0] + k) % n
		if slices.Contains(drawn[:], i) {
			continue
		}
		if offer(i, load(i), &own, &borrowed); own.seen == 2 {
			return own.index
		}
	}
	switch {
	case own.seen > 0:
		return own.index
	case borrowed.seen > 0:
		return borrowed.index
	}
	return -1
}

func offer(i int, l Load, own, borrowed *candidate) {
	switch {
	case !l.Usable():
	case l.InFlight < l.Part:
		own.offer(i, l.Score())
	case borrowed.seen < 2:
		borrowed.offer(i, l.Score())
	}
}
