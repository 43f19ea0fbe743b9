package schedule

import (
	"slices"

	"citronknot/clock"
)

// Plan decides what to order now and returns the orders, each of which is to be sent once. now
// is on the owner's clock; wall is the time of day, which decides when timed jobs are due.
func (p *Pool) Plan(now, wall clock.Millis) []Order {
	p.createDueOccurrences(now, wall)
	p.handleOverdueOrders(now)
	p.paceAll(now)
	p.evictFromLeavingWorkers(now)
	p.moveOutOfZones(now)
	if len(p.overCapacity) > 0 {
		p.withdrawExcessStarts(now)
	}
	p.runTrials(now)
	p.placeWaitingTasks(now)
	if len(p.placeWaits) > 0 {
		p.sweepWaits(now)
	}
	if len(p.overCapacity) > 0 {
		p.relieve(now) // waiting tasks come first: only room that they leave is used
	}
	out := p.orders
	p.orders = nil
	return out
}

// createDueOccurrences creates the occurrences of timed jobs that are due, and removes those that are
// complete. If many are due at once, the later ones wait, so that no job takes all memory.
func (p *Pool) createDueOccurrences(now, wall clock.Millis) {
	p.timedJobs = slices.DeleteFunc(p.timedJobs, func(j *Job) bool {
		j.removeCompleteOccurrences()
		p.releaseDueOccurrences(j, now, wall)
		for !j.state.Final() && j.nextOccurrence < j.Runs && j.Due(j.nextOccurrence) <= wall && j.mayCreateOccurrence() {
			if !j.progress.IsComplete(j.nextOccurrence) && j.occurrence(j.nextOccurrence) == nil {
				p.createOccurrence(j, j.nextOccurrence, true, now)
			}
			j.nextOccurrence++
		}
		return j.state.Final()
	})
}

// releaseDueOccurrences lets the tasks of the held occurrences of a job start that are due. They do not
// wait for earlier occurrences, which may themselves wait for these to be complete.
func (p *Pool) releaseDueOccurrences(j *Job, now, wall clock.Millis) {
	if j.state.Final() {
		return
	}
	for _, o := range j.occurrences {
		if o.held && j.Due(o.index) <= wall {
			p.releaseOccurrence(o, now)
		}
	}
}

// handleOverdueOrders withdraws starts that have no response after StartWait and repeats stops
// that have none after StopRepeat.
func (p *Pool) handleOverdueOrders(now clock.Millis) {
	for t := range p.startingTasks {
		if now-t.stateSince > p.StartWait {
			p.markUnanswered(t, now)
		}
	}
	for t := range p.unansweredStarts {
		p.stop(t, StopUnanswered, now)
	}
	for t := range p.stoppingTasks {
		if !t.stopAccepted && now-t.stopSentAt > p.StopRepeat {
			p.repeatStop(t, now)
		}
	}
}
