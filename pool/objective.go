package pool

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"citronknot/fleet"
)

// Weights are the costs per instance in the objective that [Plan] minimizes. Only their ratios
// matter.
type Weights struct {
	Buffer         float64 // instance above the demand, held idle as a reserve
	ReserveDeficit float64 // instance missing from the reserve that lets maintenance and release notes roll out without waiting
	Moves          float64 // move of an instance
	Shortage       float64 // instance missing from the demand
}

// AssociationWeights returns the weights for the Association, a user of the program that gives
// more weight to roll-out time and to the teams' shares.
func AssociationWeights() Weights {
	return Weights{Buffer: 1, ReserveDeficit: 1.5, Moves: 0.3, Shortage: 10}
}

// AgencyWeights returns the weights for the Agency, a user of the program that gives more weight
// to the cost of idle instances and of moves.
func AgencyWeights() Weights { return Weights{Buffer: 2, ReserveDeficit: 0.5, Moves: 1, Shortage: 6} }

// target is the number of instances that a pool should have in a zone.
type target struct {
	needed      float64 // instances that the demand needs
	withReserve float64 // needed, plus the reserve for absences
}

// cost returns the contribution of a pool with target t and n instances to the objective. The
// cost of a shortage grows faster than linearly, so that a shortage is divided among the pools.
func (w Weights) cost(t target, n float64) float64 {
	shortage := max(0, t.needed-n)
	return w.Shortage*shortage*(1+shortage/max(1, t.needed)) + w.ReserveDeficit*max(0, t.withReserve-n) + w.Buffer*max(0, n-t.needed)
}

// targets returns the target of each pool in the zone, except spare pools. A pool's instances
// are divided among the zones in proportion to the zones' capacity, which keeps pools spread
// over the zones.
func (v *View) targets() map[fleet.PoolID]target {
	slotsPerInstance := v.meanInstanceSlots()
	out := make(map[fleet.PoolID]target, len(v.Need))
	for id, need := range v.Need {
		p, ok := v.Config.Pools[id]
		if !ok || p.Spare {
			continue
		}
		instances := float64(need) / slotsPerInstance
		needed := max(1, math.Ceil(instances))
		withReserve := max(needed, math.Ceil(instances+reserveFraction*float64(p.MaxAbsent)))
		out[id] = target{needed: v.apportion(id, needed), withReserve: v.apportion(id, withReserve)}
	}
	return out
}

// reserveFraction is the fraction of a pool's availability budget that its reserve covers. The
// reserve does not cover the whole budget, because waves of maintenance use it only for minutes
// in weeks, and work may wait meanwhile.
const reserveFraction = 0.5

// meanInstanceSlots returns the mean number of slots of an instance, at least 1.
func (v *View) meanInstanceSlots() float64 {
	if len(v.Config.Instances) == 0 {
		return 1
	}
	sum := fleet.Slots(0)
	for _, in := range v.Config.Instances {
		sum += in.Slots
	}
	return max(1, float64(sum)/float64(len(v.Config.Instances)))
}

// apportion divides a whole number of instances among the zones in proportion to their capacity
// and returns the part of this zone, a whole number. The parts of all zones add up to whole. The
// rounding offset differs between pools, so that no zone gets the remainders of all pools.
func (v *View) apportion(pool fleet.PoolID, whole float64) float64 {
	total, before, own := 0.0, 0.0, 0.0
	for _, z := range slices.Sorted(maps.Keys(v.Capacity)) {
		capacity := float64(v.Capacity[z])
		if z < v.Zone {
			before += capacity
		}
		if z == v.Zone {
			own = capacity
		}
		total += capacity
	}
	if total == 0 {
		return whole
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(pool))
	offset := float64(h.Sum32()%1000) / 1000
	return math.Floor(whole*(before+own)/total+offset+roundingTolerance) - math.Floor(whole*before/total+offset+roundingTolerance)
}

// roundingTolerance keeps sums that should be whole numbers from being rounded down because of
// floating-point errors.
const roundingTolerance = 1e-9
