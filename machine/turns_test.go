package machine_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/machine"
	"citronknot/schedule"
)

// Delays of a turnsReplay.
const (
	replayStep      clock.Millis = 10
	startDelay      clock.Millis = 20  // from an order until the run begins
	endDelay        clock.Millis = 20  // from the end of a run until the owner knows it
	commitDelay     clock.Millis = 20  // from a submission until the job is durable
	registerDelay   clock.Millis = 400 // from the start of a worker until it takes tasks
	reportDelay     clock.Millis = 120 // between two reports of a pool
	planDelay       clock.Millis = 100 // between two passes of the planner
	listDelay       clock.Millis = 500 // between two lists of machines
	moveDelay       clock.Millis = 1500
	maintenanceTime clock.Millis = 2000
	turnLength      clock.Millis = 10000 // each pool in its turn has peakFactor times its mean load
	turns                        = 4
	peakFactor                   = 4.0
	valleyFactor                 = 0.05
	// unaffected is the time before an outage in which jobs can't all end before it.
	unaffected clock.Millis = 2000
)

// turnsReplay drives the planner and the pools under demand that rises in one pool after the other.
// Each pool has four times its mean load for ten seconds, more than its machines can run.
type turnsReplay struct {
	t        *testing.T
	rand     *rand.Rand
	now      clock.Millis
	planner  *machine.Planner
	machines []*replayMachine
	pools    []*replayPool
	leading  func(now clock.Millis) bool // whether there is a fleet leader
	// held is the time until which the submissions to a pool wait, because it has no owner.
	held map[fleet.PoolID]span
	aged bool // jobs count from the arrival of their submission
}

// span is a time from which, and until which, something holds.
type span struct{ from, until clock.Millis }

func (s span) contains(now clock.Millis) bool { return now >= s.from && now < s.until }

// replayMachine is a machine with the worker that runs on it.
type replayMachine struct {
	machine.Machine
	readyAt clock.Millis // end of a move or of its maintenance; 0 if it is up
	worker  int          // number of the worker on it
	joinsAt clock.Millis // when its worker takes tasks; 0 if it does
}

// replayPool is a pool with its load and what its jobs have come to.
type replayPool struct {
	id       fleet.PoolID
	pool     *schedule.Pool
	turn     int     // in which its peak is
	jobs     float64 // a second, in the mean
	steps    int     // most steps of a job; the mean is half of that and a half
	width    int     // most tasks of a step, likewise
	cores    float64 // of a task, in the mean
	runTime  float64 // of a task, in the mean
	due      float64
	sent     int
	pending  []replayJob
	open     map[job.ID]sentJob // that are not done
	runs     []replayRun
	all      tally
	served   tally // of the jobs that were sent while the pool had an owner, and could end there
	reported clock.Millis
}

// sentJob is a job that is not done.
type sentJob struct {
	objective clock.Millis
	served    bool // sent while the pool had an owner
}

// tally counts jobs.
type tally struct{ sent, inTime int }

// share returns the part of the jobs that ended in time.
func (t tally) share() float64 { return float64(t.inTime) / float64(t.sent) }

type replayJob struct {
	job     *job.Job
	arrived clock.Millis
	at      clock.Millis // when it becomes durable
}

type replayRun struct {
	order schedule.Order
	end   clock.Millis // when the owner knows that it has ended
}

// turnsPolicy is the policy of all jobs.
var turnsPolicy = job.Policy{Attempts: 3, Stretch: 1.6, Slack: 600}

// newTurnsReplay returns a tenth of a fleet of 1,100 machines of 64 cores in four pools and the spare pool.
func newTurnsReplay(t *testing.T, seed uint64) *turnsReplay {
	r := &turnsReplay{t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: 1000, leading: func(clock.Millis) bool { return true }}
	r.planner = machine.NewPlanner(machine.Config{MaintenanceTime: maintenanceTime, MoveTime: moveDelay})
	r.addPool("short-1", 19, replayPool{turn: 1, jobs: 6, steps: 2, width: 15, cores: 8.9, runTime: 640})
	r.addPool("long-1", 22, replayPool{turn: 2, jobs: 0.77, steps: 3, width: 15, cores: 19, runTime: 2100})
	r.addPool("short-2", 24, replayPool{turn: 0, jobs: 7.5, steps: 2, width: 15, cores: 8.9, runTime: 640})
	r.addPool("long-2", 27, replayPool{turn: 3, jobs: 0.95, steps: 3, width: 15, cores: 19, runTime: 2100})
	for range 18 {
		r.addMachine("spare")
	}
	var ids []fleet.PoolID
	for _, p := range r.pools {
		ids = append(ids, p.id)
	}
	r.planner.SetPools(ids, "spare")
	return r
}

func (r *turnsReplay) addPool(id fleet.PoolID, machines int, p replayPool) {
	p.id, p.open = id, map[job.ID]sentJob{}
	p.pool = schedule.New(schedule.Config{Pool: id, MaxStarting: 1000})
	p.pool.FinishRecovery(0)
	r.pools = append(r.pools, &p)
	for range machines {
		r.register(r.addMachine(id))
	}
}

func (r *turnsReplay) addMachine(pool fleet.PoolID) *replayMachine {
	m := &replayMachine{Machine: machine.Machine{
		ID: machine.ID(fmt.Sprintf("m%03d", len(r.machines))), Pool: pool, State: machine.Up, Capacity: job.Resources{CPU: 64000, Memory: 1 << 20},
	}}
	r.machines = append(r.machines, m)
	return m
}

// register starts a worker on a machine and shows it to the machine's pool.
func (r *turnsReplay) register(m *replayMachine) {
	m.worker++
	m.Worker, m.joinsAt = fleet.InstanceID(fmt.Sprintf("%s-%d", m.ID, m.worker)), 0
	pool := r.pool(m.Pool).pool
	pool.SetWorker(schedule.Worker{ID: m.Worker, Incarnation: clock.Millis(m.worker), Machine: string(m.ID), Capacity: m.Capacity}, r.now)
	pool.SetReachable(m.Worker, true, r.now)
	pool.Observe(m.Worker, schedule.Report{RequestedAt: r.now}, r.now)
}

func (r *turnsReplay) pool(id fleet.PoolID) *replayPool {
	for _, p := range r.pools {
		if p.id == id {
			return p
		}
	}
	return nil
}

// run advances the replay until a time.
func (r *turnsReplay) run(until clock.Millis) {
	for ; r.now < until; r.now += replayStep {
		r.advanceMachines()
		for _, p := range r.pools {
			r.submit(p)
			if r.held[p.id].contains(r.now) {
				continue
			}
			r.advancePool(p)
			if r.leading(r.now) && r.now-p.reported >= reportDelay {
				r.report(p)
			}
		}
		if r.leading(r.now) && r.now%planDelay == 0 {
			r.plan()
		}
	}
}

// submit adds the jobs that callers send.
func (r *turnsReplay) submit(p *replayPool) {
	factor := valleyFactor
	if int((r.now-1000)/turnLength) == p.turn {
		factor = peakFactor
	}
	p.due += p.jobs * factor * float64(replayStep) / 1000
	for ; p.due >= 1; p.due-- {
		p.sent++
		j := &job.Job{ID: job.ID(fmt.Sprintf("%s-%06d", p.id, p.sent)), Queue: "q"}
		for i := range 1 + r.rand.IntN(p.steps) {
			step := job.Step{Count: 1 + r.rand.IntN(p.width), Needs: job.Resources{CPU: r.around(1000 * p.cores), Memory: 1000}, Estimate: clock.Millis(r.around(p.runTime))}
			if i > 0 {
				step.After = []int{i - 1}
			}
			j.Steps = append(j.Steps, step)
		}
		p.pending = append(p.pending, replayJob{job: j, arrived: r.now, at: r.now + commitDelay})
		objective := r.now + clock.Millis(turnsPolicy.Stretch*float64(j.CriticalPath())) + turnsPolicy.Slack
		p.open[j.ID] = sentJob{objective: objective, served: !r.held[p.id].contains(r.now) && !r.held[p.id].contains(r.now+unaffected)}
		p.all.sent++
		if p.open[j.ID].served {
			p.served.sent++
		}
	}
}

// around returns a number around a mean.
func (r *turnsReplay) around(mean float64) int64 {
	return int64(mean * math.Exp(0.4*r.rand.NormFloat64()-0.08))
}

// advancePool ends runs, adds durable jobs, and places tasks.
func (r *turnsReplay) advancePool(p *replayPool) {
	for len(p.pending) > 0 && p.pending[0].at <= r.now {
		age := clock.Millis(0)
		if r.aged {
			age = r.now - p.pending[0].arrived
		}
		p.pool.Add(p.pending[0].job, turnsPolicy, nil, age, r.now)
		p.pending = p.pending[1:]
	}
	running := p.runs[:0]
	for _, run := range p.runs {
		if run.end > r.now {
			running = append(running, run)
			continue
		}
		p.pool.Observe(run.order.Worker, schedule.Report{RequestedAt: r.now, EndsOnly: true, Ended: []schedule.EndReport{{Task: run.order.Task, Run: run.order.Run, Kind: schedule.EndDone}}}, r.now)
	}
	p.runs = running
	for _, c := range p.pool.Changes(r.now, math.MaxInt) {
		p.pool.Committed(c)
		if sent, open := p.open[c.Job]; open && c.State.Final() {
			delete(p.open, c.Job)
			if r.now <= sent.objective {
				p.all.inTime++
				if sent.served {
					p.served.inTime++
				}
			}
		}
	}
	for _, o := range p.pool.Plan(r.now, r.now) {
		p.pool.Answered(o, schedule.Accepted, r.now)
		if o.Kind == schedule.Start {
			estimate := p.pool.Job(o.Task.Job).Steps[o.Task.Step].Estimate
			p.runs = append(p.runs, replayRun{order: o, end: r.now + startDelay + estimate + endDelay})
		}
	}
}

// report exchanges a pool's load for the leader's direction.
func (r *turnsReplay) report(p *replayPool) {
	p.reported = r.now
	r.planner.SetLoad(machine.PoolLoad{Pool: p.id, Fence: 1, Load: p.pool.Load(r.now)}, r.now)
	p.pool.Cordon(r.planner.Cordons(p.id), r.now)
}

// plan runs one pass of the planner and carries its orders out.
func (r *turnsReplay) plan() {
	if r.now%listDelay == 0 {
		var list []machine.Machine
		for _, m := range r.machines {
			list = append(list, m.Machine)
		}
		r.planner.SetMachines(list, r.now, r.now)
	}
	for _, o := range r.planner.Plan(r.now) {
		m := r.machine(o.Machine)
		if p := r.pool(m.Pool); p != nil && m.Worker != "" {
			p.pool.RemoveWorker(m.Worker, schedule.LossExpected, "its machine was moved or taken down", r.now)
		}
		m.Worker, m.joinsAt = "", 0
		if o.Pool != "" {
			m.State, m.Pool, m.readyAt = machine.Moving, o.Pool, r.now+moveDelay
		} else {
			m.State, m.readyAt = machine.InMaintenance, r.now+maintenanceTime
		}
		r.planner.Answered(o, machine.Done, true, r.now)
	}
}

func (r *turnsReplay) machine(id machine.ID) *replayMachine {
	for _, m := range r.machines {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// advanceMachines ends moves and maintenance, and lets new workers take tasks.
func (r *turnsReplay) advanceMachines() {
	for _, m := range r.machines {
		if m.readyAt != 0 && r.now >= m.readyAt {
			m.readyAt, m.State = 0, machine.Up
			if m.Pool != "spare" {
				m.joinsAt = r.now + registerDelay
			}
		}
		if m.joinsAt != 0 && r.now >= m.joinsAt {
			r.register(m)
		}
	}
}

// wave asks for the maintenance of a part of the machines.
func (r *turnsReplay) wave(part float64, duration clock.Millis) {
	w := machine.Wave{Number: 1, Duration: duration}
	for _, m := range r.machines {
		if r.rand.Float64() < part {
			w.Machines = append(w.Machines, m.ID)
		}
	}
	w.MaxDown = max(1, len(w.Machines)/6)
	r.planner.SetWave(w, nil, r.now)
}

// classFloor is the least part of a class that has to be served on a calm day.
const classFloor = 0.47

// Guards against a class that is served too little while machines move to the pool in its peak, and half of
// all machines are due for maintenance.
func TestPeaksAreServed(t *testing.T) {
	for _, c := range []struct {
		name string
		wave float64
		away clock.Millis // without a fleet leader
	}{{"calm", 0, 0}, {"wave", 0.54, 0}, {"wave without a fleet leader", 0.54, 7000}} {
		t.Run(c.name, func(t *testing.T) {
			r := newTurnsReplay(t, 1)
			r.aged = true
			r.leading = func(now clock.Millis) bool { return !span{2500, 2500 + c.away}.contains(now) }
			r.run(2000)
			if c.wave > 0 {
				r.wave(c.wave, 28_000)
			}
			r.run(50_000)
			for _, p := range r.pools {
				must.Greater(t, classFloor, p.all.share(), must.Sprint(p.id))
			}
		})
	}
}

// Guards against jobs that are late although they were sent while their pool had an owner, because jobs that waited
// for a new owner come first. The pool has none for half of its peak.
func TestJobsAfterAnOutageAreServedInTime(t *testing.T) {
	const outage clock.Millis = 5000
	var aged, unaged tally
	for seed := range uint64(5) {
		for _, counted := range []struct {
			sum  *tally
			aged bool
		}{{&aged, true}, {&unaged, false}} {
			r := newTurnsReplay(t, seed)
			r.aged = counted.aged
			r.held = map[fleet.PoolID]span{"short-1": {14_500, 14_500 + outage}}
			r.run(50_000)
			served := r.pool("short-1").served
			counted.sum.sent += served.sent
			counted.sum.inTime += served.inTime
		}
	}
	t.Logf("in time %.2f, and %.2f if jobs count from their commit", aged.share(), unaged.share())
	must.Greater(t, classFloor, aged.share())
	must.Greater(t, unaged.share(), aged.share())
}
