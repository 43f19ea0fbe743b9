package experiment

import (
	"math"

	"citronknot/clock"
)

// Bound computes the least machine time that meets the needs of pools if all needs are known in
// advance. Machines that a pool doesn't need for a while can be moved away and back, but each move
// has a cost.
type Bound struct {
	MachineCapacity int64        // capacity of a machine, in thousandths of cores
	SampleInterval  clock.Millis // time between two samples of the needs
	MoveCost        float64      // cost of one move, in machine-seconds
	Headroom        int64        // capacity to hold in addition to the need, in percent of the need
}

// Plan is the machine time and the number of moves that the capacities of one or more pools take.
type Plan struct {
	MachineSeconds float64
	Moves          int
}

// Cost returns the machine time plus the cost of the moves, in machine-seconds.
func (p Plan) Cost(b Bound) float64 { return p.MachineSeconds + float64(p.Moves)*b.MoveCost }

// CheapestPlan returns the cheapest plan that gives a pool at each sample at least the machines that
// it needs, including the headroom. The needs are in thousandths of cores.
func (b Bound) CheapestPlan(needs []int64) Plan {
	if len(needs) == 0 {
		return Plan{}
	}
	required := make([]int, len(needs))
	maxMachines := 0
	for i, need := range needs {
		need += need * b.Headroom / 100
		required[i] = int((need + b.MachineCapacity - 1) / b.MachineCapacity)
		maxMachines = max(maxMachines, required[i])
	}
	seconds := b.SampleInterval.Duration().Seconds()
	// minCost[n] is the least cost of a plan for the samples so far that ends with n machines.
	// predecessor[i][n] is the number of machines at the sample before i in that plan.
	minCost := make([]float64, maxMachines+1)
	nextCost := make([]float64, maxMachines+1)
	predecessor := make([][]int, len(needs))
	for i := range needs {
		predecessor[i] = make([]int, maxMachines+1)
		for n := range nextCost {
			nextCost[n] = math.Inf(1)
			if n < required[i] {
				continue
			}
			for previous := range minCost {
				candidate := minCost[previous] + float64(n)*seconds
				if i > 0 {
					candidate += math.Abs(float64(n-previous)) * b.MoveCost
				}
				if candidate < nextCost[n] {
					nextCost[n], predecessor[i][n] = candidate, previous
				}
			}
		}
		minCost, nextCost = nextCost, minCost
	}
	machines := 0
	for n := range minCost {
		if minCost[n] < minCost[machines] {
			machines = n
		}
	}
	var plan Plan
	for i := len(needs) - 1; i >= 0; i-- {
		plan.MachineSeconds += float64(machines) * seconds
		if previous := predecessor[i][machines]; i > 0 {
			plan.Moves += max(machines-previous, previous-machines)
			machines = previous
		}
	}
	return plan
}

// Evaluate returns the machine time and the moves of the given capacities, one for each sample, in
// thousandths of cores.
func (b Bound) Evaluate(capacities []int64) Plan {
	var plan Plan
	for i, capacity := range capacities {
		plan.MachineSeconds += float64(capacity) / float64(b.MachineCapacity) * b.SampleInterval.Duration().Seconds()
		if i > 0 {
			plan.Moves += int(max(capacity-capacities[i-1], capacities[i-1]-capacity) / b.MachineCapacity)
		}
	}
	return plan
}
