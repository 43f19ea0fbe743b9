package schedule

import (
	"cmp"
	"slices"

	"citronknot/clock"
	"citronknot/job"
)

// trialWorkers returns the workers on which trials may begin, the best first: those with few other
// runs, which are lost if the trial crashes the worker, or have to end first. Workers on which runs
// have to end first are left out unless mayReserve is set.
func (p *Pool) trialWorkers(mayReserve bool, now clock.Millis) []*worker {
	type candidate struct {
		worker *worker
		cost   int64
	}
	var candidates []candidate
	for _, w := range p.sortedWorkers {
		if w.acceptsStarts(now) && !p.starterBusy(w) && (mayReserve || w.isSettled(now)) {
			candidates = append(candidates, candidate{worker: w, cost: p.trialCost(w, now)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	out := make([]*worker, len(candidates))
	for i, c := range candidates {
		out[i] = c.worker
	}
	return out
}

// chooseTrialWorkers returns the starts of a trial of a unit on some of the workers: of the task and
// the other suspected tasks of its job that fit on the same worker, or of all tasks of the gang. It
// returns nil if none of the workers fits.
func (p *Pool) chooseTrialWorkers(u *task, workers []*worker, now clock.Millis) []trialStart {
	workers = slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool {
		_, ok := p.eligible(u, w, now)
		return !ok
	})
	if u.step.spec.Gang {
		return placeGangTrial(u.step, workers)
	}
	for _, w := range workers {
		room := newTrialRoom(w)
		if !room.add(u) {
			continue
		}
		starts := []trialStart{{task: u, worker: w}}
		u.step.job.eachTask(func(t *task) {
			if t == u || t.step.spec.Gang || !t.needsTrial() {
				return
			}
			if _, ok := p.eligible(t, w, now); ok && room.add(t) {
				starts = append(starts, trialStart{task: t, worker: w})
			}
		})
		return starts
	}
	return nil
}

// placeGangTrial returns the starts of a gang on the first of the workers on which it fits, or nil.
func placeGangTrial(s *stepRun, workers []*worker) []trialStart {
	var out []trialStart
	for _, w := range workers {
		room := newTrialRoom(w)
		for len(out) < len(s.tasks) && room.add(&s.tasks[len(out)]) {
			out = append(out, trialStart{task: &s.tasks[len(out)], worker: w})
		}
	}
	if len(out) < len(s.tasks) {
		return nil
	}
	return out
}

// trialRoom is what a worker has for the tasks of a trial once its other runs have ended, except for
// those that last.
type trialRoom struct {
	worker *worker
	free   job.Resources
	added  map[*stepRun]int // tasks added by step
}

func newTrialRoom(w *worker) *trialRoom {
	r := &trialRoom{worker: w, free: w.Capacity, added: map[*stepRun]int{}}
	for t := range w.tasks {
		if t.step.spec.LongRunning {
			r.free = r.free.Sub(t.needs())
		}
	}
	return r
}

// add takes the room for a task, and reports whether there was enough.
func (r *trialRoom) add(t *task) bool {
	s := t.step
	if !t.needs().Fits(r.free) || (s.spec.MaxPerWorker > 0 && s.countOn(r.worker)+r.added[s] >= s.spec.MaxPerWorker) {
		return false
	}
	r.free = r.free.Sub(t.needs())
	r.added[s]++
	return true
}

// Costs of a worker for a trial. No sum of the lower ones reaches the next higher one.
const (
	trialCostCrashed = 1 << 40 // its machine has crashed a short time ago
	trialCostWait    = 1 << 30 // other runs have to end first
	trialCostCold    = 1 << 28 // it is still slow after its start
	trialCostLasting = 1 << 20 // for each long-running task on it
)

// trialCost returns the cost of a worker for a trial.
func (p *Pool) trialCost(w *worker, now clock.Millis) int64 {
	c := int64(len(w.tasks))
	if at, ok := p.crashedAt[w.Machine]; ok && now-at < doubtTime {
		c += trialCostCrashed
	}
	if !w.isSettled(now) {
		c += trialCostWait
	}
	if w.cold.isCold(now) {
		c += trialCostCold
	}
	for o := range w.tasks {
		if o.step.spec.LongRunning {
			c += trialCostLasting
		}
	}
	return c
}

// isSettled reports whether all runs on the worker have gone on for settledAge.
func (w *worker) isSettled(now clock.Millis) bool {
	for t := range w.tasks {
		if now-max(t.orderedAt, t.adoptedAt) < settledAge {
			return false
		}
	}
	return true
}

// runsOnly reports whether all runs on the worker belong to a trial.
func (w *worker) runsOnly(tr *trial) bool {
	for t := range w.tasks {
		if !tr.has(t) {
			return false
		}
	}
	return true
}

// has reports whether a task is started in the trial.
func (tr *trial) has(t *task) bool {
	return slices.ContainsFunc(tr.starts, func(s trialStart) bool { return s.task == t })
}
