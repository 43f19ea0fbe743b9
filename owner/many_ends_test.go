package owner_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/worker"
)

// Guards against a second run of tasks whose ends a worker has not listed yet: it lists a number of them at once,
// and a new owner took the first page for all.
func TestTakeoverReadsAllEnds(t *testing.T) {
	for _, tasks := range []int{499, 500, 3000} {
		synctest.Test(t, func(t *testing.T) {
			store := newStore()
			wide := &job.Job{ID: "00000000000000aa", Queue: "q", Steps: []job.Step{{Count: tasks, Needs: job.Resources{CPU: 1, Memory: 1}}}}
			encoded, err := wide.Encode()
			must.NoError(t, err)
			store.put("jobs", string(wide.ID), encoded)
			store.put("workers", "known", []byte(`{"w0":{"born_ms":1,"address":"a"}}`))
			store.writeTime = 400 * time.Millisecond
			workers := newFakeFleet(2)
			workers.runTime, workers.maxEnds = 100*time.Millisecond, 500
			for i := range tasks {
				_, err := workers.start(t.Context(), worker.Endpoint{ID: "w0"}, worker.StartOrder{Task: job.Ref{Job: wide.ID, Index: i}, Run: 1, LeaseUntil: 60_000})
				must.NoError(t, err)
			}
			time.Sleep(200 * time.Millisecond)
			poolOwner := startOwner(t, owner.Config{Table: store.table(), Calls: workers.calls(), FinalStateRetention: 120_000})
			time.Sleep(400 * time.Millisecond)
			poolOwner.SetWorkers(workers.list(job.Resources{CPU: 10_000, Memory: 10_000}))
			time.Sleep(30 * time.Second)
			must.Len(t, tasks, workers.runs, must.Sprint("tasks ran more than once"))
			status, _, err := poolOwner.Status(t.Context(), wide.ID)
			must.NoError(t, err)
			must.Eq(t, job.Complete, status.State)
			must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
		})
	}
}

// Guards against a recovery that waits for ever for the ends of a worker that does not respond any more.
func TestRecoveryEndsWithoutTheEndsOfSilentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStoreToRecover(t)
		workers := newFakeFleet(4)
		workers.runTime, workers.maxEnds = 100*time.Millisecond, 2
		for i := range 3 {
			_, err := workers.start(t.Context(), worker.Endpoint{ID: "w0"}, worker.StartOrder{Task: job.Ref{Job: "00000000000000bb", Index: i}, Run: 1, LeaseUntil: 60_000})
			must.NoError(t, err)
		}
		time.Sleep(200 * time.Millisecond)
		workers.setAfterPoll(func(fleet.InstanceID) { workers.setCut("w0", true) })
		poolOwner := startOwner(t, owner.Config{Table: store.table(), Calls: workers.calls(), FinalStateRetention: 120_000})
		poolOwner.SetWorkers(workers.list(restartCapacity))
		time.Sleep(30 * time.Second)
		status, _, err := poolOwner.Status(t.Context(), "00000000000000aa")
		must.NoError(t, err)
		must.Eq(t, job.Complete, status.State)
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
	})
}
