package hosted

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/machine"
	"citronknot/owner"
	"citronknot/platform"
	"citronknot/quota"
	"citronknot/rowstore"
)

// fleetPart is the part of the row store whose holder looks after machines and limits. No pool
// has this name: pools are named by operators, in lower case letters and digits.
const fleetPart fleet.PoolID = "~fleet"

// wavesTable keeps which machines of a wave are done.
const wavesTable = "waves"

// Times of the holder of the fleet.
const (
	fleetTick   clock.Millis = 100  // between its decisions
	listBusy    clock.Millis = 500  // between readings of the machines while orders are under way
	listIdle    clock.Millis = 2000 // the same while there are none
	reportEvery clock.Millis = 120  // between the reports of a pool's owner
	reportWait  clock.Millis = 700  // longest wait for the answer to a report
	// lastOrderSlack is how much later than the term before a takeover the last order of the
	// former holder can arrive.
	lastOrderSlack clock.Millis = 1000
)

// seenWave is a wave and when it was first read.
type seenWave struct {
	machine.Wave
	at clock.Millis
}

// fleetHolder looks after machines and limits during one tenure.
type fleetHolder struct {
	p      *Process
	tenure *rowstore.Tenure
	calls  machine.Calls
	from   clock.Millis // the first time at which machines may get orders
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	planner *machine.Planner
	ledger  *quota.Ledger
	ended   map[fleet.PoolID][]endedWorker // by orders, since the pool's last report
	busy    int                            // orders under way
	listAt  clock.Millis
	saved   map[int]int // machines of a wave that are known durably
	told    map[int]machine.WaveState
}

// holdFleet begins to look after the fleet.
func (p *Process) holdFleet(t *rowstore.Tenure) {
	now := p.Clock.Now()
	ctx, cancel := context.WithCancel(p.ctx)
	h := &fleetHolder{
		p: p, tenure: t, calls: p.machines, from: now + p.Settings.HolderLeaseMin + lastOrderSlack, cancel: cancel, done: make(chan struct{}),
		planner: machine.NewPlanner(machine.Config{MoveTime: p.Settings.MoveTime, UpkeepTime: p.Settings.UpkeepTime}),
		ledger:  quota.New(now), ended: map[fleet.PoolID][]endedWorker{}, saved: map[int]int{}, told: map[int]machine.WaveState{},
	}
	if t.Fence() == 1 {
		h.from = now // nobody has held the fleet before
	}
	p.mu.Lock()
	p.holder = h
	p.mu.Unlock()
	p.Log.Info("hosted: fleet taken over", "fence", t.Fence(), "orders_in_ms", int64(h.from-now))
	p.wg.Go(func() {
		defer close(h.done)
		defer cancel()
		err := h.run(ctx)
		p.mu.Lock()
		p.holder = nil
		p.mu.Unlock()
		p.Log.Info("hosted: fleet given up", "err", err)
		if !owner.Expired(err) {
			p.release(t)
		}
	})
}

func (h *fleetHolder) run(ctx context.Context) error {
	done, err := h.load(ctx)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		if err := h.renew(ctx); err != nil {
			return err
		}
		h.step(ctx, &wg, done)
		pause(ctx, fleetTick)
	}
	return ctx.Err()
}

// load reads which machines of which waves are done.
func (h *fleetHolder) load(ctx context.Context) (map[int][]machine.ID, error) {
	for {
		rows, err := h.p.table.Read(ctx, rowstore.Query{Scans: []rowstore.Scan{{Table: wavesTable, Part: string(fleetPart)}}})
		if err == nil {
			return decodeDone(rows)
		}
		h.p.Log.Warn("hosted: could not read the waves", "err", err)
		if err := h.tenure.Commit(ctx, nil); err != nil {
			return nil, err
		}
	}
}

func decodeDone(rows []rowstore.Row) (map[int][]machine.ID, error) {
	out := map[int][]machine.ID{}
	for _, r := range rows {
		n, err := strconv.Atoi(r.Key)
		if err != nil {
			return nil, eris.Wrapf(err, "hosted: wave %q", r.Key)
		}
		var ids []machine.ID
		if err := json.Unmarshal(r.Value, &ids); err != nil {
			return nil, eris.Wrapf(err, "hosted: wave %q", r.Key)
		}
		out[n] = ids
	}
	return out, nil
}

// renew commits the progress of waves, and renews the tenure in time.
func (h *fleetHolder) renew(ctx context.Context) error {
	h.mu.Lock()
	var writes []rowstore.Write
	counts := map[int]int{}
	for n := range h.planner.Waves() {
		ids := h.planner.DoneOf(n)
		if len(ids) == h.saved[n] {
			continue
		}
		value, err := json.Marshal(ids)
		if err != nil {
			h.mu.Unlock()
			return eris.Wrap(err, "hosted: wave")
		}
		counts[n] = len(ids)
		writes = append(writes, rowstore.Write{Ref: rowstore.Ref{Table: wavesTable, Part: string(fleetPart), Key: strconv.Itoa(n)}, Value: value})
	}
	h.mu.Unlock()
	if len(writes) == 0 && h.tenure.Idle() < rowstore.RenewEvery {
		return nil
	}
	if err := h.tenure.Commit(ctx, writes); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for n, c := range counts {
		h.saved[n] = c
	}
	return nil
}

// step reads what is due and sends orders.
func (h *fleetHolder) step(ctx context.Context, wg *sync.WaitGroup, done map[int][]machine.ID) {
	now := h.p.Clock.Now()
	h.configure(now, done)
	h.mu.Lock()
	wait := listIdle
	if h.busy > 0 || h.planner.Busy() {
		wait = listBusy
	}
	due := h.listAt == 0 || now-h.listAt >= wait
	h.mu.Unlock()
	if due {
		h.list(ctx, now)
	}
	h.tell(ctx)
	if now < h.from || !h.tenure.Certain() {
		return
	}
	h.mu.Lock()
	orders := h.planner.Plan(h.p.Clock.Now())
	for _, s := range h.planner.Pools(h.p.Clock.Now()) {
		h.p.Log.Debug("hosted: pool seen", "pool", s.Pool, "need", s.Need, "target", s.Target, "capacity", s.Capacity,
			"rate", s.Rate, "hot", s.Hot, "age_ms", int64(s.Age))
	}
	h.busy += len(orders)
	h.mu.Unlock()
	for _, o := range orders {
		wg.Go(func() { h.order(ctx, o) })
	}
}

// configure passes the configuration and the waves on.
func (h *fleetHolder) configure(now clock.Millis, done map[int][]machine.ID) {
	c := h.p.catalog.Load()
	if c == nil {
		return
	}
	var pools []fleet.PoolID
	var spare fleet.PoolID
	for id, pool := range c.Pools {
		if pool.Spare {
			spare = id
		} else {
			pools = append(pools, id)
		}
	}
	slices.Sort(pools)
	caps := make(map[fleet.TeamID]job.Resources, len(c.Teams))
	for id, t := range c.Teams {
		caps[id] = t.Cap
	}
	h.p.mu.Lock()
	waves := make([]seenWave, 0, len(h.p.waves))
	for _, w := range h.p.waves {
		waves = append(waves, w)
	}
	h.p.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.SetPools(pools, spare)
	h.ledger.Configure(pools, caps)
	for _, w := range waves {
		h.planner.SetWave(w.Wave, done[w.Number], w.at)
	}
}

func (h *fleetHolder) list(ctx context.Context, now clock.Millis) {
	if h.calls.List == nil {
		return
	}
	list, err := h.calls.List(ctx)
	h.p.machinesSeen.saw(h.p, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listAt = now
	if err == nil {
		h.planner.SetMachines(list, now, h.p.Clock.Now())
	}
}

// order sends one order. It is the one place that sends orders to machines, and does so only
// while no other member can hold the fleet.
func (h *fleetHolder) order(ctx context.Context, o machine.Order) {
	var result machine.Result
	var err error
	if h.tenure.Certain() {
		result, err = h.calls.Order(ctx, h.p.Settings.Member, h.tenure.Fence(), o)
	} else {
		result = machine.Limited
	}
	h.p.Log.Info("hosted: machine ordered", "order", o.String(), "fence", h.tenure.Fence(), "answer", result.String(), "err", err)
	h.p.metrics.machines.WithLabelValues(orderKind(o), result.String()).Inc()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy--
	if pool, ended := h.planner.Answered(o, result, err == nil, h.p.Clock.Now()); ended != "" {
		h.ended[pool] = append(h.ended[pool], endedWorker{id: ended, at: h.p.Clock.Now()})
	}
}

func orderKind(o machine.Order) string {
	if o.Pool != "" {
		return "move"
	}
	return "upkeep"
}

// tell writes the states of waves that operators read.
func (h *fleetHolder) tell(ctx context.Context) {
	h.mu.Lock()
	states := h.planner.Waves()
	h.mu.Unlock()
	for n, s := range states {
		if h.told[n] == s {
			continue
		}
		if err := h.tellOne(ctx, n, s); err != nil {
			h.p.Log.Warn("hosted: state of a wave not written", "wave", n, "err", err)
			continue
		}
		h.told[n] = s
		h.p.Log.Info("hosted: state of a wave written", "wave", n, "state", string(s))
	}
}

// tellOne writes the state of a wave, unless the row says already that it is complete.
func (h *fleetHolder) tellOne(ctx context.Context, n int, s machine.WaveState) error {
	w := platform.WaveStatus(n, s)
	row, ok, err := h.p.table.Get(ctx, w.Ref)
	if err != nil {
		return err
	}
	if ok && s != machine.WaveComplete && string(row.Value) == string(platform.WaveStatus(n, machine.WaveComplete).Value) {
		return nil
	}
	_, err = h.p.table.Transact(ctx, rowstore.Transaction{
		Checks: []rowstore.Check{{Ref: w.Ref, Version: row.Version}}, Writes: []rowstore.Write{w},
	})
	return err
}

// report takes in a report of a pool's owner.
func (h *fleetHolder) report(r owner.Report) owner.Direction {
	now := h.p.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.SetLoad(r.PoolLoad, now)
	d := owner.Direction{
		Cordon: h.planner.Cordons(r.Pool), Ended: h.endedOf(r.Pool, now),
		Allowances: h.ledger.Report(r.Pool, r.Fence, r.Teams, now),
	}
	delete(h.ended, r.Pool)
	return d
}

// endedWorker is a worker that ended by an order.
type endedWorker struct {
	id fleet.InstanceID
	at clock.Millis
}

// endedFresh is how long an end is passed on: less than a machine takes to run the next worker,
// which may have the same id.
const endedFresh clock.Millis = 1000

// endedOf returns the workers of a pool that have just ended. h is locked.
func (h *fleetHolder) endedOf(pool fleet.PoolID, now clock.Millis) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, e := range h.ended[pool] {
		if now-e.at < endedFresh {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// reportPools reports the own pools to the holder of the fleet.
func (p *Process) reportPools(ctx context.Context) {
	d := dependency{name: "holder of the fleet"}
	for ctx.Err() == nil {
		p.mu.Lock()
		owners := make([]*owner.Owner, 0, len(p.owners))
		for _, o := range p.owners {
			owners = append(owners, o.owner)
		}
		p.mu.Unlock()
		var failed error
		for _, o := range owners {
			if err := p.reportPool(ctx, o); err != nil {
				failed = err
			}
		}
		if len(owners) > 0 && ctx.Err() == nil {
			d.saw(p, failed)
		}
		pause(ctx, reportEvery)
	}
}

func (p *Process) reportPool(ctx context.Context, o *owner.Owner) error {
	r, ok := o.Report()
	if !ok {
		return nil
	}
	p.mu.Lock()
	holder := p.holder
	p.mu.Unlock()
	if holder != nil {
		o.Direct(holder.report(r))
		return nil
	}
	at := p.tenure(fleetPart).Holder()
	if at.Member == "" || at.Address == p.memberAddress() {
		return &owner.RefusedError{Reason: "nobody holds the fleet"}
	}
	ctx, cancel := context.WithTimeout(ctx, reportWait.Duration())
	defer cancel()
	d, err := p.members.report(ctx, at.Address, r)
	if err != nil {
		return err
	}
	o.Direct(d)
	return nil
}
