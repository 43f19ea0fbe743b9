package owner_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
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
	"citronknot/worker"
)

var restartCapacity = job.Resources{CPU: 1000, Memory: 1000}

// listOthers returns the workers as the platform lists them, but for one that has no entry.
func (f *fakeFleet) listOthers(id fleet.InstanceID) []owner.ListedWorker {
	return slices.DeleteFunc(f.list(restartCapacity), func(w owner.ListedWorker) bool { return w.ID == id })
}

// knownWorkers returns the row of the known workers.
func (s *fakeStore) knownWorkers() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[rowstore.Ref{Table: "workers", Partition: "p", Key: "known"}].Value)
}

// submitTasks submits a job of tasks that each take 100 of the 1000 millicores of a worker.
func submitTasks(t *testing.T, o *runningOwner, id job.ID, tasks int) {
	t.Helper()
	steps := []job.Step{{Count: tasks, Needs: job.Resources{CPU: 100, Memory: 10}, Estimate: 8000}}
	must.NoError(t, o.Submit(t.Context(), &job.Job{ID: id, Queue: "q", Steps: steps}, owner.Route{}, 0))
}

// Guards against a second run of a task while the first goes on: a worker restarts under its id, its successor
// carries out a start that was meant for the ended incarnation, and is then cut off. The owner took the run for
// ended with the incarnation, or its lease for one of the usual length. The start is answered before
// the restart is known, or carried out after that, and the cut comes before or after the restart is known.
func TestRunsOnRestartedWorkersAreNotDoubled(t *testing.T) {
	for _, c := range []struct {
		name  string
		late  time.Duration // until the start is carried out
		known bool          // the cut begins once the owner knows of the restart
	}{
		{name: "answered, cut at once"},
		{name: "answered, cut once the restart is known", known: true},
		{name: "carried out late, no answer", late: 450 * time.Millisecond, known: true},
		{name: "carried out much later, no answer", late: 3 * time.Second, known: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			workers := newFakeFleet(4)
			workers.runTime = 9 * time.Second
			var restarted atomic.Bool
			workers.beforeStart = func(id fleet.InstanceID, _ worker.StartOrder) {
				if restarted.Swap(true) {
					return
				}
				workers.restart(id)
				cut := func(called fleet.InstanceID) {
					if called == id {
						workers.setCut(id, true)
					}
				}
				if c.known {
					workers.setAfterPoll(cut)
				} else {
					workers.afterStart = func(called fleet.InstanceID, _ worker.StartOrder) { cut(called) }
				}
				time.Sleep(c.late)
			}
			poolOwner := startOwner(t, owner.Config{Table: newStore().table(), Calls: workers.calls(), FinalStateRetention: 120_000})
			poolOwner.SetWorkers(workers.list(restartCapacity))
			time.Sleep(time.Second)
			submitTasks(t, poolOwner, "00000000000000aa", 1)
			time.Sleep(40 * time.Second)
			must.Eq(t, "", workers.doubled(), must.Sprint(c.name))
			status, _, err := poolOwner.Status(t.Context(), "00000000000000aa")
			must.NoError(t, err)
			must.Eq(t, job.Complete, status.State, must.Sprint(c.name))
			must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
		})
	}
}

// Guards against a second run of a task after a takeover: the former owner knew a worker's earlier
// incarnation, whose successor runs the task, and is cut off once the new owner has learned of it.
func TestTakeoverWaitsForRestartedWorkers(t *testing.T) {
	for _, cut := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := newStoreToRecover(t)
			workers := newFakeFleet(4)
			workers.runTime = 9 * time.Second
			time.Sleep(500 * time.Millisecond)
			workers.restart("w0")
			ref := job.Ref{Job: "00000000000000aa"}
			_, err := workers.start(t.Context(), worker.Endpoint{ID: "w0"}, worker.StartOrder{Task: ref, Run: 1, LeaseUntil: 60_000})
			must.NoError(t, err)
			workers.setAfterPoll(func(id fleet.InstanceID) { workers.setCut(id, cut && id == "w0") })
			poolOwner := startOwner(t, owner.Config{Table: store.table(), Calls: workers.calls(), FinalStateRetention: 120_000})
			poolOwner.SetWorkers(workers.listOthers("w0"))
			time.Sleep(40 * time.Second)
			must.Eq(t, "", workers.doubled())
			status, _, err := poolOwner.Status(t.Context(), ref.Job)
			must.NoError(t, err)
			must.Eq(t, job.Complete, status.State)
			must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
		})
	}
}

// Guards against a second run of a task after a takeover: the former owner had learned of a worker's restart, and
// the worker is cut off before the takeover. Its runs may have the longest lease.
func TestTakeoverWaitsForLeasesOfRestartedWorkers(t *testing.T) {
	for _, c := range []struct {
		mark  string
		waits bool
	}{{"", false}, {`,"restarted":true`, true}} {
		synctest.Test(t, func(t *testing.T) {
			store := newStoreToRecover(t)
			store.put("workers", "known", []byte(`{"w0":{"born_ms":1,"address":"a"`+c.mark+`}}`))
			workers := newFakeFleet(4)
			workers.runTime = 20 * time.Second
			ref := job.Ref{Job: "00000000000000aa"}
			_, err := workers.start(t.Context(), worker.Endpoint{ID: "w0"}, worker.StartOrder{Task: ref, Run: 1, LeaseUntil: 60_000})
			must.NoError(t, err)
			workers.setCut("w0", true)
			poolOwner := startOwner(t, owner.Config{Table: store.table(), Calls: workers.calls(), FinalStateRetention: 120_000})
			poolOwner.SetWorkers(workers.listOthers("w0"))
			time.Sleep(60 * time.Second)
			must.Eq(t, c.waits, workers.doubled() == "", must.Sprint(c.mark, workers.doubled()))
			status, _, err := poolOwner.Status(t.Context(), ref.Job)
			must.NoError(t, err)
			must.Eq(t, job.Complete, status.State)
			must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
		})
	}
}

// Guards against a worker that takes no tasks for a minute after it has restarted twice: the platform still lists
// the incarnation in between, which the owner has never polled, and the owner took it for the latest one.
func TestListThatLagsBehindRestartsIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := newFakeFleet(1)
		workers.runTime = 8 * time.Second
		var log bytes.Buffer
		poolOwner := startOwner(t, owner.Config{
			Table: newStore().table(), Calls: workers.calls(), FinalStateRetention: 120_000, Log: slog.New(slog.NewTextHandler(&log, nil)),
		})
		poolOwner.SetWorkers(workers.list(restartCapacity))
		time.Sleep(time.Second)
		workers.beforeStart = func(id fleet.InstanceID, _ worker.StartOrder) {
			workers.beforeStart = nil
			workers.restart(id)
			time.Sleep(20 * time.Millisecond)
			between := workers.list(restartCapacity)
			workers.restart(id)
			time.AfterFunc(300*time.Millisecond, func() { poolOwner.SetWorkers(between) })
		}
		submitTasks(t, poolOwner, "00000000000000aa", 1)
		time.Sleep(2 * time.Second)
		poolOwner.SetWorkers(workers.list(restartCapacity))
		time.Sleep(18 * time.Second)
		status, _, err := poolOwner.Status(t.Context(), "00000000000000aa")
		must.NoError(t, err)
		must.Eq(t, job.Complete, status.State)
		must.Eq(t, "", workers.doubled())
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
		must.Eq(t, 1, strings.Count(log.String(), "may have runs of its former incarnation"))
		must.False(t, strings.Contains(log.String(), "a later incarnation is listed"))
	})
}

// Guards against a mark of a restarted worker that stays, so that each later takeover waits for it longer.
func TestMarkOfRestartedWorkerIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		workers := newFakeFleet(1)
		poolOwner := startOwner(t, owner.Config{Table: store.table(), Calls: workers.calls()})
		poolOwner.SetWorkers(workers.list(restartCapacity))
		time.Sleep(time.Second)
		workers.restart("w0")
		poolOwner.SetWorkers(workers.list(restartCapacity))
		time.Sleep(time.Second)
		must.StrContains(t, store.knownWorkers(), `"restarted":true`)
		time.Sleep(12 * time.Second)
		must.StrContains(t, store.knownWorkers(), "w0")
		must.StrNotContains(t, store.knownWorkers(), "restarted")
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
	})
}

// Guards against the same under restarts, cuts and late orders at any moment.
func TestRestartsAndCutsDoubleNoRun(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 46))
			var mu sync.Mutex
			pick := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return r.IntN(n)
			}
			workers := newFakeFleet(4)
			workers.runTime = time.Duration(500+pick(9000)) * time.Millisecond
			workers.beforeStart = func(fleet.InstanceID, worker.StartOrder) {
				if pick(4) == 0 {
					time.Sleep(time.Duration(pick(300)) * time.Millisecond)
				}
			}
			var log bytes.Buffer
			poolOwner := startOwner(t, owner.Config{
				Table: newStore().table(), Calls: workers.calls(), FinalStateRetention: 120_000, Log: slog.New(slog.NewTextHandler(&log, nil)),
			})
			poolOwner.SetWorkers(workers.list(restartCapacity))
			time.Sleep(time.Second)
			for i := range 12 {
				submitTasks(t, poolOwner, job.ID(fmt.Sprintf("%016x", i+1)), 3)
				id := fleet.InstanceID(fmt.Sprintf("w%d", pick(4)))
				for range 1 + pick(3) {
					workers.restart(id)
					time.Sleep(time.Duration(pick(600)) * time.Millisecond)
				}
				if pick(2) == 0 {
					workers.setCut(id, true)
					time.AfterFunc(clock.Millis(pick(9000)).Duration(), func() { workers.setCut(id, false) })
				}
				if pick(2) == 0 {
					poolOwner.SetWorkers(workers.list(restartCapacity))
				}
				time.Sleep(time.Duration(pick(1500)) * time.Millisecond)
			}
			time.Sleep(20 * time.Second)
			poolOwner.SetWorkers(workers.list(restartCapacity))
			time.Sleep(60 * time.Second)
			if doubled := workers.doubled(); doubled != "" {
				t.Fatalf("seed %d: %s\n%s\n%s", seed, doubled, workers.history(), log.String())
			}
			for i := range 12 {
				status, _, err := poolOwner.Status(t.Context(), job.ID(fmt.Sprintf("%016x", i+1)))
				must.NoError(t, err)
				// A task whose workers restart under it three times is taken for their cause.
				must.True(t, status.State.Final(), must.Sprint("seed ", seed, ", job ", i+1))
			}
			must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
		})
	}
}
