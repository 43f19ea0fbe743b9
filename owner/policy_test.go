package owner_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/schedule"
	"citronknot/worker"
)

// failingWorker is a worker on which each run fails at once.
type failingWorker struct {
	mu    sync.Mutex
	ended []worker.EndedRun // not acknowledged yet
	runs  int
}

func (w *failingWorker) calls() worker.Calls {
	calls := (&fakeWorkers{}).calls()
	calls.Start = func(_ context.Context, _ worker.Endpoint, o worker.StartOrder) (worker.Reply, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.runs++
		w.ended = append(w.ended, worker.EndedRun{Number: int64(w.runs), EndReport: schedule.EndReport{Task: o.Task, Run: o.Run, Kind: schedule.EndFailed}})
		return worker.Reply{Result: worker.Done}, nil
	}
	calls.Poll = func(_ context.Context, _ worker.Endpoint, r worker.PollRequest) (worker.PollResponse, error) {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		var ended []worker.EndedRun
		for _, e := range w.ended {
			if e.Number > r.AcknowledgedThrough {
				ended = append(ended, e)
			}
		}
		w.ended = ended
		return worker.PollResponse{Reply: worker.Reply{Result: worker.Done, Clock: 1}, Ended: ended}, nil
	}
	return calls
}

// Guards against a job that fails after one of four attempts because its owner has not read the version of the
// configuration that adds its queue: the member that accepted the job has.
func TestJobKeepsThePolicyOfItsAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failing := &failingWorker{}
		poolOwner := startOwner(t, owner.Config{
			Table: newStore().table(), Calls: failing.calls(), FinalStateRetention: 60_000,
			Policy: func(fleet.QueueID) (job.Policy, bool) { return job.Policy{}, false },
		})
		poolOwner.SetWorkers([]owner.ListedWorker{{Worker: schedule.Worker{ID: "w1", Incarnation: 1, Capacity: job.Resources{CPU: 1000}}, Address: "a"}})
		submitted := &job.Job{ID: "00000000000000aa", Queue: "new", Steps: []job.Step{{Count: 1, Needs: job.Resources{CPU: 1000}, Estimate: 100}}}
		var refused *owner.RefusedError
		must.True(t, errors.As(poolOwner.Submit(t.Context(), submitted, owner.Route{}, 0), &refused), must.Sprint("a job without a policy waits for the configuration"))
		must.False(t, refused.Final)

		submitted.Policy = &job.Policy{Attempts: 4, Stretch: 2, Slack: 1000}
		must.NoError(t, poolOwner.Submit(t.Context(), submitted, owner.Route{}, 0))
		time.Sleep(10 * time.Second)
		status, found, err := poolOwner.Status(t.Context(), submitted.ID)
		must.NoError(t, err)
		must.True(t, found)
		must.Eq(t, job.Failed, status.State)
		must.Eq(t, 4, failing.runs)
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
	})
}
