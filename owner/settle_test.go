package owner_test

import (
	"context"
	"errors"
	"log/slog"
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

// rows is a store of one part that can be cut off.
type rows struct {
	mu      sync.Mutex
	held    map[rowstore.Ref]rowstore.Row
	version fleet.Version
	down    bool
}

func (s *rows) table() *rowstore.Table {
	return &rowstore.Table{Transact: s.transact, Read: s.read}
}

func (s *rows) transact(_ context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, &rowstore.UnavailableError{Op: "transaction", Err: errors.New("cut off")}
	}
	for _, c := range t.Checks {
		if s.held[c.Ref].Version != c.Version {
			return nil, &rowstore.ConflictError{Rows: []rowstore.Ref{c.Ref}, Current: []rowstore.Row{s.held[c.Ref]}}
		}
	}
	s.version++
	versions := make([]fleet.Version, len(t.Writes))
	for i, w := range t.Writes {
		versions[i] = s.version
		s.held[w.Ref] = rowstore.Row{Ref: w.Ref, Version: s.version, Value: w.Value}
	}
	return versions, nil
}

func (s *rows) read(_ context.Context, q rowstore.Query) ([]rowstore.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []rowstore.Row
	for _, c := range q.Scans {
		for ref, r := range s.held {
			if ref.Table == c.Table && ref.Part == c.Part {
				out = append(out, r)
			}
		}
	}
	return out, nil
}

func (s *rows) put(table, key string, value []byte) {
	s.version++
	ref := rowstore.Ref{Table: table, Part: "p", Key: key}
	s.held[ref] = rowstore.Row{Ref: ref, Version: s.version, Value: value}
}

// workers answers for w1 only; w0 is cut off.
type workers struct {
	mu     sync.Mutex
	starts int
}

func (w *workers) calls() worker.Calls {
	return worker.Calls{
		Look: func(ctx context.Context, to worker.Target, o worker.LookOrder) (worker.Listing, error) {
			if to.ID == "w0" {
				<-ctx.Done()
				return worker.Listing{}, ctx.Err()
			}
			time.Sleep(100 * time.Millisecond)
			return worker.Listing{Answer: worker.Answer{Result: worker.Done, Clock: 1}}, nil
		},
		Start: func(context.Context, worker.Target, worker.StartOrder) (worker.Answer, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.starts++
			return worker.Answer{Result: worker.Done}, nil
		},
	}
}

func (w *workers) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// A new owner waits for a silent worker, loses the store meanwhile, and is replaced without
// knowing. Its successor reaches the worker and has a done end forgotten. When the wait of the
// first owner is over it must start nothing (spec/tenure.pml, mutant 7). An owner that keeps the
// store starts the task.
func TestUncertainOwnerDoesNotEndItsWait(t *testing.T) {
	for _, c := range []struct {
		name   string
		cut    bool
		starts int
	}{{"cut off from the store", true, 0}, {"with the store", false, 1}} {
		synctest.Test(t, func(t *testing.T) {
			s := &rows{held: map[rowstore.Ref]rowstore.Row{}}
			j := &job.Job{ID: "00000000000000aa", Queue: "q", Steps: []job.Step{{Count: 1, Needs: job.Resources{CPU: 1}}}}
			text, err := j.Encode()
			must.NoError(t, err)
			s.put("jobs", string(j.ID), text)
			s.put("workers", "known", []byte(`{"w0":{"born_ms":1,"address":"a"}}`))
			began := time.Now()
			now := clock.Clock{NowFunc: func() clock.Millis { return clock.Of(time.Since(began)) }}
			tenure := &rowstore.Tenure{Table: s.table(), Clock: now, Part: "p", Self: "m", Address: "m:1"}
			must.NoError(t, tenure.Observe(rowstore.Row{}))
			ok, err := tenure.Claim(t.Context())
			must.NoError(t, err)
			must.True(t, ok)
			w := &workers{}
			o := owner.New(owner.Config{
				Pool: "p", Tenure: tenure, Table: s.table(), Clock: now, Calls: w.calls(), Log: slog.New(slog.DiscardHandler), Metrics: owner.NewMetrics(),
				KeepFinal: 1000, Terms: func(fleet.QueueID) (schedule.Terms, bool) { return schedule.Terms{Attempts: 1}, true },
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = o.Run(ctx) // ends with its tenure or the test
			}()
			time.Sleep(time.Second)
			o.SetWorkers([]owner.Listed{{Worker: schedule.Worker{ID: "w1", Born: 1, Capacity: job.Resources{CPU: 10, Memory: 10}}, Address: "b"}})
			time.Sleep(4 * time.Second)
			s.mu.Lock()
			s.down = c.cut
			s.mu.Unlock()
			time.Sleep(7 * time.Second) // 12 s after the takeover, 7 s after the last commit
			starts := w.started()
			cancel()
			<-done
			must.Eq(t, c.starts, starts, must.Sprint(c.name))
		})
	}
}
