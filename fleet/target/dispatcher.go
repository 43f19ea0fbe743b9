package target

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"citronknot/clock"
	"citronknot/fleet"
)

// Dispatcher forwards requests to targets. Its exported fields must not change after the first
// use.
type Dispatcher struct {
	Clock clock.Clock
	Zone  fleet.ZoneID // of this member; targets in it are preferred
	// Snapshot returns the newest snapshot of a pool, or nil if the pool is unknown. It returns
	// the same pointer until the snapshot changes.
	Snapshot func(fleet.PoolID) *Snapshot
	// Observe is called after each attempt, unless it is nil.
	Observe func(Observation)
	// Dial opens a connection to a target; nil means TCP with a timeout of 1 s.
	Dial DialFunc

	pools atomic.Pointer[map[fleet.PoolID]*pool] // copied on change

	// mu is locked when a snapshot changes and when the state is queried, not for each request.
	mu      sync.Mutex
	targets map[fleet.InstanceID]*targetState
}

// maxAttempts is the largest number of attempts that one request makes without a pause.
const maxAttempts = 3

// Error is the error of Forward: no response of a target could be copied to the caller.
type Error struct {
	Sent     bool // a target may have run the request
	Attempts int
	Refusals int // attempts that a guard refused
	Err      error
}

// Error returns the text of the cause with the prefix "target: ".
func (e *Error) Error() string { return "target: " + e.Err.Error() }

// Unwrap returns Err, the cause.
func (e *Error) Unwrap() error { return e.Err }

// errNoTarget reports that no target is usable for the request.
var errNoTarget = errors.New("no target with a free slot")

// errUnresponsive is the cause with which an attempt is cancelled whose connection does not
// respond.
var errUnresponsive = errors.New("the connection is silent")

// exchange is one request of a caller with the state that its attempts share.
type exchange struct {
	dispatcher *Dispatcher
	pool       *pool
	writer     http.ResponseWriter
	request    *Request
	ctx        context.Context
	header     http.Header
	body       *body
}

// Forward sends request with the header and body of r to a target and copies the response of
// the target to w. On failure it returns an *Error, and nothing was written to w. If a response
// ends early after a part of it was written, Forward aborts the caller's connection by a panic
// with [http.ErrAbortHandler].
func (d *Dispatcher) Forward(w http.ResponseWriter, r *http.Request, request Request) error {
	now := d.Clock.Now()
	remaining := (request.Deadline - now).Duration()
	ctx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	controller := http.NewResponseController(w)
	if r.ContentLength != 0 {
		// A caller that stops sending its body must not hold the request past its deadline.
		_ = controller.SetReadDeadline(time.Now().Add(remaining))
	}
	requestBody, err := readBody(r)
	if err != nil {
		return &Error{Err: err}
	}
	defer requestBody.release()
	if !requestBody.replayable() {
		defer requestBody.unblockRead(w, controller)
	}
	pool := d.pool(request.Pool)
	pool.mu.Lock()
	pool.budget.CountRequest(now)
	pool.mu.Unlock()
	x := &exchange{
		dispatcher: d, pool: pool, writer: w, request: &request, ctx: ctx,
		header: targetHeader(r.Header, &request), body: requestBody,
	}
	return x.run()
}

// A request without a free slot waits for one, because members and guards can disagree on the
// slots in use for some seconds after a member starts or stops. A check for a free slot is cheap.
// An attempt that a guard may refuse is not, so the pause between attempts doubles.
const (
	slotCheckInterval = 5 * time.Millisecond
	firstRetryPause   = 50 * time.Millisecond
	maxRetryPause     = 400 * time.Millisecond
	maxSlotWait       = 300 * time.Millisecond
)

// run tries targets until a response was copied to the caller or no further attempt is allowed.
func (x *exchange) run() error {
	failure := &Error{Err: errNoTarget}
	pause := firstRetryPause
	for waitUntil := time.Now().Add(maxSlotWait); ; {
		if x.tryTargets(failure) {
			return nil
		}
		onlyRefused := !failure.Sent && failure.Attempts == failure.Refusals
		canSend := failure.Attempts == 0 || x.body.replayable()
		if !onlyRefused || !canSend || time.Now().After(waitUntil) {
			return failure
		}
		wait := slotCheckInterval
		if failure.Attempts > 0 {
			wait, pause = pause, min(2*pause, maxRetryPause)
		}
		select {
		case <-x.ctx.Done():
			return failure
		case <-time.After(wait):
		}
	}
}

// tryTargets makes up to maxAttempts attempts and reports whether the response of one was copied
// to the caller. It records failed attempts in failure. After a retry, the outcome is not_run
// only if the request cannot have run in any attempt.
func (x *exchange) tryTargets(failure *Error) (completed bool) {
	var array [maxAttempts]*targetState
	tried := array[:0]
	budgeted := failure.Attempts == 0 // the attempt is the first, or the retry budget has counted it
	for number := range maxAttempts {
		poolFull := x.pool.full(x.dispatcher.Clock.Now()) // before this request counts as in flight
		target := x.pool.acquire(x.dispatcher.Clock.Now(), tried)
		if target == nil {
			return false
		}
		if !budgeted && !x.reserveRetry(poolFull) {
			target.finish()
			return false
		}
		outcome := x.attempt(target, number)
		if !outcome.unresponsive {
			tried = append(tried, target)
		}
		if outcome.err == nil {
			return true
		}
		failure.Attempts++
		if outcome.refused {
			failure.Refusals++
		}
		failure.Sent = failure.Sent || outcome.sent
		failure.Err = outcome.err
		if !outcome.retryReserved && !x.mayResend(outcome) {
			return false
		}
		budgeted = outcome.retryReserved
	}
	return false
}

// mayResend reports whether the request may be sent again after outcome. No other code allows
// that for a failed attempt (invariant I8).
func (x *exchange) mayResend(outcome result) bool {
	return (!outcome.sent || x.request.Idempotent) && x.body.replayable() && x.ctx.Err() == nil
}

// reserveRetry reports whether the pool's retry budget allows another retry, and counts it if
// so.
func (x *exchange) reserveRetry(poolFull bool) bool {
	x.pool.mu.Lock()
	defer x.pool.mu.Unlock()
	return x.pool.budget.TakeRetry(x.dispatcher.Clock.Now(), poolFull)
}

// SetPeerInFlight replaces the numbers of requests that the other members have in flight on the
// targets, by their last summaries. A target that is not in the map has none.
func (d *Dispatcher) SetPeerInFlight(inFlight map[fleet.InstanceID]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, target := range d.targets {
		target.peerInFlight.Store(int32(inFlight[id]))
	}
}

// Close closes the idle connections. Requests in flight continue, and their connections are
// closed when they end.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, target := range d.targets {
		target.mu.Lock()
		target.viewCount = 0
		target.mu.Unlock()
		target.closeIdle()
	}
}
