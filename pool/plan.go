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

// Move takes an instance from one pool to another.
type Move struct {
	Instance fleet.InstanceID
	From, To fleet.PoolID
	Ordered  bool // the configuration names the new pool
}

// Plan decides which instances of the zone begin to move. It follows the configuration first:
// an instance whose configured pool changed moves there. Then it makes the move that lowers
// the objective most, as long as one lowers it by more than a move costs.
func Plan(now clock.Millis, v View, w Weights) []Move {
	p := newPlanner(now, v, w)
	p.followConfig()
	for p.free > 0 && p.best() {
	}
	return p.moves
}

type rackKey struct {
	pool fleet.PoolID
	rack fleet.RackID
}

type planner struct {
	view    View
	weights Weights
	targets map[fleet.PoolID]target
	have    map[fleet.PoolID]float64 // instances of the zone, by the pool they are in or move to
	racks   map[rackKey]int
	allRack map[fleet.RackID]bool
	movable map[fleet.PoolID][]rowstore.InstanceRow
	room    map[fleet.PoolID]int // absences that the budget still allows
	load    map[fleet.InstanceID]int
	pools   []fleet.PoolID
	free    int // moves that may begin
	moves   []Move
}

func newPlanner(now clock.Millis, v View, w Weights) *planner {
	p := &planner{
		view: v, weights: w, targets: v.targets(), free: v.Policy.maxMoves(),
		have: map[fleet.PoolID]float64{}, racks: map[rackKey]int{}, allRack: map[fleet.RackID]bool{},
		movable: map[fleet.PoolID][]rowstore.InstanceRow{}, room: map[fleet.PoolID]int{}, load: map[fleet.InstanceID]int{},
		pools: slices.Sorted(maps.Keys(v.Config.Pools)),
	}
	for id, c := range v.Config.Pools {
		p.room[id] = c.MaxAbsent - len(v.Rows.Budgets[id].Absent)
		if c.Spare {
			p.room[id] = math.MaxInt // no queue uses a spare pool, so leaving it is no absence
		}
	}
	for _, m := range v.Members {
		for id, n := range m.InFlight {
			p.load[id] += n
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.Rows.Instances)) {
		p.add(now, v.Rows.Instances[id])
	}
	return p
}

// add counts an instance. One that is down is no capacity and does not move.
func (p *planner) add(now clock.Millis, r rowstore.InstanceRow) {
	in, ok := p.view.Config.Instances[r.ID]
	if !ok {
		return
	}
	p.allRack[in.Rack] = true
	pool := r.Pool
	if r.Phase == fleet.LeavingPool {
		pool = r.Next
		p.free--
	}
	p.racks[rackKey{pool, in.Rack}]++
	if p.view.Down[r.ID] || r.Phase == fleet.Absent {
		return
	}
	p.have[pool]++
	_, asked := p.view.Rows.Drains[r.ID]
	if r.Phase == fleet.Serving && !asked && (r.Moved == 0 || now-r.Moved >= p.view.Policy.minStay()) {
		p.movable[pool] = append(p.movable[pool], r)
	}
}

// followConfig moves instances whose configured pool changed.
func (p *planner) followConfig() {
	for _, pool := range p.pools {
		for _, r := range slices.Clone(p.movable[pool]) {
			to := p.view.Config.Instances[r.ID].Pool
			if r.Home != to && r.Pool != to && p.free > 0 && p.room[pool] > 0 {
				p.take(r, to, true)
			}
		}
	}
}

// best makes the move that lowers the objective most, and reports whether there is one.
func (p *planner) best() bool {
	var row rowstore.InstanceRow
	var to fleet.PoolID
	most := p.weights.Moves
	for _, r := range p.pools {
		gain, takes := p.gain(r)
		if !takes {
			continue
		}
		for _, spare := range []bool{true, false} {
			found := false
			for _, d := range p.pools {
				loss, gives := p.loss(d)
				if d == r || !gives || p.spare(d) != spare || p.spare(d) && p.spare(r) || gain-loss <= most {
					continue
				}
				if c, ok := p.pick(d, r); ok {
					row, to, most, found = c, r, gain-loss, true
				}
			}
			if found {
				break // an instance of the spare pool is taken before one of another pool
			}
		}
	}
	if to == "" {
		return false
	}
	p.take(row, to, false)
	return true
}

func (p *planner) spare(id fleet.PoolID) bool { return p.view.Config.Pools[id].Spare }

// gain returns by how much one more instance in a pool lowers the objective.
func (p *planner) gain(id fleet.PoolID) (float64, bool) {
	if p.spare(id) {
		return 0, true
	}
	t, known := p.targets[id]
	return p.weights.cost(t, p.have[id]) - p.weights.cost(t, p.have[id]+1), known
}

// loss returns by how much one instance less in a pool raises the objective.
func (p *planner) loss(id fleet.PoolID) (float64, bool) {
	if len(p.movable[id]) == 0 || p.room[id] <= 0 {
		return 0, false
	}
	if p.spare(id) {
		return 0, true
	}
	t, known := p.targets[id]
	return p.weights.cost(t, p.have[id]-1) - p.weights.cost(t, p.have[id]), known && p.have[id] > 0
}

// pick chooses the instance that moves from d to r: one that keeps r spread over the racks,
// an idle one, and one from a rack where d has many and r has few. Spread is given up only
// for a pool that is short of what demand needs.
func (p *planner) pick(d, r fleet.PoolID) (rowstore.InstanceRow, bool) {
	best := slices.MinFunc(p.movable[d], func(a, b rowstore.InstanceRow) int {
		return cmp.Or(
			cmp.Compare(p.crowds(a, r), p.crowds(b, r)),
			cmp.Compare(p.load[a.ID], p.load[b.ID]),
			cmp.Compare(p.crowding(a, r)-p.crowding(a, d), p.crowding(b, r)-p.crowding(b, d)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	if p.crowds(best, r) > 0 && p.have[r] >= p.targets[r].low {
		return best, false
	}
	return best, true
}

func (p *planner) crowding(row rowstore.InstanceRow, pool fleet.PoolID) int {
	return p.racks[rackKey{pool, p.view.Config.Instances[row.ID].Rack}]
}

// crowds returns by how many instances a rack would exceed an even spread of pool r. A spare
// pool needs no spread.
func (p *planner) crowds(row rowstore.InstanceRow, r fleet.PoolID) int {
	if p.spare(r) {
		return 0
	}
	even := int(math.Ceil((p.have[r] + 1) / float64(len(p.allRack))))
	return max(0, p.crowding(row, r)+1-even)
}

func (p *planner) take(r rowstore.InstanceRow, to fleet.PoolID, ordered bool) {
	rack := p.view.Config.Instances[r.ID].Rack
	p.moves = append(p.moves, Move{Instance: r.ID, From: r.Pool, To: to, Ordered: ordered})
	p.free--
	p.room[r.Pool]--
	p.have[r.Pool]--
	p.have[to]++
	p.racks[rackKey{r.Pool, rack}]--
	p.racks[rackKey{to, rack}]++
	p.movable[r.Pool] = slices.DeleteFunc(p.movable[r.Pool], func(x rowstore.InstanceRow) bool { return x.ID == r.ID })
}
