package schedule

import (
	"cmp"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/schedule/locality"
)

// maxPlaceWaits is the number of tasks of a pool that wait for a near place at once. Each of them is
// considered in each pass, which takes longer than a pass without them, and its wait is logged.
const maxPlaceWaits = 256

// PlaceWait describes a task's wait for a place near its data or the rest of its step, for the log and
// the dump.
type PlaceWait struct {
	Rack      fleet.RackID
	Run       clock.Millis // expected run time on the rack
	FarFactor float64
	Expected  clock.Millis // expected wait, or locality.Never
	Before    int          // tasks that wait for the rack before this one
	Slack     clock.Millis // left of the job's objective
	Contended bool         // others lack the capacity that a far run would take longer
	Limit     clock.Millis // longest time that the wait may still take
	Waited    clock.Millis
	Outcome   string          // of a wait that has ended
	Reason    locality.Reason // for which the wait was given up
}

// The outcomes of waits for a near place.
const (
	waitNear      = "near"      // the task was started near
	waitGaveUp    = "gave_up"   // the task was started far
	waitWithdrawn = "withdrawn" // the task does not start any more
)

// waitOutcome returns the outcome of a wait that ends with a start.
func waitOutcome(far bool) string {
	if far {
		return waitGaveUp
	}
	return waitNear
}

// placeWait is the wait of a task, or of a gang at its first task, for a near place.
type placeWait struct {
	PlaceWait
	since clock.Millis
}

// mayWaitForRack reports whether tasks of the step may wait for a near place. Long-running tasks don't,
// as each second in which they do not run counts, nor do best-effort tasks, whose run times the pool
// changes.
func (p *Pool) mayWaitForRack(s *stepRun) bool {
	spec := s.spec
	return p.FarFactor > 1 && (spec.DataRack != "" || spec.SameRack) && !spec.LongRunning && !spec.BestEffort
}

// chooseRack sets the rack that the tasks of a step are to use: that of the data, that of the tasks that
// have started, or else the one that can take most of the step now. It is empty if the tasks are spread
// over several racks already, so that nothing is left to wait for.
func (p *Pool) chooseRack(s *stepRun, now clock.Millis) {
	s.rack = s.spec.DataRack
	if s.rack != "" {
		return
	}
	for i := range s.tasks {
		w := s.tasks[i].worker
		switch {
		case w == nil:
		case s.rack == "":
			s.rack = w.Rack
		case s.rack != w.Rack:
			s.rack = ""
			return
		}
	}
	if s.rack == "" {
		s.rack = p.roomiestRack(s, now)
	}
}

// rackRoom is the free capacity of a rack for a step.
type rackRoom struct {
	rack   fleet.RackID
	places int
	free   int64 // millicores
}

// roomiestRack returns the rack on which most tasks of a step can start now, or an empty id if none can.
// Among equal ones it prefers the fullest, which leaves the others to steps that need more.
func (p *Pool) roomiestRack(s *stepRun, now clock.Millis) fleet.RackID {
	var rooms []rackRoom
	t := &s.tasks[0]
	needs := t.needs()
	for _, w := range p.sortedWorkers {
		free := w.free()
		if !needs.Fits(free) {
			continue
		}
		if _, ok := p.eligible(t, w, now); !ok {
			continue
		}
		i := slices.IndexFunc(rooms, func(r rackRoom) bool { return r.rack == w.Rack })
		if i < 0 {
			i = len(rooms)
			rooms = append(rooms, rackRoom{rack: w.Rack})
		}
		places := 0
		for left := free; needs.Fits(left) && places < s.waitingTasks && (s.spec.MaxPerWorker == 0 || places < s.spec.MaxPerWorker); places++ {
			left = left.Sub(needs)
		}
		rooms[i].places = min(s.waitingTasks, rooms[i].places+places)
		rooms[i].free += free.CPU
	}
	if len(rooms) == 0 {
		return ""
	}
	return slices.MinFunc(rooms, func(a, b rackRoom) int {
		return cmp.Or(cmp.Compare(b.places, a.places), cmp.Compare(a.free, b.free), cmp.Compare(a.rack, b.rack))
	}).rack
}

// forecastOf returns the current pass's forecast for a rack.
func (p *Pool) forecastOf(rack fleet.RackID, now clock.Millis) *rackForecast {
	f := p.forecasts[rack]
	if f == nil {
		var workers []*worker
		for _, w := range p.sortedWorkers {
			if w.Rack == rack {
				workers = append(workers, w)
			}
		}
		f = p.newRackForecast(workers, now)
		p.forecasts[rack] = f
	}
	return f
}

// noteForecast records in the current pass's forecasts that a task was assigned to a worker.
func (p *Pool) noteForecast(t *task, w *worker, now clock.Millis) {
	f := p.forecasts[w.Rack]
	if f == nil {
		return
	}
	if i := slices.IndexFunc(f.workers, func(wf *workerForecast) bool { return wf.worker == w }); i >= 0 {
		f.workers[i].occupy(t.needs(), 0, p.remainingTime(t, now))
	}
}

// mayTake reports whether a worker that has the capacity could take a task near its data, beside those
// that have reserved a place. A worker that merely has too many pending starts can: it takes the task in
// one of the next passes.
func (f *workerForecast) mayTake(t *task) bool {
	s, w := t.step, f.worker
	_, advised := s.advice.tickets[w]
	return !t.record().failedOn[w] && w.hasLabel(s.spec.Label) && (advised || !s.job.policy.Advised) &&
		(s.spec.MaxPerWorker == 0 || s.countOn(w)+f.countTaken(s) < s.spec.MaxPerWorker)
}

// countTaken returns the number of places that waiting tasks of a step have reserved.
func (f *workerForecast) countTaken(s *stepRun) int {
	n := 0
	for _, o := range f.taken {
		if o == s {
			n++
		}
	}
	return n
}

// awaitsNearPlace decides whether a task that would start far on w waits for a near place instead. It is
// the only function that keeps a task of a step that is not a gang waiting for its rack.
func (p *Pool) awaitsNearPlace(t *task, w *worker, contended bool, now clock.Millis) bool {
	if t.record().suspicion != unsuspected || !t.wouldBeFar(w) {
		return false
	}
	run := t.step.expectedRunTime(now).time
	f := p.forecastOf(t.step.rack, now)
	place, in := f.find(t.needs(), func(o *workerForecast) bool { return o.mayTake(t) })
	if !p.decideWait(t, in, f.waiting, contended, now) {
		return false
	}
	place.reserve(t.step, in, in+run)
	f.waiting++
	return true
}

// gangAwaitsRack decides whether a gang that would start with some of its tasks far waits until its rack
// can take all of them. It is the only function that keeps a gang waiting for a rack.
func (p *Pool) gangAwaitsRack(s *stepRun, contended bool, now clock.Millis) bool {
	var best *rackForecast
	in := locality.Never
	try := func(rack fleet.RackID) {
		f := p.forecastOf(rack, now).clone()
		if at := p.reserveGang(f, s, now); at >= 0 && (best == nil || at < in) {
			best, in, s.rack = f, at, rack
		}
	}
	switch w := s.tasks[0].wait; {
	case s.spec.DataRack != "":
		try(s.spec.DataRack)
	case w != nil:
		try(w.Rack)
	}
	if best == nil && s.spec.DataRack == "" {
		for _, rack := range p.racks() {
			try(rack)
		}
	}
	waiting := 0
	if best != nil {
		waiting = best.waiting
	}
	if !p.decideWait(&s.tasks[0], in, waiting, contended, now) {
		return false
	}
	best.waiting++
	p.forecasts[s.rack] = best
	return true
}

// reserveGang reserves places for all tasks of a gang and returns when all of them are free, or
// locality.Never.
func (p *Pool) reserveGang(f *rackForecast, s *stepRun, now clock.Millis) clock.Millis {
	last, run := clock.Millis(0), s.expectedRunTime(now).time
	for i := range s.tasks {
		t := &s.tasks[i]
		wf, in := f.find(t.needs(), func(o *workerForecast) bool { return o.mayTake(t) })
		if wf == nil {
			return locality.Never
		}
		wf.reserve(s, in, in+locality.MaxWait+run)
		last = max(last, in)
	}
	return last
}

// racks returns the racks of the pool's workers.
func (p *Pool) racks() []fleet.RackID {
	var out []fleet.RackID
	for _, w := range p.sortedWorkers {
		if !slices.Contains(out, w.Rack) {
			out = append(out, w.Rack)
		}
	}
	return out
}

// decideWait decides whether a task, or a gang at its first task, waits for a place on its rack that is
// expected to become free after expected. It records the begin of the wait, or why it ends.
func (p *Pool) decideWait(t *task, expected clock.Millis, before int, contended bool, now clock.Millis) bool {
	s := t.step
	_, lateAfter := s.latestStarts(now)
	c := locality.Choice{
		Run: s.expectedRunTime(now).time, FarFactor: p.FarFactor, Expected: expected, Slack: lateAfter - now, Contended: contended,
	}
	if s.spec.SameRack && s.waitingTasks < len(s.tasks) {
		c.Contended = true // a far task slows down those of its step that run
	}
	if t.wait != nil {
		c.Begun, c.Waited = true, now-t.wait.since
	}
	d := p.DecideWait(c)
	if !d.Wait && t.wait == nil {
		return false
	}
	if t.wait == nil {
		if len(p.placeWaits) >= maxPlaceWaits {
			return false
		}
		t.wait = &placeWait{since: now}
		p.placeWaits = append(p.placeWaits, t)
	}
	t.wait.PlaceWait = PlaceWait{
		Rack: s.rack, Run: c.Run, FarFactor: c.FarFactor, Expected: expected, Before: before, Slack: c.Slack, Contended: c.Contended,
		Limit: d.Limit, Waited: c.Waited, Reason: d.Reason,
	}
	if !c.Begun {
		p.emit(Event{Kind: "place_wait_begun", Task: t.ref(), Run: t.run, Wait: t.wait.copy()})
	}
	return d.Wait
}

// copy returns a copy of the description of the wait.
func (w *placeWait) copy() *PlaceWait {
	c := w.PlaceWait
	return &c
}

// endWait records that a task's wait for a near place has ended, if it waited. w is the worker on which
// the task starts.
func (p *Pool) endWait(t *task, w *worker, outcome string, now clock.Millis) {
	if t.wait == nil {
		return
	}
	e := Event{Kind: "place_wait_ended", Task: t.ref(), Run: t.run, Wait: t.wait.copy()}
	e.Wait.Outcome, e.Wait.Waited = outcome, now-t.wait.since
	if outcome != waitGaveUp {
		e.Wait.Reason = ""
	}
	if w != nil {
		e.Worker = w.ID
	}
	t.wait = nil
	p.emit(e)
}

// sweepWaits ends the waits of tasks that do not wait for a start any more.
func (p *Pool) sweepWaits(now clock.Millis) {
	p.placeWaits = slices.DeleteFunc(p.placeWaits, func(t *task) bool {
		if t.wait != nil && t.state != waiting && t.state != recording {
			p.endWait(t, nil, waitWithdrawn, now)
		}
		return t.wait == nil
	})
}
