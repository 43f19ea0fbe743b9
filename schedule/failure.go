package schedule

import (
	"fmt"

	"citronknot/clock"
)

// A run fails through its own fault or through its worker's, and its end does not tell which. A worker on
// which runs of several jobs fail in a row gets no starts for a while. The failures of one job say
// more of the job than of the worker, unless other tasks of the step are done.

// Limits on what failures say of a worker.
const (
	// avoidFailures is the number of failures in a row on a worker after which the worker gets
	// no starts for avoidDuration. Of the failures of a unit only the first counts.
	avoidFailures = 3.0
	avoidDuration = clock.Millis(3000)
	// maxFailuresOfJob is the number of failures of one job that count against a worker while no task of
	// the step is done. It is below avoidFailures, so that one job that always fails does not make
	// workers unavailable.
	maxFailuresOfJob = 2
	// maxAvoidedPercent is the part of the pool's usable workers that may be avoided at once. If more
	// of them fail what they start, that is hardly their fault.
	maxAvoidedPercent = 50
)

// recordRunFailure records that a run of a task failed on a worker, so that its unit prefers other workers,
// and counts the failure against the worker.
func (p *Pool) recordRunFailure(t *task, w *worker, run int, now clock.Millis) {
	r, j := t.record(), t.step.job
	first := len(r.failedOn) == 0
	if r.failedOn == nil {
		r.failedOn = map[*worker]bool{}
	}
	r.failedOn[w] = true
	if !first || (t.step.doneTasks == 0 && j.failuresOn[w] >= maxFailuresOfJob) {
		return
	}
	if j.failuresOn == nil {
		j.failuresOn = map[*worker]int{}
	}
	j.failuresOn[w]++
	p.countFailure(w, t, run, now)
}

// countFailure counts a failed run against a worker, which gets no starts for a while once avoidFailures is
// reached, if enough others are left.
func (p *Pool) countFailure(w *worker, t *task, run int, now clock.Millis) {
	if w.addFailure() && p.mayAvoidAnother(now) {
		p.avoid(w, t, run, now)
	}
}

// countRefusal counts the start of a task's newest run, which a worker refused because of its own state. It
// says nothing more if it had been ordered before the last refusal.
func (p *Pool) countRefusal(w *worker, t *task, now clock.Millis) {
	if t.orderedAt < w.refusedAt {
		return
	}
	w.refusedAt = now
	if w.addFailure() {
		p.avoid(w, t, t.run, now)
	}
}

// addFailure adds to the recent failures of a worker and reports whether avoidFailures is reached; the count
// then restarts at half of it.
func (w *worker) addFailure() bool {
	w.recentFailures++
	if w.recentFailures < avoidFailures {
		return false
	}
	w.recentFailures = avoidFailures / 2
	return true
}

// avoid excludes a worker from starts for avoidDuration. run of t is what failed or was refused last.
func (p *Pool) avoid(w *worker, t *task, run int, now clock.Millis) {
	w.avoidUntil = now + avoidDuration
	p.emit(Event{Kind: "worker_avoided", Task: t.ref(), Run: run, Worker: w.ID, Detail: fmt.Sprintf("no starts for %d ms after repeated failures", avoidDuration)})
}

// mayAvoidAnother reports whether one more worker may be excluded from starts after failures.
func (p *Pool) mayAvoidAnother(now clock.Millis) bool {
	avoided, usable := 0, 0
	for _, w := range p.sortedWorkers {
		switch {
		case now < w.avoidUntil:
			avoided++
		case w.isUsable(now):
			usable++
		}
	}
	return (avoided+1)*100 <= (avoided+usable)*maxAvoidedPercent
}

// recordSuccess halves the count of recent failures.
func (w *worker) recordSuccess() { w.recentFailures /= 2 }
