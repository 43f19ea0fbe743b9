package schedule_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
)

// rig drives a pool with workers that accept every order.
type rig struct {
	t      *testing.T
	pool   *schedule.Pool
	now    clock.Millis
	events []schedule.Event
}

func newRig(t *testing.T, workers int) *rig {
	r := &rig{t: t}
	r.pool = schedule.New(schedule.Config{Pool: "p", Note: func(e schedule.Event) { r.events = append(r.events, e) }})
	r.pool.Settle(0)
	for i := range workers {
		r.worker(workerID(i), 16000)
	}
	return r
}

func workerID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("w%d", i)) }

// worker adds a worker that has answered.
func (r *rig) worker(id fleet.InstanceID, cpu int64) {
	r.pool.SetWorker(schedule.Worker{ID: id, Born: 1, Rack: "r1-1", Capacity: job.Resources{CPU: cpu, Memory: 32768}}, r.now)
	r.pool.SetReachable(id, true)
	r.pool.Observe(id, schedule.Report{Asked: r.now}, r.now)
}

// id returns the id of the nth job.
func id(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n)) }

func newJob(n int, steps ...job.Step) *job.Job { return &job.Job{ID: id(n), Queue: "q", Steps: steps} }

// tasks returns a step of count tasks of one core and one second.
func tasks(count int, after ...int) job.Step {
	return job.Step{Count: count, Needs: job.Resources{CPU: 1000, Memory: 100}, Estimate: 1000, After: after}
}

var terms = schedule.Terms{Attempts: 2, Stretch: 1.6, Slack: 600}

// plan returns what the pool orders, after some time.
func (r *rig) plan(after clock.Millis) []schedule.Order {
	r.now += after
	return r.pool.Plan(r.now, r.now)
}

// starts lets the pool plan and accepts its starts.
func (r *rig) starts(after clock.Millis) []schedule.Order {
	var out []schedule.Order
	for _, o := range r.plan(after) {
		if o.Kind == schedule.Start {
			r.pool.Answered(o, schedule.Accepted, r.now)
			out = append(out, o)
		}
	}
	return out
}

// end reports the end of a run.
func (r *rig) end(o schedule.Order, kind schedule.EndKind) {
	r.pool.Observe(o.Worker, schedule.Report{Asked: r.now, Ended: []schedule.EndReport{{Task: o.Task, Run: o.Run, Kind: kind}}}, r.now)
}

// commit makes all progress durable.
func (r *rig) commit() {
	for _, c := range r.pool.Changes(r.now, 1000) {
		r.pool.Committed(c)
	}
}

func (r *rig) state(n int) job.State {
	j := r.pool.Job(id(n))
	must.NotNil(r.t, j)
	return j.State()
}
