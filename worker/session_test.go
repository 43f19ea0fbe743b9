package worker_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/schedule"
	"citronknot/worker"
)

// silent is a worker that answers until it is cut off.
type silent struct {
	mu  sync.Mutex
	cut bool
}

func (w *silent) look(context.Context, worker.Target, worker.LookOrder) (worker.Listing, error) {
	time.Sleep(100 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut {
		return worker.Listing{}, errors.New("refused")
	}
	return worker.Listing{Answer: worker.Answer{Result: worker.Done, Clock: 1000}}, nil
}

// Guards against taking a run for ended that an owner adopted just before its worker was cut
// off: it still holds the lease of the former owner (spec/tenure.pml, mutant 6).
func TestFormerOwnersLeaseIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &silent{}
		lapsed := make(chan time.Time, 1)
		s := session(w, lapsed)
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		time.Sleep(110 * time.Millisecond) // the first look is answered, the second is under way
		w.mu.Lock()
		w.cut = true
		w.mu.Unlock()
		cut := time.Now()
		select {
		case at := <-lapsed:
			must.GreaterEq(t, worker.LeaseLength.Duration(), at.Sub(cut))
		case <-time.After(time.Minute):
			t.Error("the lease never ended")
		}
		cancel()
		synctest.Wait()
	})
}

func session(w *silent, lapsed chan time.Time) *worker.Session {
	return worker.NewSession(worker.Config{
		Calls: worker.Calls{Look: w.look}, Fence: 1, Log: slog.New(slog.DiscardHandler),
		Authorized: func() bool { return true },
		Report:     func(context.Context, schedule.Report) uint64 { return 0 },
		Durable:    func() uint64 { return 0 },
		Reachable:  func(bool) {},
		Lapsed:     func() bool { lapsed <- time.Now(); return true },
	})
}

// A look at a worker that had gone extended its lease each time, so that it never ended and
// its tasks never started elsewhere.
func TestLeaseOfASilentWorkerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &silent{}
		lapsed := make(chan time.Time, 1)
		s := session(w, lapsed)
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		time.Sleep(time.Second)
		w.mu.Lock()
		w.cut = true
		w.mu.Unlock()
		cut := time.Now()
		select {
		case at := <-lapsed:
			wait := at.Sub(cut)
			must.Greater(t, worker.LeaseLength.Duration(), wait)
			must.Less(t, 6*time.Second, wait)
		case <-time.After(time.Minute):
			t.Error("the lease never ended")
		}
		cancel()
		synctest.Wait()
	})
}
