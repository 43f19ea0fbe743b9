package schedule

import (
	"slices"

	"citronknot/clock"
)

// Absence is why a long-running task is not known to work.
type Absence uint8

// The causes of absences.
const (
	AtWork            Absence = iota // the task is known to work
	AbsentNew                        // it has not worked yet
	AbsentStopped                    // it was stopped by an order of the pool
	AbsentLost                       // its worker was lost, or the worker's leases have expired
	AbsentEnded                      // its run failed, or ended by itself
	AbsentSilent                     // its worker does not respond
	AbsentUnseen                     // the newest list of its worker's runs is too old to tell
	AbsentUnconfirmed                // it may have been stopped, by a former owner or by an order without an answer

	numAbsences
)

// String returns the cause's name in log lines and metrics.
func (a Absence) String() string {
	return [numAbsences]string{"none", "new", "stopped", "lost", "ended", "silent", "unseen", "unconfirmed"}[a]
}

// absence returns why the task is not known to work, or AtWork.
func (t *task) absence(now clock.Millis) Absence {
	switch {
	case t.isWorking(now):
		return AtWork
	case t.state == unconfirmed || t.stopUntil != 0:
		return AbsentUnconfirmed
	case t.state == stopping:
		return AbsentStopped
	case t.state == running && !t.worker.reachable:
		return AbsentSilent
	case t.state == running && now-t.worker.listedAt > workEvidenceAge:
		return AbsentUnseen
	}
	return max(AbsentNew, t.lastAbsence)
}

// absenceAfter returns why a task is absent whose run has ended in the given way.
func absenceAfter(kind EndKind) Absence {
	switch kind {
	case EndStopped:
		return AbsentStopped
	case EndExpired:
		return AbsentLost
	}
	return AbsentEnded
}

// Times that decide what is known of a long-running task.
const (
	// workEvidenceAge is the age up to which a list of a worker's runs shows that a task works. A stop may be
	// on its way for a while, and users count a task as away that has not worked for 4.5 s, whatever the cause.
	workEvidenceAge clock.Millis = 3000
	// absenceEvidenceAge is the age up to which a list of a worker's runs shows that a run that is not in it
	// does not work yet. A start that is carried out late takes about as long until its task works.
	absenceEvidenceAge clock.Millis = 500
	// lateOrderTime is how much later than it was sent a worker may carry out an order without an answer.
	lateOrderTime clock.Millis = 12_000
)

// mayStop reports whether a stop may be ordered for a task, for the first time or again. It is the only
// function that keeps the pool from ending more tasks of a long-running step at once than the step allows, and each
// stop of a task that occupies a worker passes it. Not subject to the limit are:
//   - a job in a final state, whose tasks nobody needs;
//   - a gang that could not start as a whole, as its tasks work only together;
//   - a draining worker, whose runs end with it;
//   - a start without an answer that the worker's list of runs shows not to have taken effect.
//
// A start without an answer may have been carried out, and its task may work. It is not stopped before a
// list says otherwise: the worker lists its run, or the run's lease expires.
func (p *Pool) mayStop(t *task, reason StopReason, now clock.Millis) bool {
	switch {
	case !t.step.spec.LongRunning || reason == StopFinal || reason == StopGang || t.worker.Draining:
		return true
	case reason == StopUnanswered || reason == StopExcessStart:
		return t.isKnownAbsent(now)
	}
	return t.step.mayLose(t, now)
}

// isKnownAbsent reports whether a run of which an order got no answer did not exist at its worker, according
// to a recent list that was requested after the order.
func (t *task) isKnownAbsent(now clock.Millis) bool {
	since := t.unansweredAt
	if t.state == stopping {
		since = t.stopSentAt
	}
	listed := t.worker.listedAt
	return since != 0 && listed > since && listed > t.listedAt && now-listed <= absenceEvidenceAge
}

// markUnanswered records that a start may or may not have been carried out. A long-running one stays where
// it is until the worker lists it or is known not to run it.
func (p *Pool) markUnanswered(t *task, now clock.Millis) {
	if !t.step.spec.LongRunning {
		p.stop(t, StopUnanswered, now)
		return
	}
	p.clearStarting(t)
	t.unansweredAt = now
	p.unansweredStarts[t] = true
	p.emit(Event{Kind: "long_running_start_unanswered", Task: t.ref(), Run: t.run, Worker: t.worker.ID})
}

// repeatStop sends a stop without an answer again. The stop of a long-running task is taken back if it may not
// be sent any more and the worker still lists the run.
func (p *Pool) repeatStop(t *task, now clock.Millis) {
	switch {
	case p.mayStop(t, t.stopReason, now):
		t.stopSentAt = now
		p.orderStop(t)
	case t.listedAt > t.stopSentAt:
		p.takeBackStop(t, now)
	}
}

// takeBackStop makes a task running whose stop had no effect so far. The stop may still be carried out.
func (p *Pool) takeBackStop(t *task, now clock.Millis) {
	delete(p.stoppingTasks, t)
	p.confirmStart(t, now)
	t.stopReason = ""
	t.stopUntil = t.stopSentAt + lateOrderTime + p.StopTime
	p.emit(Event{Kind: "long_running_stop_taken_back", Task: t.ref(), Run: t.run, Worker: t.worker.ID})
}

// LongRunningStop describes the stop of a long-running task, for the log: what was known of the other tasks
// of its step when it was ordered.
type LongRunningStop struct {
	Reason         StopReason
	Away           int              // other tasks that were not known to work
	Limit          int              // tasks that may be away because of the pool's orders
	Causes         [numAbsences]int // why they were away
	Newest, Oldest clock.Millis     // ages of the polls from which the working tasks are known; -1 if there is none
}

// describeStop returns what is known of the other tasks of a long-running step as one of them is stopped.
func (s *stepRun) describeStop(t *task, reason StopReason, now clock.Millis) *LongRunningStop {
	d := &LongRunningStop{Reason: reason, Limit: s.maxNotWorking(), Newest: -1, Oldest: -1}
	for i := range s.tasks {
		o := &s.tasks[i]
		if o == t {
			continue
		}
		if a := o.absence(now); a != AtWork {
			d.Away++
			d.Causes[a]++
			continue
		}
		age := now - o.worker.listedAt
		if d.Newest < 0 || age < d.Newest {
			d.Newest = age
		}
		d.Oldest = max(d.Oldest, age)
	}
	return d
}

// ForgetLists records that what workers listed is too old to tell whether tasks work, because the clock stood
// still for a while. The next lists count again.
func (p *Pool) ForgetLists(now clock.Millis) {
	for _, w := range p.sortedWorkers {
		w.listedAt = min(w.listedAt, now-workEvidenceAge-1)
	}
}

// Absences returns the number of long-running tasks that are not known to work, by cause.
func (p *Pool) Absences(now clock.Millis) map[Absence]int {
	p.longRunningSteps = slices.DeleteFunc(p.longRunningSteps, func(s *stepRun) bool { return s.job.state.Final() })
	out := make(map[Absence]int, numAbsences)
	for a := AbsentNew; a < numAbsences; a++ {
		out[a] = 0
	}
	for _, s := range p.longRunningSteps {
		for i := range s.tasks {
			if a := s.tasks[i].absence(now); a != AtWork {
				out[a]++
			}
		}
	}
	return out
}
