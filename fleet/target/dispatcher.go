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

// Dispatcher sends requests to targets. Its fields are set before the first use.
type Dispatcher struct {
	Clock clock.Clock
	Zone  fleet.ZoneID
	// Serving returns the newest snapshot of a pool, and the same pointer until it changes. Nil
	// means that the pool is unknown.
	Serving func(fleet.PoolID) *Snapshot
	// Observe is told the result of each attempt; nil means that nobody is.
	Observe func(Observation)
	// Dial opens a connection to a target; nil means TCP with a timeout of 1 s.
	Dial DialFunc

	pools atomic.Pointer[map[fleet.PoolID]*pool] // copied on change

	mu      sync.Mutex // taken when a snapshot changes, and by queries
	targets map[fleet.InstanceID]*state
}

// maxAttempts bounds the targets that one request is sent to.
const maxAttempts = 3

// Error reports that no response of a target can be passed on.
type Error struct {
	Sent     bool // a target may have run the request
	Attempts int
	Refusals int // attempts that a guard refused
	Err      error
}

func (e *Error) Error() string { return "target: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errNoTarget reports that no target can take the request.
var errNoTarget = errors.New("no target with a free slot")

// errSilent is the cause of an attempt that ended because its connection is silent.
var errSilent = errors.New("the connection is silent")

// exchange is one request of a caller on its way through all attempts.
type exchange struct {
	d    *Dispatcher
	p    *pool
	w    http.ResponseWriter
	q    *Request
	ctx  context.Context
	head http.Header
	body *body
}

// Forward sends q with the header and body of r to a target, and the target's response to w.
// It fails with *Error before anything was written to w; a response that ends early later
// aborts the caller's connection.
func (d *Dispatcher) Forward(w http.ResponseWriter, r *http.Request, q Request) error {
	now := d.Clock.Now()
	left := (q.Deadline - now).Duration()
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	rc := http.NewResponseController(w)
	if r.ContentLength != 0 {
		// A caller that stops sending its body must not hold the request past its deadline.
		_ = rc.SetReadDeadline(time.Now().Add(left))
	}
	b, err := readBody(r)
	if err != nil {
		return &Error{Err: err}
	}
	defer b.release()
	if !b.replayable() {
		defer b.endStream(w, rc)
	}
	p := d.pool(q.Pool)
	p.mu.Lock()
	p.budget.Request(now)
	p.mu.Unlock()
	x := &exchange{d: d, p: p, w: w, q: &q, ctx: ctx, head: outgoing(r.Header, &q), body: b}
	return x.run()
}

// A request that found no free slot waits for one: members and guards can disagree for some
// seconds when members come and go. A look for a slot costs nothing. An attempt that a guard may
// refuse does, so the pause between attempts doubles.
const (
	lookPause  = 5 * time.Millisecond
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	slotWait   = 300 * time.Millisecond
)

// run tries targets until one answers or no further attempt is allowed.
func (x *exchange) run() error {
	failure := &Error{Err: errNoTarget}
	pause := firstPause
	for giveUp := time.Now().Add(slotWait); ; {
		if x.round(failure) {
			return nil
		}
		onlySlots := !failure.Sent && failure.Attempts == failure.Refusals
		fresh := failure.Attempts == 0 || x.body.replayable()
		if !onlySlots || !fresh || time.Now().After(giveUp) {
			return failure
		}
		wait := lookPause
		if failure.Attempts > 0 {
			wait, pause = pause, min(2*pause, lastPause)
		}
		select {
		case <-x.ctx.Done():
			return failure
		case <-time.After(wait):
		}
	}
}

// round tries up to maxAttempts targets and reports whether one answered. After a retry, the
// outcome is not_run only if no attempt can have run.
func (x *exchange) round(failure *Error) (answered bool) {
	var space [maxAttempts]*state
	tried := space[:0]
	paid := failure.Attempts == 0 // the attempt is the first, or its retry is taken from the budget
	for n := range maxAttempts {
		full := x.p.full(x.d.Clock.Now()) // before this request counts as in flight
		s := x.p.acquire(x.d.Clock.Now(), tried)
		if s == nil {
			return false
		}
		if !paid && !x.retry(full) {
			s.finish()
			return false
		}
		res := x.attempt(s, n)
		if !res.silent {
			tried = append(tried, s)
		}
		if res.err == nil {
			return true
		}
		failure.Attempts++
		if res.refused {
			failure.Refusals++
		}
		failure.Sent = failure.Sent || res.sent
		failure.Err = res.err
		if !res.retry && !x.repeatable(res) {
			return false
		}
		paid = res.retry
	}
	return false
}

// repeatable reports whether the request may be sent again. It is the one place that allows
// that (I8).
func (x *exchange) repeatable(res result) bool {
	return (!res.sent || x.q.Idempotent) && x.body.replayable() && x.ctx.Err() == nil
}

// retry takes a retry from the budget, if there is one.
func (x *exchange) retry(full bool) bool {
	x.p.mu.Lock()
	defer x.p.mu.Unlock()
	return x.p.budget.Retry(x.d.Clock.Now(), full)
}

// SetPeers replaces the numbers of requests that the other members have in flight on the
// targets, by their last summaries. Targets without a number have none.
func (d *Dispatcher) SetPeers(inFlight map[fleet.InstanceID]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, s := range d.targets {
		s.peers.Store(int32(inFlight[id]))
	}
}

// Close ends the idle connections. Requests in flight continue.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.targets {
		s.mu.Lock()
		s.views = 0
		s.mu.Unlock()
		s.closeIdle()
	}
}
