package rowstore

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

// TenureTable is the table in which each part has one row that names its holder.
const TenureTable = "tenures"

const tenureKey = "holder"

// Times of a tenure. A holder renews with each commit, and at least every RenewEvery. Another
// member may take over a part whose row has not changed for TenureTerm while it could be read.
// A holder that can't commit goes on giving orders until TenureAuthority after its newest
// commit was sent: while the store is down for everybody nobody can take over, and workers
// refuse the orders of a holder that was replaced.
const (
	RenewEvery      clock.Millis = 600
	TenureTerm      clock.Millis = 2000
	TenureAuthority clock.Millis = 8000
	tenureDrift     clock.Millis = 200 // clocks whose rates differ by a tenth stay within it over one term
)

// Pauses between tries of a commit that the store did not take.
const (
	retryFirst clock.Millis = 40
	retryMost  clock.Millis = 250
)

// Tenure is one member's view of who holds a part of the row store. The holder's commits carry
// a check of the holder's row and rewrite it, so that they are fenced, renew the tenure, and
// make an earlier commit that is still under way fail. Commit is the one place through which a
// holder writes.
//
// Commits must not overlap; the other methods may be called at any time.
type Tenure struct {
	Table   *Table
	Clock   clock.Clock
	Part    string
	Self    fleet.MemberID
	Address string // where other members reach this one
	// Weak says that this member would give the part to one that has more processor time.
	Weak bool

	mu      sync.Mutex
	known   bool
	version fleet.Version
	row     wireTenure
	seen    clock.Mark // first sight of version
	held    bool
	sent    clock.Mark // before the newest successful commit was sent
}

type wireTenure struct {
	Holder  string `json:"holder"`
	Address string `json:"address,omitempty"`
	Fence   uint64 `json:"fence"`
	Attempt string `json:"attempt"`
	Weak    bool   `json:"weak,omitempty"`
}

// Holder is what the row says of the holder.
type Holder struct {
	Member  fleet.MemberID // empty if nobody holds the part
	Address string
	Fence   uint64
	Weak    bool // see Tenure
}

func (t *Tenure) ref() Ref { return Ref{Table: TenureTable, Part: t.Part, Key: tenureKey} }

// Observe takes in the row as it was read, or its absence by version 0. Rows must be given in
// the order in which they were read.
func (t *Tenure) Observe(r Row) error {
	var w wireTenure
	if r.Version != 0 {
		if err := json.Unmarshal(r.Value, &w); err != nil {
			return eris.Wrapf(err, "rowstore: tenure of %s", t.Part)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && r.Version <= t.version {
		return nil
	}
	t.known, t.version, t.row, t.seen = true, r.Version, w, t.Clock.Mark()
	if t.held && w.Holder != string(t.Self) {
		t.held = false
	}
	return nil
}

// Interrupted says that the rows could not be read for a while: the time until then does not
// count as silence of the holder, who may have been unable to write as well.
func (t *Tenure) Interrupted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen = t.Clock.Mark()
}

// Holder returns what the row said when it was last read.
func (t *Tenure) Holder() Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Holder{Member: fleet.MemberID(t.row.Holder), Address: t.row.Address, Fence: t.row.Fence, Weak: t.row.Weak}
}

// Vacant reports whether the part may be claimed, and whether it was released or never held,
// in which case its former holder gives no more orders.
func (t *Tenure) Vacant() (vacant, released bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.known || t.held:
		return false, false
	case t.row.Holder == "":
		return true, true
	case t.row.Holder == string(t.Self) && t.row.Address == t.Address:
		// Written by an earlier process at this address, which has ended.
		return true, true
	}
	return t.Clock.AtMost(t.seen) >= TenureTerm+tenureDrift, false
}

// Claim tries to become the holder. ok is false if another member was first.
func (t *Tenure) Claim(ctx context.Context) (ok bool, err error) {
	t.mu.Lock()
	check := Check{Ref: t.ref(), Version: t.version}
	next := wireTenure{Holder: string(t.Self), Address: t.Address, Fence: t.row.Fence + 1, Attempt: newAttempt(), Weak: t.Weak}
	sent := t.Clock.Mark()
	t.mu.Unlock()
	value, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(err, "rowstore: tenure")
	}
	versions, err := t.Table.Transact(ctx, Transaction{Checks: []Check{check}, Writes: []Write{{Ref: t.ref(), Value: value}}})
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		version, row, found := t.current(conflict)
		if !found || row.Attempt != next.Attempt {
			return false, nil
		}
		versions, err = []fleet.Version{version}, nil
	}
	if err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known, t.version, t.row, t.seen = true, versions[0], next, t.Clock.Mark()
	t.held, t.sent = true, sent
	return true, nil
}

// current finds the holder's row among those of a conflict.
func (t *Tenure) current(e *ConflictError) (fleet.Version, wireTenure, bool) {
	var w wireTenure
	i := slices.IndexFunc(e.Current, func(r Row) bool { return r.Ref == t.ref() })
	if i < 0 || json.Unmarshal(e.Current[i].Value, &w) != nil {
		return 0, w, false
	}
	return e.Current[i].Version, w, true
}

// Commit writes rows as the holder. It tries again until the outcome is certain: nil means
// that the rows are written, and *DeposedError or *ExpiredError that the tenure is over and
// the rows may or may not be written. It fails otherwise only when ctx ends.
func (t *Tenure) Commit(ctx context.Context, writes []Write) error {
	pause := retryFirst
	attempt := newAttempt()
	for {
		done, err := t.try(ctx, writes, attempt)
		switch {
		case done || err != nil:
			return err
		case ctx.Err() != nil:
			return eris.Wrap(ctx.Err(), "rowstore: commit")
		case !t.Authorized():
			t.drop()
			return &ExpiredError{Part: t.Part}
		}
		sleep(ctx, pause)
		pause = min(2*pause, retryMost)
	}
}

// try sends a commit once. done is false if it is to be sent again.
func (t *Tenure) try(ctx context.Context, writes []Write, attempt string) (done bool, err error) {
	t.mu.Lock()
	if !t.held {
		holder := fleet.MemberID(t.row.Holder)
		t.mu.Unlock()
		return false, &DeposedError{Part: t.Part, Holder: holder}
	}
	next := t.row
	next.Attempt = attempt
	check := Check{Ref: t.ref(), Version: t.version}
	sent := t.Clock.Mark()
	t.mu.Unlock()
	value, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(err, "rowstore: tenure")
	}
	tx := Transaction{Checks: []Check{check}, Writes: append([]Write{{Ref: t.ref(), Value: value}}, writes...)}
	versions, err := t.Table.Transact(ctx, tx)
	var conflict *ConflictError
	switch {
	case err == nil:
		t.renewed(versions[0], next, sent)
		return true, nil
	case errors.As(err, &conflict):
		return t.conflicted(conflict, next, sent)
	}
	return false, nil
}

// conflicted resolves a refused commit: an earlier try of it may have been carried out.
func (t *Tenure) conflicted(e *ConflictError, next wireTenure, sent clock.Mark) (done bool, err error) {
	version, row, found := t.current(e)
	switch {
	case !found:
		return false, nil
	case row.Attempt == next.Attempt:
		t.renewed(version, next, sent)
		return true, nil
	case row.Holder == next.Holder && row.Fence == next.Fence:
		t.mu.Lock()
		t.version, t.row = version, row
		t.mu.Unlock()
		return false, nil
	}
	t.mu.Lock()
	t.version, t.row, t.seen, t.held = version, row, t.Clock.Mark(), false
	t.mu.Unlock()
	return false, &DeposedError{Part: t.Part, Holder: fleet.MemberID(row.Holder)}
}

func (t *Tenure) renewed(version fleet.Version, row wireTenure, sent clock.Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version, t.row, t.sent = version, row, sent
	t.seen = t.Clock.Mark()
}

func (t *Tenure) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = false
}

// Depose ends the tenure because a worker or a member showed a higher fence.
func (t *Tenure) Depose() { t.drop() }

// Fence returns the number that orders of this tenure carry.
func (t *Tenure) Fence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row.Fence
}

// Authorized reports whether this member may still give orders as the holder. It is the one
// place that decides so.
func (t *Tenure) Authorized() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held && t.Clock.AtLeast(t.sent) < TenureAuthority
}

// Certain reports whether no other member can have taken over yet, so that the holder's view
// of the part is complete.
func (t *Tenure) Certain() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held && t.Clock.AtLeast(t.sent) < TenureTerm
}

// Idle returns the time since the newest commit was sent.
func (t *Tenure) Idle() clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Clock.AtLeast(t.sent)
}

// Release gives the part up, so that another member can take over at once. The caller must
// have ended all orders before.
func (t *Tenure) Release(ctx context.Context) error {
	t.mu.Lock()
	held, version := t.held, t.version
	t.held = false
	next := wireTenure{Fence: t.row.Fence, Attempt: newAttempt()}
	t.mu.Unlock()
	if !held {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "rowstore: tenure")
	}
	for range releaseTries {
		_, err = t.Table.Transact(ctx, Transaction{
			Checks: []Check{{Ref: t.ref(), Version: version}}, Writes: []Write{{Ref: t.ref(), Value: value}},
		})
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		at, row, found := t.current(conflict)
		if !found || row.Holder != string(t.Self) || row.Fence != next.Fence {
			return nil // released, or held by another member
		}
		version = at // a commit that was given up was carried out
	}
	return err
}

// releaseTries bounds the tries of a release: one more than the commits that may be under way.
const releaseTries = 2

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d clock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
