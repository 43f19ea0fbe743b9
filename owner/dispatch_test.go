package owner_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/dispatcher"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/rowstore"
	"citronknot/schedule"
)

// dividedPool is an owner that wants dispatchers for its two workers, and a dispatcher that the test
// plays.
type dividedPool struct {
	t       *testing.T
	store   *fakeStore
	owner   *runningOwner
	workers *fakeWorkers
	request dispatcher.PollRequest
	results uint64
}

// newDividedPool returns an owner whose CPU suffices for one worker.
func newDividedPool(t *testing.T) *dividedPool {
	p := &dividedPool{t: t, store: newStore(), workers: &fakeWorkers{}}
	testClock := newClock()
	p.owner = startOwner(t, owner.Config{
		Lease: claimLease(t, p.store.table(), testClock, "m0"), CPUCores: 0.02, Table: p.store.table(), Clock: testClock,
		Calls: p.workers.calls(), Policy: func(fleet.QueueID) (job.Policy, bool) { return job.Policy{Attempts: 3}, true },
	})
	var listed []owner.ListedWorker
	for _, id := range []fleet.InstanceID{"w1", "w2"} {
		listed = append(listed, owner.ListedWorker{Worker: schedule.Worker{ID: id, Incarnation: 5, Capacity: job.Resources{CPU: 1000}}, Address: "a"})
	}
	p.owner.SetWorkers(listed)
	time.Sleep(time.Second)
	return p
}

// poll asks for the next batch as a dispatcher with a given session does, and confirms it with the
// next request.
func (p *dividedPool) poll(session dispatcher.SessionID) dispatcher.Batch {
	p.t.Helper()
	if p.request.Session != session {
		p.request, p.results = dispatcher.PollRequest{Member: "m1", Session: session, Wait: 100}, 0
	}
	b, err := p.owner.NextBatch(p.t.Context(), p.request)
	must.NoError(p.t, err)
	p.request.Received = max(p.request.Received, b.Number)
	return b
}

// send sends the results of the dispatcher that polled last.
func (p *dividedPool) send(events ...dispatcher.Event) {
	p.results++
	p.owner.TakeResults(dispatcher.Results{Member: "m1", Session: p.request.Session, Number: p.results, Events: events})
}

// join offers the service and responds for the workers. It returns the assignments.
func (p *dividedPool) join(session dispatcher.SessionID) []dispatcher.Assignment {
	p.t.Helper()
	var assigned []dispatcher.Assignment
	for range 10 {
		b := p.poll(session)
		must.False(p.t, b.Ended)
		assigned = append(assigned, b.Assigned...)
	}
	must.Len(p.t, 2, assigned)
	for _, a := range assigned {
		p.send(dispatcher.Event{Kind: dispatcher.Reachable, Assignment: a.ID}, dispatcher.Event{Kind: dispatcher.Polled, Assignment: a.ID})
	}
	return assigned
}

// startTask submits a job of one task and returns its start order.
func (p *dividedPool) startTask(id job.ID) dispatcher.Order {
	p.t.Helper()
	must.NoError(p.t, p.owner.Submit(p.t.Context(), &job.Job{ID: id, Queue: "q", Steps: []job.Step{{Count: 1, Needs: job.Resources{CPU: 1000}}}}, owner.Route{}, 0))
	for range 10 {
		if b := p.poll(p.request.Session); len(b.Orders) > 0 {
			return b.Orders[0]
		}
	}
	p.t.Fatal("the task was not started")
	return dispatcher.Order{}
}

// Guards against a start that waits in a batch while its worker's capacity shrinks, and is carried out
// afterwards.
func TestStartOfShrunkWorkerLeavesUnsentBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newDividedPool(t)
		p.join(dispatcher.SessionID("s1"))
		must.NoError(t, p.owner.Submit(t.Context(), &job.Job{ID: "00000000000000aa", Queue: "q", Steps: []job.Step{{Count: 2, Needs: job.Resources{CPU: 1000}}}}, owner.Route{}, 0))
		time.Sleep(5 * time.Millisecond)
		var listed []owner.ListedWorker
		for _, id := range []fleet.InstanceID{"w1", "w2"} {
			listed = append(listed, owner.ListedWorker{Worker: schedule.Worker{ID: id, Incarnation: 5, Capacity: job.Resources{CPU: 500}}, Address: "a"})
		}
		p.owner.SetWorkers(listed)
		time.Sleep(5 * time.Millisecond)
		var orders []schedule.OrderKind
		for range 3 {
			for _, o := range p.poll(p.request.Session).Orders {
				orders = append(orders, o.Kind)
			}
		}
		must.Eq(t, []schedule.OrderKind{schedule.Stop, schedule.Stop}, orders)
		must.Error(t, p.owner.stop())
	})
}

// Guards against an owner that does not use the dispatchers it asked for, and against two members
// that call the same worker.
func TestWorkersAreAssignedToDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newDividedPool(t)
		assigned := p.join("s1")
		must.Positive(t, assigned[0].FormerLeases)
		must.NotEq(t, assigned[0].ID, assigned[1].ID)
		order := p.startTask("00000000000000aa")
		must.Eq(t, schedule.Start, order.Kind)
		must.Eq(t, 0, p.workers.started(), must.Sprint("the owner sends no orders to assigned workers"))
		dump := p.owner.Dump()
		must.Len(t, 1, dump.Dispatchers)
		must.Eq(t, 2, dump.Dispatchers[0].Workers)
		must.Eq(t, 0, dump.DispatchersWanted)
		p.owner.TakeResults(dispatcher.Results{Member: "m1", Session: "s1", Number: 99, Leaving: true})
		must.ErrorIs(t, p.owner.stop(), context.Canceled)
	})
}

// Guards against an owner that takes workers back from a silent dispatcher while its grant lasts, or
// never: the dispatcher may only be slow.
func TestWorkersOfSilentDispatcherWaitForItsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newDividedPool(t)
		p.join("s1")
		p.poll("s1")
		granted := time.Now()
		for time.Since(granted) < dispatcher.GrantLength.Duration() {
			must.Len(t, 1, p.owner.Dump().Dispatchers)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		must.Len(t, 0, p.owner.Dump().Dispatchers)
		must.True(t, p.poll("s1").Ended, must.Sprint("the service does not go on"))
		_ = p.owner.stop()
	})
}

// Guards against an order that is lost with the response that contained it, and against one that is
// sent again with the next batch.
func TestBatchIsRepeatedUntilReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newDividedPool(t)
		p.join("s1")
		received := p.request.Received
		order := p.startTask("00000000000000aa")
		p.request.Received = received // the response was lost
		again := p.poll("s1")
		must.Len(t, 1, again.Orders)
		must.Eq(t, order, again.Orders[0])
		must.Len(t, 0, p.poll("s1").Orders)
		p.owner.TakeResults(dispatcher.Results{Member: "m1", Session: "s1", Number: 99, Leaving: true})
		_ = p.owner.stop()
	})
}

// Guards against an end that counts as durable for a worker that was given to another member: the
// worker would forget it, although the owner has not recorded it.
func TestEndsOfFormerAssignmentsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newDividedPool(t)
		former := p.join("s1")
		order := p.startTask("00000000000000aa")
		p.request.Session = ""
		current := p.join("s2")
		must.NotEq(t, former[0].ID, current[0].ID)
		end := schedule.EndReport{Task: order.Task, Run: order.Run, Kind: schedule.EndDone}
		p.owner.TakeResults(dispatcher.Results{Member: "m1", Session: "s1", Number: 3, Events: []dispatcher.Event{
			{Kind: dispatcher.Polled, Assignment: order.Assignment, Change: 1, Report: schedule.Report{Ended: []schedule.EndReport{end}}},
		}})
		p.send(dispatcher.Event{Kind: dispatcher.Polled, Assignment: order.Assignment, Change: 1, Report: schedule.Report{Ended: []schedule.EndReport{end}}})
		time.Sleep(time.Second)
		status, found, err := p.owner.Status(t.Context(), "00000000000000aa")
		must.NoError(t, err)
		must.True(t, found)
		must.NotEq(t, job.Complete, status.State)
		must.Eq(t, 0, p.poll("s2").Durable)
		p.owner.TakeResults(dispatcher.Results{Member: "m1", Session: "s2", Number: 99, Leaving: true})
		_ = p.owner.stop()
	})
}

// Guards against an end that the dispatcher may let the worker forget before it is durable, and
// against results that are applied twice because their response was lost.
func TestResultsAreDurableBeforeTheyAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newDividedPool(t)
		p.join("s1")
		order := p.startTask("00000000000000aa")
		p.store.mu.Lock()
		p.store.unreachable = true
		p.store.mu.Unlock()
		failed := schedule.EndReport{Task: order.Task, Run: order.Run, Kind: schedule.EndFailed}
		event := dispatcher.Event{Kind: dispatcher.Polled, Assignment: order.Assignment, Change: 1, Report: schedule.Report{Ended: []schedule.EndReport{failed}}}
		p.send(dispatcher.Event{Kind: dispatcher.OrderCompleted, Assignment: order.Assignment, Order: order.Order, Outcome: schedule.Accepted}, event)
		for range 3 {
			must.Eq(t, 0, p.poll("s1").Durable)
		}
		p.results-- // the response was lost
		p.send(event)
		p.store.mu.Lock()
		p.store.unreachable = false
		p.store.mu.Unlock()
		time.Sleep(time.Second)
		must.Eq(t, 1, p.poll("s1").Durable)
		p.owner.TakeResults(dispatcher.Results{Member: "m1", Session: "s1", Number: 99, Leaving: true})
		_ = p.owner.stop()
	})
}

// Guards against older results that are applied again after newer ones, because their response was
// lost and they were sent again.
func TestResultsAreAppliedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newDividedPool(t)
		assigned := p.join("s1")
		reachable := func() bool { return p.owner.Dump().Schedule.Workers[0].Reachable }
		p.send(dispatcher.Event{Kind: dispatcher.Reachable, Assignment: assigned[0].ID}, dispatcher.Event{Kind: dispatcher.Reachable, Assignment: assigned[1].ID})
		must.True(t, reachable())
		p.send(dispatcher.Event{Kind: dispatcher.Unreachable, Assignment: assigned[0].ID}, dispatcher.Event{Kind: dispatcher.Unreachable, Assignment: assigned[1].ID})
		must.False(t, reachable())
		p.results -= 2
		p.send(dispatcher.Event{Kind: dispatcher.Reachable, Assignment: assigned[0].ID}, dispatcher.Event{Kind: dispatcher.Reachable, Assignment: assigned[1].ID})
		must.False(t, reachable())
		p.owner.TakeResults(dispatcher.Results{Member: "m1", Session: "s1", Number: 99, Leaving: true})
		_ = p.owner.stop()
	})
}

// Guards against grants that outlast the owner's own authority: another member may own the pool
// then, and takes the authority of the former owner as over.
func TestGrantsEndWithTheOwnersAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newDividedPool(t)
		p.join("s1")
		p.store.mu.Lock()
		p.store.unreachable = true
		p.store.mu.Unlock()
		unreachableAt := time.Now()
		for time.Since(unreachableAt) < rowstore.OwnerLeaseAuthority.Duration()-time.Second {
			b := p.poll("s1")
			end := time.Since(unreachableAt) + b.Grant.Duration()
			must.LessEq(t, (rowstore.OwnerLeaseAuthority + rowstore.OwnerLeaseRenewInterval).Duration(), end)
		}
		must.Less(t, dispatcher.GrantLength, p.poll("s1").Grant)
		var expired *rowstore.LeaseExpiredError
		must.True(t, errors.As(<-p.owner.done, &expired))
		p.owner.cancel()
	})
}

// Guards against a pool that is released while a dispatcher may still call its workers: the next
// owner would take the former orders as over.
func TestPoolIsNotReleasedBeforeItsDispatchersStop(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p := newDividedPool(t)
			p.join("s1")
			p.poll("s1")
			p.owner.cancel()
			time.Sleep(100 * time.Millisecond)
			must.True(t, p.poll("s1").Ended)
			if leaves {
				p.owner.TakeResults(dispatcher.Results{Member: "m1", Session: "s1", Number: p.results + 1, Leaving: true})
			}
			var unconfirmed *owner.UnconfirmedStopError
			must.Eq(t, !leaves, errors.As(<-p.owner.done, &unconfirmed))
		})
	}
}

// Guards against pools that are divided without need, and against dispatchers that come and go while
// a pool grows and shrinks around the limit of its owner.
func TestDivision(t *testing.T) {
	for _, c := range []struct {
		name    string
		workers int
		cpu     float64
		divided bool
		want    bool
	}{
		{"a small pool stays whole", 11, 0.4, false, false},
		{"a pool of an owner with enough CPU stays whole", 60, 0.8, false, false},
		{"a large pool is divided", 61, 0.8, false, true},
		{"a divided pool stays divided down to half the limit", 31, 0.8, true, true},
		{"a divided pool that shrinks is not divided any more", 30, 0.8, true, false},
		{"a low-CPU owner divides a pool of middle size", 16, 0.192, false, true},
		{"an owner of unknown CPU does not divide", 1000, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, owner.Divides(c.workers, c.cpu, c.divided)) })
	}
	must.Eq(t, 24, owner.DispatcherCapacity(0.192))
	must.Eq(t, 64, owner.DispatcherCapacity(0.8))
	must.Eq(t, 8, owner.DispatcherCapacity(0.01))
	must.Eq(t, 12, owner.DispatchersWanted(268, 0))
	must.Eq(t, 1, owner.DispatchersWanted(25, 24))
	must.Eq(t, 0, owner.DispatchersWanted(24, 24))
}
