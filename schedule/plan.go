package schedule

import (
	"cmp"
	"slices"

	"citronknot/clock"
)

// Plan decides what to order now and returns it. wall is the time of day, by which timed jobs
// are due. The returned orders are to be sent once each.
func (p *Pool) Plan(now, wall clock.Millis) []Order {
	p.due(now, wall)
	p.overdue(now)
	p.paceAll(now)
	p.emptyAll(now)
	p.place(now)
	out := p.orders
	p.orders = nil
	return out
}

// due creates the occurrences whose time has come.
func (p *Pool) due(now, wall clock.Millis) {
	p.timed = slices.DeleteFunc(p.timed, func(j *Job) bool {
		for !j.state.Final() && j.next < j.Runs && j.Due(j.next) <= wall {
			p.occur(j, j.next, now)
			j.next++
		}
		return j.state.Final() || j.next == j.Runs
	})
}

// overdue withdraws starts that were not answered and repeats stops that had no effect.
func (p *Pool) overdue(now clock.Millis) {
	for t := range p.starts {
		if now-t.since > p.StartWait {
			p.stop(t, StopUnanswered, now)
		}
	}
	for t := range p.stops {
		if !t.stopAnswered && now-t.stopSent > p.StopRepeat {
			t.stopSent = now
			p.orderStop(t)
		}
	}
}

// rank is the order in which steps are served when not all can be.
type rank struct {
	class    int8
	priority int
	latest   clock.Millis // latest start that still meets the objective
}

// The classes of steps, first served first. Tasks that last come first: they are few, stay for
// long, and each second without them counts. Steps that can no longer end within their
// objective come last, since they are worth a small part of the others.
const (
	classLasting int8 = iota
	classBegun
	classFeasible
	classLate
)

func (s *stepRun) rank(now clock.Millis) rank {
	j := s.job
	r := rank{priority: j.terms.Priority}
	if s.spec.LongRunning {
		return r
	}
	o := j.occurrenceOf(s)
	r.latest = j.objective - o.remaining(now)
	if j.Runs > 0 {
		r.latest = now
	}
	switch {
	case now > r.latest+lateMargin:
		r.class = classLate
	case j.begun:
		r.class = classBegun
	default:
		r.class = classFeasible
	}
	return r
}

// lateMargin is the delay after which a step counts as late: estimates are rough, and a step
// given up too early loses its full worth.
const lateMargin clock.Millis = 150

func (j *Job) occurrenceOf(s *stepRun) *occurrence {
	for _, o := range j.runs {
		if o.index == s.occurrence {
			return o
		}
	}
	return nil
}

type ranked struct {
	rank
	step *stepRun
}

func compareRanked(a, b ranked) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.latest, b.latest),
		cmp.Compare(a.step.job.arrived, b.step.job.arrived),
		cmp.Compare(a.step.job.ID, b.step.job.ID),
	)
}

// place starts waiting tasks where there is room.
func (p *Pool) place(now clock.Millis) {
	p.held = false
	p.ready = slices.DeleteFunc(p.ready, func(s *stepRun) bool {
		s.listed = s.waiting > 0 && !s.job.state.Final()
		return !s.listed
	})
	if len(p.ready) == 0 {
		return
	}
	list := make([]ranked, len(p.ready))
	for i, s := range p.ready {
		list[i] = ranked{rank: s.rank(now), step: s}
	}
	slices.SortFunc(list, compareRanked)
	for i := range list {
		if p.full() {
			return
		}
		s := list[i].step
		if s.spec.Gang {
			p.placeGang(s, now)
		} else {
			p.placeStep(s, now)
		}
	}
}

func (p *Pool) placeStep(s *stepRun, now clock.Millis) {
	if s.job.terms.Advised {
		p.ask(s, now)
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != waiting {
			continue
		}
		if !p.allowed(s, 1) || p.full() {
			return
		}
		w := p.choose(t, now)
		if w == nil {
			if len(t.failedOn) == 0 {
				return // the other tasks of the step need the same
			}
			continue
		}
		p.start(t, w, max(t.run, p.RunBase)+1, now)
	}
}

// allowed reports whether a team may have n more tasks of a step running. It is the one place
// that enforces a team's limit in a pool.
func (p *Pool) allowed(s *stepRun, n int64) bool {
	if s.job.Team == "" || p.Limited == nil || !p.Limited(s.job.Team) {
		return true
	}
	return p.used[s.job.Team].Add(s.spec.Needs.Scale(n)).Fits(p.allowance[s.job.Team])
}

func (p *Pool) start(t *task, w *worker, run int, now clock.Millis) {
	t.run = run
	t.percent, t.doubted = 0, false
	p.occupy(t, w, starting, now)
	p.orders = append(p.orders, Order{
		Kind: Start, Worker: w.ID, Born: w.Born, Task: t.ref(), Run: run, Spec: t.step.job.Spec, Saved: t.saved,
		Ticket: t.step.advice.ticket(w),
	})
}

// placeGang starts all tasks of a gang or none.
func (p *Pool) placeGang(s *stepRun, now clock.Millis) {
	if s.job.terms.Advised {
		p.ask(s, now)
	}
	if s.waiting < len(s.tasks) || !p.allowed(s, int64(len(s.tasks))) {
		return
	}
	run := s.nextRun(p.RunBase)
	saved := ""
	for i := range s.tasks {
		saved = max(saved, s.tasks[i].saved)
	}
	chosen := make([]*worker, 0, len(s.tasks))
	for i := range s.tasks {
		t := &s.tasks[i]
		w := p.choose(t, now)
		if w == nil {
			break
		}
		w.take(t) // so that the next choice sees it
		chosen = append(chosen, w)
	}
	for i, w := range chosen {
		w.release(&s.tasks[i])
	}
	if len(chosen) < len(s.tasks) {
		return
	}
	for i, w := range chosen {
		s.tasks[i].saved = saved
		p.start(&s.tasks[i], w, run, now)
	}
}

// choose returns the best worker for a task, or nil if none may take it now. It is the one
// place that enforces capacity, labels and the bound on tasks of a step on one worker.
func (p *Pool) choose(t *task, now clock.Millis) *worker {
	var best *worker
	var bestCost int64
	needs := t.needs()
	spec := t.step.spec
	packed := !spec.Fills && !spec.LongRunning
	candidates := p.order
	if packed {
		candidates = p.rooms.from(needs.CPU)
	}
	for _, w := range candidates {
		if !w.open(now) || !w.hasLabel(t.step.spec.Label) || !needs.Fits(w.free()) {
			continue
		}
		if t.step.job.terms.Advised && !t.step.advice.allows(w, now) {
			continue
		}
		siblings := 0
		if t.step.spec.MaxPerWorker > 0 || t.step.spec.LongRunning {
			siblings = t.step.on(w)
		}
		if m := t.step.spec.MaxPerWorker; m > 0 && siblings >= m {
			continue
		}
		cost := p.cost(t, w, siblings)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
		if packed && bestCost < costSibling {
			break // no reason against it, and those that follow have more room
		}
	}
	return best
}

// on counts the tasks of the step that occupy a worker.
func (s *stepRun) on(w *worker) int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].worker == w {
			n++
		}
	}
	return n
}

// Costs of a placement, in steps that no sum of the lower ones reaches.
const (
	costFailed  = 1 << 50 // the task failed there before
	costFar     = 1 << 45 // away from the data or from the rest of the step
	costSibling = 1 << 38 // a task that lasts beside another of its step
	costDisturb = 1 << 32 // tasks that fill beside tasks that serve
)

// cost compares workers for a task: the lowest is the best. Tasks that end are packed on the
// fullest workers, which leaves others empty for wide tasks, moves and maintenance.
func (p *Pool) cost(t *task, w *worker, siblings int) int64 {
	var c int64
	if t.failedOn[w] {
		c += costFailed
	}
	spec := t.step.spec
	if spec.DataRack != "" && spec.DataRack != w.Rack {
		c += costFar
	}
	if spec.SameRack && t.step.otherRack(w) {
		c += costFar
	}
	free := w.free()
	switch {
	case spec.Fills:
		c += int64(w.serving())*costDisturb + int64(w.filling())*costDisturb/4 + int64(len(w.tasks))
	case spec.LongRunning:
		c += int64(siblings)*costSibling + w.used.CPU
	default:
		c += free.CPU
	}
	return c
}

func (s *stepRun) otherRack(w *worker) bool {
	for i := range s.tasks {
		if o := s.tasks[i].worker; o != nil && o.Rack != w.Rack {
			return true
		}
	}
	return false
}

func (w *worker) serving() int {
	n := 0
	for t := range w.tasks {
		if t.step.spec.TailTarget > 0 {
			n++
		}
	}
	return n
}

func (w *worker) filling() int {
	n := 0
	for t := range w.tasks {
		if t.step.spec.Fills {
			n++
		}
	}
	return n
}

// Bounds of the control that protects tasks that serve from tasks that fill: the share of the
// target at which the fill is halved, the one below which it grows, and the steps.
const (
	paceHigh  = 80 // percent of the target
	paceLow   = 55
	paceRaise = 10 // percent points
	paceEvery = clock.Millis(400)
	paceMin   = 1
)

// paceAll slows tasks that fill on workers whose tasks that serve come near their target.
func (p *Pool) paceAll(now clock.Millis) {
	if p.fills == 0 {
		return
	}
	for _, w := range p.order {
		if w.reachable && w.serving() > 0 && w.filling() > 0 {
			p.pace(w, now)
		}
	}
}

func (p *Pool) pace(w *worker, now clock.Millis) {
	var worst int64
	fresh := true
	for t := range w.tasks {
		if target := t.step.spec.TailTarget; target > 0 && t.state == running {
			worst = max(worst, int64(t.tail)*100/int64(target))
			fresh = fresh && now-t.tailSeen < 2*paceEvery+clock.Millis(1000)
		}
	}
	for t := range w.tasks {
		if !t.step.spec.Fills || t.state != running || now-t.paceAt < paceEvery {
			continue
		}
		have := t.pacePercent()
		want := have
		switch {
		case !fresh || worst >= 100:
			want = have / 4
		case worst >= paceHigh:
			want = have / 2
		case worst < paceLow:
			want = have + paceRaise
		}
		want = min(100, max(paceMin, want))
		if want == have {
			continue
		}
		t.paceAt, t.pace = now, want
		p.orders = append(p.orders, Order{Kind: Pace, Worker: w.ID, Born: w.Born, Task: t.ref(), Run: t.run, Percent: want})
	}
}

// pacePercent returns the share at which the task was last told to work.
func (t *task) pacePercent() int {
	if t.pace == 0 {
		return 100
	}
	return t.pace
}

// waitingTasks counts the tasks that wait for a worker.
func (p *Pool) waitingTasks() int {
	n := 0
	for _, s := range p.ready {
		n += s.waiting
	}
	return n
}
