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

// harness drives a pool on a simulated clock and records its events.
type harness struct {
	t      *testing.T
	pool   *schedule.Pool
	now    clock.Millis
	events []schedule.Event
}

// newHarness returns a pool that has finished recovery, with the given number of workers of 16
// cores each.
func newHarness(t *testing.T, workers int) *harness {
	h := &harness{t: t}
	h.pool = schedule.New(schedule.Config{Pool: "p", OnEvent: func(e schedule.Event) { h.events = append(h.events, e) }})
	h.pool.FinishRecovery(0)
	for i := range workers {
		h.addWorker(workerID(i), 16000)
	}
	return h
}

// workerID returns the id of the ith worker.
func workerID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("w%d", i)) }

// addWorker adds a worker that is reachable and has responded to a poll.
func (h *harness) addWorker(id fleet.InstanceID, cpu int64) {
	h.pool.SetWorker(schedule.Worker{ID: id, Incarnation: 1, Rack: "r1-1", Capacity: job.Resources{CPU: cpu, Memory: 32768}}, h.now)
	h.pool.SetReachable(id, true, h.now)
	h.pool.Observe(id, schedule.Report{RequestedAt: h.now}, h.now)
}

// jobID returns the id of the nth job.
func jobID(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n)) }

// newJob returns the nth job, with the given steps.
func newJob(n int, steps ...job.Step) *job.Job {
	return &job.Job{ID: jobID(n), Queue: "q", Steps: steps}
}

// newStep returns a step of count tasks, each of one core and one second.
func newStep(count int, after ...int) job.Step {
	return job.Step{Count: count, Needs: job.Resources{CPU: 1000, Memory: 100}, Estimate: 1000, After: after}
}

// testPolicy is the policy of most test jobs: two attempts, and an objective of 1.6 times the
// critical path plus 600 ms.
var testPolicy = job.Policy{Attempts: 2, Stretch: 1.6, Slack: 600}

// planAfter advances the clock and returns the pool's orders.
func (h *harness) planAfter(elapsed clock.Millis) []schedule.Order {
	h.now += elapsed
	return h.pool.Plan(h.now, h.now)
}

// acceptStarts advances the clock, lets the pool plan, and accepts and returns the starts.
func (h *harness) acceptStarts(elapsed clock.Millis) []schedule.Order {
	var out []schedule.Order
	for _, o := range h.planAfter(elapsed) {
		if o.Kind == schedule.Start {
			h.pool.Answered(o, schedule.Accepted, h.now)
			out = append(out, o)
		}
	}
	return out
}

// reportEnd reports the end of the run that was started by an order.
func (h *harness) reportEnd(o schedule.Order, kind schedule.EndKind) {
	h.pool.Observe(o.Worker, schedule.Report{RequestedAt: h.now, Ended: []schedule.EndReport{{Task: o.Task, Run: o.Run, Kind: kind}}}, h.now)
}

// commitChanges makes all progress durable.
func (h *harness) commitChanges() {
	for _, c := range h.pool.Changes(h.now, 1000) {
		h.pool.Committed(c)
	}
}

// jobState returns the durable state of the nth job.
func (h *harness) jobState(n int) job.State {
	j := h.pool.Job(jobID(n))
	must.NotNil(h.t, j)
	return j.State()
}
