package hosted

import (
	"context"

	"citronknot/dispatcher"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/platform"
	"citronknot/quota"
	"citronknot/rowstore"
)

// dependency is the state of a service or data source that the process needs. Only changes of the
// state are logged.
type dependency struct {
	name string
	down bool
}

// logChange records the result of the newest call to the dependency, and logs it if the dependency
// has become unavailable or available again.
func (d *dependency) logChange(p *Process, err error) {
	switch {
	case err != nil && !d.down:
		p.Log.Warn("hosted: dependency became unavailable", "dependency", d.name, "err", err)
	case err == nil && d.down:
		p.Log.Info("hosted: dependency is available again", "dependency", d.name)
	}
	d.down = err != nil
}

// followConfig reads the rows that operators write, the configuration, the evacuations and the
// maintenance waves, and applies their changes until ctx ends.
func (p *Process) followConfig(ctx context.Context) {
	follower := &rowstore.Follower{Table: p.table, Name: platform.OperatorTable, Row: p.applyOperatorRow, Gone: p.removeOperatorRow}
	configDependency := dependency{name: "configuration"}
	for ctx.Err() == nil {
		sent := p.Clock.Mark()
		err := follower.Poll(ctx, p.operatorPollWait())
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			p.evacuations.Confirm(sent)
		}
		configDependency.logChange(p, err)
		if err != nil || p.catalog.Load() == nil {
			sleep(ctx, followRetryDelay)
		}
	}
}

// applyOperatorRow applies a row that an operator wrote. It ignores a configuration that is not
// newer than the current one.
func (p *Process) applyOperatorRow(row rowstore.Row) {
	if zone, ok := platform.DecodeEvacuation(row); ok {
		p.evacuate(zone, row)
		return
	}
	if row.Key != platform.ConfigKey {
		p.applyWaveRow(row)
		return
	}
	next, err := platform.DecodeCatalog(row.Value)
	if err != nil {
		p.Log.Error("hosted: skipped an invalid configuration", "row_version", uint64(row.Version), "err", err)
		return
	}
	old := p.catalog.Load()
	if old != nil && next.Version <= old.Version {
		return
	}
	p.catalog.Store(next)
	p.Log.Info("hosted: applied a configuration", "version", uint64(next.Version), "row_version", uint64(row.Version),
		"queues", len(next.Queues), "pools", len(next.Pools), "teams", len(next.Teams), "keys", len(next.Keys))
}

// applyWaveRow records a maintenance wave that an operator wrote.
func (p *Process) applyWaveRow(row rowstore.Row) {
	wave, ok, err := platform.DecodeWave(row)
	if err != nil {
		p.Log.Error("hosted: skipped an invalid wave", "key", row.Key, "row_version", uint64(row.Version), "err", err)
	}
	if !ok {
		return
	}
	p.mu.Lock()
	p.waves[wave.Number] = configuredWave{Wave: wave, readAt: p.Clock.Now()}
	p.mu.Unlock()
	p.Log.Info("hosted: operator requested a maintenance wave", "wave", wave.Number, "machines", len(wave.Machines), "most_down", wave.MaxDown, "duration_ms", int64(wave.Duration))
}

// followLeases reads the owner leases until ctx ends. It claims pools without an owner and asks
// low-CPU owners to hand pools over.
func (p *Process) followLeases(ctx context.Context) {
	follower := &rowstore.Follower{Table: p.table, Name: rowstore.OwnerLeaseTable, Row: p.applyLeaseRow, Gone: func(rowstore.Ref) {}}
	leaseDependency := dependency{name: "tenures"}
	for ctx.Err() == nil {
		err := follower.Poll(ctx, 0)
		if ctx.Err() != nil {
			return
		}
		leaseDependency.logChange(p, err)
		if err != nil {
			p.restartLeaseTimers()
		} else if !p.closing.Load() {
			p.claimVacant(ctx)
			p.releaseSlowLeases()
			p.requestHandOvers(ctx)
			p.offerDispatch()
		}
		sleep(ctx, leaseFollowInterval)
	}
}

func (p *Process) applyLeaseRow(row rowstore.Row) {
	if err := p.ownerLease(fleet.PoolID(row.Partition)).Observe(row); err != nil {
		p.Log.Error("hosted: skipped an invalid owner lease", "pool", row.Partition, "err", err)
	}
}

// ownerLease returns this member's view of the lease on a pool, or on the fleet partition, and
// creates it if necessary.
func (p *Process) ownerLease(pool fleet.PoolID) *rowstore.OwnerLease {
	p.mu.Lock()
	defer p.mu.Unlock()
	lease := p.ownerLeases[pool]
	if lease == nil {
		lease = &rowstore.OwnerLease{
			Table: p.table, Clock: p.Clock, Partition: string(pool), Self: p.Settings.Member, Address: p.memberAddress(),
			LowCPU: isLowCPU(p.Settings.CPUCores), DelegatedOrders: dispatcher.GrantLength,
			OnFailure: func(err error) {
				p.Log.Warn("hosted: an attempt of a commit failed", "pool", pool, "err", err)
			},
		}
		p.ownerLeases[pool] = lease
	}
	return lease
}

// hasLimit reports whether the configuration limits the resources of a team.
func (p *Process) hasLimit(team fleet.TeamID) bool {
	catalog := p.catalog.Load()
	if catalog == nil || catalog.Teams[team] == nil {
		return false
	}
	_, hasLimit := quota.Limit(catalog.Teams[team].Cap)
	return hasLimit
}

// teamWeight returns the weight of a team in the configuration, or 0 if it has none.
func (p *Process) teamWeight(team fleet.TeamID) float64 {
	catalog := p.catalog.Load()
	if catalog == nil || catalog.Teams[team] == nil {
		return 0
	}
	return catalog.Teams[team].Weight
}

// restartLeaseTimers restarts the time after which a lease without renewals counts as expired. It
// is called when the leases can't be read: their holders may be unable to renew them for the same
// reason.
func (p *Process) restartLeaseTimers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, lease := range p.ownerLeases {
		lease.RestartExpiry()
	}
}

// followWorkers keeps the list of workers up to date while this member owns a pool.
func (p *Process) followWorkers(ctx context.Context) {
	follower := &rowstore.Follower{Table: p.table, Name: platform.WorkersTable, Row: p.applyWorkerRow, Gone: p.removeWorker}
	workersDependency := dependency{name: "list of workers"}
	for ctx.Err() == nil {
		if p.ownsAny() {
			err := follower.Poll(ctx, 0)
			if ctx.Err() != nil {
				return
			}
			workersDependency.logChange(p, err)
			if err == nil {
				p.updateOwnerWorkers()
			}
		}
		sleep(ctx, workerFollowInterval)
	}
}

// ownsAny reports whether this member owns a pool.
func (p *Process) ownsAny() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.owners) > 0
}

// applyWorkerRow records the entry of a worker. An entry that can't be decoded removes the worker
// from the list. It is logged if the worker was listed, or before the first read is complete.
func (p *Process) applyWorkerRow(row rowstore.Row) {
	registration, err := platform.DecodeRegistration(row.Key, row.Value)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if p.workers[fleet.InstanceID(row.Key)] != nil || !p.workersListed {
			p.Log.Warn("hosted: skipped an invalid worker entry", "worker", row.Key, "err", err)
		}
		delete(p.workers, fleet.InstanceID(row.Key))
		return
	}
	p.workers[registration.ID] = registration
}

func (p *Process) removeWorker(ref rowstore.Ref) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.workers, fleet.InstanceID(ref.Key))
}

// updateOwnerWorkers passes the listed workers of each pool that this member owns to the pool's
// owner.
func (p *Process) updateOwnerWorkers() {
	p.mu.Lock()
	p.workersListed = true
	lists := map[fleet.PoolID][]owner.ListedWorker{}
	for _, r := range p.workers {
		lists[r.Pool] = append(lists[r.Pool], owner.ListedWorker{Worker: r.Worker, Address: r.Address})
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

// queuePolicy returns the policy for jobs that a queue accepts now, and false if the queue is not in the
// configuration that this member has read.
func (p *Process) queuePolicy(id fleet.QueueID) (job.Policy, bool) {
	catalog := p.catalog.Load()
	if catalog == nil || catalog.Queues[id] == nil {
		return job.Policy{}, false
	}
	return catalog.Queues[id].Policy(), true
}
