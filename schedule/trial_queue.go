package schedule

import (
	"cmp"
	"slices"

	"citronknot/clock"
	"citronknot/job"
)

// updateTrialsDue determines the jobs with a task that is to start alone. Their other suspected tasks
// share its trial.
func (p *Pool) updateTrialsDue() {
	for _, u := range p.suspects {
		u.step.job.trialDue = false
	}
	for _, u := range p.suspects {
		u.step.job.trialDue = u.step.job.trialDue || u.record().suspicion == startAlone
	}
}

// maxTrialSearches limits the suspected tasks for which one pass looks for workers, so that a pass
// takes no longer after a burst of crashes.
const maxTrialSearches = 32

// trialCandidates returns the suspected tasks that wait for a start. Those that are least likely to
// crash another worker come first, and the more likely ones later, but not after all that follow.
func (p *Pool) trialCandidates(now clock.Millis) []*task {
	var out []*task
	for _, u := range p.suspects {
		if u.record().suspicion == startAlone && u.needsTrial() {
			out = append(out, u)
		}
	}
	slices.SortStableFunc(out, func(a, b *task) int { return cmp.Compare(a.trialPrecedence(now), b.trialPrecedence(now)) })
	return out
}

// trialAging is the wait that makes up for a crash of which a task was the likely cause.
const trialAging clock.Millis = 5000

// trialPrecedence orders tasks that wait for trials; the lowest comes first.
func (t *task) trialPrecedence(now clock.Millis) clock.Millis {
	return trialAging*clock.Millis(likelihood(t.crashes()))/wholeCrash - (now - t.stateSince)
}

// wholeCrash is the likelihood of a task that was the only one to have been started before a crash.
const wholeCrash = 60

// likelihood returns how likely a task is the cause of its crashes: each crash at the start of a run
// counts by the number of jobs that may have caused it, and one of a run that was alone counts twice.
func likelihood(crashes []job.Crash) int {
	sum := 0
	for _, c := range crashes {
		switch {
		case c.Alone:
			sum += 2 * wholeCrash
		case c.Age <= startupTime:
			sum += wholeCrash / (1 + c.Peers)
		}
	}
	return sum
}

// startsAlone reports whether a task starts in a trial: it is to start alone itself, or shares the trial
// of a task of its job.
func (t *task) startsAlone() bool {
	u := t.unit()
	return u.record().suspicion == startAlone || (u.record().suspicion == startApart && t.step.job.trialDue)
}

// needsTrial reports whether a unit is to start in a trial and may start: the task, or all tasks of
// its gang, are waiting.
func (t *task) needsTrial() bool {
	if !t.startsAlone() {
		return false
	}
	if t.step.spec.Gang {
		return t.step.waitingTasks == len(t.step.tasks)
	}
	return t.state == waiting
}
