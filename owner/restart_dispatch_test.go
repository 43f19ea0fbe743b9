package owner_test

import (
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/dispatcher"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/schedule"
)

// Guards against a second run of a task whose start a dispatcher has sent to a worker that restarts: the owner
// took the run for ended when the dispatcher reported the end of the incarnation.
func TestDispatcherReportsRestartOfWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newDividedPool(t)
		p.join("s1")
		start := p.startTask("00000000000000aa")
		p.send(dispatcher.Event{Kind: dispatcher.IncarnationLost, Assignment: start.Assignment, Successor: 6, Detail: "it has restarted"})
		next, stop := p.pollRestart(start)
		must.Eq(t, 6, next.Incarnation)
		must.Eq(t, 10_000, next.MaxLease)
		must.Eq(t, 10_000, next.FormerLease, must.Sprint("the successor may have the lease of the start"))
		must.GreaterEq(t, 10_000, next.FormerLeases)
		must.Eq(t, next.ID, stop.Assignment)
		p.owner.SetWorkers(listRestarted(next.Endpoint.ID))
		for range 20 { // until the call of the start has certainly ended
			must.SliceEmpty(t, p.poll(p.request.Session).Assigned)
		}
		now := p.owner.Clock.Now()
		p.send(
			dispatcher.Event{Kind: dispatcher.Reachable, Assignment: next.ID, At: now},
			dispatcher.Event{Kind: dispatcher.OrderCompleted, Assignment: next.ID, Order: stop.Order, Outcome: schedule.Accepted, At: now},
			dispatcher.Event{Kind: dispatcher.Polled, Assignment: next.ID, Report: schedule.Report{RequestedAt: now + 1}, At: now + 1},
		)
		for range 10 {
			if b := p.poll(p.request.Session); len(b.Orders) > 0 {
				must.Eq(t, schedule.Start, b.Orders[0].Kind)
				must.Greater(t, start.Run, b.Orders[0].Run)
				must.Error(t, p.owner.stop())
				return
			}
		}
		t.Error("the task was not started again")
	})
}

// pollRestart polls until the owner has assigned the successor of a worker and has withdrawn a start from it. No
// task may be started meanwhile.
func (p *dividedPool) pollRestart(start dispatcher.Order) (next dispatcher.Assignment, stop dispatcher.Order) {
	p.t.Helper()
	for range 10 {
		b := p.poll(p.request.Session)
		for _, a := range b.Assigned {
			next = a
		}
		for _, o := range b.Orders {
			must.Eq(p.t, schedule.Stop, o.Kind)
			must.Eq(p.t, start.Task, o.Task)
			stop = o
		}
	}
	return next, stop
}

// listRestarted returns the workers of a divided pool as the platform lists them once one has restarted.
func listRestarted(id fleet.InstanceID) []owner.ListedWorker {
	var listed []owner.ListedWorker
	for _, w := range []fleet.InstanceID{"w1", "w2"} {
		incarnation := clock.Millis(5)
		if w == id {
			incarnation = 6
		}
		listed = append(listed, owner.ListedWorker{Worker: schedule.Worker{ID: w, Incarnation: incarnation, Capacity: job.Resources{CPU: 1000}}, Address: "a"})
	}
	return listed
}
