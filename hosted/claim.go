package hosted

import (
	"context"
	"net/http"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/owner"
	"citronknot/rowstore"
)

// Waits before a claim. They spread pools over members and bring them to the members that can
// carry them: each member waits longer for each pool that it owns already, and for the
// processor time that it lacks.
const (
	claimStep clock.Millis = 400 // for each pool that the member owns
	// ownerProcessor is the processor time, in cores, that an owner of 100 workers and more needs
	// at the looks of package worker; with less, its looks come late and leases lapse.
	ownerProcessor = 0.4
	// weakWait is the wait of a member with none of ownerProcessor. It is long enough for members
	// that own two pools to come first, although members see a vacancy up to tenurePoll apart.
	weakWait clock.Millis = 2500
	// firstWait is the wait of such a member for a pool that nobody has owned yet. Members start
	// together then, but not at the same moment.
	firstWait clock.Millis = 6000
)

// ClaimWait returns how long a member that owns pools already waits before it claims one more.
// processor is the processor time that it may use, in cores, or 0 if that is not known; first
// says that nobody has owned the pool yet.
func ClaimWait(owned int, processor float64, first bool) clock.Millis {
	wait := clock.Millis(owned) * claimStep
	if !weak(processor) {
		return wait
	}
	most := weakWait
	if first {
		most = firstWait
	}
	return wait + clock.Millis(float64(most)*(1-processor/ownerProcessor))
}

// weak reports whether a member can't carry a large pool.
func weak(processor float64) bool { return processor > 0 && processor < ownerProcessor }

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

// Bounds of taking pools from members that can't carry them.
const (
	relieveAfter clock.Millis = 1500 // of a tenure, so that the takeover before it settles
	relieveWait  clock.Millis = 300  // for the answer of the holder
	relieveMost               = 1    // pools that a member owns already
)

// relieve asks the holder of a pool that is weak to give the pool up, if this member is not weak
// and has few pools. The pool is then vacant, and weak members claim later.
func (p *Process) relieve(ctx context.Context) {
	if weak(p.Settings.Processor) {
		return
	}
	p.mu.Lock()
	owned := len(p.owners)
	p.mu.Unlock()
	c := p.catalog.Load()
	if c == nil || owned > relieveMost {
		return
	}
	for id := range c.Pools {
		h := p.tenure(id).Holder()
		if h.Member == "" || !h.Weak || !p.heldFor(id, h.Fence, relieveAfter+clock.Millis(owned)*claimStep) {
			continue
		}
		p.askedAt(id)
		p.wg.Go(func() { p.askHandOver(ctx, id, h) })
		return // one at a time
	}
}

func (p *Process) askHandOver(ctx context.Context, id fleet.PoolID, h rowstore.Holder) {
	ctx, cancel := context.WithTimeout(ctx, relieveWait.Duration())
	defer cancel()
	var answer wireResult
	err := p.members.callInto(ctx, http.MethodPost, poolPath(h.Address, id)+"/hand-over", nil, &answer)
	p.Log.Info("hosted: asked a weak holder to hand its pool over", "pool", id, "holder", h.Member, "fence", h.Fence, "err", err)
}

// heldFor reports whether this member has seen a tenure for a while.
func (p *Process) heldFor(id fleet.PoolID, fence uint64, d clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	seen, ok := p.weakTenures[id]
	if !ok || seen.fence != fence {
		p.weakTenures[id] = weakTenure{fence: fence, since: now}
		return false
	}
	return now-seen.since >= d
}

// askedAt lets the next question for a pool wait.
func (p *Process) askedAt(id fleet.PoolID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := p.weakTenures[id]
	seen.since = p.Clock.Now()
	p.weakTenures[id] = seen
}

// weakTenure is the tenure of a weak holder as this member saw it first.
type weakTenure struct {
	fence uint64
	since clock.Millis
}

// serveHandOver gives a pool up for a member that has more processor time.
func (p *Process) serveHandOver(w http.ResponseWriter, r *http.Request) {
	id := fleet.PoolID(r.PathValue("pool"))
	p.mu.Lock()
	own := p.owners[id]
	p.mu.Unlock()
	if own == nil || !weak(p.Settings.Processor) {
		writeResult(w, http.StatusMisdirectedRequest, wireResult{Reason: "this member does not own the pool, or can carry it"})
		return
	}
	own.cancel()
	writeResult(w, http.StatusOK, wireResult{})
}

// own runs a pool whose tenure this member has just claimed.
func (p *Process) own(id fleet.PoolID, t *rowstore.Tenure, released bool) {
	o := owner.New(owner.Config{
		Pool: id, Tenure: t, Released: released, Table: p.table, Calls: p.calls, Clock: p.Clock, Log: p.Log,
		Metrics: p.metrics.owner, KeepFinal: p.Settings.KeepFinal, Terms: p.terms, Limited: p.limited, Advise: p.advise, StopTime: p.Settings.StopTime, LookWait: p.lookWait(),
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

// weakLookWait is the wait of a weak owner's looks: three extensions of a lease still fit in its
// length.
const weakLookWait clock.Millis = 1200

// lookWait returns the wait of an owner's looks; 0 means the usual one.
func (p *Process) lookWait() clock.Millis {
	if weak(p.Settings.Processor) {
		return weakLookWait
	}
	return 0
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
