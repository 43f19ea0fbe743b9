package schedule_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/schedule"
)

// A queue with an adviser starts tasks only on workers with a valid ticket, and never asks
// again about workers that were refused.
func TestAdvisedQueue(t *testing.T) {
	r := newRig(t, 3)
	advised := terms
	advised.Advised = true
	r.pool.Add(newJob(1, tasks(2)), advised, nil, 0, 0)
	orders := r.plan(0)
	must.Len(t, 1, orders)
	must.Eq(t, schedule.Ask, orders[0].Kind)
	must.Eq(t, []fleet.InstanceID{"w0", "w1", "w2"}, orders[0].Workers)
	must.Len(t, 0, r.plan(10), must.Sprint("one call at a time for a step"))
	r.pool.Advised(orders[0], schedule.Advice{}, false, r.now)
	must.Len(t, 0, r.plan(100), must.Sprint("not at once after a failure"))
	again := r.plan(400)
	must.Len(t, 1, again)
	r.pool.Advised(again[0], schedule.Advice{Good: []schedule.Ticket{{Worker: "w1", Text: "t1"}}, Valid: 3000}, true, r.now)
	started := r.plan(10)
	must.Len(t, 2, started)
	for _, o := range started {
		must.Eq(t, "w1", o.Worker)
		must.Eq(t, "t1", o.Ticket)
	}
	r.pool.Answered(started[0], schedule.BadTicket, r.now)
	renewed := r.plan(10)
	must.Len(t, 1, renewed)
	must.Eq(t, []fleet.InstanceID{"w1"}, renewed[0].Workers)
}
