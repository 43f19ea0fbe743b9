package schedule

import (
	"cmp"
	"maps"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// WaitCause is why a task that may start does not.
type WaitCause uint8

// The causes of waits. Of several, the first one counts.
const (
	WaitGang      WaitCause = iota // other tasks of its gang have not ended yet
	WaitTrial                      // it is suspected to crash its workers
	WaitAllowance                  // its team's allowance does not cover it, or its whole gang
	WaitWorker                     // no worker can take it, or its turn has not come
	waitCauses
)

// WaitCauses returns all causes.
func WaitCauses() []WaitCause {
	return []WaitCause{WaitGang, WaitTrial, WaitAllowance, WaitWorker}
}

// String returns the cause's name in log lines and metrics.
func (c WaitCause) String() string {
	return [...]string{"gang", "trial", "allowance", "worker"}[c]
}

// Waits counts the tasks that wait for a start.
type Waits struct {
	Tasks [waitCauses]int // by cause
	Teams []TeamWait      // those that wait for their allowance, by id
}

// TeamWait describes what a team waits for that its allowance does not cover.
type TeamWait struct {
	Team      fleet.TeamID
	Tasks     int
	Longest   clock.Millis  // the longest of the waits
	Needs     job.Resources // what the task or gang needs that waits longest
	Used      job.Resources
	Allowance job.Resources
}

// Waits returns what waits for a start at now, and why.
func (p *Pool) Waits(now clock.Millis) Waits {
	var out Waits
	teams := map[fleet.TeamID]*TeamWait{}
	for _, s := range p.ready.steps {
		if !s.isReady() {
			continue
		}
		cause := p.waitCause(s)
		out.Tasks[cause] += s.waitingTasks
		if cause == WaitAllowance {
			p.addTeamWait(teams, s, now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(teams)) {
		out.Teams = append(out.Teams, *teams[id])
	}
	return out
}

// waitCause returns why the waiting tasks of a step do not start.
func (p *Pool) waitCause(s *stepRun) WaitCause {
	switch {
	case s.spec.Gang && s.waitingTasks < len(s.tasks):
		return WaitGang
	case s.firstWaiting().startsAlone():
		return WaitTrial
	case !p.withinAllowanceFor(s.job.Team, s.unitNeeds()):
		return WaitAllowance
	}
	return WaitWorker
}

// firstWaiting returns the first waiting task of a step that has some.
func (s *stepRun) firstWaiting() *task {
	for i := range s.tasks {
		if s.tasks[i].state == waiting {
			return &s.tasks[i]
		}
	}
	return nil
}

// unitNeeds returns what has to be free at once for the step to start anything: what one task needs,
// or all tasks of a gang.
func (s *stepRun) unitNeeds() job.Resources {
	if s.spec.Gang {
		return s.spec.Needs.Scale(int64(len(s.tasks)))
	}
	return s.spec.Needs
}

// addTeamWait adds the waiting tasks of a step to the record of its team.
func (p *Pool) addTeamWait(teams map[fleet.TeamID]*TeamWait, s *stepRun, now clock.Millis) {
	id := s.job.Team
	w := teams[id]
	if w == nil {
		w = &TeamWait{Team: id, Longest: -1, Used: p.usedByTeam[id], Allowance: p.allowanceByTeam[id]}
		teams[id] = w
	}
	w.Tasks += s.waitingTasks
	if waited := now - s.firstWaiting().stateSince; waited > w.Longest {
		w.Longest, w.Needs = waited, s.unitNeeds()
	}
}

// dumpWaits returns a snapshot of the steps that wait for a start, those that wait longest first.
func (p *Pool) dumpWaits(now clock.Millis) []WaitDump {
	var out []WaitDump
	for _, s := range p.ready.steps {
		if s.isReady() {
			first := s.firstWaiting()
			out = append(out, WaitDump{
				Task: first.ref().String(), Team: s.job.Team, Tasks: s.waitingTasks, Cause: p.waitCause(s).String(), WaitedMS: now - first.stateSince,
			})
		}
	}
	slices.SortStableFunc(out, func(a, b WaitDump) int { return cmp.Compare(b.WaitedMS, a.WaitedMS) })
	return out[:min(len(out), maxWaitsDumped)]
}
