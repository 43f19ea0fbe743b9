package machine

import (
	"cmp"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/schedule"
)

// Times of the planner.
const (
	// loadFresh is the age up to which a pool's report is used: a few missed reports.
	loadFresh clock.Millis = 1500
	// listFresh is the age up to which the list of machines is used.
	listFresh clock.Millis = 5000
	// orderSettles is how long after an order that was carried out the list may show the
	// machine as it was.
	orderSettles clock.Millis = 1200
	// emptyPatience is after which an intent that made no progress is given up, so that the
	// worker takes tasks again.
	emptyPatience clock.Millis = 12000
)

// Config holds what a Planner is made from.
type Config struct {
	MoveTime   clock.Millis // how long a machine that moves has no worker
	UpkeepTime clock.Millis
}

// Planner decides which machines move and which are taken down. It is not safe for concurrent
// use.
type Planner struct {
	Config
	machines map[ID]*view
	pools    map[fleet.PoolID]*poolView
	spare    fleet.PoolID // empty if there is no spare pool
	waves    []*wave
	listed   clock.Millis // when the list was read
	hasList  bool
	total    int64 // capacity of all machines

	// Of one pass, since they are read again and again in it: the machines by id, and the
	// capacity that each pool is to keep. Both are nil outside a pass.
	byID    []*view
	staying map[fleet.PoolID]int64
}

// view is what is known of a machine.
type view struct {
	Machine
	intent   *Order       // emptied first, then ordered
	since    clock.Millis // of the intent
	ordered  bool         // the order was sent and may have been carried out
	sentAt   clock.Millis
	ending   fleet.InstanceID // worker that ran when the order was first sent; empty for none
	from     fleet.PoolID     // pool that the machine was in then
	unsure   bool             // the order was not answered; it is sent again until it is
	downFor  *wave            // whose upkeep it is down for
	tasks    int
	lasting  int
	emptied  bool
	reported bool
}

type poolView struct {
	load    PoolLoad
	at      clock.Millis
	demand  demand
	surplus clock.Millis // since when the pool has had more than it needs; 0 for not
}

// wave is the progress of a wave.
type wave struct {
	Wave
	seen     clock.Millis
	done     map[ID]bool
	complete bool
}

// NewPlanner returns a planner that knows no machine.
func NewPlanner(c Config) *Planner {
	return &Planner{Config: c, machines: map[ID]*view{}, pools: map[fleet.PoolID]*poolView{}}
}

// SetPools tells the pools that the configuration has, and which of them is spare.
func (p *Planner) SetPools(pools []fleet.PoolID, spare fleet.PoolID) {
	p.spare = spare
	for _, id := range pools {
		if p.pools[id] == nil && id != spare {
			p.pools[id] = &poolView{}
		}
	}
	for id := range p.pools {
		if !slices.Contains(pools, id) {
			delete(p.pools, id)
		}
	}
}

// SetMachines takes in the list of machines that was asked for at asked.
func (p *Planner) SetMachines(list []Machine, asked, now clock.Millis) {
	p.listed, p.hasList = now, true
	present := map[ID]bool{}
	for _, m := range list {
		present[m.ID] = true
		v := p.machines[m.ID]
		if v == nil {
			v = &view{}
			p.machines[m.ID] = v
		}
		if v.ordered && asked < v.sentAt {
			continue // read before the order
		}
		if v.Worker != m.Worker {
			v.reported, v.emptied, v.tasks, v.lasting = false, false, 0, 0
		}
		v.Machine = m
		v.settle(now)
	}
	p.total = 0
	for id, m := range p.machines {
		if !present[id] {
			delete(p.machines, id)
			continue
		}
		p.total += m.Capacity.CPU
	}
}

// settle ends an order that the list shows as carried out.
func (v *view) settle(now clock.Millis) {
	arrived := v.intent != nil && v.intent.Pool != "" && v.Pool == v.intent.Pool
	if !v.ordered || v.State != Up || (v.unsure && !arrived) || (!v.unsure && now-v.sentAt < orderSettles) {
		return
	}
	v.unsure = false
	v.intent, v.ordered, v.downFor = nil, false, nil
}

// SetWave takes in a wave, and the machines of it that are known to be done.
func (p *Planner) SetWave(w Wave, done []ID, now clock.Millis) {
	for _, have := range p.waves {
		if have.Number == w.Number {
			have.Wave = w
			return
		}
	}
	n := &wave{Wave: w, seen: now, done: map[ID]bool{}}
	for _, id := range done {
		n.done[id] = true
	}
	p.waves = append(p.waves, n)
	slices.SortFunc(p.waves, func(a, b *wave) int { return cmp.Compare(a.Number, b.Number) })
}

// SetLoad takes in a pool's report.
func (p *Planner) SetLoad(l PoolLoad, now clock.Millis) {
	v := p.pools[l.Pool]
	if v == nil || !p.hasList {
		return
	}
	v.load, v.at = l, now
	v.demand.observe(&l, max(1, p.evenShare()), now)
	workers := make(map[fleet.InstanceID]*schedule.WorkerLoad, len(l.Workers))
	for i := range l.Workers {
		workers[l.Workers[i].ID] = &l.Workers[i]
	}
	for _, m := range p.machines {
		if m.Pool != l.Pool {
			continue
		}
		if w := workers[m.Worker]; w != nil {
			m.reported, m.tasks, m.lasting, m.emptied = true, w.Tasks, w.Lasting, w.Emptied
		} else {
			m.reported, m.emptied = false, false
		}
	}
}

// Cordons returns the workers of a pool that are to take no new tasks and to be emptied.
func (p *Planner) Cordons(pool fleet.PoolID) []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, m := range p.machines {
		if m.Pool == pool && m.intent != nil && m.Worker != "" && (!m.ordered || m.Worker == m.ending) {
			out = append(out, m.Worker)
		}
	}
	slices.Sort(out)
	return out
}

// Plan decides what to empty next and returns the orders to send now, each once.
func (p *Planner) Plan(now clock.Millis) []Order {
	if !p.hasList || now-p.listed > listFresh {
		return nil
	}
	p.dropStale(now)
	p.byID = p.sorted()
	p.staying = make(map[fleet.PoolID]int64, len(p.pools)+1)
	for _, m := range p.byID {
		if m.State != Down {
			p.staying[m.heads()] += m.Capacity.CPU
		}
	}
	p.planWaves(now)
	p.planMoves(now)
	out := p.ready(now)
	p.byID, p.staying = nil, nil
	return out
}

// intend decides that a machine is to be emptied for an order.
func (p *Planner) intend(m *view, o Order, now clock.Millis) {
	p.staying[m.heads()] -= m.Capacity.CPU
	m.intent, m.since = &o, now
	p.staying[m.heads()] += m.Capacity.CPU
}

// dropStale gives up intents that can't be carried out.
func (p *Planner) dropStale(now clock.Millis) {
	for _, m := range p.machines {
		if m.intent != nil && !m.ordered && !m.unsure && (m.State != Up || now-m.since > emptyPatience) {
			m.intent = nil
		}
	}
}

// ready returns the orders of machines that are empty. It is the one place that bounds the
// machines of a wave that are down.
func (p *Planner) ready(now clock.Millis) []Order {
	var out []Order
	for _, m := range p.sorted() {
		if m.unsure && now-m.sentAt >= orderSettles {
			m.sentAt = now
			out = append(out, *m.intent)
			continue
		}
		if m.intent == nil || m.ordered || m.State != Up || !p.empty(m, now) {
			continue
		}
		if w := p.wave(m.intent.Wave); m.intent.Pool == "" {
			if w == nil || p.down(w) >= w.Most {
				continue
			}
			m.downFor = w
		}
		m.ordered, m.sentAt, m.ending, m.from = true, now, m.Worker, m.Pool
		out = append(out, *m.intent)
	}
	return out
}

// empty reports whether nothing can run on a machine.
func (p *Planner) empty(m *view, now clock.Millis) bool {
	if m.Pool == p.spare || m.Worker == "" {
		return true
	}
	pool := p.pools[m.Pool]
	return pool != nil && now-pool.at < loadFresh && m.reported && m.emptied
}

// sorted returns the machines by id.
func (p *Planner) sorted() []*view {
	if p.byID != nil {
		return p.byID
	}
	out := make([]*view, 0, len(p.machines))
	for _, m := range p.machines {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *view) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (p *Planner) wave(number int) *wave {
	for _, w := range p.waves {
		if w.Number == number {
			return w
		}
	}
	return nil
}

// Answered takes in the answer to an order; ok is false if there was none. It returns the
// worker that has ended with the order and its pool. It returns empty ids for an order that was
// sent again: when the worker ended is not known, and its successor may run already.
func (p *Planner) Answered(o Order, r Result, ok bool, now clock.Millis) (pool fleet.PoolID, ended fleet.InstanceID) {
	m := p.machines[o.Machine]
	if m == nil || m.intent == nil || *m.intent != o {
		return "", ""
	}
	again := m.unsure
	if m.unsure = !ok; !ok {
		return "", ""
	}
	w := m.downFor
	if r == Done {
		if w != nil {
			w.done[m.ID] = true
		}
		m.carriedOut(now)
		if again {
			return "", "" // the next worker may run already, under the same id
		}
		return m.from, m.ending
	}
	m.ordered, m.downFor = false, nil
	if r == NotOfWave && w != nil {
		w.done[m.ID] = true
	}
	if r != Limited {
		m.intent = nil
	}
	return "", ""
}

// carriedOut notes that the order of a machine was carried out, now or when it was first sent.
func (v *view) carriedOut(now clock.Millis) {
	v.ordered, v.sentAt = true, now
	if v.Worker != v.ending {
		return // the list shows the next worker already
	}
	v.Worker = ""
	if v.intent.Pool != "" {
		v.State, v.Pool = Moving, v.intent.Pool
	} else {
		v.State = InUpkeep
	}
}

// DoneOf returns the machines of a wave whose upkeep has begun.
func (p *Planner) DoneOf(number int) []ID {
	w := p.wave(number)
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

// MachinesOf returns the number of machines that a wave names.
func (p *Planner) MachinesOf(number int) int {
	if w := p.wave(number); w != nil {
		return len(w.Machines)
	}
	return 0
}

// Waves returns the states of the waves.
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

// Busy reports whether a machine is about to change.
func (p *Planner) Busy() bool {
	for _, m := range p.machines {
		if m.intent != nil || m.State == Moving || m.State == InUpkeep {
			return true
		}
	}
	return false
}

// PoolState is what the planner holds of a pool, for logs and people. Sizes are thousandths of
// cores.
type PoolState struct {
	Pool     fleet.PoolID
	Need     int64
	Target   int64
	Capacity int64
	Rate     int64 // that recent arrivals keep busy
	Hot      bool
	Age      clock.Millis // of the report
}

// Pools returns the states of the pools, by id.
func (p *Planner) Pools(now clock.Millis) []PoolState {
	out := make([]PoolState, 0, len(p.pools))
	for id, v := range p.pools {
		out = append(out, PoolState{
			Pool: id, Need: v.need(), Target: p.target(id), Capacity: p.capacity(id), Rate: v.demand.rate,
			Hot: v.demand.hot, Age: now - v.at,
		})
	}
	slices.SortFunc(out, func(a, b PoolState) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}
