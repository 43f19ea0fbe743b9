package hosted

import (
	"context"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/platform"
	"citronknot/quota"
	"citronknot/rowstore"
	"citronknot/schedule"
)

// dependency logs once when what a process needs is lost, and once when it is regained.
type dependency struct {
	name string
	down bool
}

func (d *dependency) saw(p *Process, err error) {
	switch {
	case err != nil && !d.down:
		p.Log.Warn("hosted: dependency lost", "dependency", d.name, "err", err)
	case err == nil && d.down:
		p.Log.Info("hosted: dependency regained", "dependency", d.name)
	}
	d.down = err != nil
}

// followConfig keeps the catalog up to date.
func (p *Process) followConfig(ctx context.Context) {
	f := &rowstore.Follower{Table: p.table, Name: platform.OperatorTable, Row: p.operatorRow, Gone: func(rowstore.Ref) {}}
	d := dependency{name: "configuration"}
	for ctx.Err() == nil {
		err := f.Poll(ctx, configWait)
		if ctx.Err() != nil {
			return
		}
		d.saw(p, err)
		if err != nil || p.catalog.Load() == nil {
			pause(ctx, pollRetry)
		}
	}
}

// operatorRow takes in a row that an operator wrote.
func (p *Process) operatorRow(r rowstore.Row) {
	if r.Key != platform.ConfigKey {
		p.waveRow(r)
		return
	}
	c, err := platform.DecodeCatalog(r.Value)
	if err != nil {
		p.Log.Error("hosted: configuration skipped", "row_version", uint64(r.Version), "err", err)
		return
	}
	old := p.catalog.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	p.remember(old, c)
	p.catalog.Store(c)
	p.Log.Info("hosted: configuration in force", "version", uint64(c.Version), "row_version", uint64(r.Version),
		"queues", len(c.Queues), "pools", len(c.Pools), "teams", len(c.Teams), "keys", len(c.Keys))
}

// waveRow takes in a wave that an operator wrote.
func (p *Process) waveRow(r rowstore.Row) {
	w, ok, err := platform.DecodeWave(r)
	if err != nil {
		p.Log.Error("hosted: wave skipped", "key", r.Key, "row_version", uint64(r.Version), "err", err)
	}
	if !ok {
		return
	}
	p.mu.Lock()
	p.waves[w.Number] = seenWave{Wave: w, at: p.Clock.Now()}
	p.mu.Unlock()
	p.Log.Info("hosted: wave of upkeep asked for", "wave", w.Number, "machines", len(w.Machines), "most_down", w.Most, "duration_ms", int64(w.Duration))
}

// remember keeps the pools that a queue had before: their jobs stay there.
func (p *Process) remember(old, next *job.Catalog) {
	if old == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, q := range next.Queues {
		if before := old.Queues[id]; before != nil && before.Pool != q.Pool && !slices.Contains(p.formerly[id], before.Pool) {
			p.formerly[id] = append(p.formerly[id], before.Pool)
		}
	}
}

// followTenures keeps up to date who owns which pool, and claims pools without an owner.
func (p *Process) followTenures(ctx context.Context) {
	f := &rowstore.Follower{Table: p.table, Name: rowstore.TenureTable, Row: p.tenureRow, Gone: func(rowstore.Ref) {}}
	d := dependency{name: "tenures"}
	for ctx.Err() == nil {
		err := f.Poll(ctx, 0)
		if ctx.Err() != nil {
			return
		}
		d.saw(p, err)
		if err != nil {
			p.interrupted()
		} else if !p.closing.Load() {
			p.claimVacant(ctx)
		}
		pause(ctx, tenurePoll)
	}
}

func (p *Process) tenureRow(r rowstore.Row) {
	if err := p.tenure(fleet.PoolID(r.Part)).Observe(r); err != nil {
		p.Log.Error("hosted: tenure skipped", "pool", r.Part, "err", err)
	}
}

// tenure returns the view of a pool's tenure.
func (p *Process) tenure(pool fleet.PoolID) *rowstore.Tenure {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tenures[pool]
	if t == nil {
		t = &rowstore.Tenure{Table: p.table, Clock: p.Clock, Part: string(pool), Self: p.Settings.Member, Address: p.memberAddress()}
		p.tenures[pool] = t
	}
	return t
}

// limited reports whether a team has a limit.
func (p *Process) limited(team fleet.TeamID) bool {
	c := p.catalog.Load()
	if c == nil || c.Teams[team] == nil {
		return false
	}
	_, limited := quota.Limit(c.Teams[team].Cap)
	return limited
}

// interrupted restarts the watch over silent owners, since they may be cut off as well.
func (p *Process) interrupted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.tenures {
		t.Interrupted()
	}
}

// followWorkers keeps the list of workers up to date while this member owns a pool.
func (p *Process) followWorkers(ctx context.Context) {
	f := &rowstore.Follower{Table: p.table, Name: platform.WorkersTable, Row: p.workerRow, Gone: p.workerGone}
	d := dependency{name: "list of workers"}
	for ctx.Err() == nil {
		if p.ownsAny() {
			err := f.Poll(ctx, 0)
			if ctx.Err() != nil {
				return
			}
			d.saw(p, err)
			if err == nil {
				p.listWorkers()
			}
		}
		pause(ctx, workerPoll)
	}
}

func (p *Process) ownsAny() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.owners) > 0
}

func (p *Process) workerRow(r rowstore.Row) {
	reg, err := platform.DecodeRegistration(r.Key, r.Value)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if p.workers[fleet.InstanceID(r.Key)] != nil || !p.scanned {
			p.Log.Warn("hosted: entry of a worker skipped", "worker", r.Key, "err", err)
		}
		delete(p.workers, fleet.InstanceID(r.Key))
		return
	}
	p.workers[reg.ID] = reg
}

func (p *Process) workerGone(ref rowstore.Ref) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.workers, fleet.InstanceID(ref.Key))
}

// listWorkers tells the owners their pools' workers.
func (p *Process) listWorkers() {
	p.mu.Lock()
	p.scanned = true
	lists := map[fleet.PoolID][]owner.Listed{}
	for _, r := range p.workers {
		lists[r.Pool] = append(lists[r.Pool], owner.Listed{Worker: r.Worker, Address: r.Address})
	}
	owners := make(map[fleet.PoolID]*owner.Owner, len(p.owners))
	for id, o := range p.owners {
		owners[id] = o.owner
	}
	p.mu.Unlock()
	for id, o := range owners {
		o.SetWorkers(lists[id])
	}
}

// Waits before a claim. They spread pools over members and bring them to the members that can
// carry them: each member waits longer for each pool that it owns already, and for the
// processor time that it lacks.
const (
	claimStep clock.Millis = 400 // for each pool that the member owns
	// ownerProcessor is the processor time, in cores, that an owner of 100 workers and more needs
	// at the looks of package worker; with less, its looks come late and leases lapse.
	ownerProcessor              = 0.4
	weakWait       clock.Millis = 1200 // of a member with none of ownerProcessor
	// firstWait is the wait of such a member for a pool that nobody has owned yet. Members start
	// together then, but not at the same moment.
	firstWait clock.Millis = 6000
)

// ClaimWait returns how long a member that owns pools already waits before it claims one more.
// processor is the processor time that it may use, in cores, or 0 if that is not known; first
// says that nobody has owned the pool yet.
func ClaimWait(owned int, processor float64, first bool) clock.Millis {
	wait := clock.Millis(owned) * claimStep
	if processor <= 0 || processor >= ownerProcessor {
		return wait
	}
	weak := weakWait
	if first {
		weak = firstWait
	}
	return wait + clock.Millis(float64(weak)*(1-processor/ownerProcessor))
}

// claimVacant claims pools that have no owner.
func (p *Process) claimVacant(ctx context.Context) {
	c := p.catalog.Load()
	if c == nil {
		return
	}
	ids := []fleet.PoolID{fleetPart}
	for id, pool := range c.Pools { // in random order
		if !pool.Spare {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		t := p.tenure(id)
		if err := t.Observe(rowstore.Row{}); err != nil { // no row: nobody ever held the pool
			p.Log.Error("hosted: tenure skipped", "pool", id, "err", err)
		}
		vacant, released := t.Vacant()
		if !p.mayClaim(id, vacant, t.Holder().Fence == 0) {
			continue
		}
		ok, err := t.Claim(ctx)
		if err != nil {
			p.Log.Warn("hosted: claim failed", "pool", id, "err", err)
			continue
		}
		switch {
		case ok && id == fleetPart:
			p.holdFleet(t)
		case ok:
			p.own(id, t, released)
		}
	}
}

// mayClaim reports whether it is this member's turn to claim a pool.
func (p *Process) mayClaim(id fleet.PoolID, vacant, first bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !vacant || p.owners[id] != nil || (id == fleetPart && p.holder != nil) {
		delete(p.vacant, id)
		return false
	}
	now := p.Clock.Now()
	since, ok := p.vacant[id]
	if !ok {
		since = now
		p.vacant[id] = now
	}
	have := len(p.owners)
	if p.holder != nil {
		have++
	}
	return now-since >= ClaimWait(have, p.Settings.Processor, first)
}

// own runs a pool whose tenure this member has just claimed.
func (p *Process) own(id fleet.PoolID, t *rowstore.Tenure, released bool) {
	o := owner.New(owner.Config{
		Pool: id, Tenure: t, Released: released, Table: p.table, Calls: p.calls, Clock: p.Clock, Log: p.Log,
		Metrics: p.metrics.owner, KeepFinal: p.Settings.KeepFinal, Terms: p.terms, Limited: p.limited, Advise: p.advise, StopTime: p.Settings.StopTime,
	})
	ctx, cancel := context.WithCancel(p.ctx)
	own := &owned{owner: o, cancel: cancel, done: make(chan struct{})}
	p.mu.Lock()
	p.owners[id] = own
	delete(p.vacant, id)
	p.mu.Unlock()
	p.wg.Go(func() {
		defer close(own.done)
		defer cancel()
		err := o.Run(ctx)
		p.mu.Lock()
		delete(p.owners, id)
		p.mu.Unlock()
		p.Log.Info("hosted: pool given up", "pool", id, "err", err)
		if !owner.Expired(err) {
			p.release(t)
		}
	})
}

// releaseWait bounds the release of a tenure; after it the others wait for its term.
const releaseWait clock.Millis = 1000

func (p *Process) release(t *rowstore.Tenure) {
	if p.crashed.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseWait.Duration())
	defer cancel()
	if err := t.Release(ctx); err != nil {
		p.Log.Warn("hosted: pool not released", "pool", t.Part, "err", err)
	}
}

func (p *Process) terms(id fleet.QueueID) (schedule.Terms, bool) {
	c := p.catalog.Load()
	if c == nil || c.Queues[id] == nil {
		return schedule.Terms{Attempts: 1}, false
	}
	q := c.Queues[id]
	return schedule.Terms{Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Slack: q.Slack, Advised: q.Advice != nil}, true
}
