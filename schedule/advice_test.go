package schedule_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/schedule"
)

// Guards against starts on workers without a valid ticket of the adviser, and against repeated
// requests about workers that it has refused.
func TestAdvisedQueue(t *testing.T) {
	h := newHarness(t, 3)
	advised := testPolicy
	advised.Advised = true
	h.pool.Add(newJob(1, newStep(2)), advised, nil, 0, 0)
	orders := h.planAfter(0)
	must.Len(t, 1, orders)
	must.Eq(t, schedule.Ask, orders[0].Kind)
	must.Eq(t, []fleet.InstanceID{"w0", "w1", "w2"}, orders[0].Workers)
	must.Len(t, 0, h.planAfter(10), must.Sprint("a step has one pending request at most"))
	h.pool.Advised(orders[0], schedule.Advice{}, false, h.now)
	must.Len(t, 0, h.planAfter(100), must.Sprint("a failed request is not repeated at once"))
	again := h.planAfter(400)
	must.Len(t, 1, again)
	h.pool.Advised(again[0], schedule.Advice{Good: []schedule.Ticket{{Worker: "w1", Text: "t1"}}, Valid: 3000}, true, h.now)
	started := h.planAfter(10)
	must.Len(t, 2, started)
	for _, o := range started {
		must.Eq(t, "w1", o.Worker)
		must.Eq(t, "t1", o.Ticket)
	}
	h.pool.Answered(started[0], schedule.BadTicket, h.now)
	renewed := h.planAfter(10)
	must.Len(t, 1, renewed)
	must.Eq(t, []fleet.InstanceID{"w1"}, renewed[0].Workers)
}
