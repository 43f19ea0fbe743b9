package rowstore

import (
	"maps"

	"citronknot/clock"
	"citronknot/fleet"
)

// budgetEdit changes copies of budget rows.
type budgetEdit struct {
	zone         fleet.ZoneID
	at           clock.Millis
	config       *fleet.Config
	budgets      map[fleet.PoolID]Budget
	changedPools map[fleet.PoolID]bool
}

// outOfService reports whether a row counts as a planned absence. An instance that leaves a
// spare pool does not, because no queue uses that pool.
func (e *budgetEdit) outOfService(r InstanceRow) bool {
	switch r.Phase {
	case "", fleet.Serving:
		return false
	case fleet.LeavingPool:
		return !e.config.Pools[r.Pool].Spare
	}
	return true
}

// leavesService reports whether a change takes an instance out of service.
func (e *budgetEdit) leavesService(old, next InstanceRow) bool {
	return !e.outOfService(old) && e.outOfService(next)
}

// recordPhase records a change that takes nothing out of service.
func (e *budgetEdit) recordPhase(old, next InstanceRow) {
	switch {
	case next.Phase == fleet.Absent && old.Phase != fleet.Absent && !next.Held:
		e.set(next.Pool, next.ID, Absence{Zone: e.zone, Reason: Unplanned, Since: e.at})
	case e.outOfService(old) && !e.outOfService(next), old.Pool != next.Pool && old.Pool != "":
		e.release(old.Pool, next.ID)
	}
}

// takeOut counts an instance as a planned absence. No other code takes an instance out of
// service, so takeOut enforces the availability budgets (invariant I1 in docs/design.md). An
// instance that already counts as absent may be taken out even if the budget is used up.
func (e *budgetEdit) takeOut(pool fleet.PoolID, id fleet.InstanceID) error {
	b, limit := e.budgets[pool], e.config.Pools[pool].MaxAbsent
	if _, counted := b.Absent[id]; !counted && len(b.Absent) >= limit {
		return &BudgetError{Pool: pool, Absent: len(b.Absent), MaxAbsent: limit}
	}
	e.set(pool, id, Absence{Zone: e.zone, Reason: Planned, Since: e.at})
	return nil
}

func (e *budgetEdit) release(pool fleet.PoolID, id fleet.InstanceID) {
	if _, ok := e.budgets[pool].Absent[id]; ok {
		b := e.editable(pool)
		delete(b.Absent, id)
	}
}

// recordDown records the start or end of an unplanned absence. A planned absence stays planned,
// because its end is decided by its phase.
func (e *budgetEdit) recordDown(r InstanceRow, id fleet.InstanceID, down bool) {
	if r.Pool == "" {
		return
	}
	a, counted := e.budgets[r.Pool].Absent[id]
	switch {
	case down && !counted:
		e.set(r.Pool, id, Absence{Zone: e.zone, Reason: Unplanned, Since: e.at})
	case !down && counted && a.Reason == Unplanned && !e.outOfService(r):
		e.release(r.Pool, id)
	}
}

func (e *budgetEdit) recordAllDown(rows map[fleet.InstanceID]InstanceRow, down map[fleet.InstanceID]bool) {
	for id, d := range down {
		e.recordDown(rows[id], id, d)
	}
}

func (e *budgetEdit) set(pool fleet.PoolID, id fleet.InstanceID, a Absence) {
	e.editable(pool).Absent[id] = a
}

func (e *budgetEdit) editable(pool fleet.PoolID) Budget {
	b := e.budgets[pool]
	if !e.changedPools[pool] {
		e.changedPools[pool] = true
		b.Pool = pool
		b.Absent = maps.Clone(b.Absent)
		if b.Absent == nil {
			b.Absent = map[fleet.InstanceID]Absence{}
		}
		e.budgets[pool] = b
	}
	return b
}
