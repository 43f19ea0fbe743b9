package rowstore

import (
	"context"
	"errors"
	"sync"

	"citronknot/clock"
	"citronknot/fleet"
)

// Delays before a path that failed is tried again.
const (
	directRetryMin     clock.Millis = 1000 // after the first failure of the direct path
	directRetryMax     clock.Millis = 4000 // longest delay after repeated failures of the direct path
	relayRetryInterval clock.Millis = 100  // after a failure of the relay
)

// Relay calls a service directly and, if the service refuses this process or can't be reached,
// through another process that it serves. Calls take the direct path as long as that works. While it
// does not, only reads try it again: they can wait until it times out, and transactions can't. A
// transaction may be sent on both paths, so it must be one that takes effect at most once, as
// those of an OwnerLease do.
type Relay struct {
	Direct  *Table
	Relayed func() *Table // the service as relayed by another process; nil if none is known
	Clock   clock.Clock
	OnRelay func() // called for each relayed call that got a response; may be nil
	// OnDirectFailure is called for each call that was sent directly and failed, with the
	// time of its sending. It may be nil.
	OnDirectFailure func(sent clock.Mark)

	mu               sync.Mutex
	directRetryAt    clock.Millis // before this time the direct path is not tried first
	directRetryDelay clock.Millis
	directDownSince  clock.Mark   // of the first failure in a row of the direct path; valid if directRetryDelay is not 0
	relayRetryAt     clock.Millis // before this time the relay is not tried
}

// Table returns a table service that takes whichever path works.
func (r *Relay) Table() *Table {
	return &Table{Transact: r.transact, Read: r.read, Partitions: r.partitions, Feed: r.feed, ServiceTime: r.Direct.ServiceTime}
}

func (r *Relay) transact(ctx context.Context, t Transaction) ([]fleet.Version, error) {
	return callWithRelay(r, r.directWorks(), func(table *Table) ([]fleet.Version, error) { return table.Transact(ctx, t) })
}

func (r *Relay) read(ctx context.Context, q Query) ([]Row, error) {
	return callWithRelay(r, r.directAllowed(), func(table *Table) ([]Row, error) { return table.Read(ctx, q) })
}

type partitionsResult struct {
	partitions []string
	newest     fleet.Version
}

func (r *Relay) partitions(ctx context.Context, name string) ([]string, fleet.Version, error) {
	a, err := callWithRelay(r, r.directAllowed(), func(table *Table) (partitionsResult, error) {
		partitions, newest, err := table.Partitions(ctx, name)
		return partitionsResult{partitions: partitions, newest: newest}, err
	})
	return a.partitions, a.newest, err
}

func (r *Relay) feed(ctx context.Context, name string, after fleet.Version, wait clock.Millis) (FeedPage, error) {
	return callWithRelay(r, r.directAllowed(), func(table *Table) (FeedPage, error) { return table.Feed(ctx, name, after, wait) })
}

// callWithRelay makes a call on one path, and on the other one if that fails. A direct path that has
// just failed is not tried after a relay that fails as well: the caller can try another relay sooner
// than the direct path times out.
func callWithRelay[T any](r *Relay, directFirst bool, call func(*Table) (T, error)) (T, error) {
	var relayErr error
	if !directFirst {
		out, tried, err := callRelay(r, call)
		if tried && (!isUnavailable(err) || !r.directAllowed()) {
			return out, err
		}
		relayErr = err
	}
	sent := r.Clock.Mark()
	out, err := call(r.Direct)
	r.recordDirect(!isUnavailable(err))
	if isUnavailable(err) && r.OnDirectFailure != nil {
		r.OnDirectFailure(sent)
	}
	if !isUnavailable(err) {
		return out, err
	}
	if relayErr != nil {
		return out, preferUnknownOutcome(err, relayErr)
	}
	relayed, tried, laterErr := callRelay(r, call)
	switch {
	case !tried:
		return out, err
	case isUnavailable(laterErr):
		return out, preferUnknownOutcome(err, laterErr)
	}
	return relayed, laterErr
}

// callRelay makes a call through another process, if one is known and has not just failed.
func callRelay[T any](r *Relay, call func(*Table) (T, error)) (out T, tried bool, err error) {
	r.mu.Lock()
	waiting := r.Clock.Now() < r.relayRetryAt
	r.mu.Unlock()
	table := r.Relayed()
	if waiting || table == nil {
		return out, false, nil
	}
	out, err = call(table)
	if isUnavailable(err) {
		r.mu.Lock()
		r.relayRetryAt = r.Clock.Now() + relayRetryInterval
		r.mu.Unlock()
	} else if r.OnRelay != nil {
		r.OnRelay()
	}
	return out, true, err
}

func isUnavailable(err error) bool {
	var u *UnavailableError
	return errors.As(err, &u)
}

// preferUnknownOutcome returns whichever error says that the call may have taken effect, and a
// if both or neither do.
func preferUnknownOutcome(a, b error) error {
	var first, second *UnavailableError
	if errors.As(a, &first) && errors.As(b, &second) && second.OutcomeUnknown && !first.OutcomeUnknown {
		return b
	}
	return a
}

// directWorks reports whether the latest call on the direct path got a response.
func (r *Relay) directWorks() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directRetryDelay == 0
}

// directAllowed reports whether the direct path works or is to be tried again.
func (r *Relay) directAllowed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Clock.Now() >= r.directRetryAt
}

// DirectDownFor returns how long no call on the direct path has got a response, or 0 if the latest one did.
func (r *Relay) DirectDownFor() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.directRetryDelay == 0 {
		return 0
	}
	return max(1, r.Clock.MinElapsed(r.directDownSince))
}

func (r *Relay) recordDirect(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.directRetryDelay, r.directRetryAt = 0, 0
		return
	}
	if r.directRetryDelay == 0 {
		r.directDownSince = r.Clock.Mark()
	}
	r.directRetryDelay = min(directRetryMax, max(directRetryMin, 2*r.directRetryDelay))
	r.directRetryAt = r.Clock.Now() + r.directRetryDelay
}
