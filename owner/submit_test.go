package owner_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/rowstore"
)

// newTinyJob returns a job of one task.
func newTinyJob(id job.ID) *job.Job {
	return &job.Job{ID: id, Queue: "q", Steps: []job.Step{{Count: 1, Needs: job.Resources{CPU: 1}}}}
}

// Guards against a process that ends because a caller leaves at the moment in which the owner stops: the submission's
// channel was closed twice.
func TestSubmissionEndsOnceAsTheOwnerStops(t *testing.T) {
	for range 40 {
		synctest.Test(t, func(t *testing.T) {
			store := newStore()
			poolOwner := startOwner(t, owner.Config{Table: store.table()})
			store.mu.Lock()
			store.writeTime = 2 * time.Second
			store.mu.Unlock()
			go func() { _ = poolOwner.Submit(t.Context(), newTinyJob("00000000000000bb"), owner.Route{}, 0) }()
			time.Sleep(500 * time.Millisecond) // its commit goes on for 1.5 s, and the owner stops after it
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			submitted := make(chan error, 1)
			go func() { submitted <- poolOwner.Submit(ctx, newTinyJob("00000000000000aa"), owner.Route{}, 0) }()
			time.Sleep(500 * time.Millisecond)
			poolOwner.cancel()
			must.Error(t, <-submitted)
			<-poolOwner.done
		})
	}
}

// Guards against a job that is answered as unknown to its canceller, and runs: its commit took effect, and the owner
// stopped before it learned that.
func TestCancelOfUnresolvedSubmissionIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		table := store.table()
		table.Transact = func(ctx context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
			versions, err := store.transact(ctx, tx)
			if slices.ContainsFunc(tx.Writes, func(w rowstore.Write) bool { return w.Table == "jobs" }) {
				time.Sleep(300 * time.Millisecond)
				return nil, &rowstore.UnavailableError{Op: "transaction", OutcomeUnknown: true, Err: errors.New("no answer")}
			}
			return versions, err
		}
		poolOwner := startOwner(t, owner.Config{Table: table})
		go func() { _ = poolOwner.Submit(t.Context(), newTinyJob("00000000000000aa"), owner.Route{}, 0) }()
		time.Sleep(100 * time.Millisecond)
		cancelled := make(chan error, 1)
		go func() {
			found, err := poolOwner.Cancel(t.Context(), "00000000000000aa")
			must.False(t, found)
			cancelled <- err
		}()
		time.Sleep(100 * time.Millisecond)
		poolOwner.cancel()
		var unknown *owner.UnknownError
		must.True(t, errors.As(<-cancelled, &unknown))
		<-poolOwner.done
	})
}
