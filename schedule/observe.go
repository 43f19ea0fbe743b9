package schedule

import (
	"cmp"
	"fmt"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// SetWorker takes in a worker's description. Another incarnation under the same id ends all
// that ran on the former one.
func (p *Pool) SetWorker(d Worker, now clock.Millis) {
	w := p.workers[d.ID]
	if w != nil && w.Born != d.Born {
		p.LoseWorker(d.ID, "another incarnation", now)
		w = nil
	}
	if w == nil {
		w = &worker{Worker: Worker{ID: d.ID}, tasks: map[*task]bool{}, rooms: &p.rooms}
		p.workers[d.ID] = w
		i, _ := slices.BinarySearchFunc(p.order, d.ID, func(o *worker, id fleet.InstanceID) int { return cmp.Compare(o.ID, id) })
		p.order = slices.Insert(p.order, i, w)
		p.rooms.add(w)
		p.note(Event{Kind: "worker_found", Worker: d.ID})
	}
	if d.Draining && !w.Draining {
		p.note(Event{Kind: "worker_draining", Worker: d.ID})
	}
	changed := d.Draining != w.Draining
	w.Worker = d
	w.lost = false
	p.rooms.update(w)
	if changed {
		p.countLeaving()
	}
}

// Unlist says that a worker's entry is gone. What runs on it may run on until its lease ends.
func (p *Pool) Unlist(id fleet.InstanceID) {
	if w := p.workers[id]; w != nil && !w.lost {
		w.lost = true
		p.note(Event{Kind: "worker_unlisted", Worker: id})
	}
}

// LoseWorker says that nothing runs on a worker any more, with certainty. It is the one place
// that ends runs without their worker's word.
func (p *Pool) LoseWorker(id fleet.InstanceID, why string, now clock.Millis) {
	w := p.workers[id]
	if w == nil {
		return
	}
	delete(p.workers, id)
	p.order = slices.DeleteFunc(p.order, func(o *worker) bool { return o == w })
	p.rooms.remove(w)
	p.countLeaving()
	p.note(Event{Kind: "worker_lost", Worker: id, Detail: why})
	p.emptied(w, now)
}

// Lapse says that the leases of all that ran on a worker have ended. The worker stays known.
func (p *Pool) Lapse(id fleet.InstanceID, now clock.Millis) {
	if w := p.workers[id]; w != nil && len(w.tasks) > 0 {
		p.note(Event{Kind: "worker_lapsed", Worker: id})
		p.emptied(w, now)
	}
}

func (p *Pool) emptied(w *worker, now clock.Millis) {
	for t := range w.tasks {
		p.leave(t)
		p.afterEnd(t, now)
	}
}

// SetReachable says whether a worker answers.
func (p *Pool) SetReachable(id fleet.InstanceID, yes bool) {
	if w := p.workers[id]; w != nil && w.reachable != yes {
		w.reachable = yes
		kind := "worker_unreachable"
		if yes {
			kind = "worker_reachable"
		}
		p.note(Event{Kind: kind, Worker: id})
	}
}

// Observe takes in a worker's answer to a look under this tenure's fence.
func (p *Pool) Observe(id fleet.InstanceID, r Report, now clock.Millis) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.answered = true
	if len(r.Ended) > 0 {
		w.fullUntil = 0
	}
	for i := range r.Ended {
		p.end(w, &r.Ended[i], now)
	}
	for i := range r.Running {
		p.seen(w, &r.Running[i], r.Asked, now)
	}
	p.resolve(w, &r, now)
}

// resolve frees tasks whose start is known not to have arrived and never to arrive: their stop
// was answered before the look was sent, and the worker lists no such run.
func (p *Pool) resolve(w *worker, r *Report, now clock.Millis) {
	for t := range w.tasks {
		if t.state != stopping || !t.stopAnswered || t.answeredAt > r.Asked {
			continue
		}
		if !slices.ContainsFunc(r.Running, func(x RunReport) bool { return x.Task == t.ref() && x.Run == t.run }) {
			p.leave(t)
			p.afterEnd(t, now)
		}
	}
}

func (p *Pool) find(ref job.Ref) *task {
	j := p.jobs[ref.Job]
	if j == nil {
		return nil
	}
	for _, o := range j.runs {
		if o.index == ref.Occurrence && ref.Step < len(o.steps) && ref.Index < len(o.steps[ref.Step].tasks) {
			return &o.steps[ref.Step].tasks[ref.Index]
		}
	}
	return nil
}

// seen takes in one run that a worker lists as running.
func (p *Pool) seen(w *worker, r *RunReport, asked, now clock.Millis) {
	t := p.find(r.Task)
	if t != nil && t.worker == w && t.run == r.Run {
		t.doubted = t.doubted && asked-t.adopted < p.StopTime
		p.progressed(t, r, now)
		return
	}
	if t != nil && t.worker == nil && !t.step.job.state.Final() && (t.state == unproven || t.state == waiting || t.state == blocked) {
		p.adopt(t, w, r, now)
		return
	}
	p.note(Event{Kind: "run_not_expected", Task: r.Task, Run: r.Run, Worker: w.ID})
	p.orders = append(p.orders, Order{Kind: Stop, Worker: w.ID, Born: w.Born, Task: r.Task, Run: r.Run, Reason: StopUnknown})
}

// adopt takes over a run that an earlier tenure started and may have stopped just now.
func (p *Pool) adopt(t *task, w *worker, r *RunReport, now clock.Millis) {
	t.run = r.Run
	t.doubted, t.adopted = p.StopTime > 0, now
	p.occupy(t, w, running, now)
	t.step.job.begun = true
	p.progressed(t, r, now)
	p.note(Event{Kind: "run_adopted", Task: r.Task, Run: r.Run, Worker: w.ID})
}

func (p *Pool) progressed(t *task, r *RunReport, now clock.Millis) {
	if t.state == starting {
		p.begin(t, now)
	}
	if r.Saved != "" {
		t.saved = r.Saved
	}
	t.percent = r.Percent
	if t.step.spec.TailTarget > 0 {
		t.tail, t.tailSeen = clock.Millis(r.Load), now
	}
}

// begin notes that a start took effect.
func (p *Pool) begin(t *task, now clock.Millis) {
	delete(p.starts, t)
	t.enter(running, now)
	j := t.step.job
	if !j.begun {
		j.begun = true
		if j.state == job.Queued {
			j.state, j.shown = job.Running, job.Running
		}
	}
}

// end takes in one end that a worker lists.
func (p *Pool) end(w *worker, e *EndReport, now clock.Millis) {
	t := p.find(e.Task)
	if t == nil {
		return
	}
	current := t.worker == w && t.run == e.Run
	if current {
		p.leave(t)
	}
	if e.Saved != "" && e.Run >= t.run {
		t.saved = e.Saved
	}
	if t.state == unproven && e.Run >= t.run {
		t.run = e.Run
	}
	p.note(Event{Kind: "run_ended", Task: e.Task, Run: e.Run, Worker: w.ID, Detail: e.Kind.String()})
	switch {
	case t.state == done:
	case e.Kind == EndDone:
		w.succeeded()
		p.taskDone(t, now)
	case e.Kind == EndFailed:
		p.taskFailed(t, w, e.Run, current, now)
	case current:
		p.afterEnd(t, now)
	}
}

// afterEnd lets a task that was freed start again, unless its job is final. The end of an
// earlier run does not say that a newer one does not run where nobody has looked yet. A run can
// be adopted, and end, before the earlier steps are known to be done.
func (p *Pool) afterEnd(t *task, now clock.Millis) {
	switch {
	case t.state == done || t.state == spent || t.state == unproven:
	case t.step.job.state.Final() || t.step.blockedBy > 0:
		t.enter(blocked, now)
	default:
		p.requeue(t, now)
	}
}

func (p *Pool) taskDone(t *task, now clock.Millis) {
	s, j := t.step, t.step.job
	if s.spec.LongRunning {
		if t.worker == nil {
			p.afterEnd(t, now)
		}
		return
	}
	p.markDone(t, now)
	if s.spec.Gang { // one end stands for all members of the run
		for i := range s.tasks {
			p.markDone(&s.tasks[i], now)
		}
	}
	p.touch(j)
	if !s.finished() {
		return
	}
	p.stepDone(j, s, now)
}

// markDone is the one place that makes a task done; it never starts again.
func (p *Pool) markDone(t *task, now clock.Millis) {
	if t.state == done {
		return
	}
	if t.state == waiting {
		t.step.waiting--
	}
	if t.worker != nil && t.run != 0 && !t.step.spec.Gang {
		// Another run of a task that is done: an older run's end came late.
		p.orders = append(p.orders, Order{Kind: Stop, Worker: t.worker.ID, Born: t.worker.Born, Task: t.ref(), Run: t.run, Reason: StopUnknown})
	}
	delete(p.stops, t)
	delete(p.starts, t)
	t.enter(done, now)
	t.step.done++
	t.step.job.progress.MarkDone(t.position())
}

func (p *Pool) stepDone(j *Job, s *stepRun, now clock.Millis) {
	for _, o := range j.runs {
		if o.index != s.occurrence {
			continue
		}
		o.left--
		for _, later := range o.steps {
			if slices.Contains(later.spec.After, s.index) {
				later.blockedBy--
				if later.blockedBy == 0 && !j.state.Final() {
					p.unblock(later, now)
				}
			}
		}
		if o.left == 0 {
			p.completeOccurrence(j, now)
		}
		return
	}
}

// completeOccurrence counts an occurrence of which all steps are done; the last one completes the
// job.
func (p *Pool) completeOccurrence(j *Job, now clock.Millis) {
	j.complete++
	if j.complete == j.Occurrences() && !j.state.Final() {
		p.finish(j, job.Complete, fmt.Sprintf("all tasks are done after %d ms; the objective was %d ms", now-j.arrived, j.objective-j.arrived), now)
	}
}

func (p *Pool) taskFailed(t *task, w *worker, run int, current bool, now clock.Millis) {
	s, j := t.step, t.step.job
	if t.failedOn == nil {
		t.failedOn = map[*worker]bool{}
	}
	if len(t.failedOn) == 0 {
		w.failed(now)
	}
	t.failedOn[w] = true
	if s.spec.LongRunning {
		if current || t.worker == nil {
			p.afterEnd(t, now)
		}
		return
	}
	at := t.position()
	if s.spec.Gang {
		at.Index = 0
	}
	failures := j.progress.AddFailure(at, run)
	p.touch(j)
	switch {
	case j.state.Final():
	case failures >= j.attempts():
		if t.state == waiting {
			s.waiting--
		}
		t.enter(spent, now)
		p.finish(j, job.Failed, "a task failed as often as the queue allows", now)
	case t.step.blockedBy == 0 && t.worker == nil && j.recovered && !p.settled:
		t.enter(unproven, now) // workers that have not answered may list more failures
	case current || t.worker == nil:
		p.afterEnd(t, now)
	}
}

// Answered takes in the outcome of an order.
func (p *Pool) Answered(o Order, out Outcome, now clock.Millis) {
	w := p.workers[o.Worker]
	t := p.find(o.Task)
	if w == nil || t == nil || w.Born != o.Born || t.worker != w || t.run != o.Run {
		return
	}
	switch {
	case o.Kind == Start && t.state == starting:
		p.startAnswered(t, w, out, now)
	case o.Kind == Stop && t.state == stopping && out == Accepted && !t.stopAnswered:
		t.stopAnswered, t.answeredAt = true, now
	}
}

func (p *Pool) startAnswered(t *task, w *worker, out Outcome, now clock.Millis) {
	switch out {
	case Accepted:
		p.begin(t, now)
		return
	case Unanswered:
		p.stop(t, StopUnanswered, now)
		return
	case NoRoom:
		w.fullUntil = now + fullFor
	case OldRun:
		t.step.raise(t.run)
	case BadTicket:
		delete(t.step.advice.tickets, w)
	case Refused:
		w.failed(now)
	}
	p.leave(t)
	p.afterEnd(t, now)
	if t.step.spec.Gang {
		p.breakGang(t.step, now)
	}
}

// raise lets the next run number of a step exceed one that a worker called old.
func (s *stepRun) raise(run int) {
	for i := range s.tasks {
		s.tasks[i].run = max(s.tasks[i].run, run)
	}
}

// breakGang stops the members of a gang of which one could not start, before they wait in vain.
func (p *Pool) breakGang(s *stepRun, now clock.Millis) {
	for i := range s.tasks {
		p.stop(&s.tasks[i], StopGang, now)
	}
}
