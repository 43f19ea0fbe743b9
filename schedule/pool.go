package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule/locality"
	"citronknot/schedule/runtimes"
)

// Config holds the parameters of a Pool.
type Config struct {
	Pool    fleet.PoolID
	RunBase int // run numbers start above it; each later owner lease has a higher base
	// StartWait is how long a start may remain without a response before it is withdrawn; 0
	// means 1000 ms.
	StartWait clock.Millis
	// StopRepeat is the time after which a stop without a response is sent again. 0 means 700
	// ms.
	StopRepeat clock.Millis
	// MaxStarting limits the pending starts of each member that sends orders; 0 means no limit.
	// Without a limit, a member with little CPU would send more starts at once than it can
	// process responses for, and its polls would be late.
	MaxStarting int
	// StopTime is the longest time that a worker takes to carry out a stop.
	StopTime clock.Millis
	// Limited reports whether a team's running tasks are limited; nil means that none are. A
	// limited team may use what its allowance covers, and nothing if it has none.
	Limited func(fleet.TeamID) bool
	// Weight returns a team's share of the pool when it is full, in proportion to the weights of the
	// others, and its rate of jobs in a second; 0 means that the configuration sets none. It may
	// change at any time. If it is nil, no team has a weight.
	Weight func(fleet.TeamID) float64
	// MayRefuse reports whether jobs of a team may be refused in an overloaded pool; nil means those of
	// teams with a weight that are over their share.
	MayRefuse func(team fleet.TeamID, now clock.Millis) bool
	// FarFactor is how many times as long a task runs on another rack than that of its data or of the
	// rest of its step; 0 if that is unknown.
	FarFactor float64
	// DecideWait decides whether a task waits for a near place; nil means locality.Decide.
	DecideWait func(locality.Choice) locality.Decision
	// OnEvent, if not nil, is called with each event of the pool.
	OnEvent func(Event)
}

const (
	defaultStartWait  clock.Millis = 1000
	defaultStopRepeat clock.Millis = 700
)

// Pool is the scheduling state of one pool.
type Pool struct {
	Config
	workers          map[fleet.InstanceID]*worker
	sortedWorkers    []*worker      // by id
	byFreeCPU        workerIndex    // all workers of the pool
	leavingWorkers   int            // number of workers that are cordoned or draining
	evacuated        []fleet.ZoneID // zones whose workers take no starts, sorted
	moving           []*task        // stopped in an evacuated zone, and not started elsewhere yet
	nextMoves        clock.Millis   // when moveOutOfZones looks for tasks to move again
	bestEffortTasks  int            // number of best-effort tasks that occupy a worker
	jobs             map[job.ID]*Job
	ready            readyList
	timedJobs        []*Job // jobs with occurrences that are not due yet
	usedByTeam       map[fleet.TeamID]job.Resources
	allowanceByTeam  map[fleet.TeamID]job.Resources // only of teams with a limit
	pendingJobs      map[fleet.QueueID]int          // jobs of which no task has started
	arrivedWork      int64                          // see Load.Arrived
	dirtyJobs        map[job.ID]*Job
	longRunningSteps []*stepRun // those of jobs in a final state are removed later
	orders           []Order
	stoppingTasks    map[*task]bool              // tasks in state stopping
	startingTasks    map[*task]*starter          // tasks in state starting, with the member that sent the order
	unansweredStarts map[*task]bool              // long-running tasks with unansweredAt
	starters         map[fleet.MemberID]*starter // members that have workers; the empty id is the owner
	recoveryFinished bool                        // recovered tasks may start
	recoveredAt      clock.Millis                // when recovery finished
	startsDeferred   bool                        // the last pass left out starts because of MaxStarting
	runTimes         runtimes.Table
	placeWaits       []*task                        // tasks that wait for a near place
	forecasts        map[fleet.RackID]*rackForecast // of the current pass
	searches         int                            // workers searched for a task in the last pass
	deferredSteps    int                            // see deferStep
	shares           shares                         // of teams with a weight
	overCapacity     map[*worker]clock.Millis       // workers that are over their capacity, and since when

	backlog     backlog                      // accepted work that is not done
	expected    map[job.ID]expectedWork      // of accepted jobs that are not added yet
	arrivals    []Arrival                    // capacity on its way to the pool, by time
	lostWorkers map[fleet.InstanceID]Arrival // capacity of lost workers, which may return, by the time of the loss
	refused     int                          // jobs refused by this owner
	lastRefusal Refusal

	suspects  []*task // units that are suspected to crash their workers
	trials    []*trial
	apart     []*trialStart // starts of tasks that start apart, which are being recorded
	full      bool          // the last complete pass found no worker for a task that is not suspected
	fullApart noCapacity    // of the current pass, for tasks that start apart
	apartLeft int           // more workers on which tasks may be started apart in the current pass
	// trialsPassed is the balance of recent trials; see newTrialLimits.
	trialsPassed int
	unresolved   []unresolvedTrial
	doubts       map[fleet.InstanceID]*doubt
	crashedAt    map[string]clock.Millis  // by machine, of workers that have crashed a short time ago
	explained    map[crashID]clock.Millis // when crashes were put down to a task that crashed a worker alone
}

// New returns an empty pool. Tasks of recovered jobs do not start before [Pool.FinishRecovery] is
// called.
func New(c Config) *Pool {
	if c.StartWait == 0 {
		c.StartWait = defaultStartWait
	}
	if c.StopRepeat == 0 {
		c.StopRepeat = defaultStopRepeat
	}
	if c.DecideWait == nil {
		c.DecideWait = locality.Decide
	}
	p := &Pool{
		Config: c, workers: map[fleet.InstanceID]*worker{}, jobs: map[job.ID]*Job{},
		usedByTeam: map[fleet.TeamID]job.Resources{}, allowanceByTeam: map[fleet.TeamID]job.Resources{},
		dirtyJobs: map[job.ID]*Job{}, stoppingTasks: map[*task]bool{}, startingTasks: map[*task]*starter{}, unansweredStarts: map[*task]bool{},
		starters: map[fleet.MemberID]*starter{}, pendingJobs: map[fleet.QueueID]int{}, overCapacity: map[*worker]clock.Millis{},
		backlog: backlog{groups: map[backlogGroup]*workByStart{}}, expected: map[job.ID]expectedWork{}, lostWorkers: map[fleet.InstanceID]Arrival{},
		doubts: map[fleet.InstanceID]*doubt{}, crashedAt: map[string]clock.Millis{}, explained: map[crashID]clock.Millis{},
		shares: newShares(c.Weight), forecasts: map[fleet.RackID]*rackForecast{},
	}
	if p.MayRefuse == nil {
		p.MayRefuse = p.overShare
	}
	return p
}

// emit passes an event to OnEvent.
func (p *Pool) emit(e Event) {
	if p.OnEvent != nil {
		p.OnEvent(e)
	}
}

// Add adds a job to the pool and returns its state. If the pool has the job already, Add
// returns the existing state. progress is nil for a new job. Tasks of a recovered job may
// still run on workers that have not responded. age is the time since the job was accepted.
func (p *Pool) Add(j *job.Job, policy job.Policy, progress *job.Progress, age, now clock.Millis) *Job {
	if old := p.jobs[j.ID]; old != nil {
		return old
	}
	added := &Job{Job: j, policy: policy, state: job.Queued, durableState: job.Queued, acceptedAt: now - age, criticalPath: j.CriticalPath(), runTimes: &p.runTimes}
	added.objective = added.acceptedAt + policy.Objective(added.criticalPath)
	if progress != nil {
		added.progress, added.recovered = progress.Clone(), true
		if progress.State != "" {
			added.state, added.durableState = progress.State, progress.State
		}
		added.started = added.state != job.Queued
	}
	if progress == nil && p.expected[j.ID].work == (job.Resources{}) {
		p.backlog.rate.add(workOf(j), now)
	}
	p.Unexpect(j.ID)
	if added.started {
		p.regroup(added, added.objective)
	} else {
		p.regroup(added, added.objective-added.criticalPath)
	}
	p.jobs[j.ID] = added
	added.share = p.shareTeam(j.Team)
	if !added.started && !added.state.Final() {
		p.countJob(added, added.acceptedAt)
	}
	if added.isPending() {
		p.pendingJobs[j.Queue]++
	}
	if progress == nil {
		p.arrivedWork += j.Work()
	}
	switch {
	case added.state.Final():
	case j.Runs > 0:
		p.timedJobs = append(p.timedJobs, added)
	default:
		p.createOccurrence(added, 0, true, now)
		added.nextOccurrence = 1
	}
	return added
}

// createOccurrence creates an occurrence of a job and makes the steps ready that depend on no
// unfinished step. Those of an occurrence that may not be due yet are blocked until
// [Pool.releaseOccurrence].
func (p *Pool) createOccurrence(j *Job, index int, due bool, now clock.Millis) {
	o := &occurrence{index: index, remainingSteps: len(j.Steps), held: !due}
	if j.Runs > 0 { // the objective counts from acceptance, which does not fit later occurrences
		p.regroup(j, now+j.objective-j.acceptedAt)
	}
	for i := range j.Steps {
		s := &stepRun{job: j, occurrence: index, index: i, spec: &j.Steps[i], tasks: make([]task, j.Steps[i].Count)}
		if o.held {
			s.blockedBy++
		}
		for k := range s.tasks {
			t := &s.tasks[k]
			*t = task{step: s, index: k, state: blocked, stateSince: now}
			if j.progress.Done[t.position()] {
				t.state = done
				s.doneTasks++
			} else {
				p.countWork(t, true)
			}
			p.recoverSuspicion(t)
		}
		o.steps = append(o.steps, s)
		if s.spec.LongRunning {
			p.longRunningSteps = append(p.longRunningSteps, s)
		}
	}
	j.occurrences = append(j.occurrences, o)
	for _, s := range o.steps {
		s.blockedBy += o.countUnfinished(s.spec.After)
		if s.finished() {
			o.remainingSteps--
		}
	}
	for _, s := range o.steps {
		if s.blockedBy == 0 {
			p.unblock(s, now)
		}
	}
	if o.remainingSteps == 0 {
		p.completeOccurrence(j, o, now)
	}
}

// releaseOccurrence makes the steps of a held occurrence ready that depend on no unfinished step.
func (p *Pool) releaseOccurrence(o *occurrence, now clock.Millis) {
	o.held = false
	for _, s := range o.steps {
		if s.blockedBy--; s.blockedBy == 0 {
			p.unblock(s, now)
		}
	}
}

// unblock makes the blocked tasks of a step ready to start, as all earlier steps are done.
func (p *Pool) unblock(s *stepRun, now clock.Millis) {
	to := waiting
	if s.job.recovered && !p.recoveryFinished {
		to = unconfirmed
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == blocked {
			t.setState(to, now)
			if to == waiting {
				s.waitingTasks++
			}
		}
	}
	p.addReady(s)
}

// requeue makes a task ready to start again.
func (p *Pool) requeue(t *task, now clock.Millis) {
	if t.state == waiting {
		return
	}
	t.setState(waiting, now)
	t.percent, t.tailLatency = 0, 0
	t.step.waitingTasks++
	p.addReady(t.step)
}

// FinishRecovery finishes recovery: the caller guarantees that no run of an earlier owner lease is
// left that no worker has reported. Tasks that no worker has listed may start. FinishRecovery is the
// only function that permits the restart of a recovered task.
func (p *Pool) FinishRecovery(now clock.Millis) {
	if p.recoveryFinished {
		return
	}
	p.recoveryFinished, p.recoveredAt = true, now
	p.resolveTrialsOfUnknownWorkers(now)
	for _, j := range p.jobs {
		j.eachTask(func(t *task) {
			if t.state == unconfirmed {
				p.requeue(t, now)
			}
		})
	}
}

// RecoveryFinished reports whether recovery is finished, so that recovered tasks may start.
func (p *Pool) RecoveryFinished() bool { return p.recoveryFinished }

// Cancel cancels a job unless its state is final, and reports whether the pool has the job.
// Callers see the new state once it is durable.
func (p *Pool) Cancel(id job.ID, now clock.Millis) bool {
	j := p.jobs[id]
	if j == nil {
		return false
	}
	if !j.state.Final() {
		p.finish(j, job.Cancelled, "cancelled by the caller", now)
	}
	return true
}

// Fail fails a job that can't go on for a cause that lies outside of its tasks, unless its state is
// final.
func (p *Pool) Fail(id job.ID, cause string, now clock.Millis) {
	if j := p.jobs[id]; j != nil && !j.state.Final() {
		p.finish(j, job.Failed, cause, now)
	}
}

// finish gives a job its final state and stops its running tasks.
func (p *Pool) finish(j *Job, to job.State, cause string, now clock.Millis) {
	if j.isPending() {
		p.removePending(j)
	}
	j.state = to
	j.progress.State, j.progress.Cause = to, cause
	p.markDirty(j)
	j.eachTask(func(t *task) {
		p.countWork(t, false)
		switch t.state {
		case starting, running:
			p.stop(t, StopFinal, now)
		case recording:
			p.withdrawRecording(t, now)
		case waiting:
			t.step.waitingTasks--
			t.setState(blocked, now)
		case unconfirmed:
			t.setState(blocked, now)
		}
	})
	p.emit(Event{Kind: "job_" + string(to), Job: j.ID, Detail: cause})
}

// markDirty records that the job has progress to be made durable.
func (p *Pool) markDirty(j *Job) {
	j.dirty = true
	p.dirtyJobs[j.ID] = j
}

// stop orders the stop of a task that occupies a worker, unless one was ordered already, and reports
// whether it did. It does not if [Pool.mayStop] forbids it.
func (p *Pool) stop(t *task, reason StopReason, now clock.Millis) bool {
	if !t.placed() || t.state == stopping || !p.mayStop(t, reason, now) {
		return false
	}
	p.clearStarting(t)
	t.setState(stopping, now)
	t.stopReason, t.stopSentAt, t.stopAccepted = reason, now, false
	p.stoppingTasks[t] = true
	p.orderStop(t)
	return true
}

// orderStop adds the stop order for a task in state stopping. The caller has asked [Pool.mayStop].
func (p *Pool) orderStop(t *task) {
	if t.step.spec.LongRunning && t.stopReason != StopFinal {
		p.emit(Event{
			Kind: "long_running_stop", Task: t.ref(), Run: t.run, Worker: t.worker.ID, Stop: t.step.describeStop(t, t.stopReason, t.stopSentAt),
		})
	}
	p.orders = append(p.orders, Order{
		Kind: Stop, Worker: t.worker.ID, Incarnation: t.worker.Incarnation, Task: t.ref(), Run: t.run, Reason: t.stopReason,
	})
}

// unassign frees what a task occupies on its worker, if it has one.
func (p *Pool) unassign(t *task, now clock.Millis) {
	delete(p.stoppingTasks, t)
	p.clearStarting(t)
	if t.worker == nil {
		return
	}
	t.worker.release(t)
	t.confirmKept()
	t.step.job.share.charge(t.needs().Scale(-1), now)
	p.countWork(t, t.state != done && !t.step.job.state.Final())
	team := t.step.job.Team
	p.usedByTeam[team] = p.usedByTeam[team].Sub(t.step.spec.Needs)
	if t.step.spec.BestEffort {
		p.bestEffortTasks--
	}
}

// assign gives a task a worker and enters the given state.
func (p *Pool) assign(t *task, w *worker, s taskState, now clock.Millis) {
	w.reserve(t)
	t.step.job.share.charge(t.needs(), now)
	p.countWork(t, false)
	p.noteCapacity(w, now)
	team := t.step.job.Team
	p.usedByTeam[team] = p.usedByTeam[team].Add(t.step.spec.Needs)
	if t.step.spec.BestEffort {
		p.bestEffortTasks++
	}
	if t.state == waiting {
		t.step.waitingTasks--
		t.step.job.share.startWaiting(t.needs())
	}
	t.setState(s, now)
	if len(p.forecasts) > 0 {
		p.noteForecast(t, w, now)
	}
	if s == starting {
		p.setStarting(t)
	}
}

// SetAllowance sets the resources that the running tasks of each team with a limit may use in
// this pool.
func (p *Pool) SetAllowance(a map[fleet.TeamID]job.Resources) { p.allowanceByTeam = a }

// Allowance returns the resources that the running tasks of each team with a limit may use in
// this pool.
func (p *Pool) Allowance() map[fleet.TeamID]job.Resources { return p.allowanceByTeam }

// Job returns a job, or nil if the pool does not have it.
func (p *Pool) Job(id job.ID) *Job { return p.jobs[id] }

// Remove removes a job that has a durable final state and no running tasks. It reports whether
// the job was removed.
func (p *Pool) Remove(id job.ID) bool {
	j := p.jobs[id]
	if j == nil || !j.durableState.Final() || j.dirty {
		return false
	}
	free := true
	j.eachTask(func(t *task) { free = free && t.worker == nil })
	if free {
		delete(p.jobs, id)
	}
	return free
}

// Pending returns the number of jobs of a queue of which no task has started.
func (p *Pool) Pending(queue fleet.QueueID) int { return p.pendingJobs[queue] }

// removePending records that a pending job is not pending any more.
func (p *Pool) removePending(j *Job) {
	if p.pendingJobs[j.Queue]--; p.pendingJobs[j.Queue] == 0 {
		delete(p.pendingJobs, j.Queue)
	}
}

// markStarted records that a task of a job has started.
func (p *Pool) markStarted(j *Job) {
	if j.isPending() {
		p.removePending(j)
	}
	j.started = true
	p.regroup(j, j.groupStart+j.criticalPath) // less is left of the critical path as it goes on
}

// Change is progress of a job that is to be made durable.
type Change struct {
	Job      job.ID
	State    job.State
	Progress job.Progress
}

// Dirty reports whether any job has progress to be made durable.
func (p *Pool) Dirty() bool { return len(p.dirtyJobs) > 0 }

// Changes returns the progress of at most limit jobs whose progress has changed since it was
// last returned. wall is the time of day, recorded as the end of jobs in a final state.
func (p *Pool) Changes(wall clock.Millis, limit int) []Change {
	if len(p.dirtyJobs) == 0 || limit <= 0 {
		return nil
	}
	out := make([]Change, 0, min(limit, len(p.dirtyJobs)))
	for id, j := range p.dirtyJobs {
		if len(out) == limit {
			break
		}
		if j.state.Final() && j.progress.Finished == 0 {
			j.progress.Finished = wall
		}
		j.progress.State = j.state
		out = append(out, Change{Job: id, State: j.state, Progress: j.progress.Clone()})
		j.dirty = false
		delete(p.dirtyJobs, id)
	}
	slices.SortFunc(out, func(a, b Change) int {
		if a.Job < b.Job {
			return -1
		}
		return 1
	})
	return out
}

// Committed records that a change is durable, so that callers may see its state.
func (p *Pool) Committed(c Change) {
	if j := p.jobs[c.Job]; j != nil {
		j.durableState = c.State
		p.confirmStarts(j, c)
	}
}
