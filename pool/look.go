package pool

import (
	"context"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// look reads what the decisions need. marks holds the unplanned absences that began or ended
// since the budgets were written.
func (c *Controller) look(ctx context.Context, now clock.Mark) (v View, marks map[fleet.InstanceID]bool, err error) {
	// The rows are read before the members, so that a member that registers in between is
	// not missed by a handover of these rows.
	rows, err := c.Assignments.Read(ctx, c.Zone, c.known)
	if err != nil {
		return v, nil, err
	}
	c.known = rows
	c.publish()
	list, err := c.Instances(ctx)
	if err != nil {
		return v, nil, err
	}
	members, err := c.Members(ctx)
	if err != nil {
		return v, nil, err
	}
	cfg := c.Config()
	v = View{Zone: c.Zone, Config: cfg, Rows: rows, Members: members, Policy: c.Policy, Capacity: map[fleet.ZoneID]fleet.Slots{}}
	v.Down = c.down(now, cfg, rows, list)
	for id, in := range cfg.Instances {
		if !v.Down[id] {
			v.Capacity[in.Zone] += in.Slots
		}
	}
	c.watch(now, &v)
	v.Need = c.needs(now.Now, cfg)
	return v, changedMarks(v), nil
}

// down returns the instances that the list shows as leaving or gone, or that members report
// as failing. One that was never listed is down only if its budget row says so, or if the
// list did not show it for long, because the list lags.
func (c *Controller) down(now clock.Mark, cfg *fleet.Config, rows *rowstore.ZoneRows, list []rowstore.Listed) map[fleet.InstanceID]bool {
	if c.listed == nil {
		c.listed = map[fleet.InstanceID]bool{}
	}
	if c.firstList == nil {
		c.firstList = &now
	}
	state := make(map[fleet.InstanceID]rowstore.InstanceState, len(list))
	for _, l := range list {
		state[l.ID] = l.State
		c.listed[l.ID] = true
	}
	var failing map[fleet.InstanceID]bool
	if c.Failing != nil {
		failing = c.Failing()
	}
	grace := c.elapsed(now, *c.firstList) < listGrace
	out := map[fleet.InstanceID]bool{}
	for id, in := range cfg.Instances {
		s, ok := state[id]
		pool := in.Pool
		if r, known := rows.Instances[id]; known {
			pool = r.Pool
		}
		marked := rows.Budgets[pool].Absent[id].Reason == rowstore.Unplanned
		gone := !ok && (c.listed[id] || marked || !grace)
		if s == rowstore.StateLeaving || gone || failing[id] {
			out[id] = true
		}
	}
	return out
}

// elapsed is the smaller of both clocks' times between two marks: a clock that jumps ahead
// must not end a drain early.
func (c *Controller) elapsed(now, since clock.Mark) clock.Millis {
	return min(now.Now-since.Now, now.Wall-since.Wall)
}

// changedMarks compares the absences of the zone with its budget rows.
func changedMarks(v View) map[fleet.InstanceID]bool {
	marks := map[fleet.InstanceID]bool{}
	for id, r := range v.Rows.Instances {
		a, counted := v.Rows.Budgets[r.Pool].Absent[id]
		switch {
		case v.Down[id] && !counted:
			marks[id] = true
		case !v.Down[id] && counted && a.Reason == rowstore.Unplanned && r.Phase == fleet.Serving:
			marks[id] = false
		}
	}
	return marks
}

// watch updates what this process has seen of the rows that are not serving.
func (c *Controller) watch(now clock.Mark, v *View) {
	next := map[fleet.InstanceID]watch{}
	v.Waited, v.Rebooted = map[fleet.InstanceID]Waited{}, map[fleet.InstanceID]bool{}
	for id, r := range v.Rows.Instances {
		if r.Phase == fleet.Serving {
			continue
		}
		w, ok := c.watched[id]
		if !ok || w.version != r.Version {
			w = watch{version: r.Version, since: now}
		}
		if !w.free && Released(c.Zone, r.Version, v.Members, c.Policy) {
			w.free, w.freed = true, now
		}
		next[id] = w
		waited := Waited{InPhase: c.elapsed(now, w.since), Free: w.free}
		if w.free {
			waited.Released = c.elapsed(now, w.freed)
		}
		v.Waited[id], v.Rebooted[id] = waited, w.rebooted
	}
	c.watched = next
}

// observe adds the newest loads to the estimators. Every member observes, so that the next
// lease holder has a history.
func (c *Controller) observe() {
	if c.Load == nil {
		return
	}
	if c.estimates == nil {
		c.estimates = map[fleet.PoolID]*Estimator{}
	}
	for id, l := range c.Load() {
		if c.estimates[id] == nil {
			c.estimates[id] = &Estimator{}
		}
		c.estimates[id].Observe(l)
	}
}

func (c *Controller) needs(now clock.Millis, cfg *fleet.Config) map[fleet.PoolID]fleet.Slots {
	if c.need != nil && now-c.needAt < needEvery {
		return c.need
	}
	c.need, c.needAt = map[fleet.PoolID]fleet.Slots{}, now
	for id, e := range c.estimates {
		if n, ok := e.Need(Delay(cfg, id)); ok {
			c.need[id] = n
		}
	}
	return c.need
}
