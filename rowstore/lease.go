package rowstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

// LeaseTerm is the term of zone and fleet leases.
const LeaseTerm clock.Millis = 6000

// LeaseDrift is the default of [Lease.Drift]: clocks whose rates differ by up to a tenth stay
// within it over one term.
const LeaseDrift clock.Millis = 600

// Lease is one member's view of a lease row. It needs no common clock: the holder measures
// from before it sent a renewal, an observer from after it first saw the row. It is the one
// place that decides who acts as the holder.
//
// A suspension that the monotonic clock does not count and a wall clock that is set back, both
// on the holder and within one term, hide time from both clocks. Then Held can report true too
// long; the fence still refuses the writes.
type Lease struct {
	Table *Table
	Clock clock.Clock
	Name  string // "fleet" or "zone/<zone>"
	Self  fleet.MemberID
	Term  clock.Millis // 0 means LeaseTerm
	Drift clock.Millis // added to the wait of an observer; 0 means LeaseDrift
	Log   *slog.Logger // nil logs nothing

	mu      sync.Mutex
	known   bool // a row, or its absence, was seen
	version fleet.Version
	row     wireLease
	seen    clock.Mark // first sight of version
	fenced  bool       // version is this member's own renewal
	held    bool
	sent    clock.Mark // before the last successful renewal was sent
	doubts  map[string]clock.Mark
}

type wireLease struct {
	Holder   string `json:"holder"`
	Epoch    uint64 `json:"epoch"`
	Renewals uint64 `json:"renewals"`
	Attempt  string `json:"attempt"`
}

// leaseAttempt is a write of the row that was proposed and not yet answered.
type leaseAttempt struct {
	row  wireLease
	sent clock.Mark
	tx   Transaction
}

// maxDoubts bounds the renewals without an answer that are remembered. The oldest of more
// has passed its term, since a renewal is sent three times a term.
const maxDoubts = 16

func (l *Lease) ref() Ref { return Ref{Table: "leases", Key: l.Name} }

func (l *Lease) term() clock.Millis {
	if l.Term > 0 {
		return l.Term
	}
	return LeaseTerm
}

func (l *Lease) wait() clock.Millis {
	if l.Drift > 0 {
		return l.term() + l.Drift
	}
	return l.term() + LeaseDrift
}

// observe takes in a row that was read. at is a mark from after the answer arrived: a mark
// from before it could be older than the renewal that the row shows.
func (l *Lease) observe(version fleet.Version, row wireLease, at clock.Mark) {
	if l.known && version == l.version {
		return
	}
	l.known, l.version, l.row, l.seen, l.fenced = true, version, row, at, false
	if sent, ok := l.doubts[row.Attempt]; ok && version != 0 {
		l.held, l.fenced, l.sent = true, true, sent
		l.doubts = nil
		return
	}
	l.held = false
}

// propose returns the write that acquires or renews the lease, if this member may send one.
func (l *Lease) propose(attempt string) (leaseAttempt, bool) {
	next := wireLease{Holder: string(l.Self), Epoch: l.row.Epoch + 1, Attempt: attempt}
	switch {
	case !l.known:
		return leaseAttempt{}, false
	case l.fenced && l.live():
		next.Epoch, next.Renewals = l.row.Epoch, l.row.Renewals+1
	case l.row.Holder == "": // absent or released
	case l.Clock.AtMost(l.seen) < l.wait():
		return leaseAttempt{}, false
	}
	value, err := json.Marshal(next)
	if err != nil {
		return leaseAttempt{}, false
	}
	return leaseAttempt{row: next, sent: l.Clock.Mark(), tx: Transaction{
		Checks: []Check{{Ref: l.ref(), Version: l.version}},
		Writes: []Write{{Ref: l.ref(), Value: value}},
	}}, true
}

// answered takes in the answer to an attempt.
func (l *Lease) answered(a leaseAttempt, versions []fleet.Version, err error) {
	var lost *UnavailableError
	switch {
	case err == nil && len(versions) == 1:
		l.known, l.version, l.row, l.seen = true, versions[0], a.row, l.Clock.Mark()
		l.held, l.fenced, l.sent = true, true, a.sent
		l.doubts = nil
	case errors.As(err, &lost) && lost.Maybe:
		if l.doubts == nil || len(l.doubts) >= maxDoubts {
			l.doubts = map[string]clock.Mark{}
		}
		l.doubts[a.row.Attempt] = a.sent
	}
}

func (l *Lease) live() bool { return l.held && l.Clock.AtLeast(l.sent) < l.term() }

// Held reports whether this member may act as the holder now. Every transaction of the
// holder carries the returned check, so that a write that is delayed past the term fails.
func (l *Lease) Held() (fence Check, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Check{Ref: l.ref(), Version: l.version}, l.fenced && l.live()
}

// Left returns the time for which this member may still act as the holder.
func (l *Lease) Left() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || !l.fenced {
		return 0
	}
	return max(0, l.term()-l.Clock.AtLeast(l.sent))
}

// Holder returns the member that the row named when it was last read.
func (l *Lease) Holder() fleet.MemberID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fleet.MemberID(l.row.Holder)
}

// Step reads the row once and acquires or renews the lease if this member may.
func (l *Lease) Step(ctx context.Context) error {
	row, _, err := l.Table.Get(ctx, l.ref())
	if err != nil {
		return err
	}
	var w wireLease
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &w); err != nil {
			return eris.Wrapf(err, "rowstore: lease %s", l.Name)
		}
	}
	l.mu.Lock()
	l.observe(row.Version, w, l.Clock.Mark())
	a, ok := l.propose(newAttempt())
	l.mu.Unlock()
	if !ok {
		return nil
	}
	versions, err := l.Table.Transact(ctx, a.tx)
	l.mu.Lock()
	l.answered(a, versions, err)
	l.mu.Unlock()
	return err
}

// Run takes a step three times a term until ctx ends, and then releases the lease.
func (l *Lease) Run(ctx context.Context) {
	every(ctx, l.term()/3, func() { warn(ctx, l.Log, "rowstore: lease step failed", l.Step(ctx)) })
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.term().Duration()/3)
	defer cancel()
	_ = l.Release(ctx)
}

// Release stops acting as the holder and lets another member acquire the lease at once.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	fenced := l.fenced && l.held
	l.held = false
	w := wireLease{Epoch: l.row.Epoch, Renewals: l.row.Renewals, Attempt: newAttempt()}
	tx := Transaction{Checks: []Check{{Ref: l.ref(), Version: l.version}}}
	l.doubts = nil
	l.mu.Unlock()
	if !fenced {
		return nil
	}
	value, err := json.Marshal(w)
	if err != nil {
		return eris.Wrap(err, "rowstore: lease")
	}
	tx.Writes = []Write{{Ref: l.ref(), Value: value}}
	_, err = l.Table.Transact(ctx, tx)
	return err
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// every calls f at once and then each period until ctx ends.
func every(ctx context.Context, period clock.Millis, f func()) {
	ticker := time.NewTicker(period.Duration())
	defer ticker.Stop()
	for ctx.Err() == nil {
		f()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// warn logs an error of a periodic task. Conflicts are left out: members race as a matter of
// course, and the next round decides anew.
func warn(ctx context.Context, log *slog.Logger, text string, err error) {
	var conflict *ConflictError
	if log != nil && err != nil && ctx.Err() == nil && !errors.As(err, &conflict) {
		log.Warn(text, "err", err)
	}
}
