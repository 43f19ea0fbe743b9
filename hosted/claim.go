package hosted

import (
	"context"
	"errors"
	"net/http"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/owner"
	"citronknot/rowstore"
)

// Delays between the observation that a pool has no owner and the claim of its lease. They spread
// the pools over the members and prefer members with enough CPU: a member waits longer the more
// pools it already owns, and the further its CPU is below minOwnerCPU.
const (
	claimWaitPerPool clock.Millis = 400 // for each pool that the member owns or dispatches for
	// minOwnerCPU is the CPU in cores that the owner of 100 or more workers needs at the poll
	// interval of package worker. With less, its polls are late and task leases expire.
	minOwnerCPU = 0.4
	// lowCPUClaimWait is the extra wait of a member whose CPU is close to 0; it decreases linearly
	// to 0 at minOwnerCPU. It is long enough that members with enough CPU that own two pools claim
	// first, although members notice a vacancy up to leaseFollowInterval apart.
	lowCPUClaimWait clock.Millis = 2500
	// lowCPUFirstClaimWait replaces lowCPUClaimWait for a pool that never had an owner. It is
	// longer because the members are then starting together, but not at the same moment.
	lowCPUFirstClaimWait clock.Millis = 6000
)

// storeDownClaimWait is the extra wait of a member that reaches the store only through another one. The members
// that reach it directly have claimed by then, if there are any.
const storeDownClaimWait clock.Millis = 2500

// Claimant is a member that may claim a vacant pool.
type Claimant struct {
	OwnedPools int     // pools that it owns or dispatches for
	CPUCores   float64 // that it may use; 0 if that is unknown
	NeverOwned bool    // the pool never had an owner
	StoreDown  bool    // the store responds to other members, and not to it
}

// Wait returns how long the member waits before it claims the pool.
func (c Claimant) Wait() clock.Millis {
	wait := clock.Millis(c.OwnedPools) * claimWaitPerPool
	if c.StoreDown {
		wait += storeDownClaimWait
	}
	if !isLowCPU(c.CPUCores) {
		return wait
	}
	maxWait := lowCPUClaimWait
	if c.NeverOwned {
		maxWait = lowCPUFirstClaimWait
	}
	return wait + clock.Millis(float64(maxWait)*(1-c.CPUCores/minOwnerCPU))
}

// isLowCPU reports whether a member has too little CPU to own a large pool. An unknown CPU, 0,
// counts as enough.
func isLowCPU(cpuCores float64) bool { return cpuCores > 0 && cpuCores < minOwnerCPU }

// claimVacant claims the leases on the pools that have no owner and on the fleet partition, once
// the wait of this member for each of them is over. It claims nothing before the operators' table was
// read to its end, so that an owner knows the evacuations.
func (p *Process) claimVacant(ctx context.Context) {
	catalog := p.catalog.Load()
	if _, read := p.evacuations.ConfirmationAge(); catalog == nil || !read {
		return
	}
	ids := []fleet.PoolID{fleetPartition}
	for id, pool := range catalog.Pools { // in random order
		if !pool.Spare {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		lease := p.ownerLease(id)
		if err := lease.Observe(rowstore.Row{}); err != nil { // has an effect only if no row was read: the pool never had an owner
			p.Log.Error("hosted: skipped an invalid owner lease", "pool", id, "err", err)
		}
		if !p.mayClaim(id, lease.Vacant(), p.claimant(lease.Holder().Fence == 0)) {
			continue
		}
		ok, err := lease.Claim(ctx)
		if err != nil {
			p.Log.Warn("hosted: claiming an owner lease failed", "pool", id, "err", err)
			continue
		}
		switch {
		case ok && id == fleetPartition:
			p.leadFleet(lease)
		case ok:
			p.runOwner(id, lease)
		}
	}
}

// claimant describes this member as one that may claim a pool.
func (p *Process) claimant(neverOwned bool) Claimant {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := Claimant{
		OwnedPools: len(p.owners) + len(p.dispatchers), CPUCores: p.Settings.CPUCores, NeverOwned: neverOwned,
		StoreDown: p.provenRelay != "" && p.storeRoute.DirectDownFor() > 0,
	}
	if p.fleetLeader != nil {
		c.OwnedPools++
	}
	return c
}

// mayClaim reports whether a pool has been vacant for at least this member's claim wait. It records
// when the pool was first observed to be vacant.
func (p *Process) mayClaim(id fleet.PoolID, vacant bool, c Claimant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !vacant || p.owners[id] != nil || (id == fleetPartition && p.fleetLeader != nil) {
		delete(p.vacantSince, id)
		return false
	}
	now := p.Clock.Now()
	since, ok := p.vacantSince[id]
	if !ok {
		since = now
		p.vacantSince[id] = now
	}
	return now-since >= c.Wait()
}

// Limits of the requests to low-CPU owners to hand a pool over.
const (
	handOverMinLeaseAge clock.Millis = 1500 // minimum age of the owner lease, so that the recovery after the last takeover finishes first
	handOverTimeout     clock.Millis = 300  // longest wait for the owner's response
	handOverMaxOwned                 = 1    // largest number of pools that the requesting member may already own
)

// requestHandOvers asks one low-CPU owner to give its pool up, if this member has enough CPU and
// owns few pools. The pool is then vacant, and this member can claim it because low-CPU members
// wait longer before a claim.
func (p *Process) requestHandOvers(ctx context.Context) {
	if isLowCPU(p.Settings.CPUCores) {
		return
	}
	p.mu.Lock()
	ownedPools := len(p.owners)
	p.mu.Unlock()
	catalog := p.catalog.Load()
	if catalog == nil || ownedPools > handOverMaxOwned {
		return
	}
	for id := range catalog.Pools {
		holder := p.ownerLease(id).Holder()
		if holder.Member == "" || !holder.LowCPU || !p.leaseAgeAtLeast(id, holder.Fence, handOverMinLeaseAge+clock.Millis(ownedPools)*claimWaitPerPool) {
			continue
		}
		p.restartLeaseAge(id)
		p.wg.Go(func() { p.sendHandOver(ctx, id, holder) })
		return // one at a time
	}
}

func (p *Process) sendHandOver(ctx context.Context, id fleet.PoolID, holder rowstore.Holder) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout.Duration())
	defer cancel()
	var result wireResponse
	err := p.members.callInto(ctx, http.MethodPost, poolPath(holder.Address, id)+"/hand-over", nil, &result)
	p.Log.Info("hosted: asked a low-CPU owner to hand its pool over", "pool", id, "holder", holder.Member, "fence", holder.Fence, "err", err)
}

// leaseAgeAtLeast reports whether this member first observed the owner lease with the given fence,
// or last asked its holder for the pool, at least minAge ago.
func (p *Process) leaseAgeAtLeast(id fleet.PoolID, fence uint64, minAge clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	lease, ok := p.lowCPULeases[id]
	if !ok || lease.fence != fence {
		p.lowCPULeases[id] = observedLease{fence: fence, ageFrom: now}
		return false
	}
	return now-lease.ageFrom >= minAge
}

// restartLeaseAge restarts the measured age of a pool's lease, so that the next request for a
// hand-over of the pool waits.
func (p *Process) restartLeaseAge(id fleet.PoolID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lease := p.lowCPULeases[id]
	lease.ageFrom = p.Clock.Now()
	p.lowCPULeases[id] = lease
}

// observedLease is an owner lease of a low-CPU member. Its age counts from the first observation by
// this member or from this member's last request for a hand-over.
type observedLease struct {
	fence   uint64
	ageFrom clock.Millis
}

// serveHandOver stops the owner of a pool, so that a member with more CPU can claim the pool. It
// refuses if this member has enough CPU.
func (p *Process) serveHandOver(w http.ResponseWriter, r *http.Request) {
	id := fleet.PoolID(r.PathValue("pool"))
	p.mu.Lock()
	own := p.owners[id]
	p.mu.Unlock()
	if own == nil || !isLowCPU(p.Settings.CPUCores) {
		writeResponse(w, http.StatusMisdirectedRequest, wireResponse{Reason: "this member does not own the pool, or can carry it"})
		return
	}
	own.cancel()
	writeResponse(w, http.StatusOK, wireResponse{})
}

// runOwner starts the owner of a pool whose lease this member has just claimed. It releases the
// lease when the owner stops, unless the lease has expired or belongs to another member by then.
func (p *Process) runOwner(id fleet.PoolID, lease *rowstore.OwnerLease) {
	poolOwner := owner.New(owner.Config{
		Pool: id, Lease: lease, Table: p.table, Calls: p.calls,
		Clock: p.Clock, Log: p.Log, Metrics: p.metrics.owner,
		CPUCores: p.Settings.CPUCores, FinalStateRetention: p.Settings.FinalStateRetention, StopTime: p.Settings.MaxStopTime,
		PollWait: p.workerPollWait(), MaxRowBytes: p.Settings.MaxRowBytes, MaxLease: p.Settings.MaxLeaseTime, FarFactor: p.Settings.FarFactor,
		Policy: p.queuePolicy, Limited: p.hasLimit, Weight: p.teamWeight, Advise: p.advise,
		Evacuated: p.evacuations.Zones, MayStart: p.evacuations.MayStart,
	})
	ctx, cancel := context.WithCancel(p.ctx)
	own := &ownedPool{owner: poolOwner, cancel: cancel, done: make(chan struct{})}
	p.mu.Lock()
	p.owners[id] = own
	delete(p.vacantSince, id)
	p.mu.Unlock()
	p.wg.Go(func() {
		defer close(own.done)
		defer cancel()
		err := poolOwner.Run(ctx)
		p.mu.Lock()
		delete(p.owners, id)
		p.mu.Unlock()
		p.Log.Info("hosted: stopped owning a pool", "pool", id, "err", err)
		var unconfirmed *owner.UnconfirmedStopError
		if !owner.LeaseLost(err) && !errors.As(err, &unconfirmed) {
			p.releaseLease(lease)
		}
	})
}

// lowCPUPollWait is how long a worker may hold the poll of a low-CPU owner open. Three extensions
// of a task lease still fit into the length of the lease.
const lowCPUPollWait clock.Millis = 1200

// workerPollWait returns how long a worker may hold an owner's poll open; 0 means the default of
// package worker.
func (p *Process) workerPollWait() clock.Millis {
	if isLowCPU(p.Settings.CPUCores) {
		return lowCPUPollWait
	}
	return 0
}

// releaseTimeout is the time limit for the release of an owner lease. If the release fails, other
// members wait until the lease expires.
const releaseTimeout clock.Millis = 1000

func (p *Process) releaseLease(lease *rowstore.OwnerLease) {
	if p.crashed.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Duration())
	defer cancel()
	if err := lease.Release(ctx); err != nil {
		p.Log.Warn("hosted: releasing an owner lease failed", "pool", lease.Partition, "err", err)
	}
}
