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

// newRackHarness returns a pool with the far factor 3 and one worker of four cores on each of the racks.
func newRackHarness(t *testing.T, racks ...fleet.RackID) *harness {
	h := &harness{t: t, now: 1000}
	h.pool = schedule.New(schedule.Config{Pool: "p", FarFactor: 3, OnEvent: func(e schedule.Event) { h.events = append(h.events, e) }})
	h.pool.FinishRecovery(h.now)
	for i, rack := range racks {
		h.addWorkerOn(workerID(i), rack, 1)
	}
	return h
}

// addWorkerOn adds a worker of four cores on a rack.
func (h *harness) addWorkerOn(id fleet.InstanceID, rack fleet.RackID, incarnation clock.Millis) {
	h.pool.SetWorker(schedule.Worker{ID: id, Incarnation: incarnation, Rack: rack, Capacity: job.Resources{CPU: 4000, Memory: 32768}}, h.now)
	h.pool.SetReachable(id, true, h.now)
	h.pool.Observe(id, schedule.Report{RequestedAt: h.now}, h.now)
}

// rackID returns the id of the nth rack.
func rackID(n int) fleet.RackID { return fleet.RackID(fmt.Sprint("r", n)) }

// addRackWorker adds the nth worker, of 16 cores, ten of which are on each rack.
func (h *harness) addRackWorker(n int) {
	id := workerID(n)
	h.pool.SetWorker(schedule.Worker{ID: id, Incarnation: 1, Rack: rackID(n / 10), Capacity: job.Resources{CPU: 16_000, Memory: 32768}}, h.now)
	h.pool.SetReachable(id, true, h.now)
	h.pool.Observe(id, schedule.Report{RequestedAt: h.now}, h.now)
}

// nearData returns a step of count tasks of one core and 1000 ms with data on a rack.
func nearData(count int, rack fleet.RackID) job.Step {
	s := newStep(count)
	s.DataRack = rack
	return s
}

// fillRack starts a task of four cores on a rack and returns its start. It is expected to run for the
// given time.
func (h *harness) fillRack(n int, rack fleet.RackID, estimate clock.Millis) schedule.Order {
	h.t.Helper()
	s := nearData(1, rack)
	s.Needs.CPU, s.Estimate = 4000, estimate
	h.addTo(n, "full", s)
	started := h.acceptStarts(0)
	must.Len(h.t, 1, started)
	return started[0]
}

// waits returns the events of waits for a near place, as the outcome or "begun", with the reason for
// which a wait was given up.
func (h *harness) waits() []string {
	out := []string{}
	for _, e := range h.events {
		switch e.Kind {
		case "place_wait_begun":
			out = append(out, "begun")
		case "place_wait_ended":
			out = append(out, fmt.Sprint(e.Wait.Outcome, e.Wait.Reason))
		}
	}
	return out
}

// Guards against a task that starts far from its data a moment before a near place is free, and against
// one that keeps waiting once a near place is free.
func TestTaskWaitsForNearPlace(t *testing.T) {
	h := newRackHarness(t, "a", "b")
	full := h.fillRack(1, "a", 900)
	h.addTo(2, "q", nearData(1, "a"))
	for range 9 {
		must.Len(t, 0, h.acceptStarts(100))
	}
	must.Len(t, 1, h.pool.Dump(h.now).PlaceWaits)
	must.Eq(t, "a", h.pool.Dump(h.now).PlaceWaits[0].Rack)
	h.reportEnd(full, schedule.EndDone)
	started := h.acceptStarts(5)
	must.Len(t, 1, started)
	must.Eq(t, "w0", started[0].Worker)
	must.Eq(t, []string{"begun", "near"}, h.waits())
	must.Eq(t, 0, h.pool.Dump(h.now).PlaceWaitCount)
	last := h.events[len(h.events)-1]
	must.Eq(t, 805, last.Wait.Waited, must.Sprint("the wait began in the first of the passes"))
}

// Guards against waits that can't pay, and against a change for tasks to which racks do not matter or
// while the far factor is unknown.
func TestTaskStartsFarIfWaitDoesNotPay(t *testing.T) {
	for _, c := range []struct {
		name   string
		full   clock.Millis // estimate of the task on the near rack
		step   job.Step
		policy job.Policy
	}{
		{"the near place is free too late", 1900, nearData(1, "a"), relaxedPolicy},
		{"no slack is left", 900, nearData(1, "a"), job.Policy{Stretch: 1, Slack: 800}},
		{"no worker is on the rack", 900, nearData(1, "c"), relaxedPolicy},
		{"the task may run anywhere", 900, newStep(1), relaxedPolicy},
	} {
		h := newRackHarness(t, "a", "b")
		h.fillRack(1, "a", c.full)
		h.pool.Add(newJob(2, c.step), c.policy, nil, 0, h.now)
		started := h.acceptStarts(10)
		must.Len(t, 1, started, must.Sprint(c.name))
		must.Eq(t, "w1", started[0].Worker, must.Sprint(c.name))
		must.Len(t, 0, h.waits(), must.Sprint(c.name))
	}
	h := newRackHarness(t, "a", "b")
	h.pool.FarFactor = 0
	h.fillRack(1, "a", 900)
	h.addTo(2, "q", nearData(1, "a"))
	must.Len(t, 1, h.acceptStarts(10))
}

// Guards against tasks that wait one after the other for more than a hot rack can give: the tasks that
// wait for it already count.
func TestHotRackMakesFewTasksWait(t *testing.T) {
	h := newRackHarness(t, "a", "b", "c")
	h.fillRack(1, "a", 700)
	for n := range 8 {
		h.addTo(2+n, "q", nearData(1, "a"))
	}
	started := h.acceptStarts(10)
	must.Len(t, 4, started, must.Sprint("the rack has four places within the time that a wait saves"))
	must.Eq(t, 4, h.pool.Dump(h.now).PlaceWaitCount)
}

// Guards against a wait for a worker that will not take the task, which ends at once.
func TestLostNearWorkerEndsWait(t *testing.T) {
	for name, lose := range map[string]func(*harness){
		"lost":        func(h *harness) { h.pool.RemoveWorker("w0", schedule.LossCrash, "", h.now) },
		"unreachable": func(h *harness) { h.pool.SetReachable("w0", false, h.now) },
		"cordoned":    func(h *harness) { h.pool.Cordon([]fleet.InstanceID{"w0"}, h.now) },
		"unlisted":    func(h *harness) { h.pool.Unlist("w0", h.now) },
		"draining": func(h *harness) {
			h.pool.SetWorker(schedule.Worker{ID: "w0", Incarnation: 1, Rack: "a", Capacity: job.Resources{CPU: 4000, Memory: 32768}, Draining: true}, h.now)
		},
	} {
		h := newRackHarness(t, "a", "b", "b")
		h.fillRack(1, "a", 900)
		h.addTo(2, "q", nearData(1, "a"))
		must.Len(t, 0, h.acceptStarts(10), must.Sprint(name))
		lose(h)
		started := h.acceptStarts(1)
		must.Positive(t, len(started), must.Sprint(name))
		must.Eq(t, jobID(2), started[len(started)-1].Task.Job, must.Sprint(name))
		must.Eq(t, []string{"begun", "gave_upno_place"}, h.waits(), must.Sprint(name))
	}
}

// Guards against a wait for a run that does not end: the later it is, the longer it is expected to go on.
func TestOverdueRunEndsWait(t *testing.T) {
	h := newRackHarness(t, "a", "b")
	h.fillRack(1, "a", 300)
	h.addTo(2, "q", nearData(1, "a"))
	begun := h.now
	var started []schedule.Order
	for len(started) == 0 {
		started = h.acceptStarts(10)
	}
	must.Between(t, 1200, h.now-begun, 3000)
	must.Eq(t, []string{"begun", "gave_updoes_not_pay"}, h.waits())
}

// Guards against a wait beyond the job's slack.
func TestWaitEndsWithSlack(t *testing.T) {
	h := newRackHarness(t, "a", "b")
	h.fillRack(1, "a", 600)
	h.pool.Add(newJob(2, nearData(1, "a")), job.Policy{Stretch: 1, Slack: 900}, nil, 0, h.now)
	begun := h.now
	var started []schedule.Order
	for len(started) == 0 {
		started = h.acceptStarts(10)
	}
	must.LessEq(t, 900, h.now-begun)
	must.Eq(t, []string{"begun", "gave_upno_slack"}, h.waits())
}

// Guards against a wait that is never recorded as ended because its job is cancelled.
func TestCancelledJobEndsWait(t *testing.T) {
	h := newRackHarness(t, "a", "b")
	h.fillRack(1, "a", 900)
	h.addTo(2, "q", nearData(1, "a"))
	must.Len(t, 0, h.acceptStarts(10))
	h.pool.Cancel(jobID(2), h.now)
	must.Len(t, 0, h.acceptStarts(10))
	must.Eq(t, []string{"begun", "withdrawn"}, h.waits())
	must.Eq(t, 0, h.pool.Dump(h.now).PlaceWaitCount)
}

// Guards against the first task of a step on a rack that has no capacity for the others, and against
// others that start on another rack although one that is expected to have capacity soon has the first.
func TestStepStaysOnOneRack(t *testing.T) {
	for _, gang := range []bool{false, true} {
		h := newRackHarness(t, "a", "b", "b")
		step := newStep(1)
		step.Needs.CPU, step.DataRack = 3000, "a"
		h.addTo(1, "full", step) // rack a is the fullest
		must.Len(t, 1, h.acceptStarts(0))
		step = newStep(6)
		step.SameRack, step.Gang = true, gang
		h.addTo(2, "q", step)
		started := h.acceptStarts(10)
		must.Len(t, 6, started)
		for _, o := range started {
			must.NotEq(t, "w0", o.Worker, must.Sprintf("gang: %t", gang))
		}
	}
	h := newRackHarness(t, "a", "b", "b")
	h.pool.FarFactor = 0
	step := newStep(1)
	step.Needs.CPU, step.DataRack = 3000, "a"
	h.addTo(1, "full", step)
	must.Len(t, 1, h.acceptStarts(0))
	step = newStep(6)
	step.SameRack = true
	h.addTo(2, "q", step)
	must.Eq(t, "w0", h.acceptStarts(10)[0].Worker, must.Sprint("while the far factor is unknown, the fullest worker is chosen"))
}

// Guards against a step that is spread over racks although its rack has capacity soon.
func TestRestOfStepWaitsForItsRack(t *testing.T) {
	for _, gang := range []bool{false, true} {
		h := newRackHarness(t, "a", "b")
		half := nearData(1, "a")
		half.Needs.CPU, half.Estimate = 2000, 400
		h.addTo(1, "full", half)
		half.DataRack = "b"
		half.Estimate = 4000
		h.addTo(2, "full", half)
		first := h.acceptStarts(0)
		must.Len(t, 2, first)
		step := newStep(4)
		step.SameRack, step.Gang = true, gang
		h.addTo(3, "q", step)
		started := h.acceptStarts(10)
		must.Len(t, map[bool]int{false: 2, true: 0}[gang], started)
		h.now += 390
		for _, o := range first {
			if o.Worker == "w0" {
				h.reportEnd(o, schedule.EndDone)
			}
		}
		started = append(started, h.acceptStarts(10)...)
		must.Len(t, 4, started, must.Sprintf("gang: %t", gang))
		for _, o := range started {
			must.Eq(t, "w0", o.Worker)
		}
	}
}

// Guards against several tasks of a step that wait for a worker which may take only one of them.
func TestWaitsKeepLimitOnWorker(t *testing.T) {
	h := newRackHarness(t, "a", "b", "c")
	h.fillRack(1, "a", 900)
	step := nearData(2, "a")
	step.MaxPerWorker = 1
	h.addTo(2, "q", step)
	must.Len(t, 1, h.acceptStarts(10))
	must.Eq(t, 1, h.pool.Dump(h.now).PlaceWaitCount)
}

// Guards against a gang that goes on waiting for a rack that is lost, and against one that is spread over
// racks although another one can take it soon.
func TestGangWaitsForAnotherRack(t *testing.T) {
	h := newRackHarness(t, "a", "b", "c")
	for i, rack := range []fleet.RackID{"a", "b", "c"} {
		half := nearData(1, rack)
		half.Needs.CPU, half.Estimate = 2000, 400+clock.Millis(i)*200
		h.addTo(1+i, "full", half)
	}
	must.Len(t, 3, h.acceptStarts(0))
	step := newStep(4)
	step.SameRack, step.Gang = true, true
	h.addTo(9, "q", step)
	must.Len(t, 0, h.acceptStarts(10))
	must.Eq(t, "a", h.pool.Dump(h.now).PlaceWaits[0].Rack)
	h.pool.Cordon([]fleet.InstanceID{"w0"}, h.now)
	must.Len(t, 0, h.acceptStarts(10))
	must.Eq(t, "b", h.pool.Dump(h.now).PlaceWaits[0].Rack)
	h.pool.Cordon([]fleet.InstanceID{"w0", "w1"}, h.now)
	h.addWorkerOn("w3", "d", 1)
	started := h.acceptStarts(10)
	must.Len(t, 4, started)
	for _, o := range started {
		must.Eq(t, "w3", o.Worker)
	}
	must.Eq(t, []string{"begun", "near"}, h.waits())
}

// Guards against a gang that is counted as started near although only its first task is.
func TestSpreadGangHasGivenUp(t *testing.T) {
	h := newRackHarness(t, "a", "b")
	for i, rack := range []fleet.RackID{"a", "b"} {
		half := nearData(1, rack)
		half.Needs.CPU, half.Estimate = 2000, 300
		h.addTo(1+i, "full", half)
	}
	must.Len(t, 2, h.acceptStarts(0))
	step := newStep(4)
	step.SameRack, step.Gang = true, true
	h.addTo(9, "q", step)
	must.Len(t, 0, h.acceptStarts(10))
	var started []schedule.Order
	for len(started) == 0 {
		started = h.acceptStarts(10)
	}
	must.Len(t, 4, started)
	must.Eq(t, []string{"begun", "gave_updoes_not_pay"}, h.waits())
}

// Guards against tasks that run far, and take the capacity of others for longer, because their estimates
// are low: by the learned run time, their jobs have no slack from the start.
func TestTaskWithLowEstimateWaits(t *testing.T) {
	h := newRackHarness(t, "a", "b")
	h.observeRuns("q", 20, 1900)
	h.fillRack(1, "a", 300)
	h.pool.Add(newJob(2, nearData(1, "a")), job.Policy{Stretch: 1.2, Slack: 500}, nil, 0, h.now)
	must.Len(t, 0, h.acceptStarts(10))
	must.Eq(t, 1, h.pool.Dump(h.now).PlaceWaitCount)
}
