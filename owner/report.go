package owner

import (
	"context"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/machine"
	"citronknot/quota"
	"citronknot/schedule"
)

// Report is what the owner of a pool sends to the fleet leader: the pool's load, and what the
// teams with a resource limit use, want and are allowed.
type Report struct {
	machine.PoolLoad
	Teams map[fleet.TeamID]quota.Usage
}

// Direction is the fleet leader's response to a Report.
type Direction struct {
	Cordon []fleet.InstanceID // workers to drain; all others may take tasks
	// KeepCordons says that workers which are cordoned now stay so, because an order of a former fleet leader
	// to their machines may be on its way.
	KeepCordons bool
	Ended       []fleet.InstanceID             // workers whose machines the fleet leader has moved or shut down
	Allowances  map[fleet.TeamID]job.Resources // what the running tasks of each team may use in this pool; nil changes nothing
	Arriving    []Arrival                      // machines on their way to the pool
}

// Arrival is capacity that is on its way to a pool.
type Arrival struct {
	In       clock.Millis // until it is expected there
	Capacity job.Resources
}

// Report returns the current report for the fleet leader. ok is false if the pool is not loaded
// or the owner has stopped.
func (o *Owner) Report() (r Report, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded || o.stopped {
		return r, false
	}
	r.Pool, r.Fence, r.Load = o.Pool, o.Lease.Fence(), o.pool.Load(o.Clock.Now())
	if !o.Lease.Exclusive() { // a successor may have started tasks on drained workers
		for i := range r.Workers {
			r.Workers[i].Drained = false
		}
	}
	r.Teams = map[fleet.TeamID]quota.Usage{}
	allowances := o.pool.Allowance()
	for team, load := range o.pool.Teams() {
		if o.isLimited(team) {
			r.Teams[team] = quota.Usage{Used: load.Used, Demand: load.Demand, Allowance: allowances[team], Smallest: load.Smallest, Largest: load.Largest}
		}
	}
	for team, allowance := range allowances {
		if _, ok := r.Teams[team]; !ok {
			r.Teams[team] = quota.Usage{Allowance: allowance}
		}
	}
	return r, true
}

// isLimited reports whether the running tasks of a team have a resource limit.
func (o *Owner) isLimited(team fleet.TeamID) bool { return o.Limited != nil && o.Limited(team) }

// requestAdvice asks the adviser which of the order's workers may run a step, and records the
// response in the pool.
func (o *Owner) requestAdvice(ctx context.Context, order schedule.Order) {
	var advice schedule.Advice
	err := errNoAdviser
	if o.Advise != nil {
		advice, err = o.Advise(ctx, order.Task.StepName(), order.Workers)
	}
	if err != nil && ctx.Err() == nil {
		o.Log.Warn("owner: request to the adviser failed", "step", order.Task.StepName(), "workers", len(order.Workers), "err", err)
	}
	o.mu.Lock()
	o.pool.Advised(order, advice, err == nil, o.Clock.Now())
	o.mu.Unlock()
	wake(o.planWake)
}

// Direct applies the fleet leader's response to a report. It does nothing if the pool is not
// loaded or the owner has stopped.
func (o *Owner) Direct(d Direction) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded || o.stopped {
		return
	}
	now := o.Clock.Now()
	if d.Allowances != nil {
		o.pool.SetAllowance(d.Allowances)
	}
	for _, id := range d.Ended {
		if s := o.sessions[id]; s != nil {
			o.recordEnded(id, s.incarnation, now)
			o.removeWorker(id, schedule.LossExpected, "its machine was moved or taken down", now)
		}
	}
	arrivals := make([]schedule.Arrival, 0, len(d.Arriving))
	for _, a := range d.Arriving {
		arrivals = append(arrivals, schedule.Arrival{At: now + a.In, Capacity: a.Capacity})
	}
	o.pool.SetArrivals(arrivals)
	if d.KeepCordons {
		d.Cordon = append(d.Cordon, o.pool.Cordoned()...)
	}
	slices.Sort(d.Cordon)
	o.pool.Cordon(d.Cordon, now)
	wake(o.planWake)
}
