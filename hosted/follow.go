package hosted

import (
	"context"
	"slices"

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
			p.relieve(ctx)
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
		t = &rowstore.Tenure{
			Table: p.table, Clock: p.Clock, Part: string(pool), Self: p.Settings.Member, Address: p.memberAddress(),
			Weak: weak(p.Settings.Processor),
		}
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

func (p *Process) terms(id fleet.QueueID) (schedule.Terms, bool) {
	c := p.catalog.Load()
	if c == nil || c.Queues[id] == nil {
		return schedule.Terms{Attempts: 1}, false
	}
	q := c.Queues[id]
	return schedule.Terms{Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Slack: q.Slack, Advised: q.Advice != nil}, true
}
