package pool

import (
	"cmp"
	"maps"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// Step is the decision to change the phase of an instance.
type Step struct {
	Instance    fleet.InstanceID
	To          fleet.Phase
	Held        bool   // an operator decides when the instance returns to service
	RequestDone bool   // completes the operator's request for this instance
	Maintained  bool   // the instance has been maintained
	Reason      string // for the log
}

// PlanMaintenance decides the next steps of maintenance and of operators' drains. It advances
// the instances that are not serving, starts the drains that operators requested, and, unless
// maintenance is paused, starts drains for the instances that are due.
func PlanMaintenance(now clock.Millis, v View) []Step {
	m := maintenancePlanner{now: now, view: v, budgetLeft: map[fleet.PoolID]int{}, absentDomains: map[fleet.PoolID]map[failureDomain]bool{}, serving: map[fleet.PoolID]int{}}
	m.init()
	ids := slices.Sorted(maps.Keys(v.Rows.Instances))
	for _, id := range ids {
		m.advance(v.Rows.Instances[id])
	}
	for _, id := range ids {
		m.startRequested(v.Rows.Instances[id])
	}
	if !m.paused {
		m.startDue(ids)
	}
	return m.steps
}

// Paused reports whether maintenance is paused because the unplanned absences over all zones
// are more than normal, as in a correlated outage.
func Paused(v View) bool {
	n := 0
	for _, b := range v.Rows.Budgets {
		n += b.Count(rowstore.Unplanned)
	}
	return n > v.Policy.normalAbsences(len(v.Config.Instances))
}

// failureDomain identifies a rack. An instance without a rack is a failure domain of its own.
type failureDomain struct {
	zone     fleet.ZoneID
	rack     fleet.RackID
	instance fleet.InstanceID
}

func failureDomainOf(in fleet.Instance) failureDomain {
	if in.Rack == "" {
		return failureDomain{zone: in.Zone, instance: in.ID}
	}
	return failureDomain{zone: in.Zone, rack: in.Rack}
}

// maintenancePlanner is the state of one call of PlanMaintenance.
type maintenancePlanner struct {
	now           clock.Millis
	view          View
	paused        bool
	budgetLeft    map[fleet.PoolID]int                    // additional absences that the availability budget allows
	absentDomains map[fleet.PoolID]map[failureDomain]bool // failure domains with planned absences
	serving       map[fleet.PoolID]int                    // serving instances of the zone that are up
	targets       map[fleet.PoolID]target
	steps         []Step
}

func (m *maintenancePlanner) init() {
	m.paused = Paused(m.view)
	m.targets = m.view.targets()
	for id, p := range m.view.Config.Pools {
		m.budgetLeft[id] = p.MaxAbsent - len(m.view.Rows.Budgets[id].Absent)
		m.absentDomains[id] = map[failureDomain]bool{}
		for i, a := range m.view.Rows.Budgets[id].Absent {
			if a.Reason == rowstore.Planned {
				m.absentDomains[id][failureDomainOf(m.view.Config.Instances[i])] = true
			}
		}
	}
	for id, r := range m.view.Rows.Instances {
		if r.Phase == fleet.Serving && !m.view.Down[id] {
			m.serving[r.Pool]++
		}
	}
}

func (m *maintenancePlanner) addStep(s Step) { m.steps = append(m.steps, s) }

// advance adds the next step of an instance that is not serving, if it is due.
func (m *maintenancePlanner) advance(r rowstore.InstanceRow) {
	request, requested := m.view.Rows.Drains[r.ID]
	returnRequested := requested && !request.Drain
	times := m.view.Times[r.ID]
	switch r.Phase {
	case fleet.Draining:
		m.advanceDrain(r, requested, returnRequested)
	case fleet.Rebooting:
		if m.view.RebootAccepted[r.ID] {
			m.addStep(Step{Instance: r.ID, To: fleet.Returning, Reason: "platform accepted the reboot"})
		}
	case fleet.Returning:
		switch {
		case times.InPhase >= m.view.Policy.minRebootWait() && !m.view.Down[r.ID]:
			m.addStep(Step{Instance: r.ID, To: fleet.Serving, Maintained: true, RequestDone: returnRequested, Reason: "returned after the reboot"})
		case times.InPhase >= m.view.Policy.maxRebootWait():
			m.addStep(Step{Instance: r.ID, To: fleet.Absent, Reason: "did not return after the reboot"})
		}
	case fleet.Absent:
		if !m.view.Down[r.ID] && (returnRequested || !r.Held) {
			m.addStep(Step{Instance: r.ID, To: fleet.Serving, RequestDone: returnRequested, Maintained: !r.Held, Reason: "returned to service"})
		}
	}
}

// advanceDrain adds the next step of a draining instance, if it is due. An instance is drained
// if no member can route by an older assignment and either the longest deadline of its pool has
// passed since, or no member has requests in flight on it.
func (m *maintenancePlanner) advanceDrain(r rowstore.InstanceRow, requested, returnRequested bool) {
	times := m.view.Times[r.ID]
	longest := m.longestDeadline(r.Pool)
	drained := times.Released && (times.SinceRelease >= longest || NoneInFlight(r.ID, r.Version, m.view.Members))
	bound := m.view.Config.Pools[r.Pool].Maintenance.DrainBound
	switch {
	case returnRequested:
		m.addStep(Step{Instance: r.ID, To: fleet.Serving, RequestDone: true, Reason: "drain canceled by an operator"})
	case requested && !r.Held:
		m.addStep(Step{Instance: r.ID, To: fleet.Draining, Held: true, RequestDone: true, Reason: "drain taken over by an operator"})
	case r.Held && drained:
		m.addStep(Step{Instance: r.ID, To: fleet.Absent, Held: true, Reason: "drained for an operator"})
	case r.Held:
	case m.paused && !m.view.Down[r.ID]:
		m.addStep(Step{Instance: r.ID, To: fleet.Serving, Reason: "drain canceled: too many unplanned absences"})
	case drained:
		m.addStep(Step{Instance: r.ID, To: fleet.Rebooting, Reason: "drained"})
	case bound > 0 && times.InPhase >= max(bound, longest) && !times.Released:
		m.addStep(Step{Instance: r.ID, To: fleet.Serving, Reason: "drain canceled: a member did not confirm the assignment"})
	}
}

// longestDeadline returns the largest MaxDeadline of a pool's queues, in ms.
func (m *maintenancePlanner) longestDeadline(pool fleet.PoolID) clock.Millis {
	longest := clock.Millis(0)
	for _, q := range m.view.Config.Queues {
		if q.Pool == pool {
			longest = max(longest, q.MaxDeadline)
		}
	}
	return longest
}

// startRequested starts the drain of an instance if an operator requested it. While the pool's
// availability budget is used up, the request waits.
func (m *maintenancePlanner) startRequested(r rowstore.InstanceRow) {
	request, requested := m.view.Rows.Drains[r.ID]
	if !requested || r.Phase != fleet.Serving {
		return
	}
	if !request.Drain {
		m.addStep(Step{Instance: r.ID, To: fleet.Serving, RequestDone: true, Reason: "already serving"})
		return
	}
	if _, counted := m.view.Rows.Budgets[r.Pool].Absent[r.ID]; !counted {
		if m.budgetLeft[r.Pool] <= 0 {
			return
		}
		m.budgetLeft[r.Pool]--
	}
	m.absentDomains[r.Pool][failureDomainOf(m.view.Config.Instances[r.ID])] = true
	m.serving[r.Pool]--
	m.addStep(Step{Instance: r.ID, To: fleet.Draining, Held: true, RequestDone: true, Reason: "drain requested by an operator"})
}

// startDue starts drains of the instances that are due in each pool.
func (m *maintenancePlanner) startDue(ids []fleet.InstanceID) {
	due := map[fleet.PoolID][]rowstore.InstanceRow{}
	size := map[fleet.PoolID]int{}
	for _, id := range ids {
		r := m.view.Rows.Instances[id]
		size[r.Pool]++
		_, requested := m.view.Rows.Drains[id]
		if r.Phase == fleet.Serving && !requested && !m.view.Down[id] && m.view.Config.Pools[r.Pool].Maintenance.Every > 0 {
			due[r.Pool] = append(due[r.Pool], r)
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(due)) {
		m.startDueInPool(m.view.Config.Pools[pool], due[pool], size[pool])
	}
}

// startDueInPool starts drains of the instances of a pool that are due, in the order of their
// last maintenance, the oldest first. size is the number of the pool's instances in the zone.
func (m *maintenancePlanner) startDueInPool(p fleet.Pool, rows []rowstore.InstanceRow, size int) {
	lead := m.leadTime(p, size)
	slices.SortFunc(rows, func(a, b rowstore.InstanceRow) int {
		return cmp.Or(cmp.Compare(a.Maintained, b.Maintained), cmp.Compare(a.ID, b.ID))
	})
	for _, r := range rows {
		remaining := r.Maintained + p.Maintenance.Every - m.now
		if remaining > lead || m.budgetLeft[p.ID] <= 0 {
			return
		}
		domain := failureDomainOf(m.view.Config.Instances[r.ID])
		late := remaining <= lead/2
		// A wave stays in one rack of a pool, so that a rack that fails meanwhile does not
		// make a second part of the pool absent. An instance that would miss its period does
		// not wait for this.
		if len(m.absentDomains[p.ID]) > 0 && !m.absentDomains[p.ID][domain] && !late {
			continue
		}
		// A pool with fewer instances than the demand needs waits. A pool with just enough
		// does not: without a reserve it would wait until the end of its period.
		if t, known := m.targets[p.ID]; known && float64(m.serving[p.ID]) < t.needed && !late {
			continue
		}
		m.budgetLeft[p.ID]--
		m.serving[p.ID]--
		m.absentDomains[p.ID][domain] = true
		m.addStep(Step{Instance: r.ID, To: fleet.Draining, Reason: "maintenance due"})
	}
}

// leadTime returns the time in ms before the end of its period at which an instance of a pool
// becomes due. This is three times the duration of maintaining the pool in one zone after the
// other, in rounds of MaxAbsent instances, but at least a tenth and at most half of the period.
// size is the number of the pool's instances in the zone.
func (m *maintenancePlanner) leadTime(p fleet.Pool, size int) clock.Millis {
	perInstance := max(p.Maintenance.DrainBound, m.longestDeadline(p.ID)) + m.view.Policy.minRebootWait() + m.view.Policy.maxRebootWait()
	zones := clock.Millis(max(1, len(m.view.Capacity)))
	rounds := clock.Millis((size + max(1, p.MaxAbsent) - 1) / max(1, p.MaxAbsent))
	period := p.Maintenance.Every
	return min(period/2, max(period/10, 3*zones*rounds*perInstance))
}
