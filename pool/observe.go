package pool

import (
	"context"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// readView reads the input of the decisions. absenceChanges holds the unplanned absences that
// began (true) or ended (false) since the budget rows were written.
func (c *Controller) readView(ctx context.Context, now clock.Mark) (v View, absenceChanges map[fleet.InstanceID]bool, err error) {
	// The rows are read before the members, so that the handovers in these rows also wait for
	// a member that registers between the two reads.
	rows, err := c.Assignments.Read(ctx, c.Zone, c.rows)
	if err != nil {
		return v, nil, err
	}
	c.rows = rows
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
	v.Down = c.downInstances(now, cfg, rows, list)
	for id, in := range cfg.Instances {
		if !v.Down[id] {
			v.Capacity[in.Zone] += in.Slots
		}
	}
	c.observeRows(now, &v)
	v.Need = c.currentNeed(now.Now, cfg)
	return v, unplannedAbsenceChanges(v), nil
}

// downInstances returns the instances that the platform's list shows as leaving or no longer
// shows, and those that members report as failing. Because the list lags, an instance that it
// never showed is down only if a budget row counts it as an unplanned absence, or if
// listGrace has passed since the first read of the list.
func (c *Controller) downInstances(now clock.Mark, cfg *fleet.Config, rows *rowstore.ZoneRows, list []rowstore.Listed) map[fleet.InstanceID]bool {
	if c.everListed == nil {
		c.everListed = map[fleet.InstanceID]bool{}
	}
	if c.firstListRead == nil {
		c.firstListRead = &now
	}
	state := make(map[fleet.InstanceID]rowstore.InstanceState, len(list))
	for _, l := range list {
		state[l.ID] = l.State
		c.everListed[l.ID] = true
	}
	var failing map[fleet.InstanceID]bool
	if c.Failing != nil {
		failing = c.Failing()
	}
	inGrace := c.elapsed(now, *c.firstListRead) < listGrace
	out := map[fleet.InstanceID]bool{}
	for id, in := range cfg.Instances {
		s, ok := state[id]
		pool := in.Pool
		if r, known := rows.Instances[id]; known {
			pool = r.Pool
		}
		countedUnplanned := rows.Budgets[pool].Absent[id].Reason == rowstore.Unplanned
		gone := !ok && (c.everListed[id] || countedUnplanned || !inGrace)
		if s == rowstore.StateLeaving || gone || failing[id] {
			out[id] = true
		}
	}
	return out
}

// elapsed returns the time in ms between two marks without suspensions of the machine, so that a
// drain does not end early after one.
func (c *Controller) elapsed(now, since clock.Mark) clock.Millis {
	return min(now.Now-since.Now, now.Boot-since.Boot)
}

// unplannedAbsenceChanges compares the instances of the zone that are down with the absences
// in the budget rows. An entry is true for an unplanned absence that began and false for one
// that ended.
func unplannedAbsenceChanges(v View) map[fleet.InstanceID]bool {
	changes := map[fleet.InstanceID]bool{}
	for id, r := range v.Rows.Instances {
		absence, counted := v.Rows.Budgets[r.Pool].Absent[id]
		switch {
		case v.Down[id] && !counted:
			changes[id] = true
		case !v.Down[id] && counted && absence.Reason == rowstore.Unplanned && r.Phase == fleet.Serving:
			changes[id] = false
		}
	}
	return changes
}

// observeRows updates the observations of the rows of instances that are not serving, and sets
// the fields of v that are derived from them.
func (c *Controller) observeRows(now clock.Mark, v *View) {
	next := map[fleet.InstanceID]rowObservation{}
	v.Times, v.RebootAccepted = map[fleet.InstanceID]PhaseTimes{}, map[fleet.InstanceID]bool{}
	for id, r := range v.Rows.Instances {
		if r.Phase == fleet.Serving {
			continue
		}
		observation, ok := c.observations[id]
		if !ok || observation.version != r.Version {
			observation = rowObservation{version: r.Version, since: now}
		}
		if !observation.released && Released(c.Zone, r.Version, v.Members, c.Policy) {
			observation.released, observation.releasedAt = true, now
		}
		next[id] = observation
		times := PhaseTimes{InPhase: c.elapsed(now, observation.since), Released: observation.released}
		if observation.released {
			times.SinceRelease = c.elapsed(now, observation.releasedAt)
		}
		v.Times[id], v.RebootAccepted[id] = times, observation.rebootAccepted
	}
	c.observations = next
}

// observeLoad adds the newest loads to the estimators. Every member does so, with or without
// the lease, so that the next lease holder has a history.
func (c *Controller) observeLoad() {
	if c.Load == nil {
		return
	}
	if c.estimators == nil {
		c.estimators = map[fleet.PoolID]*Estimator{}
	}
	for id, l := range c.Load() {
		if c.estimators[id] == nil {
			c.estimators[id] = &Estimator{}
		}
		c.estimators[id].Observe(l)
	}
}

// currentNeed returns the slots that each pool needs, computed at most once per needInterval.
func (c *Controller) currentNeed(now clock.Millis, cfg *fleet.Config) map[fleet.PoolID]fleet.Slots {
	if c.need != nil && now-c.needComputedAt < needInterval {
		return c.need
	}
	c.need, c.needComputedAt = map[fleet.PoolID]fleet.Slots{}, now
	for id, e := range c.estimators {
		if n, ok := e.Need(Delay(cfg, id)); ok {
			c.need[id] = n
		}
	}
	return c.need
}
