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
	"citronknot/rowstore"
)

// Queues that the tests submit to.
const (
	movingQueue  fleet.QueueAddress = "sorting.example/move/"
	stayingQueue fleet.QueueAddress = "sorting.example/stay/"
)

// submitTo submits a job to a queue, as a version of the configuration says.
func submitTo(ctx context.Context, o *runningOwner, id job.ID, queue fleet.QueueAddress, version fleet.Version) error {
	j := &job.Job{ID: id, Queue: "q", Steps: []job.Step{{Count: 1, Needs: job.Resources{CPU: 1000}}}}
	return o.Submit(ctx, j, owner.Route{Queue: queue, Version: version}, 0)
}

// hasJob reports whether a pool has a stored job.
func (s *fakeStore) hasJob(pool string, id job.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.rows[rowstore.Ref{Table: "jobs", Partition: pool, Key: string(id)}]
	return ok
}

// Guards against a job that runs twice after its queue has moved to another pool, and against a move of one queue
// that costs the jobs of others or the pool its owner.
func TestJobsOfMovedQueueAreAcceptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		poolOwner := startOwner(t, owner.Config{Table: store.table(), FinalStateRetention: 60_000})
		queues := rowstore.QueuePools{Table: store.table()}
		must.NoError(t, submitTo(t.Context(), poolOwner, "0000000000000001", movingQueue, 1))
		must.True(t, store.hasJob("p", "0000000000000001"))

		// Version 2 sends the queue to pool other, which accepts a job.
		permit, err := queues.Acquire(t.Context(), movingQueue, "other", 2)
		must.NoError(t, err)
		must.Eq(t, []fleet.PoolID{"p"}, permit.Former)
		elsewhere := rowstore.Ref{Table: "jobs", Partition: "other", Key: "0000000000000002"}
		_, err = store.transact(t.Context(), rowstore.Transaction{Checks: []rowstore.Check{permit.Check}, Writes: []rowstore.Write{{Ref: elsewhere, Value: []byte("{}")}}})
		must.NoError(t, err)

		// A member that has read version 1 only sends jobs here, in one commit with one of another queue.
		store.writeTime = 50 * time.Millisecond
		errs := make(chan error, 2)
		go func() { errs <- submitTo(t.Context(), poolOwner, "0000000000000002", movingQueue, 1) }()
		go func() { errs <- submitTo(t.Context(), poolOwner, "0000000000000003", movingQueue, 1) }()
		must.NoError(t, submitTo(t.Context(), poolOwner, "0000000000000004", stayingQueue, 1))
		for range 2 {
			var refused *owner.RefusedError
			must.True(t, errors.As(<-errs, &refused))
			must.False(t, refused.Final)
		}
		must.False(t, store.hasJob("p", "0000000000000002"))
		must.False(t, store.hasJob("p", "0000000000000003"))
		must.True(t, store.hasJob("p", "0000000000000004"))
		must.True(t, poolOwner.lease.Authorized())
		must.NoError(t, submitTo(t.Context(), poolOwner, "0000000000000001", movingQueue, 1), must.Sprint("a repeat of an accepted job"))

		// Version 3 sends it here again.
		must.NoError(t, submitTo(t.Context(), poolOwner, "0000000000000002", movingQueue, 3))
		must.False(t, store.hasJob("p", "0000000000000002"), must.Sprint("pool other has the job"))
		must.NoError(t, submitTo(t.Context(), poolOwner, "0000000000000003", movingQueue, 3))
		must.True(t, store.hasJob("p", "0000000000000003"))
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
	})
}

// Guards against a job that is accepted although nobody could say whether a former pool has it.
func TestJobIsRefusedWhileFormerPoolsAreUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		queues := rowstore.QueuePools{Table: store.table()}
		_, err := queues.Acquire(t.Context(), movingQueue, "other", 1)
		must.NoError(t, err)
		poolOwner := startOwner(t, owner.Config{Table: store.table(), FinalStateRetention: 60_000})
		setUnreachable := func(yes bool) {
			store.mu.Lock()
			defer store.mu.Unlock()
			store.unreachable = yes
		}
		for _, known := range []bool{false, true} { // the permit is to be acquired, or known
			setUnreachable(true)
			var refused *owner.RefusedError
			must.True(t, errors.As(submitTo(t.Context(), poolOwner, "0000000000000001", movingQueue, 2), &refused), must.Sprint(known))
			setUnreachable(false)
			must.NoError(t, submitTo(t.Context(), poolOwner, "0000000000000002", movingQueue, 2))
		}
		must.False(t, store.hasJob("p", "0000000000000001"))
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
	})
}

// Guards against calls to the store for each job of a queue that has never moved.
func TestQueueThatStaysCostsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		table, reads := store.table(), 0
		read := table.Read
		table.Read = func(ctx context.Context, q rowstore.Query) ([]rowstore.Row, error) {
			reads++
			return read(ctx, q)
		}
		poolOwner := startOwner(t, owner.Config{Table: table, FinalStateRetention: 60_000})
		must.NoError(t, submitTo(t.Context(), poolOwner, "0000000000000001", stayingQueue, 1))
		before := reads
		for version := range fleet.Version(20) {
			must.NoError(t, submitTo(t.Context(), poolOwner, job.ID("00000000000001"+string('a'+rune(version%6))+string('0'+rune(version%10))), stayingQueue, version))
		}
		must.Eq(t, before, reads)
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
	})
}

// Guards against submissions to a new owner that wait until their deadlines for the permit of their queue, although
// the store is known not to answer: they must be refused at once.
func TestStalledStoreRefusesJobsOfNewQueuesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		poolOwner := startOwner(t, owner.Config{Table: store.table(), FinalStateRetention: 60_000})
		must.NoError(t, submitTo(t.Context(), poolOwner, "0000000000000001", stayingQueue, 1))
		must.Eq(t, []owner.QueueDump{{Address: stayingQueue}}, poolOwner.Dump().Queues)
		store.mu.Lock()
		store.unreachable = true
		store.mu.Unlock()
		time.Sleep(2 * time.Second)
		before := time.Now()
		var refused *owner.RefusedError
		must.True(t, errors.As(submitTo(t.Context(), poolOwner, "0000000000000002", movingQueue, 1), &refused))
		must.True(t, refused.Final)
		must.Eq(t, before, time.Now())
		must.NoError(t, submitTo(t.Context(), poolOwner, "0000000000000001", stayingQueue, 1), must.Sprint("a repeat of an accepted job"))
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
	})
}
