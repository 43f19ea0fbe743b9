package rowstore

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// claimGather is the time that a batch waits for more claims. It bounds the commits of a
	// member to 250 a second, which the table service sustains.
	claimGather clock.Millis = 4
	// claimsWaiting bounds the claims that wait for a batch.
	claimsWaiting = 4096
	// claimBatches bounds the batches of a member that wait for the store at once.
	claimBatches = 8
	// claimTries bounds the transactions of one batch: conflicts and lost answers each cost one.
	claimTries = 4
	// claimTimeout bounds the time of one batch with all its tries.
	claimTimeout clock.Millis = 2000
)

// Claims records which requests that are not idempotent are about to run. It is the one place
// that keeps such a request from running twice: only the request whose row was created under
// check version 0 may be sent. Run has to be running for claims to be decided; it is called once.
type Claims struct {
	Table *Table
	Clock clock.Clock
	Self  fleet.MemberID

	once    sync.Once
	waiting chan *claimWait
	work    chan claimWork
	ended   chan struct{}
	dropped atomic.Int64
}

// Claim is a claim that holds.
type Claim struct {
	claims  *Claims
	row     wireClaim
	ref     Ref
	version fleet.Version
	doubted bool // a write without an answer may create the row again after its removal
	settled atomic.Bool
}

// claimWait is a claim that waits for its batch.
type claimWait struct {
	ref      Ref
	row      wireClaim
	doubted  bool // a write may take effect later
	answered atomic.Bool
	answer   chan claimAnswer
}

type claimAnswer struct {
	claim *Claim
	err   error
}

func (c *Claims) init() {
	c.once.Do(func() {
		c.waiting = make(chan *claimWait, claimsWaiting)
		c.work = make(chan claimWork, claimsWaiting)
		c.ended = make(chan struct{})
	})
}

// Claim waits until the claim of r holds. It fails with *ClaimError; the request must then
// not be sent. A claim whose write may still take effect is removed in the background.
func (c *Claims) Claim(ctx context.Context, r ClaimRequest) (*Claim, error) {
	c.init()
	w := &claimWait{ref: claimRef(r), row: newClaim(r, c.Self, c.Clock.Wall()), answer: make(chan claimAnswer, 1)}
	select {
	case c.waiting <- w:
	default:
		return nil, &ClaimError{State: ClaimStoreUnavailable, Err: eris.New("too many claims waiting")}
	}
	select {
	case a := <-w.answer:
		return a.claim, a.err
	case <-ctx.Done():
	case <-c.ended:
	}
	if w.answered.CompareAndSwap(false, true) {
		return nil, &ClaimError{State: ClaimStoreUnavailable, Err: eris.New("gave up before the claim was decided")}
	}
	a := <-w.answer
	return a.claim, a.err
}

// Settle records the outcome in the background. A claim of a request that certainly did not
// run is released, so that the request may be tried again under its key. Only the first call
// has an effect. If the record is lost, a repeat is told that the outcome is unknown.
func (c *Claim) Settle(outcome Outcome, answer *RecordedAnswer) {
	if !c.settled.CompareAndSwap(false, true) {
		return
	}
	w := claimWork{ref: c.ref, row: c.row, version: c.version, remove: outcome == OutcomeNotRun}
	if !w.remove {
		w.value = encodeClaim(c.row.settled(outcome, answer))
	}
	c.claims.later(w)
	if w.remove && c.doubted {
		c.claims.later(claimWork{ref: c.ref, row: c.row, remove: true})
	}
}

// Dropped counts the records and removals that found the background queue full or ran into
// their deadline.
func (c *Claims) Dropped() int64 { return c.dropped.Load() }

// Run decides claims and records outcomes until ctx ends. It returns when all its goroutines
// have ended.
func (c *Claims) Run(ctx context.Context) {
	c.init()
	var wg, work sync.WaitGroup
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	work.Go(func() { c.runWork(working) })
	slots := make(chan struct{}, claimBatches)
	for {
		batch := c.gather(ctx)
		if len(batch) == 0 {
			break
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			for len(batch) > 0 {
				batch = c.decide(context.WithoutCancel(ctx), batch)
			}
		})
	}
	wg.Wait()
	close(c.ended)
	stop()
	work.Wait()
}

// gather collects the claims of one batch. It returns none when ctx has ended.
func (c *Claims) gather(ctx context.Context) []*claimWait {
	var batch []*claimWait
	select {
	case <-ctx.Done():
		return nil
	case w := <-c.waiting:
		batch = append(batch, w)
	}
	timer := time.NewTimer(claimGather.Duration())
	defer timer.Stop()
	for len(batch) < MaxRows {
		select {
		case w := <-c.waiting:
			batch = append(batch, w)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// decide answers the claims of a batch and returns those that have to wait for them.
func (c *Claims) decide(ctx context.Context, batch []*claimWait) (later []*claimWait) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	batch, later = split(batch)
	var last error
	for range claimTries {
		if len(batch) == 0 {
			return later
		}
		tx := Transaction{}
		for _, w := range batch {
			tx.Checks = append(tx.Checks, Check{Ref: w.ref})
			tx.Writes = append(tx.Writes, Write{Ref: w.ref, Value: encodeClaim(w.row)})
		}
		versions, err := c.Table.Transact(ctx, tx)
		if err == nil {
			for i, w := range batch {
				c.hold(w, versions[i])
			}
			return later
		}
		last = err
		var conflict *ConflictError
		var lost *UnavailableError
		switch {
		case errors.As(err, &conflict):
			batch, err = c.readBack(ctx, batch, conflict.Rows)
		case errors.As(err, &lost) && lost.Maybe:
			for _, w := range batch {
				w.doubted = true
			}
			batch, err = c.readBack(ctx, batch, nil)
		}
		if err != nil {
			break
		}
	}
	for _, w := range batch {
		c.refuse(w, &ClaimError{State: ClaimStoreUnavailable, Err: last})
	}
	return later
}

// split returns the first claim of each key, and the others apart: both writes of one
// transaction would take effect, and the second would replace the first. It leaves out claims
// whose callers gave up before anything was written.
func split(batch []*claimWait) (first, later []*claimWait) {
	seen := map[Ref]bool{}
	for _, w := range batch {
		switch {
		case w.answered.Load():
		case seen[w.ref]:
			later = append(later, w)
		default:
			seen[w.ref] = true
			first = append(first, w)
		}
	}
	return first, later
}

// readBack answers the claims of a batch whose rows exist, and returns the others to be sent
// again. Sending the same row again is safe when a lost write takes effect later: one of the
// two creates the row, both under the same request, and the other fails its check. Refs nil
// means all.
func (c *Claims) readBack(ctx context.Context, batch []*claimWait, refs []Ref) ([]*claimWait, error) {
	if refs == nil {
		for _, w := range batch {
			refs = append(refs, w.ref)
		}
	}
	rows, err := c.Table.Read(ctx, Query{Gets: refs})
	if err != nil {
		return batch, err
	}
	found := map[Ref]Row{}
	for _, r := range rows {
		found[r.Ref] = r
	}
	kept := batch[:0:0]
	for _, w := range batch {
		switch r, ok := found[w.ref]; {
		case !ok:
			kept = append(kept, w)
		case w.row.holds(r):
			c.hold(w, r.Version)
		default:
			c.refuse(w, refusal(r))
		}
	}
	return kept, nil
}

func (c *Claims) hold(w *claimWait, version fleet.Version) {
	if w.answered.CompareAndSwap(false, true) {
		w.answer <- claimAnswer{claim: &Claim{claims: c, row: w.row, ref: w.ref, version: version, doubted: w.doubted}}
		return
	}
	c.later(claimWork{ref: w.ref, row: w.row, version: version, remove: true})
}

func (c *Claims) refuse(w *claimWait, err error) {
	if w.doubted {
		c.later(claimWork{ref: w.ref, row: w.row, remove: true})
	}
	if w.answered.CompareAndSwap(false, true) {
		w.answer <- claimAnswer{err: err}
	}
}
