package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// Times of a serviceSimulation.
const (
	simulatedStep   clock.Millis = 10
	simulatedNotice clock.Millis = 4500 // an absence of this length counts, whatever its cause
	simulatedLease  clock.Millis = 4500
	simulatedWarmUp clock.Millis = 500 // from a start until the task works
	simulatedStop   clock.Millis = 300 // from a stop until the run has ended
	simulatedPoll   clock.Millis = 500
)

// serviceSimulation drives a pool with services, which are steps of long-running tasks, on workers that leave
// orders unanswered and carry them out late, that fall silent, and that are cordoned. Its owner is slow or frozen at
// times, and is replaced. It checks at each stop that is carried out at once whether more tasks of the step are away
// than the step allows.
type serviceSimulation struct {
	*harness
	rand     *rand.Rand
	workers  map[fleet.InstanceID]*serviceWorker
	sorted   []*serviceWorker // by id
	tasks    map[job.Ref]*serviceTask
	jobs     []*job.Job
	limits   []int        // by job
	fence    int          // of the owner
	tookOver clock.Millis // when the owner took the pool over
	due      []simulatedAction
	lateness float64      // part of the orders that are carried out late
	slow     bool         // the owner is slow
	frozen   clock.Millis // until when the owner stands still
	breaches []string     // descriptions of stops that broke the rule, and of tasks that ran twice
}

// simulatedAction is something that happens at a time.
type simulatedAction struct {
	at clock.Millis
	do func()
}

// serviceWorker is a worker of a serviceSimulation.
type serviceWorker struct {
	id          fleet.InstanceID
	runs        map[job.Ref]*serviceRun
	highest     map[job.Ref]int // runs up to this number are rejected
	silentUntil clock.Millis    // responds to nothing before
	fence       int             // highest that it has seen
	listed      int             // newest owner that has received a list of its runs
	heardAt     clock.Millis    // when it last responded, or could have
	leaseEnd    clock.Millis    // of all runs there
	nextPoll    clock.Millis
	polling     bool // a response is on its way to the owner
	reachable   bool
	ended       []schedule.EndReport // not reported yet
}

// serviceRun is a run on a serviceWorker.
type serviceRun struct {
	run     int
	since   clock.Millis
	endsAt  clock.Millis // 0 if no stop was carried out
	ordered bool         // the stop counts as an order that ended a task at work
}

// serviceTask is what the users see of a task.
type serviceTask struct {
	endedByOrder bool // and not at work since
	lastAtWork   clock.Millis
}

// newServiceSimulation returns a simulation with six services on ten workers. Nothing has started yet.
func newServiceSimulation(t *testing.T, seed uint64) *serviceSimulation {
	s := &serviceSimulation{
		harness: newHarness(t, 0), rand: rand.New(rand.NewPCG(seed, 31)), workers: map[fleet.InstanceID]*serviceWorker{}, tasks: map[job.Ref]*serviceTask{},
	}
	s.now = 10_000
	for i := range 10 {
		w := &serviceWorker{id: workerID(i), runs: map[job.Ref]*serviceRun{}, highest: map[job.Ref]int{}, reachable: true}
		s.workers[w.id], s.sorted = w, append(s.sorted, w)
	}
	for n := range 6 {
		step := newStep(3 + s.rand.IntN(4))
		step.LongRunning, step.MaxUnavailable = true, 1+s.rand.IntN(4)/3
		s.limits = append(s.limits, step.MaxUnavailable)
		s.jobs = append(s.jobs, newJob(n+1, step))
		for i := range step.Count {
			s.tasks[job.Ref{Job: jobID(n + 1), Index: i}] = &serviceTask{}
		}
	}
	s.replaceOwner()
	return s
}

// replaceOwner lets another owner take the pool over. It knows the jobs and the workers, and not what runs.
// Orders of the former owner are refused by workers that the new one has polled.
func (s *serviceSimulation) replaceOwner() {
	s.fence++
	s.tookOver = s.now
	s.pool = schedule.New(schedule.Config{
		Pool: "p", RunBase: 1000 * s.fence, StopTime: 900, OnEvent: func(e schedule.Event) { s.events = append(s.events, e) },
	})
	for _, j := range s.jobs {
		s.pool.Add(j, testPolicy, &job.Progress{}, 0, s.now)
	}
	for _, w := range s.sorted {
		s.pool.SetWorker(schedule.Worker{ID: w.id, Incarnation: 1, Rack: "r1-1", Capacity: job.Resources{CPU: 16000, Memory: 32768}}, s.now)
		w.reachable, w.polling, w.heardAt = false, false, s.now
	}
}

// recover finishes the recovery of a new owner once all workers have responded, or their leases have expired.
func (s *serviceSimulation) recover() {
	for _, w := range s.sorted {
		if w.listed < s.fence && s.now <= max(w.leaseEnd, s.tookOver+simulatedLease) {
			return
		}
	}
	s.pool.FinishRecovery(s.now)
}

// run advances the simulation.
func (s *serviceSimulation) run(d clock.Millis) {
	for end := s.now + d; s.now < end; {
		s.now += simulatedStep
		s.carryOutDue()
		for _, w := range s.sorted {
			s.advance(w)
		}
		if s.now < s.frozen || (s.slow && s.rand.IntN(30) != 0) {
			continue
		}
		s.recover()
		for _, o := range s.pool.Plan(s.now, s.now) {
			s.send(o)
		}
		s.commitChanges()
	}
}

// after does something later.
func (s *serviceSimulation) after(d clock.Millis, do func()) {
	s.due = append(s.due, simulatedAction{at: s.now + d, do: do})
}

// carryOutDue does what is due.
func (s *serviceSimulation) carryOutDue() {
	pending := s.due
	s.due = nil
	for _, a := range pending {
		if a.at > s.now {
			s.due = append(s.due, a)
			continue
		}
		a.do()
	}
}

// toOwner lets the owner process something later, after it has thawed.
func (s *serviceSimulation) toOwner(d clock.Millis, do func()) {
	s.after(d, func() {
		if s.now < s.frozen {
			s.toOwner(s.frozen-s.now+clock.Millis(s.rand.IntN(50)), do)
			return
		}
		do()
	})
}

// ownerDelay is how long the owner takes to process a response.
func (s *serviceSimulation) ownerDelay() clock.Millis {
	if s.slow {
		return clock.Millis(s.rand.IntN(900))
	}
	return 0
}

// send sends an order, which may get no answer and be carried out late.
func (s *serviceSimulation) send(o schedule.Order) {
	w := s.workers[o.Worker]
	fence, pool := s.fence, s.pool
	answered := func(outcome schedule.Outcome) func() {
		return func() { pool.Answered(o, outcome, s.now) }
	}
	if o.Kind == schedule.Start {
		w.leaseEnd = s.now + simulatedLease
	}
	if s.now < w.silentUntil || s.rand.Float64() < s.lateness {
		s.after(2000+clock.Millis(s.rand.IntN(2500)), func() { s.carryOut(w, o, fence, true) })
		s.toOwner(400+s.ownerDelay(), answered(schedule.UnknownOutcome))
		return
	}
	outcome := s.carryOut(w, o, fence, false)
	s.toOwner(s.ownerDelay(), answered(outcome))
}

// carryOut carries out an order at its worker.
func (s *serviceSimulation) carryOut(w *serviceWorker, o schedule.Order, fence int, late bool) schedule.Outcome {
	if fence < w.fence {
		return schedule.NotSent
	}
	if late && (s.now < w.silentUntil || (o.Kind == schedule.Start && s.now > w.leaseEnd)) {
		return schedule.UnknownOutcome
	}
	r := w.runs[o.Task]
	if o.Kind == schedule.Stop {
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if r != nil && r.run == o.Run && r.endsAt == 0 {
			r.endsAt = s.now + simulatedStop
			s.checkStop(w, r, &o, late)
		}
		return schedule.Accepted
	}
	if o.Run <= w.highest[o.Task] || r != nil {
		return schedule.OldRun
	}
	for _, other := range s.sorted {
		if x := other.runs[o.Task]; x != nil {
			s.breaches = append(s.breaches, fmt.Sprintf("%d: %s runs twice, on %s and %s", s.now, o.Task, other.id, w.id))
		}
	}
	w.runs[o.Task] = &serviceRun{run: o.Run, since: s.now}
	return schedule.Accepted
}

// checkStop records a breach if a run at work is stopped while too many others of its step are away.
func (s *serviceSimulation) checkStop(w *serviceWorker, r *serviceRun, o *schedule.Order, late bool) {
	if s.now-r.since < simulatedWarmUp {
		return
	}
	r.ordered = true
	if late {
		return
	}
	away := 0
	for ref, t := range s.tasks {
		if ref.Job == o.Task.Job && ref != o.Task && (t.endedByOrder || s.now-t.lastAtWork >= simulatedNotice) {
			away++
		}
	}
	var n int
	_, err := fmt.Sscanf(string(o.Task.Job), "%x", &n)
	must.NoError(s.t, err)
	if limit := s.limits[n-1]; away >= limit {
		s.breaches = append(s.breaches, fmt.Sprintf("%d: %s run %d on %s is ended (%s) while %d are away of %d", s.now, o.Task, o.Run, w.id, o.Reason, away, limit))
	}
}

// advance ends the runs of a worker that are due, and lets the owner poll it.
func (s *serviceSimulation) advance(w *serviceWorker) {
	for ref, r := range w.runs {
		t := s.tasks[ref]
		switch {
		case s.now > w.leaseEnd:
			delete(w.runs, ref)
			w.ended = append(w.ended, schedule.EndReport{Task: ref, Run: r.run, Kind: schedule.EndExpired})
		case r.endsAt != 0 && s.now >= r.endsAt:
			t.endedByOrder = t.endedByOrder || r.ordered
			delete(w.runs, ref)
			w.ended = append(w.ended, schedule.EndReport{Task: ref, Run: r.run, Kind: schedule.EndStopped})
		case s.now-r.since >= simulatedWarmUp && r.endsAt == 0:
			t.endedByOrder, t.lastAtWork = false, s.now
		}
	}
	if s.now < w.silentUntil {
		s.advanceSilent(w)
		return
	}
	if w.heardAt = s.now; s.now < w.nextPoll || w.polling || s.now < s.frozen {
		return
	}
	w.nextPoll, w.leaseEnd = s.now+simulatedPoll, max(w.leaseEnd, s.now+simulatedLease)
	report := schedule.Report{RequestedAt: s.now, Ended: w.ended}
	w.ended = nil
	for ref, r := range w.runs {
		percent := 0
		if s.now-r.since >= simulatedWarmUp {
			percent = 100
		}
		report.Running = append(report.Running, schedule.RunReport{Task: ref, Run: r.run, Percent: percent})
	}
	w.polling, w.fence = true, s.fence
	fence := s.fence
	s.toOwner(s.ownerDelay(), func() {
		if fence != s.fence {
			return
		}
		w.polling = false
		if !w.reachable {
			w.reachable = true
			s.pool.SetReachable(w.id, true, s.now)
		}
		s.pool.Observe(w.id, report, s.now)
		w.listed = fence
	})
}

// advanceSilent lets the owner notice that a worker does not respond, and that its leases have expired.
func (s *serviceSimulation) advanceSilent(w *serviceWorker) {
	if s.now < s.frozen {
		return
	}
	if w.reachable && s.now-max(w.heardAt, s.frozen) > 1000 {
		w.reachable = false
		s.pool.SetReachable(w.id, false, s.now)
	}
	if s.now > w.leaseEnd && !w.polling {
		s.pool.ExpireLeases(w.id, s.now)
	}
}

// disturb begins a random disturbance, or planned work.
func (s *serviceSimulation) disturb() {
	switch s.rand.IntN(7) {
	case 6:
		s.frozen = s.now + clock.Millis(s.rand.IntN(4200))
	case 5:
		if s.rand.IntN(3) == 0 {
			s.replaceOwner()
		}
	case 0:
		s.lateness = 0.7 * float64(min(1, s.rand.IntN(4)))
	case 1:
		s.slow = !s.slow
	case 2:
		w := s.sorted[s.rand.IntN(len(s.sorted))]
		w.silentUntil = s.now + 500 + clock.Millis(s.rand.IntN(7000))
	default:
		var ids []fleet.InstanceID
		for range 1 + s.rand.IntN(3) {
			ids = append(ids, s.sorted[s.rand.IntN(len(s.sorted))].id)
		}
		s.pool.Cordon(ids, s.now)
	}
}

// Guards against services of which more tasks are away than they allow because of the pool's own stops, for
// any order of silent workers, late and unanswered orders, a slow or frozen owner, changes of the owner, and machines that
// have to be emptied;
// and against tasks that stay away once all is calm.
func TestServicesStayAvailableUnderFailures(t *testing.T) {
	for seed := range uint64(60) {
		s := newServiceSimulation(t, seed)
		s.run(3000)
		for range 60 {
			s.disturb()
			s.run(clock.Millis(200 + s.rand.IntN(1500)))
		}
		must.SliceEmpty(t, s.breaches, must.Sprintf("seed %d: %v", seed, s.breaches))
		s.lateness, s.slow = 0, false
		s.pool.Cordon(nil, s.now)
		s.run(25_000)
		for ref, task := range s.tasks {
			must.Eq(t, s.now, task.lastAtWork, must.Sprintf("seed %d: %s is not at work at the end", seed, ref))
		}
	}
}
