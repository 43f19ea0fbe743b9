package target

import "slices"

// Load is the state of one target from which a target is selected.
type Load struct {
	InFlight     int     // requests that this member has in flight on the target
	PeerInFlight int     // requests of the other members in flight, by their last summaries
	Slots        int     // slots of the target
	OwnSlots     int     // slots assigned to this member; see [OwnSlots]
	AnySlot      bool    // the member has no own slots in the pool and may use any
	Limit        int     // requests that this member may have in flight on the target now
	Penalty      float64 // added to the score for recent failures and refusals; 0 if healthy
	Ejected      bool    // excluded from selection after failures
}

// OwnSlots returns the number of own slots of a member on a target with the given number of slots.
// rank is the member's position among members, from 0. offset differs between targets, so that
// a remainder does not always go to the same member. The results for all ranks add up to slots.
func OwnSlots(slots, rank, members, offset int) int {
	if members <= 1 {
		return slots
	}
	shifted := (rank + offset) % members
	return (shifted+1)*slots/members - shifted*slots/members
}

// A member borrows a slot beyond its own slots only while less than 5/8 of the target's slots
// are in use by its own counts and the summaries of the other members. The summaries are up to
// a second old, and the member to which a borrowed slot is assigned may need it.
// docs/design/target-selection.md compares other limits.
const borrowNumerator, borrowDenominator = 5, 8

// Usable reports whether this member may send another request to the target. No slot is
// borrowed from a target that failed or refused requests recently.
func (l Load) Usable() bool {
	if l.Ejected || l.InFlight >= l.Limit {
		return false
	}
	return l.InFlight < l.OwnSlots || l.AnySlot ||
		l.Penalty < 1 && borrowDenominator*(l.InFlight+l.PeerInFlight) < borrowNumerator*l.Slots
}

// Capacity returns how many requests this member can run on the target at once under the
// current load.
func (l Load) Capacity() int {
	switch {
	case l.Ejected:
		return 0
	case l.AnySlot:
		return l.Limit
	}
	borrowable := (borrowNumerator*l.Slots + borrowDenominator - 1) / borrowDenominator
	return min(l.Limit, max(l.OwnSlots, borrowable-l.PeerInFlight))
}

// Score returns the rating by which targets are compared; the lowest is the best. While the
// member has a free own slot, the requests of the other members do not count. A borrowed slot
// adds as much as a full target.
func (l Load) Score() float64 {
	if l.InFlight < l.OwnSlots {
		return float64(l.InFlight+1)/float64(max(1, l.Slots)) + l.Penalty
	}
	return 1 + float64(l.InFlight+l.PeerInFlight+1)/float64(max(1, l.Slots)) + l.Penalty
}

// maxDraws is the number of random draws after which the targets are scanned in order.
const maxDraws = 4

// candidate is the better of the targets considered so far; Choose stops at two.
type candidate struct {
	index, count int
	score        float64
}

func (c *candidate) consider(i int, score float64) {
	if c.count == 0 || score < c.score {
		c.index, c.score = i, score
	}
	c.count++
}

// Choose returns the index of the better of two random targets among n on which the member has
// a free own slot. If there is none, it returns the better of two on which the member can
// borrow a slot, else -1. load returns the load of a target by index, and random a number
// between 0 and its argument, exclusive.
func Choose(n int, load func(int) Load, random func(int) int) int {
	if n == 0 {
		return -1
	}
	var own, borrowed candidate
	var drawn [maxDraws]int
	for k := range drawn {
		i := random(n)
		drawn[k] = i
		if slices.Contains(drawn[:k], i) {
			continue
		}
		if considerTarget(i, load(i), &own, &borrowed); own.count == 2 {
			return own.index
		}
	}
	for k := range n {
		i := (drawn[0] + k) % n
		if slices.Contains(drawn[:], i) {
			continue
		}
		if considerTarget(i, load(i), &own, &borrowed); own.count == 2 {
			return own.index
		}
	}
	switch {
	case own.count > 0:
		return own.index
	case borrowed.count > 0:
		return borrowed.index
	}
	return -1
}

func considerTarget(i int, load Load, own, borrowed *candidate) {
	switch {
	case !load.Usable():
	case load.InFlight < load.OwnSlots:
		own.consider(i, load.Score())
	case borrowed.count < 2:
		borrowed.consider(i, load.Score())
	}
}
