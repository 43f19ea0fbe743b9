package experiment

import (
	"math"

	"citronknot/clock"
)

// Bound computes the least machine time that meets the needs of pools, with all needs known in
// advance. What a pool is given while it is not needed is spared by moves, which cost, too.
type Bound struct {
	Machine  int64        // capacity of a machine, in thousandths of cores
	Step     clock.Millis // distance of the samples of needs
	MoveCost float64      // of one move, in machine-seconds
	Headroom int64        // percent of the need that is to be held beyond it
}

// BoundResult is what the needs of pools take at least.
type BoundResult struct {
	MachineSeconds float64
	Moves          int
}

// Cost returns the sum in machine-seconds.
func (r BoundResult) Cost(b Bound) float64 { return r.MachineSeconds + float64(r.Moves)*b.MoveCost }

// Least returns the cheapest way to hold at each sample the machines that a pool needs. needs
// are thousandths of cores.
func (b Bound) Least(needs []int64) BoundResult {
	if len(needs) == 0 {
		return BoundResult{}
	}
	least := make([]int, len(needs))
	most := 0
	for i, need := range needs {
		need += need * b.Headroom / 100
		least[i] = int((need + b.Machine - 1) / b.Machine)
		most = max(most, least[i])
	}
	seconds := b.Step.Duration().Seconds()
	// cost[n] is the least cost of all samples so far that ends with n machines; from holds, for
	// each sample, the number of machines before it.
	cost := make([]float64, most+1)
	next := make([]float64, most+1)
	from := make([][]int, len(needs))
	for i := range needs {
		from[i] = make([]int, most+1)
		for n := range next {
			next[n] = math.Inf(1)
			if n < least[i] {
				continue
			}
			for before := range cost {
				c := cost[before] + float64(n)*seconds
				if i > 0 {
					c += math.Abs(float64(n-before)) * b.MoveCost
				}
				if c < next[n] {
					next[n], from[i][n] = c, before
				}
			}
		}
		cost, next = next, cost
	}
	at := 0
	for n := range cost {
		if cost[n] < cost[at] {
			at = n
		}
	}
	var r BoundResult
	for i := len(needs) - 1; i >= 0; i-- {
		r.MachineSeconds += float64(at) * seconds
		if before := from[i][at]; i > 0 {
			r.Moves += max(at-before, before-at)
			at = before
		}
	}
	return r
}

// Held returns what holding the given capacities took.
func (b Bound) Held(capacities []int64) BoundResult {
	var r BoundResult
	for i, c := range capacities {
		r.MachineSeconds += float64(c) / float64(b.Machine) * b.Step.Duration().Seconds()
		if i > 0 {
			r.Moves += int(max(c-capacities[i-1], capacities[i-1]-c) / b.Machine)
		}
	}
	return r
}
