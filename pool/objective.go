package pool

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"citronknot/fleet"
)

// Weights are the prices of one instance in the objective, in the unit of the others.
type Weights struct {
	Buffer  float64 // held idle in reserve
	RollOut float64 // missing from the reserve that lets maintenance and release notes proceed at once
	Moves   float64 // moved
	Share   float64 // missing from what demand needs
}

// Association returns the weights of the Association: roll-out time and share weigh more.
func Association() Weights { return Weights{Buffer: 1, RollOut: 1.5, Moves: 0.3, Share: 10} }

// Agency returns the weights of the Agency: buffer cost and moves weigh more.
func Agency() Weights { return Weights{Buffer: 2, RollOut: 0.5, Moves: 1, Share: 6} }

// target is what one pool is to have in a zone, in instances.
type target struct {
	low  float64 // needed for the demand
	high float64 // with the reserve for absences
}

// cost is the objective: the price of n instances in a pool that needs t. The price of missing
// instances grows faster than their number, so that a shortage is divided among pools.
func (w Weights) cost(t target, n float64) float64 {
	short := max(0, t.low-n)
	return w.Share*short*(1+short/max(1, t.low)) + w.RollOut*max(0, t.high-n) + w.Buffer*max(0, n-t.low)
}

// targets returns what each pool that queues use needs in the zone. The zone gets the part of
// a pool that its capacity is of the fleet's, which keeps pools spread over zones.
func (v *View) targets() map[fleet.PoolID]target {
	unit := v.unit()
	out := make(map[fleet.PoolID]target, len(v.Need))
	for id, need := range v.Need {
		p, ok := v.Config.Pools[id]
		if !ok || p.Spare {
			continue
		}
		exact := float64(need) / unit
		low := max(1, math.Ceil(exact))
		high := max(low, math.Ceil(exact+reservePart*float64(p.MaxAbsent)))
		out[id] = target{low: v.part(id, low), high: v.part(id, high)}
	}
	return out
}

// reservePart is the part of a pool's availability budget that its reserve covers. Waves use
// the budget for minutes in weeks, and work may wait, so the whole budget is not held.
const reservePart = 0.5

// unit is the mean number of slots of an instance.
func (v *View) unit() float64 {
	if len(v.Config.Instances) == 0 {
		return 1
	}
	sum := fleet.Slots(0)
	for _, in := range v.Config.Instances {
		sum += in.Slots
	}
	return max(1, float64(sum)/float64(len(v.Config.Instances)))
}

// part divides a whole number among the zones by capacity. The parts add up to the whole, and
// the offset by pool keeps one zone from getting all the remainders.
func (v *View) part(pool fleet.PoolID, whole float64) float64 {
	total, before, own := 0.0, 0.0, 0.0
	for _, z := range slices.Sorted(maps.Keys(v.Capacity)) {
		c := float64(v.Capacity[z])
		if z < v.Zone {
			before += c
		}
		if z == v.Zone {
			own = c
		}
		total += c
	}
	if total == 0 {
		return whole
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(pool))
	offset := float64(h.Sum32()%1000) / 1000
	return math.Floor(whole*(before+own)/total+offset+rounding) - math.Floor(whole*before/total+offset+rounding)
}

// rounding keeps sums of parts that should be whole from falling just below.
const rounding = 1e-9
