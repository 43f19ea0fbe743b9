package target

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

// Usable reports whether the target may get another request of this member. A slot beyond the
// own part is borrowed only while at most half of the target's slots are known to be in use:
// the peers' summaries are up to a second old, and a borrowed slot may be missing to its owner.
func (l Load) Usable() bool {
	if l.Ejected || l.InFlight >= l.Limit {
		return false
	}
	return l.InFlight < l.Part || l.Shared || 2*(l.InFlight+l.Peers) < l.Slots
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
	return min(l.Limit, max(l.Part, (l.Slots+1)/2-l.Peers))
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

// Choose returns the better of two random usable targets among n, or -1 if none is usable.
// random returns a number in [0, n).
func Choose(n int, load func(int) Load, random func(int) int) int {
	first, score := -1, 0.0
	for range min(draws, n) {
		i := random(n)
		if i == first {
			continue
		}
		l := load(i)
		if !l.Usable() {
			continue
		}
		s := l.Score()
		switch {
		case first < 0:
			first, score = i, s
		case s < score:
			return i
		default:
			return first
		}
	}
	return scan(n, load, random, first, score)
}

// scan completes the two choices in order from a random start, when most targets are unusable.
func scan(n int, load func(int) Load, random func(int) int, first int, score float64) int {
	if n == 0 {
		return -1
	}
	start := random(n)
	for k := range n {
		i := (start + k) % n
		if i == first {
			continue
		}
		l := load(i)
		if !l.Usable() {
			continue
		}
		s := l.Score()
		switch {
		case first < 0:
			first, score = i, s
		case s < score:
			return i
		default:
			return first
		}
	}
	return first
}
