package owner_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
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

// endingWorker is a worker on which runs end after 10 ms: those of one job fail, and the others are done.
type endingWorker struct {
	failing job.ID

	mu     sync.Mutex
	ended  []worker.EndedRun
	starts int64
}

func (w *endingWorker) calls() worker.Calls {
	return worker.Calls{
		Poll: func(_ context.Context, _ worker.Endpoint, o worker.PollRequest) (worker.PollResponse, error) {
			time.Sleep(10 * time.Millisecond)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.ended = slices.DeleteFunc(w.ended, func(e worker.EndedRun) bool { return e.Number <= o.AcknowledgedThrough })
			return worker.PollResponse{Reply: worker.Reply{Result: worker.Done, Clock: 1}, Ended: slices.Clone(w.ended)}, nil
		},
		Start: func(_ context.Context, _ worker.Endpoint, o worker.StartOrder) (worker.Reply, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.starts++
			kind := schedule.EndDone
			if o.Task.Job == w.failing {
				kind = schedule.EndFailed
			}
			w.ended = append(w.ended, worker.EndedRun{Number: w.starts, EndReport: schedule.EndReport{Task: o.Task, Run: o.Run, Kind: kind}})
			return worker.Reply{Result: worker.Done}, nil
		},
		Stop: func(context.Context, worker.Endpoint, job.Ref, int, uint64) (worker.Reply, error) {
			return worker.Reply{Result: worker.Done}, nil
		},
	}
}

// Guards against progress that the store does not take: its row kept all commits of the pool from
// succeeding, at this owner and at each later one.
func TestOversizedProgressFailsOnlyItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxRowBytes = 400
		store := &fakeStore{rows: map[rowstore.Ref]rowstore.Row{}}
		table := store.table()
		table.Transact = func(ctx context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
			if slices.ContainsFunc(tx.Writes, func(w rowstore.Write) bool { return w.Table == "progress" && len(w.Value) > maxRowBytes }) {
				return nil, &rowstore.UnavailableError{Op: "transaction", OutcomeUnknown: true, Err: errors.New("status 400")}
			}
			return store.transact(ctx, tx)
		}
		w := &endingWorker{failing: "00000000000000aa"}
		poolOwner := startOwner(t, owner.Config{
			Table: table, Calls: w.calls(), FinalStateRetention: 60_000, MaxRowBytes: maxRowBytes,
			Policy: func(fleet.QueueID) (job.Policy, bool) { return job.Policy{Attempts: 100}, true },
		})
		ctx := t.Context()
		poolOwner.SetWorkers([]owner.ListedWorker{{Worker: schedule.Worker{ID: "w1", Incarnation: 1, Capacity: job.Resources{CPU: 1000}}, Address: "a"}})
		time.Sleep(time.Second)
		step := job.Step{Count: 50, Needs: job.Resources{CPU: 10}}
		for _, id := range []job.ID{"00000000000000aa", "00000000000000bb"} {
			must.NoError(t, poolOwner.Submit(ctx, &job.Job{ID: id, Queue: "q", Steps: []job.Step{step}}, owner.Route{}, 0))
		}
		time.Sleep(20 * time.Second)
		status, _, err := poolOwner.Status(ctx, "00000000000000aa")
		must.NoError(t, err)
		must.Eq(t, job.Failed, status.State)
		must.StrContains(t, status.Cause, "at most 400")
		status, _, err = poolOwner.Status(ctx, "00000000000000bb")
		must.NoError(t, err)
		must.Eq(t, job.Complete, status.State)
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
	})
}

// Guards against jobs that rank as new after they have waited for a slow commit or for a change of the owner: they
// took the capacity of jobs that could still be in time.
func TestObjectiveCountsFromTheArrivalOfTheSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const commitTime = 800 * time.Millisecond
		store := newStore()
		table := store.table()
		table.Transact = func(ctx context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
			if slices.ContainsFunc(tx.Writes, func(w rowstore.Write) bool { return w.Table == "jobs" }) {
				time.Sleep(commitTime)
			}
			return store.transact(ctx, tx)
		}
		var log bytes.Buffer
		w := &endingWorker{}
		poolOwner := startOwner(t, owner.Config{
			Table: table, Calls: w.calls(), Log: slog.New(slog.NewTextHandler(&log, nil)), FinalStateRetention: 60_000,
		})
		poolOwner.SetWorkers([]owner.ListedWorker{{Worker: schedule.Worker{ID: "w1", Incarnation: 1, Capacity: job.Resources{CPU: 1000}}, Address: "a"}})
		time.Sleep(time.Second)
		step := job.Step{Count: 1, Needs: job.Resources{CPU: 10}}
		for id, waited := range map[job.ID]clock.Millis{"00000000000000aa": 0, "00000000000000bb": 2500} {
			synctest.Wait()
			log.Reset()
			must.NoError(t, poolOwner.Submit(t.Context(), &job.Job{ID: id, Queue: "q", Steps: []job.Step{step}}, owner.Route{}, waited))
			time.Sleep(time.Second)
			synctest.Wait()
			var took int
			_, after, found := strings.Cut(log.String(), "all tasks are done after ")
			must.True(t, found)
			_, err := fmt.Sscan(after, &took)
			must.NoError(t, err)
			must.Between(t, int(waited)+800, took, int(waited)+1000)
		}
		must.True(t, errors.Is(poolOwner.stop(), context.Canceled))
	})
}
