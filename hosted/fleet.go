package hosted

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

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

// fleetPartition is the partition of the row store whose lease holder is the fleet leader, the
// member that manages machines and team limits. No pool has this name: operators name pools, in
// lower case letters and digits.
const fleetPartition fleet.PoolID = "~fleet"

// wavesTable is the table that records which machines of a maintenance wave are done.
const wavesTable = "waves"

// Times of the fleet leader and of the reports to it.
const (
	fleetInterval    clock.Millis = 100  // between two planning steps
	busyListInterval clock.Millis = 500  // between two reads of the list of machines while orders are in progress
	idleListInterval clock.Millis = 2000 // the same while no orders are in progress
	reportInterval   clock.Millis = 120  // between two reports of a pool's owner
	reportTimeout    clock.Millis = 700  // longest wait for the response to a report
	// lastOrderDelay is how long after the lease term that precedes a takeover the last order of
	// the former leader can still arrive. A new leader waits this long before it orders a machine that
	// the former one may have ordered, in addition to the least time between the orders of two leaders.
	lastOrderDelay clock.Millis = 1000
)

// configuredWave is a maintenance wave that an operator wrote, with the time at which its row was
// read.
type configuredWave struct {
	machine.Wave
	readAt clock.Millis
}

// fleetLeader manages machines and team limits while this member holds the lease on the fleet
// partition.
type fleetLeader struct {
	process    *Process
	lease      *rowstore.OwnerLease
	calls      machine.Calls
	ordersFrom clock.Millis // the earliest time at which any machine may be sent orders
	// handoverEnd is the time until which an order of a former leader may be on its way; 0 if there was none.
	handoverEnd clock.Millis
	cancel      context.CancelFunc
	done        chan struct{}

	mu            sync.Mutex
	planner       *machine.Planner
	ledger        *quota.Ledger
	endedWorkers  map[fleet.PoolID][]endedWorker // workers that ended through orders since their pool's last report
	pendingOrders int                            // orders in progress
	listedAt      clock.Millis
	recentOrders  map[machine.ID]clock.Millis // machines that may have an order on the way, with its time; see recordOrders
	recordSaved   bool                        // this leader has written its first record of orders
	expiredOrders int                         // machines in the record that are not in recentOrders any more
	savedCounts   map[int]int                 // by wave number, the count of done machines that is durable
	writtenStates map[int]machine.WaveState   // by wave number, the state that operators can read
}

// leadFleet makes this member the fleet leader and starts the leader in the background.
func (p *Process) leadFleet(lease *rowstore.OwnerLease) {
	now := p.Clock.Now()
	ctx, cancel := context.WithCancel(p.ctx)
	leader := &fleetLeader{
		process: p, lease: lease, calls: p.machines, cancel: cancel, done: make(chan struct{}),
		planner: machine.NewPlanner(machine.Config{MaintenanceTime: p.Settings.MaintenanceTime, MoveTime: p.Settings.MoveTime}),
		ledger:  quota.New(now), endedWorkers: map[fleet.PoolID][]endedWorker{}, recentOrders: map[machine.ID]clock.Millis{},
		savedCounts: map[int]int{}, writtenStates: map[int]machine.WaveState{},
	}
	if lease.Fence() > 1 {
		leader.handoverEnd = now + leader.handoverTime()
	}
	p.mu.Lock()
	p.fleetLeader = leader
	p.mu.Unlock()
	p.Log.Info("hosted: became fleet leader", "fence", lease.Fence())
	p.wg.Go(func() {
		defer close(leader.done)
		defer cancel()
		err := leader.run(ctx)
		p.mu.Lock()
		p.fleetLeader = nil
		p.mu.Unlock()
		p.Log.Info("hosted: stopped being fleet leader", "err", err)
		if !owner.LeaseLost(err) {
			p.releaseLease(lease)
		}
	})
}

// run manages the fleet until ctx ends or the lease is lost. It waits for the orders in progress
// before it returns.
func (l *fleetLeader) run(ctx context.Context) error {
	doneMachines, record, err := l.load(ctx)
	if err != nil {
		return err
	}
	l.takeOver(record)
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		if err := l.renew(ctx); err != nil {
			return err
		}
		if err := l.step(ctx, &wg, doneMachines); err != nil {
			return err
		}
		sleep(ctx, fleetInterval)
	}
	return ctx.Err()
}

// load reads the done machines of each wave and the record of the former leader's orders. It retries a
// failed read as long as the lease can be renewed. Rows that can't be decoded are skipped: the
// maintenance of machines whose record is lost is ordered again, which has no effect on machines that
// the platform counts as done.
func (l *fleetLeader) load(ctx context.Context) (map[int][]machine.ID, orderRecord, error) {
	for {
		rows, err := l.process.table.Read(ctx, rowstore.Query{Scans: []rowstore.Scan{
			{Table: wavesTable, Partition: string(fleetPartition)}, {Table: machineOrdersTable, Partition: string(fleetPartition)},
		}})
		if err == nil {
			done, record := l.process.decodeLeaderRows(rows)
			return done, record, nil
		}
		l.process.Log.Warn("hosted: reading the records of the fleet leader failed", "err", err)
		if err := l.lease.Commit(ctx, nil); err != nil {
			return nil, orderRecord{}, err
		}
	}
}

// decodeLeaderRows returns the done machines of each wave, and the record of the former leader's orders,
// which is empty if it is missing or can't be decoded.
func (p *Process) decodeLeaderRows(rows []rowstore.Row) (done map[int][]machine.ID, record orderRecord) {
	done = map[int][]machine.ID{}
	for _, r := range rows {
		if r.Table == machineOrdersTable {
			decoded, err := decodeOrderRecord(r.Value)
			if err != nil {
				p.Log.Error("hosted: skipped an invalid record of orders to machines", "err", err)
			}
			record = decoded
			continue
		}
		number, err := strconv.Atoi(r.Key)
		var ids []machine.ID
		if err == nil {
			err = json.Unmarshal(r.Value, &ids)
		}
		if err != nil {
			p.Log.Error("hosted: skipped an invalid record of a wave", "key", r.Key, "err", err)
			continue
		}
		done[number] = ids
	}
	return done, record
}

// renew commits the progress of waves. Without progress it renews the lease when that is due.
func (l *fleetLeader) renew(ctx context.Context) error {
	l.mu.Lock()
	var writes []rowstore.Write
	counts := map[int]int{}
	for n := range l.planner.Waves() {
		ids := l.planner.MaintainedMachines(n)
		if len(ids) == l.savedCounts[n] {
			continue
		}
		value, err := json.Marshal(ids)
		if err != nil {
			l.mu.Unlock()
			return eris.Wrap(err, "hosted: encode done machines of a wave")
		}
		counts[n] = len(ids)
		writes = append(writes, rowstore.Write{Ref: rowstore.Ref{Table: wavesTable, Partition: string(fleetPartition), Key: strconv.Itoa(n)}, Value: value})
	}
	l.mu.Unlock()
	if len(writes) == 0 && l.lease.SinceCommit() < rowstore.OwnerLeaseRenewInterval {
		return nil
	}
	if err := l.lease.Commit(ctx, writes); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, count := range counts {
		l.savedCounts[n] = count
	}
	return nil
}

// step runs one planning step: it lists the machines if that is due, writes the states of waves
// and starts to send the planned orders. It fails if the lease is lost.
func (l *fleetLeader) step(ctx context.Context, wg *sync.WaitGroup, doneMachines map[int][]machine.ID) error {
	now := l.process.Clock.Now()
	l.configure(now, doneMachines)
	l.mu.Lock()
	interval := idleListInterval
	if l.pendingOrders > 0 || l.planner.Busy() {
		interval = busyListInterval
	}
	due := l.listedAt == 0 || now-l.listedAt >= interval
	l.mu.Unlock()
	if due {
		l.listMachines(ctx, now)
	}
	l.writeWaveStates(ctx)
	if now < l.ordersFrom || !l.lease.Exclusive() {
		return nil
	}
	l.mu.Lock()
	started := time.Now()
	orders := l.planner.Plan(l.process.Clock.Now())
	l.recordPlanTime(time.Since(started), len(orders))
	for _, o := range orders {
		e := l.planner.Evidence(o.Machine, l.process.Clock.Now())
		l.process.Log.Info("hosted: orders a machine", "order", o.String(), "fence", l.lease.Fence(), "worker", e.Worker,
			"report_fence", e.Fence, "report_age_ms", int64(e.Age))
	}
	for _, state := range l.planner.Pools(l.process.Clock.Now()) {
		l.process.Log.Debug("hosted: pool seen", "pool", state.Pool, "need", state.Need, "target", state.Target, "capacity", state.Capacity,
			"rate", state.Rate, "hot", state.InPeak, "age_ms", int64(state.Age))
	}
	l.mu.Unlock()
	if err := l.recordOrders(ctx, orders); err != nil {
		return err
	}
	l.mu.Lock()
	l.pendingOrders += len(orders)
	l.mu.Unlock()
	for _, o := range orders {
		wg.Go(func() { l.order(ctx, o) })
	}
	return nil
}

// slowPlan is the time of a planning pass from which it is logged: reports of pools wait for it.
const slowPlan = 50 * time.Millisecond

// recordPlanTime records the time of one pass of the planner.
func (l *fleetLeader) recordPlanTime(took time.Duration, orders int) {
	l.process.metrics.fleetPlanTime.Observe(took.Seconds())
	if took >= slowPlan {
		l.process.Log.Warn("hosted: planning of machines was slow", "fence", l.lease.Fence(), "took_ms", took.Milliseconds(), "orders", orders)
	}
}

// configure passes the pools, the evacuated zones, the team limits and the waves to the planner and the
// ledger.
func (l *fleetLeader) configure(now clock.Millis, doneMachines map[int][]machine.ID) {
	catalog := l.process.catalog.Load()
	if catalog == nil {
		return
	}
	var pools []fleet.PoolID
	var spare fleet.PoolID
	for id, pool := range catalog.Pools {
		if pool.Spare {
			spare = id
		} else {
			pools = append(pools, id)
		}
	}
	slices.Sort(pools)
	caps := make(map[fleet.TeamID]job.Resources, len(catalog.Teams))
	for id, t := range catalog.Teams {
		caps[id] = t.Cap
	}
	l.process.mu.Lock()
	waves := make([]configuredWave, 0, len(l.process.waves))
	for _, w := range l.process.waves {
		waves = append(waves, w)
	}
	l.process.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planner.SetPools(pools, spare)
	l.planner.SetEvacuated(l.process.evacuations.Zones())
	l.ledger.Configure(pools, caps)
	for _, w := range waves {
		l.planner.SetWave(w.Wave, doneMachines[w.Number], w.readAt)
	}
}

func (l *fleetLeader) listMachines(ctx context.Context, now clock.Millis) {
	if l.calls.List == nil {
		return
	}
	list, err := l.calls.List(ctx)
	l.process.machinesDependency.logChange(l.process, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listedAt = now
	if err == nil {
		l.planner.SetMachines(list, now, l.process.Clock.Now())
	}
}

// order sends one order and records its result. It is the only function that sends orders to
// machines, and it sends them only while no other member can be the fleet leader.
func (l *fleetLeader) order(ctx context.Context, o machine.Order) {
	var result machine.Result
	var err error
	if l.lease.Exclusive() {
		result, err = l.calls.Order(ctx, l.process.Settings.Member, l.lease.Fence(), o)
	} else {
		result = machine.Limited // not sent; the planner orders it again
	}
	l.process.Log.Info("hosted: order to a machine finished", "order", o.String(), "fence", l.lease.Fence(), "answer", result.String(), "err", err)
	l.process.metrics.machineOrders.WithLabelValues(orderKind(o), result.String()).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingOrders--
	if pool, ended := l.planner.Answered(o, result, err == nil, l.process.Clock.Now()); ended != "" {
		l.endedWorkers[pool] = append(l.endedWorkers[pool], endedWorker{id: ended, endedAt: l.process.Clock.Now()})
	}
}

// orderKind returns the metric label of an order.
func orderKind(o machine.Order) string {
	if o.Pool != "" {
		return "move"
	}
	return "upkeep"
}

// writeWaveStates writes the changed states of waves to the rows that operators read.
func (l *fleetLeader) writeWaveStates(ctx context.Context) {
	l.mu.Lock()
	states := l.planner.Waves()
	l.mu.Unlock()
	for n, s := range states {
		if l.writtenStates[n] == s {
			continue
		}
		if err := l.writeWaveState(ctx, n, s); err != nil {
			l.process.Log.Warn("hosted: writing the state of a wave failed", "wave", n, "err", err)
			continue
		}
		l.writtenStates[n] = s
		l.process.Log.Info("hosted: wrote the state of a wave", "wave", n, "state", string(s))
	}
}

// writeWaveState writes the state of a wave, unless its row already says that it is complete.
func (l *fleetLeader) writeWaveState(ctx context.Context, number int, state machine.WaveState) error {
	status := platform.WaveStatus(number, state)
	row, ok, err := l.process.table.Get(ctx, status.Ref)
	if err != nil {
		return err
	}
	if ok && state != machine.WaveComplete && string(row.Value) == string(platform.WaveStatus(number, machine.WaveComplete).Value) {
		return nil
	}
	_, err = l.process.table.Transact(ctx, rowstore.Transaction{
		Checks: []rowstore.Check{{Ref: status.Ref, Version: row.Version}}, Writes: []rowstore.Write{status},
	})
	return err
}

// handleReport records a report of a pool's owner and returns the response to it.
func (l *fleetLeader) handleReport(report owner.Report) owner.Direction {
	now := l.process.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planner.SetLoad(report.PoolLoad, now)
	direction := owner.Direction{
		Cordon: l.planner.Cordons(report.Pool), KeepCordons: now < l.handoverEnd, Ended: l.recentlyEnded(report.Pool, now),
		Arriving:   l.arriving(report.Pool, now),
		Allowances: l.ledger.Report(report.Pool, report.Fence, report.Teams, now),
	}
	delete(l.endedWorkers, report.Pool)
	return direction
}

// arriving returns the machines on their way to a pool.
func (l *fleetLeader) arriving(pool fleet.PoolID, now clock.Millis) []owner.Arrival {
	var out []owner.Arrival
	for _, a := range l.planner.Arriving(pool, now) {
		out = append(out, owner.Arrival{In: a.In, Capacity: a.Capacity})
	}
	return out
}

// endedWorker is a worker that ended through an order to its machine.
type endedWorker struct {
	id      fleet.InstanceID
	endedAt clock.Millis
}

// endedWorkerMaxAge is how long an ended worker is reported to its pool's owner. It is shorter than
// the time that a machine takes to start the next worker, which may have the same id.
const endedWorkerMaxAge clock.Millis = 1000

// recentlyEnded returns the workers of a pool that ended within endedWorkerMaxAge. The caller
// holds l.mu.
func (l *fleetLeader) recentlyEnded(pool fleet.PoolID, now clock.Millis) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, e := range l.endedWorkers[pool] {
		if now-e.endedAt < endedWorkerMaxAge {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// reportPools reports the pools of this member to the fleet leader until ctx ends.
func (p *Process) reportPools(ctx context.Context) {
	leaderDependency := dependency{name: "fleet leader"}
	for ctx.Err() == nil {
		p.mu.Lock()
		owners := make([]*owner.Owner, 0, len(p.owners))
		for _, o := range p.owners {
			owners = append(owners, o.owner)
		}
		p.mu.Unlock()
		var lastErr error
		for _, o := range owners {
			if err := p.reportPool(ctx, o); err != nil {
				lastErr = err
			}
		}
		if len(owners) > 0 && ctx.Err() == nil {
			leaderDependency.logChange(p, lastErr)
		}
		sleep(ctx, reportInterval)
	}
}

// reportPool sends the report of one pool to the fleet leader, which may be this member, and passes
// the response to the pool's owner. It does nothing while the owner is still loading the pool.
func (p *Process) reportPool(ctx context.Context, o *owner.Owner) error {
	report, ok := o.Report()
	if !ok {
		return nil
	}
	p.mu.Lock()
	leader := p.fleetLeader
	p.mu.Unlock()
	if leader != nil {
		o.Direct(leader.handleReport(report))
		return nil
	}
	remote := p.ownerLease(fleetPartition).Holder()
	if remote.Member == "" || remote.Address == p.memberAddress() {
		return &owner.RefusedError{Reason: "there is no fleet leader"}
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
	defer cancel()
	direction, err := p.members.report(ctx, remote.Address, report)
	if err != nil {
		return err
	}
	o.Direct(direction)
	return nil
}
