package schedule

import (
	"citronknot/clock"
)

// trialLimits bounds the trials of a pool, so that suspected tasks leave at least half of it to others:
// they can take down at most all workers at once, and keep others from reserved ones. A worker that
// crashes is back after seconds.
type trialLimits struct {
	all      int // trials whose workers may yet crash, or do not respond any more
	reserved int // trials that wait for other runs to end
}

// minTrials is the number of trials that a pool has at once when nothing is known of their outcomes.
const minTrials = 2

// newTrialLimits returns the limits of a pool. passed is the balance of recent trials: it grows with
// each one that passes, and is halved by a crash. After a burst of crashes many tasks are suspected
// that have done nothing, and wait less; while the suspects crash their workers, few trials take place
// at once.
func newTrialLimits(c workerCounts, passed int) trialLimits {
	workers := c.responding + c.downByTrials
	all := (workers - c.apart) / 2
	if c.full {
		all = min(all, minTrials+passed)
	}
	return trialLimits{all: max(c.least(), all), reserved: max(1, workers/8)}
}

// maxApartWorkers returns on how many more workers tasks may be started apart, beside the trials that
// may yet crash their workers. If no other task waits for capacity, few workers are left to tasks to
// come; otherwise half of those that respond are, and all while less than half of the pool's do.
func maxApartWorkers(c workerCounts, activeTrials int) int {
	if !c.full {
		return c.responding - min(c.all-1, 1+c.responding/8) - c.apart - activeTrials
	}
	if 2*c.responding < c.all {
		return 0
	}
	return max(c.least(), c.responding/2) - c.apart - activeTrials
}

// workerCounts are numbers of workers that stay in the pool.
type workerCounts struct {
	all          int
	responding   int
	downByTrials int // that do not respond any more since a trial
	apart        int // on which a task was started apart within startupTime

	full bool // tasks that nobody suspects wait for capacity
}

// least returns the number of suspected tasks that may take a worker in any case: one, if no other task
// waits for capacity, or if there is only one worker.
func (c workerCounts) least() int {
	if c.full && c.all > 1 {
		return 0
	}
	return 1
}

// countWorkers counts the workers that have responded and are not being emptied.
func (p *Pool) countWorkers(now clock.Millis) workerCounts {
	c := workerCounts{full: p.full}
	for _, w := range p.sortedWorkers {
		if !w.responded || w.isBeingEmptied() {
			continue
		}
		c.all++
		if w.reachable {
			c.responding++
		} else if w.trial != nil && w.trial.unresponsive() {
			c.downByTrials++
		}
		if w.hasStartedApart(now) {
			c.apart++
		}
	}
	return c
}

// count takes a trial from the limits.
func (l *trialLimits) count(tr *trial, now clock.Millis) {
	if tr.phase == trialReserved {
		l.reserved--
	}
	if tr.isActive(now) || tr.unresponsive() {
		l.all--
	}
}

// isActive reports whether a trial may yet crash its workers at its start.
func (tr *trial) isActive(now clock.Millis) bool {
	return !tr.unresponsive() && (tr.phase != trialRunning || now-tr.since < quickCrashAge)
}
