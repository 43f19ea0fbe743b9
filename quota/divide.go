package quota

import (
	"citronknot/job"
)

// claim is what one pool uses and wants of a limit.
type claim struct {
	used   job.Resources
	demand job.Resources // used plus the needs of all waiting tasks
	// smallest is the least that has to be granted above used for anything to start, and largest covers
	// each task or gang that waits. Both are zero if nothing waits.
	smallest, largest job.Resources
}

// waits reports whether something waits in the pool.
func (c *claim) waits() bool { return c.smallest != job.Resources{} }

// surplusShare returns the share of one of the pools in a limit that covers all demands, whose sum is total: its
// demand and an even part of the rest. In a dimension that the limit does not cover, a pool without demand gets
// nothing or less.
func surplusShare(limit, demand, total job.Resources, pools int64) job.Resources {
	rest := limit.Sub(total)
	return demand.Add(job.Resources{CPU: rest.CPU / pools, Memory: rest.Memory / pools, GPU: rest.GPU / pools})
}

// divide divides a limit that does not cover all demands among pools, and returns their shares. Small demands
// are covered first, and the pools with larger ones get the same share (max-min fairness).
//
// A task or gang starts only if the share covers it as a whole, so that an even share may be of no use. If
// the pools together leave enough of the limit unused, a pool's share covers the largest task or gang that
// waits there, or else the smallest one. turns holds the indexes of the pools in the order in which they
// are considered for that.
func divide(limit job.Resources, claims []claim, turns []int) []job.Resources {
	fair := divideAbove(limit, claims, turns, make([]job.Resources, len(claims)))
	return divideAbove(limit, claims, turns, guaranteed(limit, claims, turns, fair))
}

// guaranteed returns the share that each pool gets at least, so that it can start a task or gang. Their
// sum, with what the other pools use, is within the limit. Pools that can do so within their fair share come
// first, and what these still lack is kept for them: a pool that has more than its share would otherwise use up,
// task by task, what a gang elsewhere needs at once.
func guaranteed(limit job.Resources, claims []claim, turns []int, fair []job.Resources) []job.Resources {
	unused := limit
	for i := range claims {
		unused = unused.Sub(claims[i].used)
	}
	least := make([]job.Resources, len(claims))
	var kept job.Resources
	var beyond []int // pools that wait for more than their fair share covers
	for _, i := range turns {
		c := &claims[i]
		if !c.waits() {
			continue
		}
		unit := c.unitWithin(fair[i].Sub(c.used))
		if unit != c.largest {
			beyond = append(beyond, i)
		}
		switch {
		case unit == job.Resources{}:
		case unit.Fits(unused):
			least[i], unused = c.used.Add(unit), unused.Sub(unit)
		default:
			kept = kept.Add(unit)
		}
	}
	unused = unused.Sub(kept)
	for _, i := range beyond {
		c := &claims[i]
		share := c.used.Max(least[i])
		unit := c.unitWithin(unused.Add(share.Sub(c.used)))
		if more := c.used.Add(unit).Sub(share); unit != (job.Resources{}) && more.Fits(unused) {
			least[i], unused = c.used.Add(unit), unused.Sub(more)
		}
	}
	return least
}

// unitWithin returns what covers each task or gang that waits in the pool if that is within room, or else
// what the smallest needs if that is, or else nothing.
func (c *claim) unitWithin(room job.Resources) job.Resources {
	switch {
	case c.largest.Fits(room):
		return c.largest
	case c.smallest.Fits(room):
		return c.smallest
	}
	return job.Resources{}
}

// divideAbove divides a limit max-min, with at least the given shares for the pools.
func divideAbove(limit job.Resources, claims []claim, turns []int, least []job.Resources) []job.Resources {
	out := make([]job.Resources, len(claims))
	divideDimension(claims, turns, limit.CPU, least, out, func(r *job.Resources) *int64 { return &r.CPU })
	divideDimension(claims, turns, limit.Memory, least, out, func(r *job.Resources) *int64 { return &r.Memory })
	divideDimension(claims, turns, limit.GPU, least, out, func(r *job.Resources) *int64 { return &r.GPU })
	return out
}

// divideDimension sets one dimension of the shares in out.
func divideDimension(claims []claim, turns []int, limit int64, least, out []job.Resources, dimension func(*job.Resources) *int64) {
	var total int64
	for i := range claims {
		total += *dimension(&claims[i].demand)
	}
	if total <= limit {
		for i := range claims {
			*dimension(&out[i]) = *dimension(&claims[i].demand) + (limit-total)/int64(len(claims))
		}
		return
	}
	share := func(i int, level int64) int64 {
		return max(*dimension(&least[i]), min(*dimension(&claims[i].demand), level))
	}
	level := highestLevel(limit, len(claims), share)
	rest := limit
	for i := range claims {
		rest -= share(i, level)
		*dimension(&out[i]) = share(i, level)
	}
	for _, i := range turns { // the rest is less than one for each pool above the level
		if rest > 0 && share(i, level+1) > share(i, level) {
			*dimension(&out[i])++
			rest--
		}
	}
}

// highestLevel returns the highest level, up to limit, at which the shares of n pools add up to the limit or
// less. It is 0 if there is none.
func highestLevel(limit int64, n int, share func(i int, level int64) int64) int64 {
	low, high := int64(0), limit
	for low < high {
		level := low + (high-low+1)/2
		var sum int64
		for i := range n {
			sum += share(i, level)
		}
		if sum <= limit {
			low = level
		} else {
			high = level - 1
		}
	}
	return low
}
