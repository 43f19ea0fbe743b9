package schedule

import (
	"cmp"
	"slices"

	"citronknot/clock"
	"citronknot/job"
)

// rankInterval is how long the ranks of waiting steps are used before they are computed again.
// Ranks change slowly, and ranking all steps in each pass takes more CPU time the longer the
// backlog is.
const rankInterval clock.Millis = 100

// readyList holds the steps with waiting tasks in the order in which they are served.
type readyList struct {
	steps    []*stepRun   // all steps of the list
	added    []*stepRun   // the last of steps, which are not in ranked yet
	ranked   []rankedStep // by compareRankedSteps, with ranks as of rankedAt or of their addition
	rankedAt clock.Millis
}

// rankedStep is a step with its rank and with what one of its tasks needs.
type rankedStep struct {
	rank
	needs job.Resources
	step  *stepRun
}

// compareRankedSteps orders steps by class, priority, tightness and latest start, then by time of
// acceptance and job id.
func compareRankedSteps(a, b rankedStep) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.priority, b.priority),
		compareTight(a.tight, b.tight),
		cmp.Compare(a.latestStart, b.latestStart),
		cmp.Compare(a.step.job.acceptedAt, b.step.job.acceptedAt),
		cmp.Compare(a.step.job.ID, b.step.job.ID),
	)
}

// compareTight orders steps that are not tight before those that are.
func compareTight(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// add adds a step that has waiting tasks.
func (l *readyList) add(s *stepRun) {
	l.steps = append(l.steps, s)
	l.added = append(l.added, s)
}

// update brings the order up to date. Steps that were added since the last update are merged into
// the order; once every rankInterval, all steps are ranked and those without waiting tasks are
// dropped.
func (l *readyList) update(now clock.Millis) {
	if len(l.ranked) == 0 || now-l.rankedAt >= rankInterval {
		l.rankAll(now)
		return
	}
	if len(l.added) == 0 {
		return
	}
	fresh := make([]rankedStep, 0, len(l.added))
	for _, s := range l.added {
		fresh = append(fresh, s.ranked(now))
	}
	slices.SortFunc(fresh, compareRankedSteps)
	l.ranked = mergeRanked(l.ranked, fresh)
	l.added = l.added[:0]
}

// rankAll drops the steps without waiting tasks, and ranks and sorts the others.
func (l *readyList) rankAll(now clock.Millis) {
	l.steps = slices.DeleteFunc(l.steps, func(s *stepRun) bool {
		s.inReady = s.isReady()
		return !s.inReady
	})
	l.ranked = l.ranked[:0]
	for _, s := range l.steps {
		l.ranked = append(l.ranked, s.ranked(now))
	}
	slices.SortFunc(l.ranked, compareRankedSteps)
	l.added, l.rankedAt = l.added[:0], now
}

// mergeRanked merges the sorted list b into the sorted list a and returns the result, which uses
// the memory of a if it suffices.
func mergeRanked(a, b []rankedStep) []rankedStep {
	i, k := len(a)-1, len(b)-1
	a = append(a, b...)
	for at := len(a) - 1; k >= 0; at-- {
		if i >= 0 && compareRankedSteps(a[i], b[k]) > 0 {
			a[at] = a[i]
			i--
		} else {
			a[at] = b[k]
			k--
		}
	}
	return a
}

// isReady reports whether the step has tasks to start.
func (s *stepRun) isReady() bool { return s.waitingTasks > 0 && !s.job.state.Final() }

// ranked returns the step with its rank at now.
func (s *stepRun) ranked(now clock.Millis) rankedStep {
	return rankedStep{rank: s.rank(now), needs: s.spec.Occupies(), step: s}
}

// addReady adds a step to the ready list if it has waiting tasks and is not in it.
func (p *Pool) addReady(s *stepRun) {
	if !s.inReady && s.isReady() {
		s.inReady = true
		p.ready.add(s)
	}
}

// waitingTasks returns the number of tasks in state waiting.
func (p *Pool) waitingTasks() int {
	n := 0
	for _, s := range p.ready.steps {
		n += s.waitingTasks
	}
	return n
}

// noCapacity records, during one pass, the smallest task that found no worker. A task that needs
// at least as much of everything would find none either, so it is not tried. In a full pool, a
// pass thus searches a worker for few of the waiting steps.
type noCapacity struct {
	known bool
	needs job.Resources
}

// covers reports whether a task with the given needs would certainly find no worker.
func (n *noCapacity) covers(needs job.Resources) bool { return n.known && n.needs.Fits(needs) }

// record records that a task of a step found no worker, unless a constraint of its own or of a
// dispatcher may be the cause.
func (n *noCapacity) record(s *rankedStep) {
	spec := s.step.spec
	constrained := spec.Label != "" || spec.MaxPerWorker > 0 || spec.BestEffort || spec.Gang || s.step.job.policy.Advised
	if !constrained && (!n.known || s.needs.CPU < n.needs.CPU) {
		n.known, n.needs = true, s.needs
	}
}
