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
	least := guaranteed(limit, claims, turns)
	out := make([]job.Resources, len(claims))
	divideDimension(claims, turns, limit.CPU, least, out, func(r *job.Resources) *int64 { return &r.CPU })
	divideDimension(claims, turns, limit.Memory, least, out, func(r *job.Resources) *int64 { return &r.Memory })
	divideDimension(claims, turns, limit.GPU, least, out, func(r *job.Resources) *int64 { return &r.GPU })
	return out
}

// guaranteed returns the share that each pool gets at least, so that it can start a task or gang. Their
// sum, with what the other pools use, is within the limit.
func guaranteed(limit job.Resources, claims []claim, turns []int) []job.Resources {
	unused := limit
	for i := range claims {
		unused = unused.Sub(claims[i].used)
	}
	least := make([]job.Resources, len(claims))
	for _, i := range turns {
		c := &claims[i]
		if !c.waits() {
			continue
		}
		unit := c.largest
		if !unit.Fits(unused) {
			unit = c.smallest
		}
		if unit.Fits(unused) {
			least[i] = c.used.Add(unit)
			unused = unused.Sub(unit)
		}
	}
	return least
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
