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

// result is what became of one attempt whose response was not passed on.
type result struct {
	err   error // nil if the response was passed on
	sent  bool  // the target may have run the request
	retry bool  // a retry is already taken from the budget
	// refused is set if the target's guard refused the request.
	refused bool

	silent bool // the connection, not the target, is to be avoided
}

// attempt is one request to one target on one connection.
type attempt struct {
	usage
	x       *exchange
	target  *state
	conn    *pooledConn
	cancel  context.CancelCauseFunc
	trace   httptrace.ClientTrace
	silence time.Duration
	timer   *time.Timer
	last    bool // no further attempt may follow
	sender  *sender

	// guarded by usage.mu
	sentAt  clock.Millis
	settled bool // the header of the response was received, or the attempt ended
	ended   bool
	silent  bool // the silence timeout passed
	retry   bool // the attempt was cancelled for a retry
}

// attempt sends the request to s and passes the response on. The slot and the connection are
// given back even if the caller's connection is aborted.
func (x *exchange) attempt(s *state, n int) (res result) {
	start := x.d.Clock.Now()
	ctx, cancel := context.WithCancelCause(x.ctx)
	a := &attempt{x: x, target: s, conn: s.take(x.d.Dial), cancel: cancel, last: n+1 == maxAttempts}
	o := Observation{Pool: x.q.Pool, Target: s.id, Attempt: n, Result: Broken}
	reuse := false
	defer func() {
		a.end()
		s.put(a.conn, reuse && a.sender.complete(), x.d.Clock.Now())
		s.finish()
		cancel(nil)
		a.record(&o, start)
	}()
	x.p.mu.Lock()
	a.silence = x.p.latencies.Silence().Duration()
	x.p.mu.Unlock()
	a.timer = time.AfterFunc(a.silence+dialTimeout, a.onSilence)
	resp, err := a.roundTrip(ctx, n)
	if err != nil {
		o.Result = a.failure(err)
		return result{err: eris.Wrap(err, "round trip"), sent: a.sent(), retry: a.retry, silent: o.Result == Silent}
	}
	defer resp.Body.Close()
	o.Status = resp.StatusCode
	if refused(resp, x.q) {
		o.Result = Refused
		reuse = drain(resp)
		return result{err: eris.New("the target's guard refused the request"), refused: true}
	}
	if err := verify(resp, x.q); err != nil {
		o.Result = Mismatched
		return result{err: err, sent: true}
	}
	started, err := pass(x.w, resp, x.q, x.body, a.progress)
	switch {
	case err != nil && started:
		o.Result = a.failure(err)
		// The caller must not take a part of a response for the whole.
		panic(http.ErrAbortHandler)
	case err != nil:
		o.Result = a.failure(err)
		return result{err: err, sent: true}
	}
	o.Result = Answered
	reuse = true
	return result{}
}

// roundTrip sends the request. Once the header of the response is there, the attempt is no
// longer cancelled for silence.
func (a *attempt) roundTrip(ctx context.Context, n int) (*http.Response, error) {
	a.trace.GotConn = a.gotConn
	a.trace.Got1xxResponse = func(int, textproto.MIMEHeader) error { a.progress(); return nil }
	head := a.x.head
	if n > 0 {
		// The transport may still write the header of the attempt before.
		head = maps.Clone(head)
	}
	out := newRequest(httptrace.WithClientTrace(ctx, &a.trace), head, a.x.q, a.conn.addr, a.x.q.Deadline-a.x.d.Clock.Now())
	if a.x.body.length != 0 {
		a.sender = a.x.body.sender(a.progress)
		out.Body, out.ContentLength = a.sender, a.x.body.length
	}
	resp, err := a.conn.transport.RoundTrip(out)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settled = true
	if err == nil && a.retry {
		_ = resp.Body.Close()
		return nil, errSilent
	}
	return resp, err
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.use(info.Conn)
	a.mu.Lock()
	a.sentAt = a.x.d.Clock.Now()
	a.mu.Unlock()
	a.progress()
}

// progress restarts the silence timeout. The transport may still read the request body, and so
// call it, after the attempt ended.
func (a *attempt) progress() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.timer.Reset(a.silence)
	}
}

func (a *attempt) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.timer.Stop()
}

// onSilence runs when nothing was received for the silence timeout. It abandons the connection
// and the older ones. An idempotent request is tried again if the budget allows; any other
// keeps waiting for its own response until its deadline.
func (a *attempt) onSilence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.target.abandon(a.conn, a.sentAt)
	a.silent = true
	if a.settled || a.last || !a.x.q.Idempotent || !a.x.body.replayable() || a.x.ctx.Err() != nil {
		return
	}
	if a.x.retry(a.x.p.full(a.x.d.Clock.Now())) {
		a.settled, a.retry = true, true
		a.cancel(errSilent)
	}
}

// failure classifies an attempt whose response was not passed on completely.
func (a *attempt) failure(err error) Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case errors.Is(err, errCallerGone):
		return Cancelled
	case a.silent:
		return Silent
	case errors.Is(a.x.ctx.Err(), context.DeadlineExceeded) && a.overdue():
		// A deadline shorter than the silence timeout would otherwise hide silent connections.
		a.target.abandon(a.conn, a.sentAt)
		return Silent
	case a.x.ctx.Err() != nil:
		return Cancelled
	}
	return Broken
}

// overdue reports whether the attempt took longer than the pool's responses do.
func (a *attempt) overdue() bool {
	a.x.p.mu.Lock()
	defer a.x.p.mu.Unlock()
	return a.sentAt > 0 && a.x.p.latencies.Overdue(a.x.d.Clock.Now()-a.sentAt)
}

// record updates the target's health and the pool's latencies and reports the observation.
func (a *attempt) record(o *Observation, start clock.Millis) {
	now := a.x.d.Clock.Now()
	o.Took = now - start
	switch {
	case o.Result == Refused:
		a.target.mu.Lock()
		a.target.health.Refused(now)
		a.target.mu.Unlock()
	case o.Result == Cancelled:
	case o.Result == Answered && o.Status < http.StatusInternalServerError:
		a.target.mu.Lock()
		a.target.health.Succeeded(now)
		a.target.mu.Unlock()
	default:
		a.x.p.failed(a.target, now)
	}
	if o.Result == Answered || o.Result == Silent {
		a.x.p.mu.Lock()
		a.x.p.latencies.Record(now, o.Took)
		a.x.p.mu.Unlock()
	}
	if a.x.d.Observe != nil {
		a.x.d.Observe(*o)
	}
}

// drain reads a short refusal to its end and reports whether the connection can be reused.
func drain(resp *http.Response) bool {
	if resp.ContentLength < 0 || resp.ContentLength > 1024 {
		return false
	}
	var buffer [1024]byte
	return readShort(resp.Body, buffer[:resp.ContentLength]) == nil
}
