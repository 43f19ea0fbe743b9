package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

// doubt holds the runs of a worker that stopped responding and whose leases have expired. It may
// have crashed, or have been cut off.
type doubt struct {
	incarnation clock.Millis
	machine     string
	since       clock.Millis
	runs        []lostRun
}

// addDoubt remembers the runs that were lost with a silent worker. The tasks are suspected until the
// doubt is resolved, but not blamed.
func (p *Pool) addDoubt(w *worker, runs []lostRun, now clock.Millis) {
	if len(runs) == 0 {
		return // an earlier doubt about the worker goes on
	}
	for id, d := range p.doubts {
		if now-d.since > doubtTime {
			p.resolveDoubt(id, false, now)
		}
	}
	p.resolveDoubt(w.ID, false, now)
	p.doubts[w.ID] = &doubt{incarnation: w.Incarnation, machine: w.Machine, since: now, runs: runs}
	for _, l := range runs {
		u := l.task.unit()
		r := u.record()
		r.doubted = append(r.doubted, l.crash)
		p.updateSuspicion(u)
	}
}

// doubtWeight returns the weight, in the suspicion against a unit, of its runs that were lost with silent
// workers. A run of a gang may be lost with several workers, and with others that have certainly crashed; it
// counts once.
func (t *task) doubtWeight() int {
	doubted := t.record().doubted
	if len(doubted) == 0 {
		return 0
	}
	weights := map[int]int{} // by run
	for _, c := range doubted {
		weights[c.Run] = max(weights[c.Run], crashWeight(c))
	}
	for _, c := range t.crashes() {
		delete(weights, c.Run)
	}
	total := 0
	for _, w := range weights {
		total += w
	}
	return total
}

// resolveDoubt ends the doubt about a silent worker: it has crashed, or it was cut off.
func (p *Pool) resolveDoubt(id fleet.InstanceID, crashed bool, now clock.Millis) {
	d := p.doubts[id]
	if d == nil {
		return
	}
	delete(p.doubts, id)
	for _, l := range d.runs {
		u := l.task.unit()
		r := u.record()
		if i := slices.Index(r.doubted, l.crash); i >= 0 {
			r.doubted = slices.Delete(r.doubted, i, i+1)
		}
		p.updateSuspicion(u)
		if crashed {
			p.recordCrash(l, now)
		}
	}
}

// resolveDoubtsAbout ends the doubts that a new incarnation resolves: a silent worker with its id or
// on its machine has crashed.
func (p *Pool) resolveDoubtsAbout(d *Worker, now clock.Millis) {
	for id, silent := range p.doubts {
		if (id == d.ID || (d.Machine != "" && silent.machine == d.Machine)) && d.Incarnation > silent.incarnation {
			p.resolveDoubt(id, true, now)
		}
	}
}
