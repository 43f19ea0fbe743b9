package pool

import (
	"maps"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// syncRows returns the changes that bring the rows in line with the configuration. It creates
// rows for new instances, sets Home for instances that serve their configured pool, and removes
// the rows of instances that are no longer configured in the zone.
func (c *Controller) syncRows(wall clock.Millis, v View) rowstore.Changes {
	changes := rowstore.Changes{At: wall}
	for _, id := range slices.Sorted(maps.Keys(v.Config.Instances)) {
		in := v.Config.Instances[id]
		if in.Zone != c.Zone || len(changes.Rows) == maxInstanceRows {
			continue
		}
		r, known := v.Rows.Instances[id]
		switch {
		case !known:
			changes.Rows = append(changes.Rows, rowstore.InstanceRow{
				ID: id, Pool: in.Pool, Phase: fleet.Serving, Home: in.Pool, Since: wall, Maintained: wall,
			})
		case r.Phase == fleet.Serving && r.Pool == in.Pool && r.Home != in.Pool:
			r.Home = in.Pool
			changes.Rows = append(changes.Rows, r)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.Rows.Instances)) {
		if in, ok := v.Config.Instances[id]; (!ok || in.Zone != c.Zone) && len(changes.Remove) < maxInstanceRows {
			changes.Remove = append(changes.Remove, id)
		}
	}
	return changes
}

// addSteps adds to changes the ends of handovers; if there are none, the steps of maintenance;
// if there are none either, the moves that begin. It does not mix the three kinds, because each
// changes what the budgets allow the others.
func (c *Controller) addSteps(wall clock.Millis, v View, changes *rowstore.Changes) {
	for _, id := range slices.Sorted(maps.Keys(v.Rows.Instances)) {
		if r := v.Rows.Instances[id]; r.Phase == fleet.LeavingPool && v.Times[id].Released && len(changes.Rows) < maxInstanceRows {
			r.Pool, r.Next, r.Phase, r.Since, r.Moved = r.Next, "", fleet.Serving, wall, wall
			c.addRow(v, changes, r, "moved")
		}
	}
	if len(changes.Rows) > 0 {
		return
	}
	for _, s := range PlanMaintenance(wall, v) {
		if len(changes.Rows) < maxInstanceRows {
			c.addRow(v, changes, s.apply(v.Rows.Instances[s.Instance], wall), s.Reason)
			if s.RequestDone {
				changes.CompletedDrains = append(changes.CompletedDrains, s.Instance)
			}
		}
	}
	if len(changes.Rows) > 0 {
		return
	}
	for _, m := range Plan(wall, v, c.Weights) {
		r := v.Rows.Instances[m.Instance]
		r.Next, r.Phase, r.Since = m.To, fleet.LeavingPool, wall
		if m.Configured {
			r.Home = m.To
		}
		c.addRow(v, changes, r, "moving to pool "+string(m.To))
	}
}

// addRow adds the changed row of an instance to changes and logs the reason.
func (c *Controller) addRow(v View, changes *rowstore.Changes, r rowstore.InstanceRow, reason string) {
	changes.Rows = append(changes.Rows, r)
	if v.Down[r.ID] {
		changes.Down[r.ID] = true
	}
	c.log().Info("pool: changing the state of an instance", "zone", c.Zone, "instance", r.ID, "pool", r.Pool, "phase", r.Phase, "why", reason)
}

// apply returns the row of an instance as it is after the step, which is taken at wall.
func (s Step) apply(r rowstore.InstanceRow, wall clock.Millis) rowstore.InstanceRow {
	if r.Phase != s.To {
		r.Since = wall
	}
	r.Phase, r.Held = s.To, s.Held
	if s.Maintained {
		r.Maintained = wall
	}
	return r
}
