package rowstore

import (
	"context"
	"errors"
	"sync"

	"citronknot/clock"
	"citronknot/fleet"
)

// Times of a Detour.
const (
	detourFirst clock.Millis = 1000 // how long the direct way is left alone after it failed
	detourMost  clock.Millis = 4000 // the same after it failed again and again
	detourRest  clock.Millis = 100  // how long the other way is left alone after it failed
)

// Detour reaches a service that turns this process away through another process that it
// serves. Calls go the direct way as long as that works. A transaction may be sent both ways:
// it must be one that takes effect at most once, as those of a Tenure do.
type Detour struct {
	Direct *Table
	Other  func() *Table // the service through another process; nil if none is known
	Clock  clock.Clock
	Used   func() // told of each call that went the other way; nil tells nobody

	mu       sync.Mutex
	directAt clock.Millis // until then the direct way is not tried first
	wait     clock.Millis
	detourAt clock.Millis // until then the other way is not tried
}

// Table returns the service by whichever way works.
func (d *Detour) Table() *Table {
	return &Table{Transact: d.transact, Read: d.read, Parts: d.parts, Feed: d.feed}
}

func (d *Detour) transact(ctx context.Context, t Transaction) ([]fleet.Version, error) {
	return detour(d, func(table *Table) ([]fleet.Version, error) { return table.Transact(ctx, t) })
}

func (d *Detour) read(ctx context.Context, q Query) ([]Row, error) {
	return detour(d, func(table *Table) ([]Row, error) { return table.Read(ctx, q) })
}

type partsAnswer struct {
	parts  []string
	newest fleet.Version
}

func (d *Detour) parts(ctx context.Context, name string) ([]string, fleet.Version, error) {
	a, err := detour(d, func(table *Table) (partsAnswer, error) {
		parts, newest, err := table.Parts(ctx, name)
		return partsAnswer{parts: parts, newest: newest}, err
	})
	return a.parts, a.newest, err
}

func (d *Detour) feed(ctx context.Context, name string, after fleet.Version, wait clock.Millis) (FeedPage, error) {
	return detour(d, func(table *Table) (FeedPage, error) { return table.Feed(ctx, name, after, wait) })
}

// detour makes a call by the way that is more likely to work, and then by the other one.
func detour[T any](d *Detour, call func(*Table) (T, error)) (T, error) {
	var first error
	if !d.directFirst() {
		out, tried, err := other(d, call)
		if tried && !unavailable(err) {
			return out, err
		}
		first = err
	}
	out, err := call(d.Direct)
	d.directDone(!unavailable(err))
	if !unavailable(err) {
		return out, err
	}
	if first != nil {
		return out, doubtful(err, first)
	}
	again, tried, second := other(d, call)
	switch {
	case !tried:
		return out, err
	case unavailable(second):
		return out, doubtful(err, second)
	}
	return again, second
}

// other makes a call through another process, if one is known and has not just failed.
func other[T any](d *Detour, call func(*Table) (T, error)) (out T, tried bool, err error) {
	d.mu.Lock()
	rest := d.Clock.Now() < d.detourAt
	d.mu.Unlock()
	table := d.Other()
	if rest || table == nil {
		return out, false, nil
	}
	out, err = call(table)
	if unavailable(err) {
		d.mu.Lock()
		d.detourAt = d.Clock.Now() + detourRest
		d.mu.Unlock()
	} else if d.Used != nil {
		d.Used()
	}
	return out, true, err
}

func unavailable(err error) bool {
	var u *UnavailableError
	return errors.As(err, &u)
}

// doubtful returns an error that says that a call may have taken effect if either says so.
func doubtful(a, b error) error {
	var first, second *UnavailableError
	if errors.As(a, &first) && errors.As(b, &second) && second.Maybe && !first.Maybe {
		return b
	}
	return a
}

func (d *Detour) directFirst() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Clock.Now() >= d.directAt
}

func (d *Detour) directDone(ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok {
		d.wait, d.directAt = 0, 0
		return
	}
	d.wait = min(detourMost, max(detourFirst, 2*d.wait))
	d.directAt = d.Clock.Now() + d.wait
}
