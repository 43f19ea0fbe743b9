package schedule

import (
	"cmp"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// WorkerLoad is the load of one worker as reported to the machine planner.
type WorkerLoad struct {
	ID          fleet.InstanceID
	Tasks       int
	LongRunning int // number of Tasks that are long-running
	// Drained says that the worker is cordoned and runs nothing. Before a new owner has received the list of
	// its runs, it may run what the former owner started, and have ended runs that nobody has recorded.
	Drained bool
}

// Load is the load of a pool as reported to the machine planner.
type Load struct {
	Workers     []WorkerLoad
	LongRunning int64 // millicores that long-running tasks need
	Active      int64 // millicores that other tasks use, or wait for and can still use in time
	Arrived     int64 // total work of the jobs that this owner has accepted, in millicore milliseconds
}

// TeamLoad is what a team uses and could use in a pool.
type TeamLoad struct {
	Used   job.Resources
	Demand job.Resources // Used plus the needs of the waiting tasks
	// Smallest is what the smallest of the waiting tasks and gangs needs to start, and Largest covers each
	// of them. Both are zero if nothing waits.
	Smallest, Largest job.Resources
}

// addWaiting adds the waiting tasks of a step. A gang of which some tasks have not ended can't start.
func (l *TeamLoad) addWaiting(s *stepRun) {
	l.Demand = l.Demand.Add(s.spec.Needs.Scale(int64(s.waitingTasks)))
	if s.spec.Gang && s.waitingTasks < len(s.tasks) {
		return
	}
	unit := s.unitNeeds()
	l.Largest = l.Largest.Max(unit)
	if l.Smallest == (job.Resources{}) || compareResources(unit, l.Smallest) < 0 {
		l.Smallest = unit
	}
}

// compareResources orders resources by CPU, memory and GPUs.
func compareResources(a, b job.Resources) int {
	return cmp.Or(cmp.Compare(a.CPU, b.CPU), cmp.Compare(a.Memory, b.Memory), cmp.Compare(a.GPU, b.GPU))
}

// Load returns the load of the pool at now.
func (p *Pool) Load(now clock.Millis) Load {
	l := Load{Arrived: p.arrivedWork}
	for _, w := range p.sortedWorkers {
		d := WorkerLoad{ID: w.ID, Tasks: len(w.tasks), Drained: w.cordoned && len(w.tasks) == 0 && (w.responded || p.recoveryFinished)}
		for t := range w.tasks {
			if t.step.spec.LongRunning {
				d.LongRunning++
				l.LongRunning += t.needs().CPU
			} else {
				l.Active += t.needs().CPU
			}
		}
		l.Workers = append(l.Workers, d)
	}
	for _, s := range p.ready.steps {
		if s.waitingTasks == 0 || s.job.state.Final() {
			continue
		}
		need := s.spec.Needs.CPU * int64(s.waitingTasks)
		switch {
		case s.spec.BestEffort:
		case s.spec.LongRunning:
			l.LongRunning += need
		case s.rank(now).class != classLate:
			l.Active += need
		}
	}
	// Tasks that were lost in crashes and wait to start with care keep the pool from shrinking under
	// them, but do not let it grow.
	l.Active += min(p.suspectedNeeds(now), p.freeCPU(now))
	return l
}

// Usage is how the capacity of a pool is used. Capacities are in millicores and leave out best-effort tasks.
type Usage struct {
	Workers  int
	Usable   int   // workers that may be given tasks
	Avoided  int   // workers that get no starts after repeated failures
	Capacity int64 // of the usable workers
	Used     int64 // of Capacity
	InTime   int64 // needs of the waiting tasks that can still end in time, and of the long-running ones
	Late     int64 // needs of the other waiting tasks
	Starting int   // starts without a response
}

// Usage returns how the capacity of the pool is used at now.
func (p *Pool) Usage(now clock.Millis) Usage {
	u := Usage{Workers: len(p.sortedWorkers), Starting: len(p.startingTasks)}
	for _, w := range p.sortedWorkers {
		if now < w.avoidUntil {
			u.Avoided++
		}
		if w.isUsable(now) {
			u.Usable++
			u.Capacity += w.Capacity.CPU
			u.Used += w.used.CPU
		}
	}
	for _, s := range p.ready.steps {
		if !s.isReady() || s.spec.BestEffort {
			continue
		}
		need := s.spec.Needs.CPU * int64(s.waitingTasks)
		if s.rank(now).class == classLate {
			u.Late += need
		} else {
			u.InTime += need
		}
	}
	return u
}

// suspectedNeeds returns the millicores that suspected tasks wait for and are too late to count in
// Load.Active.
func (p *Pool) suspectedNeeds(now clock.Millis) int64 {
	var sum int64
	for _, u := range p.suspects {
		for _, t := range u.tasksOfUnit() {
			if t.state == waiting && !t.step.spec.BestEffort && !t.step.spec.LongRunning && t.step.rank(now).class == classLate {
				sum += t.needs().CPU
			}
		}
	}
	return sum
}

// freeCPU returns the millicores that no task occupies on the workers that may take tasks.
func (p *Pool) freeCPU(now clock.Millis) int64 {
	var sum int64
	for _, w := range p.sortedWorkers {
		if w.isUsable(now) {
			sum += max(0, w.free().CPU)
		}
	}
	return sum
}

// Teams returns the load of each team. Teams that use and want nothing are left out.
func (p *Pool) Teams() map[fleet.TeamID]TeamLoad {
	out := map[fleet.TeamID]TeamLoad{}
	for team, used := range p.usedByTeam {
		if used != (job.Resources{}) {
			out[team] = TeamLoad{Used: used, Demand: used}
		}
	}
	for _, s := range p.ready.steps {
		if s.waitingTasks > 0 && !s.job.state.Final() {
			l := out[s.job.Team]
			l.addWaiting(s)
			out[s.job.Team] = l
		}
	}
	return out
}

// Cordon sets the workers of the pool that take no new tasks and are drained. Workers that are
// not in ids are uncordoned.
func (p *Pool) Cordon(ids []fleet.InstanceID, now clock.Millis) {
	for _, w := range p.sortedWorkers {
		cordon := slices.Contains(ids, w.ID)
		if cordon != w.cordoned {
			w.cordoned, w.cordonedAt = cordon, now
			kind := "worker_uncordoned"
			if cordon {
				kind = "worker_cordoned"
			}
			p.emit(Event{Kind: kind, Worker: w.ID})
		}
	}
	p.countLeaving()
}

// Cordoned returns the workers that are cordoned, sorted by id.
func (p *Pool) Cordoned() []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, w := range p.sortedWorkers {
		if w.cordoned {
			out = append(out, w.ID)
		}
	}
	return out
}

// countLeaving updates the number of workers that are cordoned or draining.
func (p *Pool) countLeaving() {
	p.leavingWorkers = 0
	for _, w := range p.sortedWorkers {
		if w.cordoned || w.Draining {
			p.leavingWorkers++
		}
	}
}

// checkpointedEvictionDelay is how long checkpointed tasks may go on running on a cordoned
// worker or in an evacuated zone. Most tasks end within it; the others lose little when they are moved.
const checkpointedEvictionDelay clock.Millis = 1500

// evictFromLeavingWorkers stops the tasks that keep cordoned workers from becoming empty, and
// those that would be interrupted when a draining worker ends.
func (p *Pool) evictFromLeavingWorkers(now clock.Millis) {
	if p.leavingWorkers == 0 {
		return
	}
	for _, w := range p.sortedWorkers {
		if (w.Draining || (w.cordoned && !w.evacuated)) && w.reachable && len(w.tasks) > 0 {
			p.evict(w, now)
		}
	}
}

// evict stops tasks of a worker that can continue elsewhere, long-running ones as far as [Pool.mayStop]
// allows it. Only it, [Pool.moveOutOfZones] and [Pool.relieve] stop running long-running tasks on the
// scheduler's own initiative.
func (p *Pool) evict(w *worker, now clock.Millis) {
	for t := range w.tasks {
		if t.state != running {
			continue
		}
		s := t.step
		switch {
		case s.spec.LongRunning:
			if p.mayStop(t, StopEmpty, now) && p.chooseWorker(t, now) != nil {
				p.stop(t, StopEmpty, now)
			}
		case t.canResume() && !s.spec.Gang && (w.Draining || now-w.cordonedAt > checkpointedEvictionDelay):
			p.stop(t, StopEmpty, now)
		}
	}
}
