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
	mu   sync.Mutex
	cut  bool
	lose int // looks that get no answer, from now on
}

func (w *silent) look(ctx context.Context, _ worker.Target, _ worker.LookOrder) (worker.Listing, error) {
	w.mu.Lock()
	lost := w.lose > 0
	if lost {
		w.lose--
	}
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return worker.Listing{}, ctx.Err()
	}
	time.Sleep(100 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut {
		return worker.Listing{}, errors.New("refused")
	}
	return worker.Listing{Answer: worker.Answer{Result: worker.Done, Clock: 1000}}, nil
}

// A look whose answer was lost kept the ends of a worker back for 1.7 s and took the worker out
// of use. One look in twenty lost its answer on the day of incident inc-fe18.
func TestOneLostLookIsNoSilence(t *testing.T) {
	for _, c := range []struct {
		lose    int
		reports []bool // what the owner is told of the worker's reach
	}{{1, []bool{true}}, {2, []bool{true, false, true}}} {
		synctest.Test(t, func(t *testing.T) {
			w := &silent{}
			var told []bool
			var looked []time.Time
			s := session(w, make(chan time.Time, 1))
			s.Reachable = func(yes bool) { told = append(told, yes) }
			s.Report = func(context.Context, schedule.Report) uint64 {
				looked = append(looked, time.Now())
				return 0
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := run(ctx, s)
			time.Sleep(250 * time.Millisecond)
			w.mu.Lock()
			w.lose = c.lose
			w.mu.Unlock()
			time.Sleep(4 * time.Second)
			cancel()
			<-ended
			must.Eq(t, c.reports, told)
			if c.lose == 1 {
				var longest time.Duration
				for i := 1; i < len(looked); i++ {
					longest = max(longest, looked[i].Sub(looked[i-1]))
				}
				must.Less(t, time.Second, longest)
			}
		})
	}
}

// Guards against taking a run for ended that an owner adopted just before its worker was cut
// off: it still holds the lease of the former owner (spec/tenure.pml, mutant 6).
func TestFormerOwnersLeaseIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &silent{}
		lapsed := make(chan time.Time, 1)
		s := session(w, lapsed)
		ctx, cancel := context.WithCancel(t.Context())
		ended := run(ctx, s)
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
		<-ended
	})
}

// run keeps a session and returns what is closed when it has ended.
func run(ctx context.Context, s *worker.Session) chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	return ended
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
		ended := run(ctx, s)
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
		<-ended
	})
}
