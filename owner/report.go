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

// Report is what the holder of the fleet is told of a pool.
type Report struct {
	machine.PoolLoad
	Teams map[fleet.TeamID]quota.Usage
}

// Direction is what the holder of the fleet answers.
type Direction struct {
	Cordon     []fleet.InstanceID // workers to empty; all others take tasks
	Ended      []fleet.InstanceID // workers that have ended by the holder's orders
	Allowances map[fleet.TeamID]job.Resources
}

// Report returns what the holder of the fleet is to know; ok is false if the pool is not
// loaded.
func (o *Owner) Report() (r Report, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded || o.stopped {
		return r, false
	}
	r.Pool, r.Fence, r.Load = o.Pool, o.Tenure.Fence(), o.pool.Load(o.Clock.Now())
	r.Teams = map[fleet.TeamID]quota.Usage{}
	allowed := o.pool.Allowance()
	for team, l := range o.pool.Teams() {
		if o.limited(team) {
			r.Teams[team] = quota.Usage{Used: l.Used, Want: l.Want, Allowance: allowed[team]}
		}
	}
	for team, a := range allowed {
		if _, ok := r.Teams[team]; !ok {
			r.Teams[team] = quota.Usage{Allowance: a}
		}
	}
	return r, true
}

func (o *Owner) limited(team fleet.TeamID) bool { return o.Limited != nil && o.Limited(team) }

// ask asks the adviser about the workers of a step.
func (o *Owner) ask(ctx context.Context, order schedule.Order) {
	var a schedule.Advice
	err := errNoAdviser
	if o.Advise != nil {
		a, err = o.Advise(ctx, order.Task.StepName(), order.Workers)
	}
	if err != nil && ctx.Err() == nil {
		o.Log.Warn("owner: no advice", "step", order.Task.StepName(), "workers", len(order.Workers), "err", err)
	}
	o.mu.Lock()
	o.pool.Advised(order, a, err == nil, o.Clock.Now())
	o.mu.Unlock()
	wake(o.plan)
}

// Direct takes in the answer to a report.
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
			o.ended[id] = s.born
			o.drop(id, "its machine was moved or taken down", now)
		}
	}
	slices.Sort(d.Cordon)
	o.pool.Cordon(d.Cordon, now)
	wake(o.plan)
}

// hasEnded reports whether an incarnation ended by an order to its machine, whatever the list
// of workers still says.
func (o *Owner) hasEnded(id fleet.InstanceID, born clock.Millis) bool {
	b, ok := o.ended[id]
	return ok && b == born
}
