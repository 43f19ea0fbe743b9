package dispatcher_test

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
	"citronknot/dispatcher"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/schedule"
	"citronknot/worker"
)

// fakeOwner responds to a dispatcher's requests with batches that a test queues.
type fakeOwner struct {
	mu        sync.Mutex
	batches   []dispatcher.Batch
	received  []uint64 // Received of the requests
	results   []dispatcher.Results
	silent    bool // requests get no response
	loseNext  int  // number of next responses that are lost
	repeat    int  // number of next responses that repeat the newest batch, received or not
	ended     bool
	durable   uint64
	lastBatch *dispatcher.Batch
	number    uint64
}

func (o *fakeOwner) poll(ctx context.Context, r dispatcher.PollRequest) (dispatcher.Batch, error) {
	o.mu.Lock()
	o.received = append(o.received, r.Received)
	silent, ended := o.silent, o.ended
	o.mu.Unlock()
	if silent {
		<-ctx.Done()
		return dispatcher.Batch{}, ctx.Err()
	}
	if ended {
		return dispatcher.Batch{Ended: true, Reason: "test"}, nil
	}
	time.Sleep(20 * time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.repeat > 0 && o.lastBatch != nil:
		o.repeat--
	case o.lastBatch != nil && r.Received >= o.lastBatch.Number:
		o.lastBatch = nil
	}
	if o.lastBatch == nil && len(o.batches) > 0 {
		o.number++
		b := o.batches[0]
		b.Number, b.Durable, o.batches = o.number, o.durable, o.batches[1:]
		o.lastBatch = &b
	}
	b := dispatcher.Batch{Number: o.number, Durable: o.durable}
	if o.lastBatch != nil {
		b = *o.lastBatch
	}
	b.Fence, b.Grant = 3, dispatcher.GrantLength
	if o.loseNext > 0 {
		o.loseNext--
		return dispatcher.Batch{}, errors.New("response lost")
	}
	return b, nil
}

func (o *fakeOwner) send(_ context.Context, r dispatcher.Results) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results = append(o.results, r)
	return nil
}

func (o *fakeOwner) queue(b dispatcher.Batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.batches = append(o.batches, b)
}

// events returns the events of a kind that were received.
func (o *fakeOwner) events(kind dispatcher.EventKind) []dispatcher.Event {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []dispatcher.Event
	for _, r := range o.results {
		for _, e := range r.Events {
			if e.Kind == kind {
				out = append(out, e)
			}
		}
	}
	return out
}

// workerClock returns the time on the clock of a worker that has not restarted.
func workerClock() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }

// fakeWorkers record the calls that they receive. Each poll takes 100 ms.
type fakeWorkers struct {
	mu        sync.Mutex
	polls     []worker.PollRequest
	polledAt  []time.Time
	starts    []worker.StartOrder
	ended     []worker.EndedRun
	startWait time.Duration
}

func (w *fakeWorkers) calls() worker.Calls {
	return worker.Calls{
		Poll: func(_ context.Context, _ worker.Endpoint, r worker.PollRequest) (worker.PollResponse, error) {
			w.mu.Lock()
			w.polls, w.polledAt = append(w.polls, r), append(w.polledAt, time.Now())
			w.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			w.mu.Lock()
			defer w.mu.Unlock()
			return worker.PollResponse{Reply: worker.Reply{Result: worker.Done, Clock: workerClock()}, Ended: w.ended}, nil
		},
		Start: func(_ context.Context, _ worker.Endpoint, o worker.StartOrder) (worker.Reply, error) {
			time.Sleep(w.startWait)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.starts = append(w.starts, o)
			return worker.Reply{Result: worker.Done, Clock: workerClock()}, nil
		},
	}
}

func (w *fakeWorkers) counts() (polls, starts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.polls), len(w.starts)
}

// harness runs a dispatcher with a fake owner and fake workers under virtual time.
type harness struct {
	owner   *fakeOwner
	workers *fakeWorkers
	paused  atomic.Int64 // milliseconds for which the machine was suspended
	cancel  context.CancelFunc
	done    chan error
}

// startHarness runs a dispatcher with one worker. change changes its configuration; there may be none.
func startHarness(t *testing.T, change ...func(*dispatcher.Config)) *harness {
	h := &harness{owner: &fakeOwner{}, workers: &fakeWorkers{}, done: make(chan error, 1)}
	started := time.Now()
	now := func() clock.Millis { return 1000 + clock.MillisOf(time.Since(started)) }
	config := dispatcher.Config{
		Pool: "p", Self: "m1", Calls: h.workers.calls(), Log: slog.New(slog.DiscardHandler), Poll: h.owner.poll, Send: h.owner.send,
		Clock: clock.Clock{NowFunc: now, BootFunc: func() clock.Millis { return now() + clock.Millis(h.paused.Load()) }},
	}
	for _, f := range change {
		f(&config)
	}
	d := dispatcher.New(config)
	h.owner.queue(dispatcher.Batch{Assigned: []dispatcher.Assignment{{ID: 1, Endpoint: worker.Endpoint{ID: "w1", Address: "a"}, Incarnation: 5}}})
	ctx, cancel := context.WithCancel(t.Context())
	h.cancel = cancel
	go func() { h.done <- d.Run(ctx) }()
	time.Sleep(time.Second)
	return h
}

// startOrder returns an order to start the nth task.
func startOrder(n int) dispatcher.Order {
	return dispatcher.Order{Assignment: 1, Order: schedule.Order{
		Kind: schedule.Start, Worker: fleet.InstanceID("w1"), Task: job.Ref{Job: "00000000000000aa", Index: n}, Run: 1,
	}}
}

// Guards against a dispatcher that goes on calling workers when its owner does not respond, and may
// have given the workers to another member.
func TestWorkersAreNotCalledAfterTheGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t)
		h.owner.mu.Lock()
		h.owner.silent = true
		silentFrom := time.Now()
		h.owner.mu.Unlock()
		err := <-h.done
		var expired *dispatcher.GrantExpiredError
		must.True(t, errors.As(err, &expired))
		last := h.workers.polledAt[len(h.workers.polledAt)-1]
		must.LessEq(t, dispatcher.GrantLength.Duration(), last.Sub(silentFrom))
		must.Greater(t, time.Second, last.Sub(silentFrom), must.Sprint("polls go on for as long as the grant lasts"))
		h.cancel()
	})
}

// Guards against a dispatcher that was suspended and then sends orders, or renews leases, under a
// grant that has expired meanwhile: the monotonic clock does not count the suspension.
func TestSuspendedDispatcherSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t)
		h.owner.mu.Lock()
		h.owner.silent = true
		h.owner.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		polls, _ := h.workers.counts()
		h.paused.Store(int64(dispatcher.GrantLength))
		err := <-h.done
		var expired *dispatcher.GrantExpiredError
		must.True(t, errors.As(err, &expired))
		after, _ := h.workers.counts()
		must.Eq(t, polls, after)
		h.cancel()
	})
}

// Guards against an order that is carried out twice, or never, because a response that contained it,
// or the request that confirmed it, was lost.
func TestRepeatedBatchIsCarriedOutOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t)
		h.owner.mu.Lock()
		h.owner.loseNext, h.owner.repeat = 2, 4
		h.owner.mu.Unlock()
		h.owner.queue(dispatcher.Batch{Orders: []dispatcher.Order{startOrder(0)}})
		time.Sleep(time.Second)
		h.owner.queue(dispatcher.Batch{Orders: []dispatcher.Order{startOrder(1)}})
		time.Sleep(time.Second)
		_, starts := h.workers.counts()
		must.Eq(t, 2, starts)
		completed := h.owner.events(dispatcher.OrderCompleted)
		must.Len(t, 2, completed)
		must.Eq(t, schedule.Accepted, completed[0].Outcome)
		must.Eq(t, 3, h.workers.starts[0].Fence)
		h.cancel()
		must.ErrorIs(t, <-h.done, context.Canceled)
	})
}

// Guards against an owner that gives a worker to another member while an order to it is in flight: the
// dispatcher says that it leaves only when all of its orders have an outcome.
func TestLeavesAfterOrdersHaveCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t)
		h.workers.startWait = 300 * time.Millisecond
		h.owner.queue(dispatcher.Batch{Orders: []dispatcher.Order{startOrder(0)}})
		time.Sleep(100 * time.Millisecond)
		h.cancel()
		must.ErrorIs(t, <-h.done, context.Canceled)
		last := h.owner.results[len(h.owner.results)-1]
		must.True(t, last.Leaving)
		must.Len(t, 1, h.owner.events(dispatcher.OrderCompleted))
		polls, _ := h.workers.counts()
		time.Sleep(5 * time.Second)
		after, _ := h.workers.counts()
		must.Eq(t, polls, after, must.Sprint("no worker is polled after the end"))
	})
}

// Guards against the worker forgetting an ended run that is not durable: the run would be taken for
// one that never ended, and its task would run twice.
func TestEndedRunsAreAcknowledgedWhenDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t)
		h.workers.mu.Lock()
		h.workers.ended = []worker.EndedRun{{Number: 7, EndReport: schedule.EndReport{Task: job.Ref{Job: "00000000000000aa"}, Run: 1, Kind: schedule.EndDone}}}
		h.workers.mu.Unlock()
		time.Sleep(time.Second)
		acknowledged := func() int64 {
			h.workers.mu.Lock()
			defer h.workers.mu.Unlock()
			return h.workers.polls[len(h.workers.polls)-1].AcknowledgedThrough
		}
		must.Eq(t, 0, acknowledged())
		var reported []dispatcher.Event
		for _, e := range h.owner.events(dispatcher.Polled) {
			if len(e.Report.Ended) > 0 {
				reported = append(reported, e)
			}
		}
		must.Len(t, 1, reported, must.Sprint("an ended run is reported once"))
		h.owner.mu.Lock()
		h.owner.durable = reported[0].Change
		h.owner.mu.Unlock()
		time.Sleep(time.Second)
		must.Eq(t, 7, acknowledged())
		h.cancel()
		<-h.done
	})
}

// Guards against an owner that is sent hundreds of equal reports a second by idle workers, and
// against one that waits for a list of runs that is newer than the outcome of an order.
func TestReportsWithoutNewsAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t)
		time.Sleep(9 * time.Second)
		idle := len(h.owner.events(dispatcher.Polled))
		must.Between(t, 8, idle, 12)
		h.owner.queue(dispatcher.Batch{Orders: []dispatcher.Order{startOrder(0)}})
		time.Sleep(300 * time.Millisecond)
		completed := h.owner.events(dispatcher.OrderCompleted)
		must.Len(t, 1, completed)
		polled := h.owner.events(dispatcher.Polled)
		must.Greater(t, completed[0].At-1, polled[len(polled)-1].Report.RequestedAt)
		h.cancel()
		<-h.done
	})
}

// Guards against a dispatcher that outlives its owner's need for it.
func TestServiceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t)
		h.owner.mu.Lock()
		h.owner.ended = true
		h.owner.mu.Unlock()
		var ended *dispatcher.EndedError
		must.True(t, errors.As(<-h.done, &ended))
		must.True(t, h.owner.results[len(h.owner.results)-1].Leaving)
		h.cancel()
	})
}
