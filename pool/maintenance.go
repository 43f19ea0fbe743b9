package pool

import (
	"cmp"
	"maps"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// Step changes the phase of an instance.
type Step struct {
	Instance fleet.InstanceID
	To       fleet.Phase
	Held     bool   // the operator decides when the instance returns
	Settled  bool   // carries out the operator's request for this instance
	Done     bool   // the instance has been maintained
	Why      string // for logs
}

// PlanMaintenance decides the steps of maintenance and of operators' drains: it continues
// what was begun, carries out operators' requests, and begins new drains while unplanned
// absences are normal.
func PlanMaintenance(now clock.Millis, v View) []Step {
	m := maintenance{now: now, view: v, room: map[fleet.PoolID]int{}, out: map[fleet.PoolID]map[rackID]bool{}, have: map[fleet.PoolID]int{}}
	m.count()
	ids := slices.Sorted(maps.Keys(v.Rows.Instances))
	for _, id := range ids {
		m.proceed(v.Rows.Instances[id])
	}
	for _, id := range ids {
		m.request(v.Rows.Instances[id])
	}
	if !m.paused {
		m.begin(ids)
	}
	return m.steps
}

// Paused reports whether unplanned absences over all zones are above normal, as in a
// correlated outage.
func Paused(v View) bool {
	n := 0
	for _, b := range v.Rows.Budgets {
		n += b.Count(rowstore.Unplanned)
	}
	return n > v.Policy.normalAbsences(len(v.Config.Instances))
}

// rackID names a failure domain. An instance without a rack is one of its own.
type rackID struct {
	zone     fleet.ZoneID
	rack     fleet.RackID
	instance fleet.InstanceID
}

func rackOf(in fleet.Instance) rackID {
	if in.Rack == "" {
		return rackID{zone: in.Zone, instance: in.ID}
	}
	return rackID{zone: in.Zone, rack: in.Rack}
}

type maintenance struct {
	now    clock.Millis
	view   View
	paused bool
	room   map[fleet.PoolID]int             // absences that the budget still allows
	out    map[fleet.PoolID]map[rackID]bool // racks with planned absences
	have   map[fleet.PoolID]int             // instances of the zone that are up
	need   map[fleet.PoolID]target
	steps  []Step
}

func (m *maintenance) count() {
	m.paused = Paused(m.view)
	m.need = m.view.targets()
	for id, p := range m.view.Config.Pools {
		m.room[id] = p.MaxAbsent - len(m.view.Rows.Budgets[id].Absent)
		m.out[id] = map[rackID]bool{}
		for i, a := range m.view.Rows.Budgets[id].Absent {
			if a.Reason == rowstore.Planned {
				m.out[id][rackOf(m.view.Config.Instances[i])] = true
			}
		}
	}
	for id, r := range m.view.Rows.Instances {
		if r.Phase == fleet.Serving && !m.view.Down[id] {
			m.have[r.Pool]++
		}
	}
}

func (m *maintenance) step(s Step) { m.steps = append(m.steps, s) }

// proceed continues what was begun with an instance.
func (m *maintenance) proceed(r rowstore.InstanceRow) {
	request, asked := m.view.Rows.Drains[r.ID]
	back := asked && !request.Drain
	waited := m.view.Waited[r.ID]
	switch r.Phase {
	case fleet.Draining:
		m.drain(r, asked, back)
	case fleet.Rebooting:
		if m.view.Rebooted[r.ID] {
			m.step(Step{Instance: r.ID, To: fleet.Returning, Why: "reboot accepted"})
		}
	case fleet.Returning:
		switch {
		case waited.InPhase >= m.view.Policy.settle() && !m.view.Down[r.ID]:
			m.step(Step{Instance: r.ID, To: fleet.Serving, Done: true, Settled: back, Why: "back after reboot"})
		case waited.InPhase >= m.view.Policy.returnBound():
			m.step(Step{Instance: r.ID, To: fleet.Absent, Why: "not back after reboot"})
		}
	case fleet.Absent:
		if !m.view.Down[r.ID] && (back || !r.Held) {
			m.step(Step{Instance: r.ID, To: fleet.Serving, Settled: back, Done: !r.Held, Why: "back in service"})
		}
	}
}

func (m *maintenance) drain(r rowstore.InstanceRow, asked, back bool) {
	waited := m.view.Waited[r.ID]
	longest := m.longestDeadline(r.Pool)
	drained := waited.Free && (waited.Released >= longest || Quiet(r.ID, r.Version, m.view.Members))
	bound := m.view.Config.Pools[r.Pool].Maintenance.DrainBound
	switch {
	case back:
		m.step(Step{Instance: r.ID, To: fleet.Serving, Settled: true, Why: "drain ended by an operator"})
	case asked && !r.Held:
		m.step(Step{Instance: r.ID, To: fleet.Draining, Held: true, Settled: true, Why: "drain taken over by an operator"})
	case r.Held && drained:
		m.step(Step{Instance: r.ID, To: fleet.Absent, Held: true, Why: "drained for an operator"})
	case r.Held:
	case m.paused && !m.view.Down[r.ID]:
		m.step(Step{Instance: r.ID, To: fleet.Serving, Why: "drain given up: unplanned absences above normal"})
	case drained:
		m.step(Step{Instance: r.ID, To: fleet.Rebooting, Why: "drained"})
	case bound > 0 && waited.InPhase >= max(bound, longest) && !waited.Free:
		m.step(Step{Instance: r.ID, To: fleet.Serving, Why: "drain given up: a member did not confirm"})
	}
}

// longestDeadline returns the longest time that a request of a pool may run.
func (m *maintenance) longestDeadline(pool fleet.PoolID) clock.Millis {
	longest := clock.Millis(0)
	for _, q := range m.view.Config.Queues {
		if q.Pool == pool {
			longest = max(longest, q.MaxDeadline)
		}
	}
	return longest
}

// request begins a drain that an operator asked for. It waits while the budget is used up.
func (m *maintenance) request(r rowstore.InstanceRow) {
	q, asked := m.view.Rows.Drains[r.ID]
	if !asked || r.Phase != fleet.Serving {
		return
	}
	if !q.Drain {
		m.step(Step{Instance: r.ID, To: fleet.Serving, Settled: true, Why: "serving already"})
		return
	}
	if _, counted := m.view.Rows.Budgets[r.Pool].Absent[r.ID]; !counted {
		if m.room[r.Pool] <= 0 {
			return
		}
		m.room[r.Pool]--
	}
	m.out[r.Pool][rackOf(m.view.Config.Instances[r.ID])] = true
	m.have[r.Pool]--
	m.step(Step{Instance: r.ID, To: fleet.Draining, Held: true, Settled: true, Why: "drain asked for by an operator"})
}

// begin begins drains in each pool, the longest unmaintained instances first.
func (m *maintenance) begin(ids []fleet.InstanceID) {
	due := map[fleet.PoolID][]rowstore.InstanceRow{}
	size := map[fleet.PoolID]int{}
	for _, id := range ids {
		r := m.view.Rows.Instances[id]
		size[r.Pool]++
		_, asked := m.view.Rows.Drains[id]
		if r.Phase == fleet.Serving && !asked && !m.view.Down[id] && m.view.Config.Pools[r.Pool].Maintenance.Every > 0 {
			due[r.Pool] = append(due[r.Pool], r)
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(due)) {
		m.beginPool(m.view.Config.Pools[pool], due[pool], size[pool])
	}
}

func (m *maintenance) beginPool(p fleet.Pool, rows []rowstore.InstanceRow, size int) {
	lead := m.lead(p, size)
	slices.SortFunc(rows, func(a, b rowstore.InstanceRow) int {
		return cmp.Or(cmp.Compare(a.Maintained, b.Maintained), cmp.Compare(a.ID, b.ID))
	})
	for _, r := range rows {
		left := r.Maintained + p.Maintenance.Every - m.now
		if left > lead || m.room[p.ID] <= 0 {
			return
		}
		rack := rackOf(m.view.Config.Instances[r.ID])
		late := left <= lead/2
		// Waves stay in one rack of a pool, so that a rack that fails meanwhile takes no
		// second part of the pool, unless the period would be missed.
		if len(m.out[p.ID]) > 0 && !m.out[p.ID][rack] && !late {
			continue
		}
		// A pool that is short of demand waits, but one that has just enough does not: without
		// a reserve it would otherwise wait for the end of its period.
		if t, known := m.need[p.ID]; known && float64(m.have[p.ID]) < t.low && !late {
			continue
		}
		m.room[p.ID]--
		m.have[p.ID]--
		m.out[p.ID][rack] = true
		m.step(Step{Instance: r.ID, To: fleet.Draining, Why: "maintenance due"})
	}
}

// lead returns how long before the end of its period the maintenance of a pool begins: three
// times what one instance after the other takes, from a tenth to half of the period.
func (m *maintenance) lead(p fleet.Pool, size int) clock.Millis {
	one := max(p.Maintenance.DrainBound, m.longestDeadline(p.ID)) + m.view.Policy.settle() + m.view.Policy.returnBound()
	zones := clock.Millis(max(1, len(m.view.Capacity)))
	turns := clock.Millis((size + max(1, p.MaxAbsent) - 1) / max(1, p.MaxAbsent))
	every := p.Maintenance.Every
	return min(every/2, max(every/10, 3*zones*turns*one))
}
