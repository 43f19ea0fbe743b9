package machine

import (
	"cmp"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/schedule"
)

// Time limits of the planner.
const (
	// maxLoadAge is the age up to which a pool's report is used. It tolerates a few missed
	// reports.
	maxLoadAge clock.Millis = 1500
	// maxListAge is the age up to which the list of machines is used.
	maxListAge clock.Millis = 5000
	// listLag is how long after an order was carried out the list may still show the machine's
	// former state.
	listLag clock.Millis = 1200
	// drainTimeout is the time after which an intent without progress is dropped, so that the
	// worker takes tasks again.
	drainTimeout clock.Millis = 12000
)

// Config holds the parameters of a Planner.
type Config struct {
	MaintenanceTime clock.Millis // how long a machine in maintenance has no worker
	// MoveTime is how long a machine that moves has no worker. 0 means that it is unknown; pools are then
	// sized for the current demand, and not for that of the time when machines arrive.
	MoveTime clock.Millis
}

// Planner decides which machines move and which are taken down for maintenance. It is not safe
// for concurrent use.
type Planner struct {
	Config
	machines map[ID]*trackedMachine
	pools    map[fleet.PoolID]*trackedPool
	spare    fleet.PoolID // empty if there is no spare pool
	waves    []*trackedWave
	listedAt clock.Millis // when the list was received
	hasList  bool         // a list was received
	totalCPU int64        // capacity of all machines, in millicores
	// heldUntil is the time before which a machine gets no orders; see Hold.
	heldUntil map[ID]clock.Millis
	// evacuated holds the zones whose machines do not count; see SetEvacuated.
	evacuated map[fleet.ZoneID]bool

	// The machines sorted by id, and the capacity that each pool is to have, in millicores. Both
	// are cached during one pass of Plan, which reads them many times, and are nil otherwise.
	sortedMachines  []*trackedMachine
	plannedCapacity map[fleet.PoolID]int64
}

// trackedMachine is the planner's record of a machine. The machine is drained for its intent,
// and the order is sent once it is empty.
type trackedMachine struct {
	Machine
	intent          *Order       // nil if the machine is to stay as it is
	intentSince     clock.Millis // when the intent was set
	ordered         bool         // the order was sent and may have been carried out
	orderSentAt     clock.Millis
	endingWorker    fleet.InstanceID // worker that ran when the order was first sent; empty if none
	fromPool        fleet.PoolID     // pool that the machine was in when the order was first sent
	outcomeUnknown  bool             // the order had no response; it is sent again until it has one
	maintenanceWave *trackedWave     // wave for whose maintenance the machine is down
	tasks           int              // as last reported by the pool's owner
	longRunning     int              // of tasks, as last reported
	drained         bool             // the worker takes no new tasks and runs none, as last reported
	reported        bool             // the pool's latest report includes the worker
}

// trackedPool is the planner's record of a pool.
type trackedPool struct {
	load         PoolLoad
	loadAt       clock.Millis // when load was received
	demand       demand
	surplusSince clock.Millis // since when the pool has had more than it needs; 0 if it has not
}

// trackedWave is a wave with its progress.
type trackedWave struct {
	Wave
	members     map[ID]bool // the wave's machines
	firstSeenAt clock.Millis
	done        map[ID]bool // machines whose maintenance has begun, or that the platform does not count to the wave
	complete    bool        // no machine of the wave is pending
}

// NewPlanner returns a planner without machines and pools.
func NewPlanner(c Config) *Planner {
	return &Planner{Config: c, machines: map[ID]*trackedMachine{}, pools: map[fleet.PoolID]*trackedPool{}, heldUntil: map[ID]clock.Millis{}}
}

// SetPools sets the configured pools and the spare pool; spare is empty if there is none. The
// machines of the spare pool are switched off and cost nothing.
func (p *Planner) SetPools(pools []fleet.PoolID, spare fleet.PoolID) {
	p.spare = spare
	for _, id := range pools {
		if p.pools[id] == nil && id != spare {
			p.pools[id] = &trackedPool{}
		}
	}
	for id := range p.pools {
		if !slices.Contains(pools, id) {
			delete(p.pools, id)
		}
	}
}

// SetMachines processes the list of machines that was requested at requestedAt and received at
// now.
func (p *Planner) SetMachines(list []Machine, requestedAt, now clock.Millis) {
	p.listedAt, p.hasList = now, true
	present := map[ID]bool{}
	for _, m := range list {
		present[m.ID] = true
		tracked := p.machines[m.ID]
		if tracked == nil {
			tracked = &trackedMachine{}
			p.machines[m.ID] = tracked
		}
		if tracked.ordered && requestedAt < tracked.orderSentAt {
			continue // the list may have been read before the order was carried out
		}
		if tracked.Worker != m.Worker {
			tracked.reported, tracked.drained, tracked.tasks, tracked.longRunning = false, false, 0, 0
		}
		tracked.Machine = m
		tracked.clearCompletedOrder(now)
	}
	p.totalCPU = 0
	for id, m := range p.machines {
		if !present[id] {
			delete(p.machines, id)
			continue
		}
		p.totalCPU += m.Capacity.CPU
	}
}

// clearCompletedOrder clears an order that the list shows as carried out.
func (m *trackedMachine) clearCompletedOrder(now clock.Millis) {
	arrived := m.intent != nil && m.intent.Pool != "" && m.Pool == m.intent.Pool
	if !m.ordered || m.State != Up || (m.outcomeUnknown && !arrived) || (!m.outcomeUnknown && now-m.orderSentAt < listLag) {
		return
	}
	m.outcomeUnknown = false
	m.intent, m.ordered, m.maintenanceWave = nil, false, nil
}

// SetWave adds a wave, or updates it. done names the machines whose maintenance is recorded as
// begun; it is used when the wave is added.
func (p *Planner) SetWave(w Wave, done []ID, now clock.Millis) {
	for _, known := range p.waves {
		if known.Number == w.Number {
			known.update(w)
			return
		}
	}
	added := &trackedWave{firstSeenAt: now, done: map[ID]bool{}}
	added.update(w)
	for _, id := range done {
		added.done[id] = true
	}
	p.waves = append(p.waves, added)
	slices.SortFunc(p.waves, func(a, b *trackedWave) int { return cmp.Compare(a.Number, b.Number) })
}

// update sets what the operator asks for.
func (t *trackedWave) update(w Wave) {
	if t.members == nil || !slices.Equal(t.Machines, w.Machines) {
		t.members = make(map[ID]bool, len(w.Machines))
		for _, id := range w.Machines {
			t.members[id] = true
		}
	}
	t.Wave = w
}

// SetLoad processes a pool's report. The report of an owner that has a successor is ignored: the successor
// may have started tasks on workers that the former owner reports as drained.
func (p *Planner) SetLoad(l PoolLoad, now clock.Millis) {
	pool := p.pools[l.Pool]
	if pool == nil || !p.hasList || l.Fence < pool.load.Fence {
		return
	}
	pool.load, pool.loadAt = l, now
	pool.demand.observe(&l, max(1, p.evenShare()), now)
	workers := make(map[fleet.InstanceID]*schedule.WorkerLoad, len(l.Workers))
	for i := range l.Workers {
		workers[l.Workers[i].ID] = &l.Workers[i]
	}
	for _, m := range p.machines {
		if m.Pool != l.Pool {
			continue
		}
		if w := workers[m.Worker]; w != nil {
			m.reported, m.tasks, m.longRunning, m.drained = true, w.Tasks, w.LongRunning, w.Drained
		} else {
			m.reported, m.drained = false, false
		}
	}
}

// Cordons returns the workers of a pool that are to take no new tasks and to be drained,
// sorted by id.
func (p *Planner) Cordons(pool fleet.PoolID) []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, m := range p.machines {
		if m.Pool == pool && m.intent != nil && m.Worker != "" && (!m.ordered || m.Worker == m.endingWorker) {
			out = append(out, m.Worker)
		}
	}
	slices.Sort(out)
	return out
}

// Plan decides which machines to drain next and returns the orders to send now, each of which
// is to be sent once. It returns none without a recent list of machines.
func (p *Planner) Plan(now clock.Millis) []Order {
	if !p.hasList || now-p.listedAt > maxListAge {
		return nil
	}
	p.dropStaleIntents(now)
	p.sortedMachines = p.machinesByID()
	p.plannedCapacity = make(map[fleet.PoolID]int64, len(p.pools)+1)
	for _, m := range p.sortedMachines {
		if p.counts(m) {
			p.plannedCapacity[m.destination()] += m.Capacity.CPU
		}
	}
	p.planWaves(now)
	p.planMoves(now)
	out := p.readyOrders(now)
	p.sortedMachines, p.plannedCapacity = nil, nil
	return out
}

// setIntent decides that a machine is to be drained for an order. A machine of an evacuated zone, which
// does not count, gets only orders that leave it in its pool.
func (p *Planner) setIntent(m *trackedMachine, o Order, now clock.Millis) {
	p.plannedCapacity[m.destination()] -= m.Capacity.CPU
	m.intent, m.intentSince = &o, now
	m.drained = false // reported for an earlier intent; since then the worker may have taken tasks
	p.plannedCapacity[m.destination()] += m.Capacity.CPU
}

// dropStaleIntents drops intents that cannot be carried out, that made no progress within
// drainTimeout, or that are moves of machines in evacuated zones.
func (p *Planner) dropStaleIntents(now clock.Millis) {
	for _, m := range p.machines {
		stale := m.intent != nil && !m.isOrdered() && (m.State != Up || now-m.intentSince > drainTimeout)
		if stale || p.isObsoleteMove(m) {
			m.intent = nil
		}
	}
}

// readyOrders returns the orders for machines that are drained, and again those with an
// unknown outcome. It is the only function that enforces the limit on machines of a wave that
// are down.
func (p *Planner) readyOrders(now clock.Millis) []Order {
	var out []Order
	for _, m := range p.machinesByID() {
		if m.outcomeUnknown && now-m.orderSentAt >= listLag {
			m.orderSentAt = now
			out = append(out, *m.intent)
			continue
		}
		if m.intent == nil || m.ordered || m.State != Up || p.isHeld(m.ID, now) || !p.isDrained(m, now) {
			continue
		}
		if w := p.findWave(m.intent.Wave); m.intent.Pool == "" {
			if w == nil || p.countDown(w, now) >= w.MaxDown {
				continue
			}
			m.maintenanceWave = w
		}
		m.ordered, m.orderSentAt, m.endingWorker, m.fromPool = true, now, m.Worker, m.Pool
		out = append(out, *m.intent)
	}
	return out
}

// Evidence is the report on which an order to a machine relies, for the log.
type Evidence struct {
	Worker fleet.InstanceID // that ends; empty if none runs
	Fence  uint64           // of the owner that reported; 0 if no report is needed
	Age    clock.Millis     // of the report
}

// Evidence returns the report on which an order to a machine relies.
func (p *Planner) Evidence(id ID, now clock.Millis) Evidence {
	m := p.machines[id]
	if m == nil {
		return Evidence{}
	}
	e := Evidence{Worker: m.endingWorker}
	if pool := p.pools[m.fromPool]; pool != nil && m.endingWorker != "" {
		e.Fence, e.Age = pool.load.Fence, now-pool.loadAt
	}
	return e
}

// isDrained reports whether nothing can run on a machine.
func (p *Planner) isDrained(m *trackedMachine, now clock.Millis) bool {
	if m.Pool == p.spare || m.Worker == "" {
		return true
	}
	pool := p.pools[m.Pool]
	return pool != nil && now-pool.loadAt < maxLoadAge && m.reported && m.drained
}

// machinesByID returns the machines sorted by id.
func (p *Planner) machinesByID() []*trackedMachine {
	if p.sortedMachines != nil {
		return p.sortedMachines
	}
	out := make([]*trackedMachine, 0, len(p.machines))
	for _, m := range p.machines {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *trackedMachine) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// findWave returns the wave with a number, or nil.
func (p *Planner) findWave(number int) *trackedWave {
	for _, w := range p.waves {
		if w.Number == number {
			return w
		}
	}
	return nil
}

// Answered processes the response to an order; answered is false if there was none. It returns
// the worker that ended because of the order and the pool it was in. For an order that was
// sent again, it returns empty ids: the time at which the worker ended is unknown, and the
// next worker may run already.
func (p *Planner) Answered(o Order, result Result, answered bool, now clock.Millis) (pool fleet.PoolID, ended fleet.InstanceID) {
	m := p.machines[o.Machine]
	if m == nil || m.intent == nil || *m.intent != o {
		return "", ""
	}
	resent := m.outcomeUnknown
	if m.outcomeUnknown = !answered; !answered {
		return "", ""
	}
	w := m.maintenanceWave
	if result == Done {
		if w != nil {
			w.done[m.ID] = true
		}
		m.applyOrder(now)
		if resent {
			return "", "" // the next worker may run already, under the same id
		}
		return m.fromPool, m.endingWorker
	}
	m.ordered, m.maintenanceWave = false, nil
	if result == NotOfWave && w != nil {
		w.done[m.ID] = true
	}
	if result != Limited {
		m.intent = nil
	}
	return "", ""
}

// applyOrder records that the order for a machine was carried out, now or when it was first
// sent.
func (m *trackedMachine) applyOrder(now clock.Millis) {
	m.ordered, m.orderSentAt = true, now
	if m.Worker != m.endingWorker {
		return // the list shows the next worker already
	}
	m.Worker = ""
	if m.intent.Pool != "" {
		m.State, m.Pool = Moving, m.intent.Pool
	} else {
		m.State = InMaintenance
	}
}

// MaintainedMachines returns the machines of a wave whose maintenance has begun, sorted by id.
func (p *Planner) MaintainedMachines(number int) []ID {
	w := p.findWave(number)
	if w == nil {
		return nil
	}
	out := make([]ID, 0, len(w.done))
	for id := range w.done {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// MachinesOf returns the number of machines in a wave.
func (p *Planner) MachinesOf(number int) int {
	if w := p.findWave(number); w != nil {
		return len(w.Machines)
	}
	return 0
}

// Waves returns the states of the waves by number.
func (p *Planner) Waves() map[int]WaveState {
	out := make(map[int]WaveState, len(p.waves))
	for _, w := range p.waves {
		out[w.Number] = WaveRunning
		if w.complete {
			out[w.Number] = WaveComplete
		}
	}
	return out
}

// Busy reports whether any machine is moving, in maintenance, or being drained for one of
// these.
func (p *Planner) Busy() bool {
	for _, m := range p.machines {
		if m.intent != nil || m.State == Moving || m.State == InMaintenance {
			return true
		}
	}
	return false
}

// PoolState is a snapshot of the planner's record of a pool, for logs and operators.
// Capacities are in millicores.
type PoolState struct {
	Pool     fleet.PoolID
	Need     int64        // capacity that the pool can use now
	Target   int64        // Need plus headroom
	Capacity int64        // of the machines that are to stay in the pool or to move to it
	Rate     int64        // capacity that recent arrivals keep busy
	InPeak   bool         // the pool is in a peak of demand
	Age      clock.Millis // of the latest report
}

// Pools returns the states of the pools, sorted by id.
func (p *Planner) Pools(now clock.Millis) []PoolState {
	out := make([]PoolState, 0, len(p.pools))
	for id, v := range p.pools {
		out = append(out, PoolState{
			Pool: id, Need: p.need(v), Target: p.target(id), Capacity: p.capacity(id), Rate: v.demand.rate,
			InPeak: v.demand.inPeak, Age: now - v.loadAt,
		})
	}
	slices.SortFunc(out, func(a, b PoolState) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}
