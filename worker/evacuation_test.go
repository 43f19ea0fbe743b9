package worker_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/job"
	"citronknot/schedule"
	"citronknot/worker"
)

// Guards against a start that is sent to a zone that was closed after the start was ordered, against
// stops that are held back with it, and against a held start that extends the worker's lease or is
// taken for a response.
func TestStartsAreHeldBackWhileZoneIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var open atomic.Bool
		var starts, stops int
		s := newSession(&fakeWorker{}, make(chan time.Time, 1))
		s.MayStart = open.Load
		s.Calls.Start = func(context.Context, worker.Endpoint, worker.StartOrder) (worker.Reply, error) {
			starts++
			return worker.Reply{Result: worker.Done, Clock: workerClock()}, nil
		}
		s.Calls.Stop = func(context.Context, worker.Endpoint, job.Ref, int, uint64) (worker.Reply, error) {
			stops++
			return worker.Reply{Result: worker.Done, Clock: workerClock()}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := startSession(ctx, s)
		time.Sleep(250 * time.Millisecond)
		outcome, result := s.Order(ctx, schedule.Order{Kind: schedule.Start})
		must.Eq(t, schedule.ZoneClosed, outcome)
		must.Eq(t, worker.HeldBack, result)
		must.Eq(t, "held_back", result.String())
		outcome, _ = s.Order(ctx, schedule.Order{Kind: schedule.Stop})
		must.Eq(t, schedule.Accepted, outcome)
		must.Eq(t, 0, starts)
		must.Eq(t, 1, stops)
		open.Store(true)
		outcome, _ = s.Order(ctx, schedule.Order{Kind: schedule.Start})
		must.Eq(t, schedule.Accepted, outcome)
		must.Eq(t, 1, starts)
		cancel()
		<-ended
	})
}
