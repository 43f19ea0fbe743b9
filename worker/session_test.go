package worker_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/schedule"
	"citronknot/worker"
)

// workerClock returns the time on the clock of a worker that has not restarted.
func workerClock() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }

// fakeWorker is a worker that can be made unreachable.
type fakeWorker struct {
	mu          sync.Mutex
	unreachable bool
	lostPolls   int // number of next polls that get no response
}

func (w *fakeWorker) setUnreachable(unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable = unreachable
}

func (w *fakeWorker) poll(ctx context.Context, _ worker.Endpoint, _ worker.PollRequest) (worker.PollResponse, error) {
	w.mu.Lock()
	lost := w.lostPolls > 0
	if lost {
		w.lostPolls--
	}
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return worker.PollResponse{}, ctx.Err()
	}
	time.Sleep(100 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable {
		return worker.PollResponse{}, errors.New("refused")
	}
	return worker.PollResponse{Reply: worker.Reply{Result: worker.Done, Clock: workerClock()}}, nil
}

// Guards against treating a worker as unreachable after a single poll without a response. That
// delayed the worker's reports of ended runs by 1.7 s and stopped new starts there. In incident
// inc-fe18 one poll in twenty lost its response.
func TestOneLostPollKeepsWorkerReachable(t *testing.T) {
	for _, c := range []struct {
		lostPolls int
		reports   []bool // the calls of Config.Reachable
	}{{1, []bool{true}}, {2, []bool{true, false, true}}} {
		synctest.Test(t, func(t *testing.T) {
			fake := &fakeWorker{}
			var reports []bool
			var pollTimes []time.Time
			s := newSession(fake, make(chan time.Time, 1))
			s.Reachable = func(yes bool, _ clock.Millis) { reports = append(reports, yes) }
			s.Report = func(context.Context, schedule.Report) uint64 {
				pollTimes = append(pollTimes, time.Now())
				return 0
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := startSession(ctx, s)
			time.Sleep(250 * time.Millisecond)
			fake.mu.Lock()
			fake.lostPolls = c.lostPolls
			fake.mu.Unlock()
			time.Sleep(4 * time.Second)
			cancel()
			<-ended
			must.Eq(t, c.reports, reports)
			if c.lostPolls == 1 {
				var longestGap time.Duration
				for i := 1; i < len(pollTimes); i++ {
					longestGap = max(longestGap, pollTimes[i].Sub(pollTimes[i-1]))
				}
				must.Less(t, time.Second, longestGap)
			}
		})
	}
}

// Guards against treating a run as ended while it holds the lease that the former owner gave it.
// This happens if an owner takes over a run just before its worker becomes unreachable
// (mutant 6 of the model spec/tenure.pml has this fault).
func TestExpiryWaitsForFormerOwnersLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeWorker{}
		expired := make(chan time.Time, 1)
		s := newSession(fake, expired)
		ctx, cancel := context.WithCancel(t.Context())
		ended := startSession(ctx, s)
		time.Sleep(110 * time.Millisecond) // the first poll has a response, the second is in flight
		fake.mu.Lock()
		fake.unreachable = true
		fake.mu.Unlock()
		unreachableAt := time.Now()
		select {
		case at := <-expired:
			must.GreaterEq(t, worker.LeaseLength.Duration(), at.Sub(unreachableAt))
		case <-time.After(time.Minute):
			t.Error("the lease never expired")
		}
		cancel()
		<-ended
	})
}

// startSession runs a session and returns a channel that is closed when the session has ended.
func startSession(ctx context.Context, s *worker.Session) chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	return ended
}

// newSession returns a session that polls a fake worker and sends the times at which its leases
// expire to expired.
func newSession(w *fakeWorker, expired chan time.Time) *worker.Session {
	return worker.NewSession(worker.Config{
		Calls: worker.Calls{Poll: w.poll}, Fence: 1, Log: slog.New(slog.DiscardHandler),
		Authorized: func() bool { return true },
		Report:     func(context.Context, schedule.Report) uint64 { return 0 },
		Durable:    func() uint64 { return 0 },
		Reachable:  func(bool, clock.Millis) {},
		Expired:    func() bool { expired <- time.Now(); return true },
	})
}

// Guards against a worker that seems to have stopped responding later than it did: the time decides
// which of its runs had just been started. A session sends no poll for a while if ended runs are not
// durable yet, and then finds no connection.
func TestSessionKnowsWhenWorkerStoppedResponding(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want time.Duration // after the last response, which takes 40 ms to process
	}{
		{"poll not sent", &worker.NotSentError{Err: errors.New("refused")}, 0},
		{"poll broken after 100 ms", errors.New("EOF"), 140 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			fake := &fakeWorker{}
			s := newSession(fake, make(chan time.Time, 1))
			var responded, since clock.Millis
			s.Calls.Poll = func(ctx context.Context, to worker.Endpoint, r worker.PollRequest) (worker.PollResponse, error) {
				if s.Clock.Now() > responded && responded != 0 {
					time.Sleep(100 * time.Millisecond)
					return worker.PollResponse{}, c.err
				}
				response, err := fake.poll(ctx, to, r)
				responded = s.Clock.Now()
				return response, err
			}
			s.Report = func(context.Context, schedule.Report) uint64 {
				time.Sleep(40 * time.Millisecond)
				return 0
			}
			s.Reachable = func(yes bool, at clock.Millis) {
				if !yes {
					since = at
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := startSession(ctx, s)
			time.Sleep(2 * time.Second)
			cancel()
			<-ended
			must.Eq(t, c.want, (since - responded).Duration(), must.Sprint(c.name))
		})
	}
}

// Guards against polls that renew the lease of an unresponsive worker. Its lease then never
// expired, and its tasks never started on another worker.
func TestLeaseOfUnresponsiveWorkerExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeWorker{}
		expired := make(chan time.Time, 1)
		s := newSession(fake, expired)
		ctx, cancel := context.WithCancel(t.Context())
		ended := startSession(ctx, s)
		time.Sleep(time.Second)
		fake.mu.Lock()
		fake.unreachable = true
		fake.mu.Unlock()
		unreachableAt := time.Now()
		select {
		case at := <-expired:
			wait := at.Sub(unreachableAt)
			must.Greater(t, worker.LeaseLength.Duration(), wait)
			must.Less(t, 6*time.Second, wait)
		case <-time.After(time.Minute):
			t.Error("the lease never expired")
		}
		cancel()
		<-ended
	})
}

// Guards against a start that was given before the expiry of all leases was recorded and is sent
// after the worker responds again: its task may have started on another worker.
func TestStartsAreNotSentAfterRecordedExpiry(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			fake := &fakeWorker{}
			s := newSession(fake, make(chan time.Time, 100))
			var expiries atomic.Int64
			s.Expired = func() bool { expiries.Add(1); return recorded }
			starts := 0
			s.Calls.Start = func(context.Context, worker.Endpoint, worker.StartOrder) (worker.Reply, error) {
				starts++
				return worker.Reply{Result: worker.Done, Clock: workerClock()}, nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := startSession(ctx, s)
			time.Sleep(time.Second)
			fake.setUnreachable(true)
			time.Sleep(7 * time.Second)
			must.Positive(t, expiries.Load())
			fake.setUnreachable(false)
			time.Sleep(time.Second)
			outcome, _ := s.Order(ctx, schedule.Order{Kind: schedule.Start})
			if recorded {
				must.Eq(t, schedule.NotSent, outcome)
				must.Eq(t, 0, starts)
			} else {
				must.Eq(t, schedule.Accepted, outcome)
			}
			cancel()
			<-ended
		})
	}
}

// Guards against a worker that never responds to a new session and whose tasks therefore never start
// elsewhere, and against tasks that do so while a lease of an earlier session may last.
func TestLeasesOfEarlierSessionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeWorker{unreachable: true}
		expired := make(chan time.Time, 1)
		s := worker.NewSession(worker.Config{
			Calls: worker.Calls{Poll: fake.poll}, Fence: 1, Log: slog.New(slog.DiscardHandler), FormerLeasesEnd: clock.Clock{}.Now() + 5000,
			Authorized: func() bool { return true }, Reachable: func(bool, clock.Millis) {},
			Expired: func() bool { expired <- time.Now(); return true },
		})
		started := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		ended := startSession(ctx, s)
		at := <-expired
		must.Between(t, 5*time.Second, at.Sub(started), 6*time.Second)
		cancel()
		<-ended
	})
}

// Guards against the lists of running runs being processed many times a second on a worker on which
// runs end one after another, and against an end that is left out.
func TestBusyWorkerReportsEndsWithoutRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := int64(0)
		var reports []schedule.Report
		s := newSession(&fakeWorker{}, make(chan time.Time, 1))
		s.Calls.Poll = func(_ context.Context, _ worker.Endpoint, r worker.PollRequest) (worker.PollResponse, error) {
			time.Sleep(50 * time.Millisecond)
			ended++
			return worker.PollResponse{
				Reply: worker.Reply{Result: worker.Done, Clock: workerClock()}, Running: []schedule.RunReport{{Run: 1}},
				Ended: []worker.EndedRun{{Number: ended, EndReport: schedule.EndReport{Run: int(ended)}}},
			}, nil
		}
		s.Report = func(_ context.Context, r schedule.Report) uint64 {
			reports = append(reports, r)
			return 0
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := startSession(ctx, s)
		time.Sleep(2 * time.Second)
		cancel()
		<-done
		lists, ends := 0, 0
		for _, r := range reports {
			ends += len(r.Ended)
			if !r.EndsOnly {
				must.Len(t, 1, r.Running)
				lists++
			}
		}
		must.Eq(t, len(reports), ends)
		must.Between(t, 4, lists, 6)
	})
}

// Guards against tasks that wait until their worker is known to have ended although their starts were
// never sent: a start to a worker that can't be reached leaves its task free to start elsewhere.
func TestStartsThatWereNotSentHaveNoEffect(t *testing.T) {
	for _, c := range []struct {
		err     error
		outcome schedule.Outcome
	}{
		{&worker.NotSentError{Err: errors.New("connection refused")}, schedule.NoCapacity},
		{errors.New("connection reset"), schedule.UnknownOutcome},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newSession(&fakeWorker{}, make(chan time.Time, 1))
			s.Calls.Start = func(context.Context, worker.Endpoint, worker.StartOrder) (worker.Reply, error) {
				return worker.Reply{}, c.err
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := startSession(ctx, s)
			time.Sleep(250 * time.Millisecond)
			outcome, _ := s.Order(ctx, schedule.Order{Kind: schedule.Start})
			must.Eq(t, c.outcome, outcome)
			cancel()
			<-ended
		})
	}
}

// Guards against lists of runs that count as older than they are because the worker held the poll open, and
// against lists that count as newer than they are.
func TestListIsDatedByTheWorkersClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ahead = 5000 // of the worker's clock, in ms
		started := time.Now()
		since := func() clock.Millis { return clock.Millis(time.Since(started).Milliseconds()) }
		s := newSession(&fakeWorker{}, make(chan time.Time, 1))
		s.Clock = clock.Clock{}
		origin := s.Clock.Now()
		s.Calls.Poll = func(_ context.Context, _ worker.Endpoint, r worker.PollRequest) (worker.PollResponse, error) {
			time.Sleep(r.Wait.Duration())
			reply := worker.Reply{Result: worker.Done, Clock: since() + ahead}
			time.Sleep(30 * time.Millisecond) // until the response is processed
			return worker.PollResponse{Reply: reply}, nil
		}
		var ages []clock.Millis
		s.Report = func(_ context.Context, r schedule.Report) uint64 {
			ages = append(ages, since()-(r.ListedAt-origin))
			return 0
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := startSession(ctx, s)
		time.Sleep(3 * time.Second)
		cancel()
		<-ended
		must.Greater(t, 3, len(ages))
		for _, age := range ages {
			must.Eq(t, 30, age)
		}
	})
}
