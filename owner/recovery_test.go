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
	"citronknot/rowstore"
	"citronknot/schedule"
	"citronknot/worker"
)

// fakeStore is a row store of one partition that can be made unreachable.
type fakeStore struct {
	mu          sync.Mutex
	rows        map[rowstore.Ref]rowstore.Row
	version     fleet.Version
	unreachable bool
	writeTime   time.Duration // how long a transaction takes
}

func (s *fakeStore) table() *rowstore.Table {
	return &rowstore.Table{Transact: s.transact, Read: s.read}
}

func (s *fakeStore) transact(_ context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
	time.Sleep(s.writeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return nil, &rowstore.UnavailableError{Op: "transaction", Err: errors.New("the store is unreachable")}
	}
	for _, c := range t.Checks {
		if s.rows[c.Ref].Version != c.Version {
			return nil, &rowstore.ConflictError{Rows: []rowstore.Ref{c.Ref}, Current: []rowstore.Row{s.rows[c.Ref]}}
		}
	}
	s.version++
	versions := make([]fleet.Version, len(t.Writes))
	for i, w := range t.Writes {
		versions[i] = s.version
		s.rows[w.Ref] = rowstore.Row{Ref: w.Ref, Version: s.version, Value: w.Value}
		if w.Delete {
			delete(s.rows, w.Ref)
		}
	}
	return versions, nil
}

func (s *fakeStore) read(_ context.Context, q rowstore.Query) ([]rowstore.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return nil, &rowstore.UnavailableError{Op: "read", Err: errors.New("the store is unreachable")}
	}
	var out []rowstore.Row
	for _, ref := range q.Gets {
		if r, ok := s.rows[ref]; ok {
			out = append(out, r)
		}
	}
	for _, c := range q.Scans {
		for ref, r := range s.rows {
			if ref.Table == c.Table && ref.Partition == c.Partition {
				out = append(out, r)
			}
		}
	}
	return out, nil
}

// leaseRow returns the row of the owner lease.
func (s *fakeStore) leaseRow() rowstore.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowstore.Ref{Table: rowstore.OwnerLeaseTable, Partition: "p", Key: "holder"}]
}

func (s *fakeStore) put(table, key string, value []byte) {
	s.version++
	ref := rowstore.Ref{Table: table, Partition: "p", Key: key}
	s.rows[ref] = rowstore.Row{Ref: ref, Version: s.version, Value: value}
}

// fakeWorkers responds as worker w1; w0 is unreachable.
type fakeWorkers struct {
	mu      sync.Mutex
	starts  int
	onStart func() // called with each start; may be nil
}

func (w *fakeWorkers) calls() worker.Calls {
	return worker.Calls{
		Poll: func(ctx context.Context, to worker.Endpoint, o worker.PollRequest) (worker.PollResponse, error) {
			if to.ID == "w0" {
				<-ctx.Done()
				return worker.PollResponse{}, ctx.Err()
			}
			time.Sleep(100 * time.Millisecond)
			return worker.PollResponse{Reply: worker.Reply{Result: worker.Done, Clock: 1}}, nil
		},
		Start: func(context.Context, worker.Endpoint, worker.StartOrder) (worker.Reply, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.starts++
			if w.onStart != nil {
				w.onStart()
			}
			return worker.Reply{Result: worker.Done}, nil
		},
		Stop: func(context.Context, worker.Endpoint, job.Ref, int, uint64) (worker.Reply, error) {
			return worker.Reply{Result: worker.Done}, nil
		},
	}
}

func (w *fakeWorkers) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// newStoreToRecover returns a store that an earlier owner has left, with a job of one task and the worker w0,
// on which the task may run.
func newStoreToRecover(t *testing.T) *fakeStore {
	store := newStore()
	submitted := &job.Job{ID: "00000000000000aa", Queue: "q", Steps: []job.Step{{Count: 1, Needs: job.Resources{CPU: 1}}}}
	encoded, err := submitted.Encode()
	must.NoError(t, err)
	store.put("jobs", string(submitted.ID), encoded)
	store.put("workers", "known", []byte(`{"w0":{"born_ms":1,"address":"a"}}`))
	return store
}

// freeWorker is the list of workers of a platform on which only w1 is left, with room for the task.
var freeWorker = []owner.ListedWorker{{Worker: schedule.Worker{ID: "w1", Incarnation: 1, Capacity: job.Resources{CPU: 10, Memory: 10}}, Address: "b"}}

// Guards against a second run of a completed task. A new owner waits for the leases of an
// unresponsive worker to expire, and meanwhile loses the row store and, unnoticed, the owner
// lease. Its successor reaches the worker, records the task as done and lets the worker forget
// the run. The first owner must start nothing when its wait is over (mutant 7 of the model
// spec/tenure.pml has this fault). An owner that can reach the store starts the task.
func TestOwnerWithoutStoreDoesNotFinishRecovery(t *testing.T) {
	for _, c := range []struct {
		name       string
		storeFails bool
		starts     int
	}{{"store unreachable", true, 0}, {"store reachable", false, 1}} {
		synctest.Test(t, func(t *testing.T) {
			store := newStoreToRecover(t)
			workers := &fakeWorkers{}
			ownerClock := newClock()
			lease := takeOverLease(t, store, ownerClock, "m")
			poolOwner := startOwner(t, owner.Config{Table: store.table(), Clock: ownerClock, Lease: lease, Calls: workers.calls()})
			time.Sleep(900 * time.Millisecond)
			poolOwner.SetWorkers(freeWorker)
			time.Sleep(4 * time.Second)
			store.mu.Lock()
			store.unreachable = c.storeFails
			store.mu.Unlock()
			time.Sleep(7 * time.Second) // 12 s after the takeover, 7 s after the last commit
			starts := workers.started()
			_ = poolOwner.stop() // it may have lost its lease
			must.Eq(t, c.starts, starts, must.Sprint(c.name))
		})
	}
}

// Guards against tasks that run twice after an owner was stopped during its recovery: its successor must wait
// for the orders of their predecessor, whose authority goes on, and for the leases that these extend.
func TestOwnerStoppedDuringRecoveryLeavesItsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStoreToRecover(t)
		workers := &fakeWorkers{}
		ownerClock := newClock()
		stopped := takeOverLease(t, store, ownerClock, "m")
		must.True(t, errors.Is(startOwner(t, owner.Config{Table: store.table(), Clock: ownerClock, Lease: stopped}).stop(), context.Canceled))
		must.NoError(t, stopped.Release(t.Context()))
		next := &rowstore.OwnerLease{Table: store.table(), Clock: ownerClock, Partition: "p", Self: "n", Address: "n:1"}
		must.NoError(t, next.Observe(store.leaseRow()))
		claimed, err := next.Claim(t.Context())
		must.NoError(t, err)
		must.True(t, claimed)
		poolOwner := startOwner(t, owner.Config{Table: store.table(), Clock: ownerClock, Lease: next, Calls: workers.calls()})
		poolOwner.SetWorkers(freeWorker)
		time.Sleep(9 * time.Second)
		early := workers.started()
		time.Sleep(3 * time.Second)
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
		must.Eq(t, []int{0, 1}, []int{early, workers.started()})
	})
}

// Guards against tasks that last and are away for some 11 s after an outage of the store: the owner waited
// for the authority of its predecessor, and the leases that it had given, as if the outage had not counted.
// A worker that responds may still hand in the ended runs that it has, so the owner gives it time to.
func TestRecoveryAfterOutageWaitsOnlyForResponses(t *testing.T) {
	for _, c := range []struct {
		outage     time.Duration
		starts     int
		startsTill time.Duration
	}{{time.Second, 0, 8 * time.Second}, {15 * time.Second, 1, 2500 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			store := newStoreToRecover(t)
			workers := &fakeWorkers{}
			ownerClock := newClock()
			claimLease(t, store.table(), ownerClock, "former")
			lease := &rowstore.OwnerLease{Table: store.table(), Clock: ownerClock, Partition: "p", Self: "m", Address: "m:1"}
			must.NoError(t, lease.Observe(store.leaseRow()))
			time.Sleep(c.outage)
			lease.RestartExpiry()
			for !lease.Vacant() {
				time.Sleep(100 * time.Millisecond)
			}
			claimed, err := lease.Claim(t.Context())
			must.NoError(t, err)
			must.True(t, claimed)
			poolOwner := startOwner(t, owner.Config{Table: store.table(), Clock: ownerClock, Lease: lease, Calls: workers.calls()})
			poolOwner.SetWorkers(freeWorker)
			time.Sleep(900 * time.Millisecond)
			must.Zero(t, workers.started(), must.Sprint("workers that respond have had no time to"))
			time.Sleep(c.startsTill - time.Second)
			starts := workers.started()
			must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
			must.Eq(t, c.starts, starts, must.Sprint(c.outage))
		})
	}
}
