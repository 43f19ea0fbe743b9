package schedule

import (
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// placeWaitingTasks starts waiting tasks on workers with free capacity, in the order of their
// steps' ranks and of the shares of their teams.
func (p *Pool) placeWaitingTasks(now clock.Millis) {
	p.startsDeferred, p.searches, p.deferredSteps = false, 0, 0
	if len(p.forecasts) > 0 {
		clear(p.forecasts)
	}
	p.rankWaitingTasks(now)
	p.fullApart = noCapacity{}
	place := p.placeByRank
	if p.shares.contended() {
		place = p.placeByShare
	}
	full, complete := place(now)
	if !complete {
		return
	}
	p.full = full
	if p.shares.ledger != nil {
		p.shares.ledger.SetFull(p.full)
	}
}

// placeByRank starts the waiting tasks in the order of their steps' ranks, and reports whether the pool
// is full. It is not complete if no more starts may be pending.
func (p *Pool) placeByRank(now clock.Millis) (isFull, complete bool) {
	var full noCapacity
	for i := range p.ready.ranked {
		if p.startLimitReached() {
			return false, false
		}
		r := &p.ready.ranked[i]
		if full.covers(r.needs) || !r.step.isReady() {
			continue
		}
		if !p.placeRanked(r, full.known || p.full, now) {
			full.record(r)
			if p.deferStep() {
				return false, false
			}
		}
	}
	return full.known, true
}

// placeRanked starts the waiting tasks of a step for which there are workers. It returns false like
// placeStep. contended says that other tasks lack capacity.
func (p *Pool) placeRanked(r *rankedStep, contended bool, now clock.Millis) bool {
	if r.step.spec.Gang {
		p.placeGang(r.step, contended, now)
		return true
	}
	return p.placeStep(r, contended, now)
}

// placeStep starts the waiting tasks of a step for which there is a worker. It returns false if a
// task that has not failed before and is not suspected found no worker, so that the capacity of the
// pool is used up for tasks like it. contended reports whether other tasks find no worker.
func (p *Pool) placeStep(r *rankedStep, contended bool, now clock.Millis) bool {
	s := r.step
	mayWait := p.mayWaitForRack(s)
	if mayWait {
		p.chooseRack(s, now)
	}
	var far *worker // found for the last task, which waits for a near place
	if s.job.policy.Advised {
		p.requestAdvice(s, now)
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != waiting || t.startsAlone() || (t.record().suspicion == startApart && p.fullApart.covers(r.needs)) {
			continue
		}
		if !p.withinAllowance(s, 1) || p.startLimitReached() {
			return true
		}
		w := far
		if w == nil || len(t.record().failedOn) > 0 || t.record().suspicion != unsuspected {
			w = p.chooseWorker(t, now)
		}
		if w == nil {
			switch {
			case t.record().suspicion == startApart:
				p.fullApart.record(r)
			case len(t.record().failedOn) == 0:
				return false // the other tasks of the step have the same needs
			}
			continue
		}
		if mayWait && p.awaitsNearPlace(t, w, contended, now) {
			if len(t.record().failedOn) == 0 {
				far = w // nothing was started, so the next task would find the same worker
			}
			continue
		}
		far = nil
		if t.record().suspicion == startApart {
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
	t.percent, t.stopUntil, t.orderedAt, t.answeredAt = 0, 0, now, 0
	t.resumed, t.far = t.checkpoint != "", t.wouldBeFar(w)
	if t.step.rack != "" && t.step.spec.DataRack == "" { // the first tasks decide where the others run
		t.step.rack = w.Rack
		if t.far {
			t.step.rack = ""
		}
	}
	p.endWait(t, w, waitOutcome(t.far), now)
	t.step.spread = t.step.spread || (t.far && t.step.spec.SameRack)
	p.assign(t, w, starting, now)
	p.orders = append(p.orders, Order{
		Kind: Start, Worker: w.ID, Incarnation: w.Incarnation, Task: t.ref(), Run: run, Spec: t.step.job.Spec, Checkpoint: t.checkpoint,
		Ticket: t.step.advice.ticket(w),
	})
}

// placeGang starts all tasks of a gang, or none. All tasks get the same run number and
// checkpoint. contended reports whether other tasks find no worker.
func (p *Pool) placeGang(s *stepRun, contended bool, now clock.Millis) {
	if s.job.policy.Advised {
		p.requestAdvice(s, now)
	}
	if s.waitingTasks < len(s.tasks) || s.tasks[0].startsAlone() || !p.withinAllowance(s, int64(len(s.tasks))) {
		return
	}
	mayWait := p.mayWaitForRack(s)
	if mayWait {
		p.chooseRack(s, now)
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
	far := false
	for i, w := range chosen {
		far = far || s.tasks[i].wouldBeFar(w)
	}
	for i, w := range chosen {
		w.release(&s.tasks[i])
	}
	if len(chosen) < len(s.tasks) || (mayWait && far && p.gangAwaitsRack(s, contended, now)) {
		return
	}
	p.endWait(&s.tasks[0], chosen[0], waitOutcome(far), now)
	for i, w := range chosen {
		s.tasks[i].checkpoint = checkpoint
		p.start(&s.tasks[i], w, run, now)
	}
}
