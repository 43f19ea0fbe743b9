package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// Plan decides what to order now and returns the orders, each of which is to be sent once. now
// is on the owner's clock; wall is the time of day, which decides when timed jobs are due.
func (p *Pool) Plan(now, wall clock.Millis) []Order {
	p.createDueOccurrences(now, wall)
	p.handleOverdueOrders(now)
	p.paceAll(now)
	p.evictFromLeavingWorkers(now)
	p.runTrials(now)
	p.placeWaitingTasks(now)
	out := p.orders
	p.orders = nil
	return out
}

// createDueOccurrences creates the occurrences of timed jobs that are due, and removes those that are
// complete. If many are due at once, the later ones wait, so that no job takes all memory.
func (p *Pool) createDueOccurrences(now, wall clock.Millis) {
	p.timedJobs = slices.DeleteFunc(p.timedJobs, func(j *Job) bool {
		j.removeCompleteOccurrences()
		for !j.state.Final() && j.nextOccurrence < j.Runs && j.Due(j.nextOccurrence) <= wall && j.mayCreateOccurrence() {
			if !j.progress.IsComplete(j.nextOccurrence) {
				p.createOccurrence(j, j.nextOccurrence, now)
			}
			j.nextOccurrence++
		}
		return j.state.Final()
	})
}

// handleOverdueOrders withdraws starts that have no response after StartWait and repeats stops
// that have none after StopRepeat.
func (p *Pool) handleOverdueOrders(now clock.Millis) {
	for t := range p.startingTasks {
		if now-t.stateSince > p.StartWait {
			p.stop(t, StopUnanswered, now)
		}
	}
	for t := range p.stoppingTasks {
		if !t.stopAccepted && now-t.stopSentAt > p.StopRepeat {
			t.stopSentAt = now
			p.orderStop(t)
		}
	}
}

// rank orders steps when capacity does not suffice for all of them.
type rank struct {
	class       int8
	priority    int
	tight       bool         // of a job that has not started: little of its slack is left
	latestStart clock.Millis // latest start that still meets the objective
}

// The classes of steps, in the order in which they are served. Long-running tasks come first:
// they are few, run for long, and each second in which they do not run counts. Steps that can no
// longer end within their objective come last, since late jobs have a small part of the value of
// the others.
const (
	classLongRunning int8 = iota
	classStarted
	classFeasible
	classLate
)

// rank returns the step's rank at now.
func (s *stepRun) rank(now clock.Millis) rank {
	j := s.job
	r := rank{priority: j.policy.Priority}
	if s.spec.LongRunning {
		return r
	}
	o := j.occurrenceOf(s)
	r.latestStart = j.objective - o.remainingCriticalPath(now)
	if j.Runs > 0 { // the objective counts from acceptance, which does not fit later occurrences
		r.latestStart = now
	}
	switch {
	case now > r.latestStart+lateMargin:
		r.class = classLate
	case j.started:
		r.class = classStarted
	default:
		r.class = classFeasible
		r.tight = now > r.latestStart-j.reserve()
	}
	return r
}

// reservePercent is the part of a job's slack, in percent, that is kept for delays after its first
// start. In an overloaded pool, the steps that are closest to their latest start would be served
// first if none was kept: each of them would start when it is about to be late, and hardly any job
// would meet its objective.
const reservePercent = 40

// reserve returns the part of the job's slack that is kept for delays after its first start.
func (j *Job) reserve() clock.Millis {
	return max(0, j.objective-j.acceptedAt-j.criticalPath) * reservePercent / 100
}

// lateMargin is the delay after which a step counts as late. Estimates are rough, and a job whose
// step is classed as late too early loses its full value.
const lateMargin clock.Millis = 150

// occurrenceOf returns the occurrence that a step belongs to, or nil.
func (j *Job) occurrenceOf(s *stepRun) *occurrence {
	for _, o := range j.occurrences {
		if o.index == s.occurrence {
			return o
		}
	}
	return nil
}

// placeWaitingTasks starts waiting tasks on workers with free capacity, in the order of their
// steps' ranks.
func (p *Pool) placeWaitingTasks(now clock.Millis) {
	p.startsDeferred, p.searches = false, 0
	p.ready.update(now)
	var full noCapacity
	p.fullApart = noCapacity{}
	for i := range p.ready.ranked {
		if p.startLimitReached() {
			return
		}
		r := &p.ready.ranked[i]
		if full.covers(r.needs) || !r.step.isReady() {
			continue
		}
		placed := true
		if r.step.spec.Gang {
			p.placeGang(r.step, now)
		} else {
			placed = p.placeStep(r, now)
		}
		if !placed {
			full.record(r)
		}
	}
	p.full = full.known
}

// placeStep starts the waiting tasks of a step for which there is a worker. It returns false if a
// task that has not failed before and is not suspected found no worker, so that the capacity of the
// pool is used up for tasks like it.
func (p *Pool) placeStep(r *rankedStep, now clock.Millis) bool {
	s := r.step
	if s.job.policy.Advised {
		p.requestAdvice(s, now)
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != waiting || t.startsAlone() || (t.suspicion == startApart && p.fullApart.covers(r.needs)) {
			continue
		}
		if !p.withinAllowance(s, 1) || p.startLimitReached() {
			return true
		}
		w := p.chooseWorker(t, now)
		if w == nil {
			switch {
			case t.suspicion == startApart:
				p.fullApart.record(r)
			case len(t.failedOn) == 0:
				return false // the other tasks of the step have the same needs
			}
			continue
		}
		if t.suspicion == startApart {
			p.recordApart(t, w, now)
			continue
		}
		p.start(t, w, max(t.run, p.RunBase)+1, now)
	}
	return true
}

// withinAllowance reports whether a team may have n more tasks of a step running.
func (p *Pool) withinAllowance(s *stepRun, n int64) bool {
	return p.withinAllowanceFor(s.job.Team, s.spec.Needs.Scale(n))
}

// withinAllowanceFor reports whether a team may use more of the pool. It is the only function that
// enforces a team's limit in a pool.
func (p *Pool) withinAllowanceFor(team fleet.TeamID, needs job.Resources) bool {
	if team == "" || p.Limited == nil || !p.Limited(team) {
		return true
	}
	return p.usedByTeam[team].Add(needs).Fits(p.allowanceByTeam[team])
}

// start assigns a task to a worker and orders the start of a run.
func (p *Pool) start(t *task, w *worker, run int, now clock.Millis) {
	t.run = run
	t.percent, t.mayBeStopping, t.orderedAt = 0, false, now
	p.assign(t, w, starting, now)
	p.orders = append(p.orders, Order{
		Kind: Start, Worker: w.ID, Incarnation: w.Incarnation, Task: t.ref(), Run: run, Spec: t.step.job.Spec, Checkpoint: t.checkpoint,
		Ticket: t.step.advice.ticket(w),
	})
}

// placeGang starts all tasks of a gang, or none. All tasks get the same run number and
// checkpoint.
func (p *Pool) placeGang(s *stepRun, now clock.Millis) {
	if s.job.policy.Advised {
		p.requestAdvice(s, now)
	}
	if s.waitingTasks < len(s.tasks) || s.tasks[0].startsAlone() || !p.withinAllowance(s, int64(len(s.tasks))) {
		return
	}
	run := s.nextRun(p.RunBase)
	checkpoint := s.newestCheckpoint()
	chosen := make([]*worker, 0, len(s.tasks))
	for i := range s.tasks {
		t := &s.tasks[i]
		w := p.chooseWorker(t, now)
		if w == nil {
			break
		}
		w.reserve(t) // so that the next choice takes it into account
		chosen = append(chosen, w)
	}
	for i, w := range chosen {
		w.release(&s.tasks[i])
	}
	if len(chosen) < len(s.tasks) {
		return
	}
	for i, w := range chosen {
		s.tasks[i].checkpoint = checkpoint
		p.start(&s.tasks[i], w, run, now)
	}
}

// eligible reports whether a worker may take a task, if it has the capacity, and how many of the
// step's tasks run there, if the step is long-running or limits them. It is the only function that
// enforces labels, advice and the limit on tasks of a step on one worker.
func (p *Pool) eligible(t *task, w *worker, now clock.Millis) (siblings int, ok bool) {
	spec := t.step.spec
	if !w.acceptsStarts(now) || !w.hasLabel(spec.Label) {
		return 0, false
	}
	if t.step.job.policy.Advised && !t.step.advice.allows(w, now) {
		return 0, false
	}
	if spec.MaxPerWorker > 0 || spec.LongRunning {
		siblings = t.step.countOn(w)
	}
	return siblings, spec.MaxPerWorker == 0 || siblings < spec.MaxPerWorker
}

// chooseWorker returns the best worker for a task, or nil if none can take it now. Only it and
// [Pool.hasRoom] enforce capacity.
func (p *Pool) chooseWorker(t *task, now clock.Millis) *worker {
	var best *worker
	var bestCost int64
	p.searches++
	needs := t.needs()
	spec := t.step.spec
	packed := !spec.BestEffort && !spec.LongRunning && t.unit().suspicion == unsuspected
	candidates := p.sortedWorkers
	if packed {
		candidates = p.byFreeCPU.withFreeCPU(needs.CPU)
	}
	for _, w := range candidates {
		if !needs.Fits(w.free()) {
			continue
		}
		siblings, ok := p.eligible(t, w, now)
		if !ok || p.starterBusy(w) || (t.unit().suspicion == startApart && !p.mayStartApart(t, w, now)) {
			continue
		}
		cost := p.cost(t, w, siblings, now)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
		if packed && bestCost < costSibling {
			break // the workers that follow have more free CPU, so none is better
		}
	}
	return best
}

// countOn returns the number of tasks of the step that occupy a worker.
func (s *stepRun) countOn(w *worker) int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].worker == w {
			n++
		}
	}
	return n
}

// Costs of a placement. No sum of the lower ones reaches the next higher one.
const (
	costFailedBefore = 1 << 50 // the task failed on the worker before
	costSuspect      = 1 << 48 // a suspected task runs on the worker, or one of another job was just started there
	costOtherRack    = 1 << 45 // on another rack than the data or the rest of the step
	costSibling      = 1 << 38 // a long-running task on the same worker as another of its step
	costInterference = 1 << 32 // a best-effort task on the same worker as a serving task
)

// cost returns the cost of placing a task on a worker; the lowest cost is best. Tasks that end
// on their own are packed on the fullest workers, which leaves others empty for wide tasks,
// moves and maintenance. siblings is the number of the step's tasks on the worker, if the step
// is long-running or limits it.
func (p *Pool) cost(t *task, w *worker, siblings int, now clock.Millis) int64 {
	var c int64
	if t.failedOn[w] {
		c += costFailedBefore
	}
	suspected := t.unit().suspicion != unsuspected
	switch {
	case !suspected && w.suspects > 0:
		c += costSuspect
	case !suspected || !w.hasStartedApart(now):
	case slices.Contains(w.apartJobs, t.step.job):
		c -= costSuspect // tasks of a job start together
	default:
		c += costSuspect
	}
	spec := t.step.spec
	if spec.DataRack != "" && spec.DataRack != w.Rack {
		c += costOtherRack
	}
	if spec.SameRack && t.step.usesOtherRack(w) {
		c += costOtherRack
	}
	free := w.free()
	switch {
	case spec.BestEffort:
		c += int64(w.countServing())*costInterference + int64(w.countBestEffort())*costInterference/4 + int64(len(w.tasks))
	case spec.LongRunning:
		c += int64(siblings)*costSibling + w.used.CPU
	case suspected:
		c += int64(len(w.tasks)-w.suspects)*costInterference + w.used.CPU
	default:
		c += free.CPU
	}
	return c
}

// usesOtherRack reports whether a task of the step occupies a worker on another rack than w.
func (s *stepRun) usesOtherRack(w *worker) bool {
	for i := range s.tasks {
		if o := s.tasks[i].worker; o != nil && o.Rack != w.Rack {
			return true
		}
	}
	return false
}

// countServing returns the number of the worker's tasks that have a tail latency target.
func (w *worker) countServing() int {
	n := 0
	for t := range w.tasks {
		if t.step.spec.TailLatencyTarget > 0 {
			n++
		}
	}
	return n
}

// countBestEffort returns the number of the worker's best-effort tasks.
func (w *worker) countBestEffort() int {
	n := 0
	for t := range w.tasks {
		if t.step.spec.BestEffort {
			n++
		}
	}
	return n
}

// Parameters of the controller that limits best-effort tasks to protect serving tasks on the
// same worker. Tail latency is compared as a percentage of its target.
const (
	paceHalveAtPercent    = 80                // tail latency at which the pace is halved
	paceRaiseBelowPercent = 55                // tail latency below which the pace is raised
	paceRaiseStep         = 10                // percentage points
	paceInterval          = clock.Millis(400) // shortest time between two orders to one task
	paceMinPercent        = 1                 // lowest pace
)

// paceAll adjusts the pace of best-effort tasks on workers that also have serving tasks.
func (p *Pool) paceAll(now clock.Millis) {
	if p.bestEffortTasks == 0 {
		return
	}
	for _, w := range p.sortedWorkers {
		if w.reachable && w.countServing() > 0 && w.countBestEffort() > 0 {
			p.pace(w, now)
		}
	}
}

// pace orders a new pace for each best-effort task on the worker, based on the worst tail
// latency of its serving tasks. Without recent reports of tail latency, it reduces the pace as
// for a missed target.
func (p *Pool) pace(w *worker, now clock.Millis) {
	var worstTailPercent int64
	fresh := true
	for t := range w.tasks {
		if target := t.step.spec.TailLatencyTarget; target > 0 && t.state == running {
			worstTailPercent = max(worstTailPercent, int64(t.tailLatency)*100/int64(target))
			fresh = fresh && now-t.tailLatencyAt < 2*paceInterval+clock.Millis(1000)
		}
	}
	for t := range w.tasks {
		if !t.step.spec.BestEffort || t.state != running || now-t.orderedPaceAt < paceInterval {
			continue
		}
		current := t.currentPace()
		next := current
		switch {
		case !fresh || worstTailPercent >= 100:
			next = current / 4
		case worstTailPercent >= paceHalveAtPercent:
			next = current / 2
		case worstTailPercent < paceRaiseBelowPercent:
			next = current + paceRaiseStep
		}
		next = min(100, max(paceMinPercent, next))
		if next == current {
			continue
		}
		t.orderedPaceAt, t.orderedPace = now, next
		p.orders = append(p.orders, Order{Kind: Pace, Worker: w.ID, Incarnation: w.Incarnation, Task: t.ref(), Run: t.run, Percent: next})
	}
}

// currentPace returns the pace last ordered for the task, in percent of full speed; 100 if
// none was ordered.
func (t *task) currentPace() int {
	if t.orderedPace == 0 {
		return 100
	}
	return t.orderedPace
}
