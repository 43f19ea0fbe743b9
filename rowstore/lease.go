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

// LeaseTerm is the term of the zone leases and the fleet lease.
const LeaseTerm clock.Millis = 6000

// LeaseDrift is the default of [Lease.Drift]. It covers clocks whose rates differ by up to a
// tenth over one term.
const LeaseDrift clock.Millis = 600

// Lease is one member's view of a lease row. It needs no synchronized clocks: the holder
// measures the term from before it sent a renewal, and an observer from after it first read the
// row. No other code decides which member acts as the holder.
//
// Held can report true for too long if two events happen at the holder within one term: its
// machine is suspended, which its monotonic clock does not count, and its wall clock is set back.
// Neither clock shows the elapsed time then. The fence still makes the holder's writes fail.
type Lease struct {
	Table *Table
	Clock clock.Clock
	Name  string // "fleet" or "zone/<zone>"
	Self  fleet.MemberID
	Term  clock.Millis // 0 means LeaseTerm
	Drift clock.Millis // added to the term before an observer may take over; 0 means LeaseDrift
	Log   *slog.Logger // nil logs nothing

	mu          sync.Mutex
	rowRead     bool // the row, or its absence, was read
	version     fleet.Version
	row         wireLease
	versionRead clock.Mark // when version was first read
	ownRow      bool       // this member wrote the row of this version
	held        bool
	renewalSent clock.Mark            // taken just before the last successful renewal was sent
	unconfirmed map[string]clock.Mark // by attempt, when a write with an unknown outcome was sent
}

type wireLease struct {
	Holder   string `json:"holder"`
	Epoch    uint64 `json:"epoch"`
	Renewals uint64 `json:"renewals"`
	Attempt  string `json:"attempt"`
}

// leaseAttempt is a write of the lease row that was proposed and has no result yet.
type leaseAttempt struct {
	row  wireLease
	sent clock.Mark
	tx   Transaction
}

// maxUnconfirmed bounds the writes with an unknown outcome that are kept. If there are more, the
// oldest has passed its term, since a renewal is sent three times a term.
const maxUnconfirmed = 16

func (l *Lease) ref() Ref { return Ref{Table: "leases", Key: l.Name} }

func (l *Lease) term() clock.Millis {
	if l.Term > 0 {
		return l.Term
	}
	return LeaseTerm
}

func (l *Lease) takeoverWait() clock.Millis {
	if l.Drift > 0 {
		return l.term() + l.Drift
	}
	return l.term() + LeaseDrift
}

// observe records a row that was read. at is a mark taken after the response arrived: a mark
// from before it could be older than the renewal that the row shows.
func (l *Lease) observe(version fleet.Version, row wireLease, at clock.Mark) {
	if l.rowRead && version == l.version {
		return
	}
	l.rowRead, l.version, l.row, l.versionRead, l.ownRow = true, version, row, at, false
	if sent, ok := l.unconfirmed[row.Attempt]; ok && version != 0 {
		l.held, l.ownRow, l.renewalSent = true, true, sent
		l.unconfirmed = nil
		return
	}
	l.held = false
}

// propose returns the write that acquires or renews the lease, if this member may send one.
func (l *Lease) propose(attempt string) (leaseAttempt, bool) {
	next := wireLease{Holder: string(l.Self), Epoch: l.row.Epoch + 1, Attempt: attempt}
	switch {
	case !l.rowRead:
		return leaseAttempt{}, false
	case l.ownRow && l.unexpired():
		next.Epoch, next.Renewals = l.row.Epoch, l.row.Renewals+1
	case l.row.Holder == "": // absent or released
	case l.Clock.MinElapsed(l.versionRead) < l.takeoverWait():
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

// recordResult records the result of an attempt.
func (l *Lease) recordResult(a leaseAttempt, versions []fleet.Version, err error) {
	var unavailable *UnavailableError
	switch {
	case err == nil && len(versions) == 1:
		l.rowRead, l.version, l.row, l.versionRead = true, versions[0], a.row, l.Clock.Mark()
		l.held, l.ownRow, l.renewalSent = true, true, a.sent
		l.unconfirmed = nil
	case errors.As(err, &unavailable) && unavailable.OutcomeUnknown:
		if l.unconfirmed == nil || len(l.unconfirmed) >= maxUnconfirmed {
			l.unconfirmed = map[string]clock.Mark{}
		}
		l.unconfirmed[a.row.Attempt] = a.sent
	}
}

func (l *Lease) unexpired() bool { return l.held && l.Clock.MaxElapsed(l.renewalSent) < l.term() }

// Held reports whether this member may act as the holder now. Every transaction of the holder
// carries the check fence, so that a write that is delayed past the term fails.
func (l *Lease) Held() (fence Check, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Check{Ref: l.ref(), Version: l.version}, l.ownRow && l.unexpired()
}

// Left returns the time for which this member may still act as the holder, or 0 if it may not.
func (l *Lease) Left() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || !l.ownRow {
		return 0
	}
	return max(0, l.term()-l.Clock.MaxElapsed(l.renewalSent))
}

// Holder returns the member that the row named when it was last read. It is empty if there was
// none.
func (l *Lease) Holder() fleet.MemberID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fleet.MemberID(l.row.Holder)
}

// Step reads the row once and acquires or renews the lease if this member may. It fails with
// *ConflictError if another member wrote the row meanwhile, and with *UnavailableError.
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
	a, ok := l.propose(newAttemptID())
	l.mu.Unlock()
	if !ok {
		return nil
	}
	versions, err := l.Table.Transact(ctx, a.tx)
	l.mu.Lock()
	l.recordResult(a, versions, err)
	l.mu.Unlock()
	return err
}

// Run calls Step three times a term until ctx ends, and then releases the lease.
func (l *Lease) Run(ctx context.Context) {
	runEvery(ctx, l.term()/3, func() { logFailure(ctx, l.Log, "rowstore: lease neither acquired nor renewed", l.Step(ctx)) })
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.term().Duration()/3)
	defer cancel()
	_ = l.Release(ctx)
}

// Release stops acting as the holder and lets another member acquire the lease at once. It does
// nothing if the lease is not held. It fails with *ConflictError or *UnavailableError.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	acting := l.ownRow && l.held
	l.held = false
	w := wireLease{Epoch: l.row.Epoch, Renewals: l.row.Renewals, Attempt: newAttemptID()}
	tx := Transaction{Checks: []Check{{Ref: l.ref(), Version: l.version}}}
	l.unconfirmed = nil
	l.mu.Unlock()
	if !acting {
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

func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// runEvery calls f at once and then once each period until ctx ends.
func runEvery(ctx context.Context, period clock.Millis, f func()) {
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

// logFailure logs an error of a periodic task. It leaves out conflicts, which are normal when
// members race: the next round decides again.
func logFailure(ctx context.Context, log *slog.Logger, text string, err error) {
	var conflict *ConflictError
	if log != nil && err != nil && ctx.Err() == nil && !errors.As(err, &conflict) {
		log.Warn(text, "err", err)
	}
}
