package owner_test

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/rowstore"
	"citronknot/schedule"
	"citronknot/worker"
)

// Guards against an incarnation that has ended and is polled again and again, as long as the platform
// lists it: each time its owner opened connections, wrote the row of the known workers and counted a
// worker that takes no tasks.
func TestEndedIncarnationIsNotPolledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{rows: map[rowstore.Ref]rowstore.Row{}}
		started := time.Now()
		testClock := clock.Clock{NowFunc: func() clock.Millis { return clock.MillisOf(time.Since(started)) }}
		lease := &rowstore.OwnerLease{Table: store.table(), Clock: testClock, Partition: "p", Self: "m", Address: "m:1"}
		must.NoError(t, lease.Observe(rowstore.Row{}))
		claimed, err := lease.Claim(t.Context())
		must.NoError(t, err)
		must.True(t, claimed)
		var polls atomic.Int64
		calls := (&fakeWorkers{}).calls()
		calls.Poll = func(context.Context, worker.Endpoint, worker.PollRequest) (worker.PollResponse, error) {
			polls.Add(1)
			time.Sleep(time.Millisecond)
			return worker.PollResponse{Reply: worker.Reply{Result: worker.OtherIncarnation, Clock: 1}}, nil
		}
		poolOwner := owner.New(owner.Config{
			Pool: "p", Lease: lease, Former: rowstore.HolderReleased, Table: store.table(), Clock: testClock, Calls: calls, Log: slog.New(slog.DiscardHandler),
			Metrics: owner.NewMetrics(), FinalStateRetention: 1000, Policy: func(fleet.QueueID) (schedule.Policy, bool) { return schedule.Policy{}, true },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- poolOwner.Run(ctx) }()
		list := func(incarnation clock.Millis) []owner.ListedWorker {
			return []owner.ListedWorker{{Worker: schedule.Worker{ID: "w1", Incarnation: incarnation, Capacity: job.Resources{CPU: 10}}, Address: "a"}}
		}
		time.Sleep(100 * time.Millisecond)
		for range 20 {
			poolOwner.SetWorkers(list(1))
			time.Sleep(100 * time.Millisecond)
		}
		must.Eq(t, 1, polls.Load())
		poolOwner.SetWorkers(list(2))
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 2, polls.Load(), must.Sprint("a later incarnation under the same id is polled"))
		cancel()
		<-done
	})
}

// Guards against an owner that takes its view of the workers for recent although its machine was suspended.
func TestOwnerNoticesSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newZonedPool(t)
		p.suspended.Store(200)
		time.Sleep(time.Second)
		must.StrNotContains(t, p.log.String(), "was suspended")
		p.suspended.Store(2200)
		time.Sleep(time.Second)
		must.Eq(t, 1, strings.Count(p.log.String(), "the machine was suspended"))
	})
}
