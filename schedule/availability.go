package schedule

import (
	"slices"

	"citronknot/clock"
)

// Absence is why a task of a service, a step of long-running tasks, is not known to work.
type Absence uint8

// The causes of absences.
const (
	AtWork            Absence = iota // the task is known to work
	AbsentNew                        // it has not worked yet
	AbsentStopped                    // it was stopped by an order of the pool
	AbsentLost                       // its worker was lost, or the worker's leases have expired
	AbsentEnded                      // its run failed, or ended by itself
	AbsentSilent                     // its worker does not respond
	AbsentUnconfirmed                // a former owner started it, and may have stopped it

	numAbsences
)

// String returns the cause's name in log lines and metrics.
func (a Absence) String() string {
	return [numAbsences]string{"none", "new", "stopped", "lost", "ended", "silent", "unconfirmed"}[a]
}

// absence returns why the task is not known to work, or AtWork.
func (t *task) absence() Absence {
	switch {
	case t.isWorking():
		return AtWork
	case t.state == unconfirmed || t.mayBeStopping:
		return AbsentUnconfirmed
	case t.state == stopping:
		return AbsentStopped
	case t.state == running && !t.worker.reachable:
		return AbsentSilent
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

// ServiceStop describes the stop of a task of a service, for the log: what was known of the other tasks
// of its step when it was ordered.
type ServiceStop struct {
	Reason         StopReason
	Away           int              // other tasks that were not known to work
	Limit          int              // tasks that may be away because of the pool's orders
	Causes         [numAbsences]int // why they were away
	Newest, Oldest clock.Millis     // ages of the polls from which the working tasks are known; -1 if there is none
}

// describeStop returns what is known of the other tasks of a service as one of them is stopped.
func (s *stepRun) describeStop(t *task, reason StopReason, now clock.Millis) *ServiceStop {
	d := &ServiceStop{Reason: reason, Limit: s.maxNotWorking(), Newest: -1, Oldest: -1}
	for i := range s.tasks {
		o := &s.tasks[i]
		if o == t {
			continue
		}
		if a := o.absence(); a != AtWork {
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

// Absences returns the number of tasks of services that are not known to work, by cause.
func (p *Pool) Absences() map[Absence]int {
	p.services = slices.DeleteFunc(p.services, func(s *stepRun) bool { return s.job.state.Final() })
	out := make(map[Absence]int, numAbsences)
	for a := AbsentNew; a < numAbsences; a++ {
		out[a] = 0
	}
	for _, s := range p.services {
		for i := range s.tasks {
			if a := s.tasks[i].absence(); a != AtWork {
				out[a]++
			}
		}
	}
	return out
}
