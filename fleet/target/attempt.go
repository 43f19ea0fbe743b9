package target

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
)

// result is the outcome of one attempt.
type result struct {
	err           error // nil if the response was copied to the caller
	sent          bool  // the target may have run the request
	retryReserved bool  // the retry budget has already counted the next attempt
	// refused reports that the target's guard refused the request.
	refused bool

	unresponsive bool // the connection is to be avoided; the target may be selected again
}

// attempt is one request to one target on one connection.
type attempt struct {
	usage
	exchange          *exchange
	target            *targetState
	conn              *pooledConn
	cancel            context.CancelCauseFunc
	trace             httptrace.ClientTrace
	inactivityTimeout time.Duration
	timer             *time.Timer
	lastAttempt       bool // no further attempt may follow
	body              *attemptBody

	// guarded by usage.mu
	sentAt            clock.Millis
	roundTripDone     bool // the response header was received, or the attempt failed or was cancelled
	ended             bool
	unresponsive      bool // the inactivity timeout expired
	cancelledForRetry bool // the attempt was cancelled for a retry
}

// attempt sends the request to target and copies the response to the caller. It returns the
// slot and the connection even if it aborts the caller's connection by a panic.
func (x *exchange) attempt(target *targetState, number int) (outcome result) {
	start := x.dispatcher.Clock.Now()
	ctx, cancel := context.WithCancelCause(x.ctx)
	attempt := &attempt{
		exchange: x, target: target, conn: target.takeConn(x.dispatcher.Dial), cancel: cancel, lastAttempt: number+1 == maxAttempts,
	}
	observation := Observation{Pool: x.request.Pool, Target: target.id, Attempt: number, Result: Broken}
	reusable := false
	defer func() {
		attempt.end()
		target.putConn(attempt.conn, reusable && attempt.body.complete(), x.dispatcher.Clock.Now())
		target.finish()
		cancel(nil)
		attempt.record(&observation, start)
	}()
	x.pool.mu.Lock()
	attempt.inactivityTimeout = x.pool.latencies.InactivityTimeout().Duration()
	x.pool.mu.Unlock()
	attempt.timer = time.AfterFunc(attempt.inactivityTimeout+dialTimeout, attempt.onInactivity)
	resp, err := attempt.roundTrip(ctx, number)
	if err != nil {
		observation.Result = attempt.classify(err)
		return result{
			err: eris.Wrap(err, "round trip"), sent: attempt.sent(),
			retryReserved: attempt.cancelledForRetry, unresponsive: observation.Result == Unresponsive,
		}
	}
	defer resp.Body.Close()
	observation.Status = resp.StatusCode
	if isRefusal(resp, x.request) {
		observation.Result = Refused
		reusable = drainBody(resp)
		return result{err: eris.New("the target's guard refused the request"), refused: true}
	}
	if err := verifyResponse(resp, x.request); err != nil {
		observation.Result = Mismatched
		return result{err: err, sent: true}
	}
	started, err := forwardResponse(x.writer, resp, x.request, x.body, attempt.progress)
	switch {
	case err != nil && started:
		observation.Result = attempt.classify(err)
		// The abort keeps the caller from accepting a partial response as complete.
		panic(http.ErrAbortHandler)
	case err != nil:
		observation.Result = attempt.classify(err)
		return result{err: err, sent: true}
	}
	observation.Result = Completed
	reusable = true
	return result{}
}

// roundTrip sends the request and waits for the header of the response. After that, the
// inactivity timeout no longer cancels the attempt.
func (a *attempt) roundTrip(ctx context.Context, number int) (*http.Response, error) {
	a.trace.GotConn = a.gotConn
	a.trace.Got1xxResponse = func(int, textproto.MIMEHeader) error { a.progress(); return nil }
	header := a.exchange.header
	if number > 0 {
		// The transport may still be writing the header of the previous attempt.
		header = maps.Clone(header)
	}
	request := newRequest(httptrace.WithClientTrace(ctx, &a.trace), header, a.exchange.request, a.conn.addr,
		a.exchange.request.Deadline-a.exchange.dispatcher.Clock.Now())
	if a.exchange.body.length != 0 {
		a.body = a.exchange.body.newAttemptBody(a.progress)
		request.Body, request.ContentLength = a.body, a.exchange.body.length
	}
	resp, err := a.conn.transport.RoundTrip(request)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.roundTripDone = true
	if err == nil && a.cancelledForRetry {
		_ = resp.Body.Close()
		return nil, errUnresponsive
	}
	return resp, err
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.addConn(info.Conn)
	a.mu.Lock()
	a.sentAt = a.exchange.dispatcher.Clock.Now()
	a.mu.Unlock()
	a.progress()
}

// progress restarts the inactivity timeout. It has no effect after the attempt ended, when the
// transport may still read the request body and call it.
func (a *attempt) progress() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.timer.Reset(a.inactivityTimeout)
	}
}

func (a *attempt) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.timer.Stop()
}

// onInactivity runs when nothing was sent or received for the inactivity timeout. It abandons
// the connection and those opened before it. An idempotent request is retried if the retry
// budget allows it. Any other request keeps waiting for its response until its deadline.
func (a *attempt) onInactivity() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.target.abandon(a.conn, a.sentAt)
	a.unresponsive = true
	if a.roundTripDone || a.lastAttempt || !a.exchange.request.Idempotent ||
		!a.exchange.body.replayable() || a.exchange.ctx.Err() != nil {
		return
	}
	if a.exchange.reserveRetry(a.exchange.pool.full(a.exchange.dispatcher.Clock.Now())) {
		a.roundTripDone, a.cancelledForRetry = true, true
		a.cancel(errUnresponsive)
	}
}

// classify returns the result of an attempt whose response was not completely copied to the
// caller.
func (a *attempt) classify(err error) Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case errors.Is(err, errCallerClosed):
		return Cancelled
	case a.unresponsive:
		return Unresponsive
	case errors.Is(a.exchange.ctx.Err(), context.DeadlineExceeded) && a.overdue():
		// Without this, requests whose deadline is shorter than the inactivity timeout would
		// never cause an unresponsive connection to be abandoned.
		a.target.abandon(a.conn, a.sentAt)
		return Unresponsive
	case a.exchange.ctx.Err() != nil:
		return Cancelled
	}
	return Broken
}

// overdue reports whether the attempt has waited longer than the responses of the pool usually
// take.
func (a *attempt) overdue() bool {
	a.exchange.pool.mu.Lock()
	defer a.exchange.pool.mu.Unlock()
	return a.sentAt > 0 && a.exchange.pool.latencies.Overdue(a.exchange.dispatcher.Clock.Now()-a.sentAt)
}

// record updates the target's health and the pool's latencies and calls Dispatcher.Observe.
func (a *attempt) record(observation *Observation, start clock.Millis) {
	now := a.exchange.dispatcher.Clock.Now()
	observation.Duration = now - start
	switch {
	case observation.Result == Refused:
		a.target.mu.Lock()
		a.target.health.RecordRefusal(now)
		a.target.mu.Unlock()
	case observation.Result == Cancelled:
	case observation.Result == Completed && observation.Status < http.StatusInternalServerError:
		a.target.mu.Lock()
		a.target.health.RecordSuccess(now)
		a.target.mu.Unlock()
	default:
		a.exchange.pool.recordFailure(a.target, now)
	}
	if observation.Result == Completed || observation.Result == Unresponsive {
		a.exchange.pool.mu.Lock()
		a.exchange.pool.latencies.Record(now, observation.Duration)
		a.exchange.pool.mu.Unlock()
	}
	if a.exchange.dispatcher.Observe != nil {
		a.exchange.dispatcher.Observe(*observation)
	}
}

// drainBody reads the body of a short refusal to its end and reports whether the connection can
// be reused.
func drainBody(resp *http.Response) bool {
	if resp.ContentLength < 0 || resp.ContentLength > 1024 {
		return false
	}
	var buffer [1024]byte
	return readShort(resp.Body, buffer[:resp.ContentLength]) == nil
}
