package pool

import (
	"maps"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// upkeep creates rows for instances that have none, follows configured pools that instances
// have reached, and removes the rows of instances that left the configuration.
func (c *Controller) upkeep(wall clock.Millis, v View) rowstore.Changes {
	changes := rowstore.Changes{At: wall}
	for _, id := range slices.Sorted(maps.Keys(v.Config.Instances)) {
		in := v.Config.Instances[id]
		if in.Zone != c.Zone || len(changes.Rows) == maxRows {
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
		if in, ok := v.Config.Instances[id]; (!ok || in.Zone != c.Zone) && len(changes.Forget) < maxRows {
			changes.Forget = append(changes.Forget, id)
		}
	}
	return changes
}

// steps adds the ends of handovers, or else the steps of maintenance, or else the moves that
// begin. They are not mixed, because each changes what the budgets allow the next.
func (c *Controller) steps(wall clock.Millis, v View, changes *rowstore.Changes) {
	for _, id := range slices.Sorted(maps.Keys(v.Rows.Instances)) {
		if r := v.Rows.Instances[id]; r.Phase == fleet.LeavingPool && v.Waited[id].Free && len(changes.Rows) < maxRows {
			r.Pool, r.Next, r.Phase, r.Since, r.Moved = r.Next, "", fleet.Serving, wall, wall
			c.change(v, changes, r, "moved")
		}
	}
	if len(changes.Rows) > 0 {
		return
	}
	for _, s := range PlanMaintenance(wall, v) {
		if len(changes.Rows) < maxRows {
			c.change(v, changes, s.row(v.Rows.Instances[s.Instance], wall), s.Why)
			if s.Settled {
				changes.Settled = append(changes.Settled, s.Instance)
			}
		}
	}
	if len(changes.Rows) > 0 {
		return
	}
	for _, m := range Plan(wall, v, c.Weights) {
		r := v.Rows.Instances[m.Instance]
		r.Next, r.Phase, r.Since = m.To, fleet.LeavingPool, wall
		if m.Ordered {
			r.Home = m.To
		}
		c.change(v, changes, r, "leaving for "+string(m.To))
	}
}

func (c *Controller) change(v View, changes *rowstore.Changes, r rowstore.InstanceRow, why string) {
	changes.Rows = append(changes.Rows, r)
	if v.Down[r.ID] {
		changes.Down[r.ID] = true
	}
	c.log().Info("pool: instance changes", "zone", c.Zone, "instance", r.ID, "pool", r.Pool, "phase", r.Phase, "why", why)
}

// row returns the row of an instance after the step.
func (s Step) row(r rowstore.InstanceRow, wall clock.Millis) rowstore.InstanceRow {
	if r.Phase != s.To {
		r.Since = wall
	}
	r.Phase, r.Held = s.To, s.Held
	if s.Done {
		r.Maintained = wall
	}
	return r
}
