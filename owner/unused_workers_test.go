package owner_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/rowstore"
	"citronknot/schedule"
)

// runOwner runs the owner of pool p, with one recovered job and worker w1 listed, for a time.
func runOwner(t *testing.T, store *fakeStore, workers *fakeWorkers, d time.Duration) {
	submitted := &job.Job{ID: "00000000000000aa", Queue: "q", Steps: []job.Step{{Count: 1, Needs: job.Resources{CPU: 1}}}}
	encoded, err := submitted.Encode()
	must.NoError(t, err)
	store.put("jobs", string(submitted.ID), encoded)
	poolOwner := startOwner(t, owner.Config{Table: store.table(), Calls: workers.calls()})
	poolOwner.SetWorkers([]owner.ListedWorker{{Worker: schedule.Worker{ID: "w1", Incarnation: 1, Capacity: job.Resources{CPU: 10, Memory: 10}}, Address: "b"}})
	time.Sleep(d)
	must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
}

// Guards against recovered tasks that wait for a worker which never took a start. The platform lists a
// worker for some seconds after its machine was moved; an owner recorded it, and the next one waited until its leases
// would have expired.
func TestRecoveryDoesNotWaitForUnusedWorkers(t *testing.T) {
	for _, c := range []struct {
		name, known string
		starts      int
	}{
		{"w0 unused", `{"w0":{"born_ms":1,"address":"a","unused":true}}`, 1},
		{"w0 may have runs", `{"w0":{"born_ms":1,"address":"a"}}`, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			store := newStore()
			store.put("workers", "known", []byte(c.known))
			workers := &fakeWorkers{}
			runOwner(t, store, workers, 2*time.Second)
			must.Eq(t, c.starts, workers.started(), must.Sprint(c.name))
		})
	}
}

// Guards against a start on a worker that the next owner takes for unused: its task would run twice.
func TestWorkerIsRecordedAsUsedBeforeItsFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{rows: map[rowstore.Ref]rowstore.Row{}, writeTime: 300 * time.Millisecond} // several passes
		workers := &fakeWorkers{}
		var atStart string
		workers.onStart = func() {
			store.mu.Lock()
			defer store.mu.Unlock()
			atStart = string(store.rows[rowstore.Ref{Table: "workers", Partition: "p", Key: "known"}].Value)
		}
		runOwner(t, store, workers, 3*time.Second)
		must.Eq(t, 1, workers.started())
		must.Eq(t, `{"w1":{"born_ms":1,"address":"b"}}`, atStart)
	})
}

// Guards against a pool that can't commit any more once it has about 800 workers: the row that names them was larger than
// the store takes, for this owner and for each later one.
func TestKnownWorkersOfLargePoolFitIntoTheirRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		table := store.table()
		table.Transact = func(ctx context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
			if err := tx.Check(owner.DefaultMaxRowBytes); err != nil {
				return nil, &rowstore.UnavailableError{Op: "transaction", OutcomeUnknown: true, Err: err}
			}
			return store.transact(ctx, tx)
		}
		workersOf := func(n int) []owner.ListedWorker {
			var list []owner.ListedWorker
			for i := range n {
				list = append(list, owner.ListedWorker{
					Worker:  schedule.Worker{ID: fleet.InstanceID(fmt.Sprintf("i-%010d", i)), Incarnation: 1_700_000_000_000, Capacity: job.Resources{CPU: 64000}},
					Address: fmt.Sprintf("10.128.%d.%d:8080", i/200, i%200),
				})
			}
			return list
		}
		former := startOwner(t, owner.Config{Table: table})
		former.SetWorkers(workersOf(1100))
		time.Sleep(2 * time.Second)
		must.True(t, former.lease.Exclusive(), must.Sprint("the commit of the known workers succeeds"))
		must.True(t, errors.Is(former.stop(), context.Canceled))

		lease := &rowstore.OwnerLease{Table: table, Clock: newClock(), Partition: "p", Self: "n", Address: "n:1"}
		must.NoError(t, lease.Observe(store.rows[rowstore.Ref{Table: rowstore.OwnerLeaseTable, Partition: "p", Key: "holder"}]))
		time.Sleep(3 * time.Second)
		claimed, err := lease.Claim(t.Context())
		must.NoError(t, err)
		must.True(t, claimed)
		next := startOwner(t, owner.Config{Table: table, Lease: lease, Clock: lease.Clock})
		must.Eq(t, 1100, next.Dump().KnownWorkers)
		must.True(t, errors.Is(next.stop(), context.Canceled))
	})
}
