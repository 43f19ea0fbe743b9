package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
)

// Config holds what a Pool is made from.
type Config struct {
	Pool    fleet.PoolID
	RunBase int // run numbers start above it; a later tenure has a higher base
	// StartWait is how long a start may stay without an answer before it is withdrawn;
	// 0 means 1000 ms.
	StartWait clock.Millis
	// StopRepeat is the time after which a stop without an answer is sent again; 0 means 700 ms.
	StopRepeat clock.Millis
	// MaxStarting bounds the tasks whose start is under way; 0 bounds none. A member that is
	// short of processor time would give more starts at once than it can take answers in, and
	// its looks would come late.
	MaxStarting int
	// StopTime is the longest time that a worker takes to carry a stop out.
	StopTime clock.Millis
	// Limited reports whether a team's running tasks are bounded; nil bounds none. A bounded
	// team may run what its allowance holds, and nothing without one.
	Limited func(fleet.TeamID) bool
	// Note, if not nil, is told what the pool comes to believe.
	Note func(Event)
}

const (
	defaultStartWait  clock.Millis = 1000
	defaultStopRepeat clock.Millis = 700
)

// Pool is the scheduling state of one pool.
type Pool struct {
	Config
	workers   map[fleet.InstanceID]*worker
	order     []*worker // by id
	rooms     rooms
	leaving   int // workers that are cordoned or draining
	fills     int // placed tasks that fill
	jobs      map[job.ID]*Job
	ready     []*stepRun // steps with waiting tasks
	timed     []*Job     // jobs with occurrences to come
	used      map[fleet.TeamID]job.Resources
	allowance map[fleet.TeamID]job.Resources // of teams with a limit
	arrived   int64                          // see Load
	dirty     map[job.ID]*Job
	orders    []Order
	stops     map[*task]bool // tasks in state stopping
	starts    map[*task]bool // tasks in state starting
	settled   bool
	held      bool // the last pass left starts to the next one, because of MaxStarting
}

// New returns an empty pool. Recovered jobs start nothing before [Pool.Settle].
func New(c Config) *Pool {
	if c.StartWait == 0 {
		c.StartWait = defaultStartWait
	}
	if c.StopRepeat == 0 {
		c.StopRepeat = defaultStopRepeat
	}
	return &Pool{
		Config: c, workers: map[fleet.InstanceID]*worker{}, jobs: map[job.ID]*Job{},
		used: map[fleet.TeamID]job.Resources{}, allowance: map[fleet.TeamID]job.Resources{},
		dirty: map[job.ID]*Job{}, stops: map[*task]bool{}, starts: map[*task]bool{},
	}
}

func (p *Pool) note(e Event) {
	if p.Note != nil {
		p.Note(e)
	}
}

// Add takes a job into the pool. progress is nil for a new job. A recovered job's tasks may
// still run on workers that have not answered. age is the time since the job was accepted.
func (p *Pool) Add(j *job.Job, terms Terms, progress *job.Progress, age, now clock.Millis) *Job {
	if old := p.jobs[j.ID]; old != nil {
		return old
	}
	s := &Job{Job: j, terms: terms, state: job.Queued, shown: job.Queued, arrived: now - age, chain: j.Chain()}
	s.objective = s.arrived + clock.Millis(terms.Stretch*float64(s.chain)) + terms.Slack
	if progress != nil {
		s.progress, s.recovered = progress.Clone(), true
		if progress.State != "" {
			s.state, s.shown = progress.State, progress.State
		}
		s.begun = s.state != job.Queued
	}
	p.jobs[j.ID] = s
	if progress == nil {
		p.arrived += j.Work()
	}
	switch {
	case s.state.Final():
	case j.Runs > 0:
		p.timed = append(p.timed, s)
	default:
		p.occur(s, 0, now)
		s.next = 1
	}
	return s
}

// occur creates the next occurrence of a job.
func (p *Pool) occur(j *Job, index int, now clock.Millis) {
	o := &occurrence{index: index, left: len(j.Steps)}
	for i := range j.Steps {
		s := &stepRun{job: j, occurrence: index, index: i, spec: &j.Steps[i], tasks: make([]task, j.Steps[i].Count)}
		for k := range s.tasks {
			t := &s.tasks[k]
			*t = task{step: s, index: k, state: blocked, since: now}
			if j.progress.Done[t.position()] {
				t.state = done
				s.done++
			}
		}
		o.steps = append(o.steps, s)
	}
	j.runs = append(j.runs, o)
	for _, s := range o.steps {
		for _, a := range s.spec.After {
			if !o.steps[a].finished() {
				s.blockedBy++
			}
		}
		if s.finished() {
			o.left--
		}
	}
	for _, s := range o.steps {
		if s.blockedBy == 0 {
			p.unblock(s, now)
		}
	}
	if o.left == 0 {
		p.completeOccurrence(j, now)
	}
}

// unblock lets the tasks of a step whose earlier steps are done start.
func (p *Pool) unblock(s *stepRun, now clock.Millis) {
	to := waiting
	if s.job.recovered && !p.settled {
		to = unproven
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == blocked {
			t.enter(to, now)
			if to == waiting {
				s.waiting++
			}
		}
	}
	p.list(s)
}

func (p *Pool) list(s *stepRun) {
	if s.waiting > 0 && !s.listed && !s.job.state.Final() {
		s.listed = true
		p.ready = append(p.ready, s)
	}
}

// requeue lets a task start again.
func (p *Pool) requeue(t *task, now clock.Millis) {
	if t.state == waiting {
		return
	}
	t.enter(waiting, now)
	t.percent, t.tail = 0, 0
	t.step.waiting++
	p.list(t.step)
}

// Settle says that nothing of a former tenure runs unseen: tasks that no worker has listed
// may start. It is the one place that allows the restart of a recovered task.
func (p *Pool) Settle(now clock.Millis) {
	if p.settled {
		return
	}
	p.settled = true
	for _, j := range p.jobs {
		j.eachTask(func(t *task) {
			if t.state == unproven {
				p.requeue(t, now)
			}
		})
	}
}

// Settled reports whether recovered tasks may start.
func (p *Pool) Settled() bool { return p.settled }

// Cancel ends a job. It reports whether the job is known. The new state is shown once it is
// durable.
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

// finish gives a job its final state and stops what runs of it.
func (p *Pool) finish(j *Job, to job.State, cause string, now clock.Millis) {
	j.state, j.cause = to, cause
	j.progress.State = to
	p.touch(j)
	j.eachTask(func(t *task) {
		switch t.state {
		case starting, running:
			p.stop(t, StopFinal, now)
		case waiting:
			t.step.waiting--
			t.enter(blocked, now)
		case unproven:
			t.enter(blocked, now)
		}
	})
	p.note(Event{Kind: "job_" + string(to), Job: j.ID, Detail: cause})
}

func (p *Pool) touch(j *Job) {
	j.dirty = true
	p.dirty[j.ID] = j
}

// stop orders the end of a task that occupies a worker.
func (p *Pool) stop(t *task, why StopReason, now clock.Millis) {
	if !t.placed() || t.state == stopping {
		return
	}
	delete(p.starts, t)
	t.enter(stopping, now)
	t.stopWhy, t.stopSent, t.stopAnswered = why, now, false
	p.stops[t] = true
	p.orderStop(t)
}

func (p *Pool) orderStop(t *task) {
	p.orders = append(p.orders, Order{
		Kind: Stop, Worker: t.worker.ID, Born: t.worker.Born, Task: t.ref(), Run: t.run, Reason: t.stopWhy,
	})
}

// leave frees what a task occupies.
func (p *Pool) leave(t *task) {
	delete(p.stops, t)
	delete(p.starts, t)
	if t.worker == nil {
		return
	}
	t.worker.release(t)
	team := t.step.job.Team
	p.used[team] = p.used[team].Sub(t.step.spec.Needs)
	if t.step.spec.Fills {
		p.fills--
	}
}

// occupy gives a task a worker.
func (p *Pool) occupy(t *task, w *worker, s taskState, now clock.Millis) {
	w.take(t)
	team := t.step.job.Team
	p.used[team] = p.used[team].Add(t.step.spec.Needs)
	if t.step.spec.Fills {
		p.fills++
	}
	if t.state == waiting {
		t.step.waiting--
	}
	t.enter(s, now)
	if s == starting {
		p.starts[t] = true
	}
}

// SetAllowance sets what each team with a limit may have running in this pool.
func (p *Pool) SetAllowance(a map[fleet.TeamID]job.Resources) { p.allowance = a }

// Allowance returns what each team with a limit may have running in this pool.
func (p *Pool) Allowance() map[fleet.TeamID]job.Resources { return p.allowance }

// Held reports whether tasks with room wait for the answers to other starts.
func (p *Pool) Held() bool { return p.held }

// full reports whether no more starts may be under way, and notes that some are held back.
func (p *Pool) full() bool {
	full := p.MaxStarting > 0 && len(p.starts) >= p.MaxStarting
	p.held = p.held || full
	return full
}

// Job returns a job, or nil.
func (p *Pool) Job(id job.ID) *Job { return p.jobs[id] }

// Remove forgets a job in a final state of which nothing runs. It reports whether it did.
func (p *Pool) Remove(id job.ID) bool {
	j := p.jobs[id]
	if j == nil || !j.shown.Final() || j.dirty {
		return false
	}
	free := true
	j.eachTask(func(t *task) { free = free && t.worker == nil })
	if free {
		delete(p.jobs, id)
	}
	return free
}

// Pending returns, for each queue, the jobs of which no task has started.
func (p *Pool) Pending() map[fleet.QueueID]int {
	out := map[fleet.QueueID]int{}
	for _, j := range p.jobs {
		if !j.begun && !j.state.Final() {
			out[j.Queue]++
		}
	}
	return out
}

// Change is progress that is to be made durable.
type Change struct {
	Job      job.ID
	State    job.State
	Progress job.Progress
}

// Dirty reports whether progress is to be made durable.
func (p *Pool) Dirty() bool { return len(p.dirty) > 0 }

// Changes returns progress that changed and was not returned since, of at most most jobs.
func (p *Pool) Changes(wall clock.Millis, most int) []Change {
	if len(p.dirty) == 0 || most <= 0 {
		return nil
	}
	out := make([]Change, 0, len(p.dirty))
	for id, j := range p.dirty {
		if len(out) == most {
			break
		}
		if j.state.Final() && j.progress.Finished == 0 {
			j.progress.Finished = wall
		}
		j.progress.State = j.state
		out = append(out, Change{Job: id, State: j.state, Progress: j.progress.Clone()})
		j.dirty = false
		delete(p.dirty, id)
	}
	slices.SortFunc(out, func(a, b Change) int {
		if a.Job < b.Job {
			return -1
		}
		return 1
	})
	return out
}

// Committed says that a change is durable: its state may be shown.
func (p *Pool) Committed(c Change) {
	if j := p.jobs[c.Job]; j != nil {
		j.shown = c.State
	}
}

// Refuse reports whether a new job can't be run in time, and when to try again.
func (p *Pool) Refuse(j *job.Job, now clock.Millis) (after clock.Millis, refuse bool) {
	return 0, false
}
