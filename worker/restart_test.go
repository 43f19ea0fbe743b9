package worker_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/schedule"
	"citronknot/worker"
)

// restartingWorker is a worker that may restart under its id and be cut off.
type restartingWorker struct {
	fakeWorker
	born  atomic.Int64 // Unix time of its start, in ms
	polls []worker.PollRequest
}

// newRestartingSession returns a session with a worker that has run for a while.
func newRestartingSession(w *restartingWorker, expired chan time.Time) *worker.Session {
	w.restart()
	s := newSession(&w.fakeWorker, expired)
	now := s.Clock.Now()
	started := time.Now()
	s.Clock = clock.Clock{NowFunc: func() clock.Millis { return now + clock.MillisOf(time.Since(started)) }}
	s.Incarnation = clock.Millis(w.born.Load())
	s.Calls.Poll = func(ctx context.Context, to worker.Endpoint, r worker.PollRequest) (worker.PollResponse, error) {
		w.polls = append(w.polls, r)
		response, err := w.poll(ctx, to, r)
		response.Reply, response.Incarnation = w.reply(), clock.Millis(w.born.Load())
		response.Ended = []worker.EndedRun{{Number: 7, EndReport: schedule.EndReport{Kind: schedule.EndDone}}}
		return response, err
	}
	s.Calls.Start = func(context.Context, worker.Endpoint, worker.StartOrder) (worker.Reply, error) { return w.reply(), nil }
	return s
}

func (w *restartingWorker) restart() { w.born.Store(time.Now().UnixMilli()) }

// reply returns an answer with the worker's clock, which starts anew with each incarnation.
func (w *restartingWorker) reply() worker.Reply {
	return worker.Reply{Result: worker.Done, Clock: clock.Millis(time.Now().UnixMilli() - w.born.Load() + 1)}
}

// Guards against a start that the successor of a worker has accepted, and that counts as accepted by the ended
// incarnation: its run lasts longer than the leases that the session gives, if the worker is cut off then.
func TestStartThatSuccessorAcceptsHoldsTheLongestLease(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := &restartingWorker{}
			expired := make(chan time.Time, 100)
			s := newRestartingSession(w, expired)
			ctx, cancel := context.WithCancel(t.Context())
			ended := startSession(ctx, s)
			time.Sleep(time.Second)
			if restarts {
				w.restart()
			}
			accepted := time.Now()
			outcome, result := s.Order(ctx, schedule.Order{Kind: schedule.Start})
			w.setUnreachable(true)
			must.Eq(t, worker.Done, result)
			at := <-expired
			if restarts {
				must.Eq(t, schedule.UnknownOutcome, outcome)
				must.GreaterEq(t, worker.DefaultMaxLease.Duration(), at.Sub(accepted))
			} else {
				must.Eq(t, schedule.Accepted, outcome)
				must.Less(t, worker.DefaultMaxLease.Duration(), at.Sub(accepted))
			}
			cancel()
			<-ended
		})
	}
}

// Guards against a successor that forgets an ended run because its number is no higher than one of the ended
// incarnation: a poll after one that failed acknowledges nothing. Later ones do again.
func TestPollAfterFailureAcknowledgesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &restartingWorker{}
		s := newRestartingSession(w, make(chan time.Time, 100))
		ctx, cancel := context.WithCancel(t.Context())
		ended := startSession(ctx, s)
		time.Sleep(time.Second)
		w.setUnreachable(true)
		time.Sleep(500 * time.Millisecond)
		w.setUnreachable(false)
		time.Sleep(time.Second)
		cancel()
		<-ended
		afterFailure := 0
		for _, r := range w.polls[2:] {
			if r.Wait == 0 {
				afterFailure++
				must.Eq(t, 0, r.AcknowledgedThrough)
			} else {
				must.Eq(t, 7, r.AcknowledgedThrough)
			}
		}
		must.Positive(t, afterFailure)
	})
}

// Guards against a start that is sent to the successor of an ended incarnation.
func TestLostIncarnationGetsNoStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &restartingWorker{}
		s := newRestartingSession(w, make(chan time.Time, 100))
		var losses []worker.Loss
		s.Lost = func(l worker.Loss) { losses = append(losses, l) }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ended := startSession(ctx, s)
		time.Sleep(time.Second)
		w.restart()
		<-ended
		must.Eq(t, []worker.Loss{{Reason: "it has restarted", Successor: clock.Millis(w.born.Load())}}, losses)
		outcome, _ := s.Order(ctx, schedule.Order{Kind: schedule.Start})
		must.Eq(t, schedule.NotSent, outcome)
	})
}

// Guards against leases that count as expired because those that were meant for an earlier incarnation of the
// worker are longer than those of the session.
func TestFormerLeaseIsWaitedFor(t *testing.T) {
	for _, former := range []clock.Millis{0, 9000} {
		synctest.Test(t, func(t *testing.T) {
			w := &restartingWorker{}
			expired := make(chan time.Time, 100)
			config := newRestartingSession(w, expired).Config
			config.FormerLease = former
			s := worker.NewSession(config)
			ctx, cancel := context.WithCancel(t.Context())
			ended := startSession(ctx, s)
			time.Sleep(150 * time.Millisecond)
			w.setUnreachable(true)
			cutOff := time.Now()
			waited := (<-expired).Sub(cutOff)
			if former == 0 {
				must.Between(t, 4*time.Second, waited, 6*time.Second)
			} else {
				must.Between(t, 8800*time.Millisecond, waited, 10*time.Second)
			}
			cancel()
			<-ended
		})
	}
}
