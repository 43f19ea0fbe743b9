package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// WorkerLoad is what runs on a worker, for those who plan machines.
type WorkerLoad struct {
	ID      fleet.InstanceID
	Tasks   int
	Lasting int  // of them, those that last
	Emptied bool // takes no new tasks and runs none
}

// Load is what a pool does and needs, for those who plan machines.
type Load struct {
	Workers []WorkerLoad
	Lasting int64 // thousandths of cores that tasks that last need
	Active  int64 // thousandths of cores that other tasks use, or wait for in time
	Arrived int64 // work that has arrived in all, in thousandths of a core times milliseconds
}

// TeamLoad is what a team uses and could use in a pool.
type TeamLoad struct {
	Used job.Resources
	Want job.Resources // with the tasks that wait
}

// Load returns what the pool does and needs.
func (p *Pool) Load(now clock.Millis) Load {
	l := Load{Arrived: p.arrived}
	for _, w := range p.order {
		d := WorkerLoad{ID: w.ID, Tasks: len(w.tasks), Emptied: w.cordoned && len(w.tasks) == 0}
		for t := range w.tasks {
			if t.step.spec.LongRunning {
				d.Lasting++
				l.Lasting += t.needs().CPU
			} else {
				l.Active += t.needs().CPU
			}
		}
		l.Workers = append(l.Workers, d)
	}
	for _, s := range p.ready {
		if s.waiting == 0 || s.job.state.Final() {
			continue
		}
		need := s.spec.Needs.CPU * int64(s.waiting)
		switch {
		case s.spec.Fills:
		case s.spec.LongRunning:
			l.Lasting += need
		case s.rank(now).class != classLate:
			l.Active += need
		}
	}
	return l
}

// Teams returns what each team uses and could use. Teams that do neither are left out.
func (p *Pool) Teams() map[fleet.TeamID]TeamLoad {
	out := map[fleet.TeamID]TeamLoad{}
	for team, used := range p.used {
		if used != (job.Resources{}) {
			out[team] = TeamLoad{Used: used, Want: used}
		}
	}
	for _, s := range p.ready {
		if s.waiting > 0 && !s.job.state.Final() {
			l := out[s.job.Team]
			l.Want = l.Want.Add(s.spec.Needs.Scale(int64(s.waiting)))
			out[s.job.Team] = l
		}
	}
	return out
}

// Cordon sets the workers that are to take no new tasks and to be emptied.
func (p *Pool) Cordon(ids []fleet.InstanceID, now clock.Millis) {
	for _, w := range p.order {
		to := slices.Contains(ids, w.ID)
		if to != w.cordoned {
			w.cordoned, w.cordonedAt = to, now
			kind := "worker_uncordoned"
			if to {
				kind = "worker_cordoned"
			}
			p.note(Event{Kind: kind, Worker: w.ID})
		}
	}
	p.countLeaving()
}

func (p *Pool) countLeaving() {
	p.leaving = 0
	for _, w := range p.order {
		if w.cordoned || w.Draining {
			p.leaving++
		}
	}
}

// emptyWait is how long tasks that save their progress may go on on a worker that is to be
// emptied. Most tasks end within it; the others lose little when they are moved.
const emptyWait clock.Millis = 1500

// emptyAll stops what would keep cordoned workers from getting empty, and moves what would be
// cut when a worker leaves.
func (p *Pool) emptyAll(now clock.Millis) {
	if p.leaving == 0 {
		return
	}
	for _, w := range p.order {
		if (w.cordoned || w.Draining) && w.reachable && len(w.tasks) > 0 {
			p.empty(w, now)
		}
	}
}

// empty stops tasks of a worker that can go on elsewhere. It is the one place that stops tasks
// that last for the system's own reasons, and keeps enough of each step at work.
func (p *Pool) empty(w *worker, now clock.Millis) {
	for t := range w.tasks {
		if t.state != running {
			continue
		}
		s := t.step
		switch {
		case s.spec.LongRunning:
			if (w.Draining || s.away(t) < max(1, s.spec.MayMiss)) && p.choose(t, now) != nil {
				p.stop(t, StopEmpty, now)
			}
		case s.spec.Checkpoint && t.saved != "" && !s.spec.Gang && (w.Draining || now-w.cordonedAt > emptyWait):
			p.stop(t, StopEmpty, now)
		}
	}
}
