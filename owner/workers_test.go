package owner_test

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/schedule"
	"citronknot/worker"
)

// Guards against an incarnation that has ended and is polled again and again, as long as the platform
// lists it: each time its owner opened connections, wrote the row of the known workers and counted a
// worker that takes no tasks.
func TestEndedIncarnationIsNotPolledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var polls atomic.Int64
		calls := (&fakeWorkers{}).calls()
		calls.Poll = func(context.Context, worker.Endpoint, worker.PollRequest) (worker.PollResponse, error) {
			polls.Add(1)
			time.Sleep(time.Millisecond)
			return worker.PollResponse{Reply: worker.Reply{Result: worker.OtherIncarnation, Clock: 1}}, nil
		}
		poolOwner := startOwner(t, owner.Config{Table: newStore().table(), Calls: calls})
		list := func(incarnation clock.Millis) []owner.ListedWorker {
			return []owner.ListedWorker{{Worker: schedule.Worker{ID: "w1", Incarnation: incarnation, Capacity: job.Resources{CPU: 10}}, Address: "a"}}
		}
		for range 20 {
			poolOwner.SetWorkers(list(1))
			time.Sleep(100 * time.Millisecond)
		}
		must.Eq(t, 1, polls.Load())
		poolOwner.SetWorkers(list(2))
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 2, polls.Load(), must.Sprint("a later incarnation under the same id is polled"))
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
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
