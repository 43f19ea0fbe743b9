package pool

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// Move is the decision to move an instance from one pool to another.
type Move struct {
	Instance   fleet.InstanceID
	From, To   fleet.PoolID
	Configured bool // the configuration requires the move
}

// Plan decides which instances of the zone begin to move. First it moves the instances whose
// configured pool changed. Then it repeatedly adds the move that lowers the objective most,
// while there is one that lowers it by more than the cost of a move, and at most
// Policy.MaxMoves moves are in progress.
func Plan(now clock.Millis, v View, w Weights) []Move {
	p := newPlanner(now, v, w)
	p.followConfig()
	for p.movesLeft > 0 && p.addBestMove() {
	}
	return p.moves
}

// poolRack is a rack of a pool, as a map key.
type poolRack struct {
	pool fleet.PoolID
	rack fleet.RackID
}

// planner is the state of one call of Plan.
type planner struct {
	view       View
	weights    Weights
	targets    map[fleet.PoolID]target
	count      map[fleet.PoolID]float64                // instances of the zone that are up, by the pool they are in or move to
	rackCount  map[poolRack]int                        // instances, also those that are down
	zoneRacks  map[fleet.RackID]bool                   // racks with instances of the zone
	movable    map[fleet.PoolID][]rowstore.InstanceRow // instances that may move, by pool
	budgetLeft map[fleet.PoolID]int                    // additional absences that the availability budget allows
	inFlight   map[fleet.InstanceID]int                // requests in flight, over all members
	pools      []fleet.PoolID
	movesLeft  int // number of moves that may still begin
	moves      []Move
}

func newPlanner(now clock.Millis, v View, w Weights) *planner {
	p := &planner{
		view: v, weights: w, targets: v.targets(), movesLeft: v.Policy.maxMoves(),
		count: map[fleet.PoolID]float64{}, rackCount: map[poolRack]int{}, zoneRacks: map[fleet.RackID]bool{},
		movable: map[fleet.PoolID][]rowstore.InstanceRow{}, budgetLeft: map[fleet.PoolID]int{}, inFlight: map[fleet.InstanceID]int{},
		pools: slices.Sorted(maps.Keys(v.Config.Pools)),
	}
	for id, c := range v.Config.Pools {
		p.budgetLeft[id] = c.MaxAbsent - len(v.Rows.Budgets[id].Absent)
		if c.Spare {
			p.budgetLeft[id] = math.MaxInt // no queue uses a spare pool, so an instance that leaves it is not absent
		}
	}
	for _, m := range v.Members {
		for id, n := range m.InFlight {
			p.inFlight[id] += n
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.Rows.Instances)) {
		p.addInstance(now, v.Rows.Instances[id])
	}
	return p
}

// addInstance adds an instance to the counts. An instance that is down or absent provides no
// capacity and cannot move.
func (p *planner) addInstance(now clock.Millis, r rowstore.InstanceRow) {
	in, ok := p.view.Config.Instances[r.ID]
	if !ok {
		return
	}
	p.zoneRacks[in.Rack] = true
	pool := r.Pool
	if r.Phase == fleet.LeavingPool {
		pool = r.Next
		p.movesLeft--
	}
	p.rackCount[poolRack{pool, in.Rack}]++
	if p.view.Down[r.ID] || r.Phase == fleet.Absent {
		return
	}
	p.count[pool]++
	_, drainRequested := p.view.Rows.Drains[r.ID]
	if r.Phase == fleet.Serving && !drainRequested && (r.Moved == 0 || now-r.Moved >= p.view.Policy.minStay()) {
		p.movable[pool] = append(p.movable[pool], r)
	}
}

// followConfig adds moves for the instances whose configured pool changed.
func (p *planner) followConfig() {
	for _, pool := range p.pools {
		for _, r := range slices.Clone(p.movable[pool]) {
			to := p.view.Config.Instances[r.ID].Pool
			if r.Home != to && r.Pool != to && p.movesLeft > 0 && p.budgetLeft[pool] > 0 {
				p.addMove(r, to, true)
			}
		}
	}
}

// addBestMove adds the move that lowers the objective most, and reports whether there is one
// that lowers it by more than the cost of a move.
func (p *planner) addBestMove() bool {
	var row rowstore.InstanceRow
	var to fleet.PoolID
	bestImprovement := p.weights.Moves
	for _, receiver := range p.pools {
		gain, canReceive := p.gain(receiver)
		if !canReceive {
			continue
		}
		for _, spare := range []bool{true, false} {
			found := false
			for _, donor := range p.pools {
				loss, canGive := p.loss(donor)
				if donor == receiver || !canGive || p.spare(donor) != spare || p.spare(donor) && p.spare(receiver) || gain-loss <= bestImprovement {
					continue
				}
				if candidate, ok := p.pickInstance(donor, receiver); ok {
					row, to, bestImprovement, found = candidate, receiver, gain-loss, true
				}
			}
			if found {
				break // an instance of a spare pool is preferred to one of another pool
			}
		}
	}
	if to == "" {
		return false
	}
	p.addMove(row, to, false)
	return true
}

// spare reports whether a pool is a spare pool.
func (p *planner) spare(id fleet.PoolID) bool { return p.view.Config.Pools[id].Spare }

// gain returns the amount by which one more instance in a pool lowers the objective, and
// whether the pool may receive one.
func (p *planner) gain(id fleet.PoolID) (float64, bool) {
	if p.spare(id) {
		return 0, true
	}
	t, known := p.targets[id]
	return p.weights.cost(t, p.count[id]) - p.weights.cost(t, p.count[id]+1), known
}

// loss returns the amount by which one instance less in a pool raises the objective, and
// whether the pool may give one up.
func (p *planner) loss(id fleet.PoolID) (float64, bool) {
	if len(p.movable[id]) == 0 || p.budgetLeft[id] <= 0 {
		return 0, false
	}
	if p.spare(id) {
		return 0, true
	}
	t, known := p.targets[id]
	return p.weights.cost(t, p.count[id]-1) - p.weights.cost(t, p.count[id]), known && p.count[id] > 0
}

// pickInstance chooses the instance that moves from donor to receiver. It prefers, in this
// order, an instance that keeps the receiver spread over the racks, one with few requests in
// flight, and one from a rack where the donor has many instances and the receiver few. It
// reports false if the move would break the spread of a receiver that has what its demand
// needs.
func (p *planner) pickInstance(donor, receiver fleet.PoolID) (rowstore.InstanceRow, bool) {
	best := slices.MinFunc(p.movable[donor], func(a, b rowstore.InstanceRow) int {
		return cmp.Or(
			cmp.Compare(p.rackExcess(a, receiver), p.rackExcess(b, receiver)),
			cmp.Compare(p.inFlight[a.ID], p.inFlight[b.ID]),
			cmp.Compare(p.sameRack(a, receiver)-p.sameRack(a, donor), p.sameRack(b, receiver)-p.sameRack(b, donor)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	if p.rackExcess(best, receiver) > 0 && p.count[receiver] >= p.targets[receiver].needed {
		return best, false
	}
	return best, true
}

// sameRack returns the number of instances of a pool in the rack of an instance.
func (p *planner) sameRack(row rowstore.InstanceRow, pool fleet.PoolID) int {
	return p.rackCount[poolRack{pool, p.view.Config.Instances[row.ID].Rack}]
}

// rackExcess returns the number of instances by which the rack of an instance would exceed an
// even spread of a pool if the instance moved there. It is 0 for a spare pool, which needs no
// spread.
func (p *planner) rackExcess(row rowstore.InstanceRow, pool fleet.PoolID) int {
	if p.spare(pool) {
		return 0
	}
	even := int(math.Ceil((p.count[pool] + 1) / float64(len(p.zoneRacks))))
	return max(0, p.sameRack(row, pool)+1-even)
}

// addMove adds a move and updates the counts.
func (p *planner) addMove(r rowstore.InstanceRow, to fleet.PoolID, configured bool) {
	rack := p.view.Config.Instances[r.ID].Rack
	p.moves = append(p.moves, Move{Instance: r.ID, From: r.Pool, To: to, Configured: configured})
	p.movesLeft--
	p.budgetLeft[r.Pool]--
	p.count[r.Pool]--
	p.count[to]++
	p.rackCount[poolRack{r.Pool, rack}]--
	p.rackCount[poolRack{to, rack}]++
	p.movable[r.Pool] = slices.DeleteFunc(p.movable[r.Pool], func(x rowstore.InstanceRow) bool { return x.ID == r.ID })
}
