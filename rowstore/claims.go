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
	// claimBatchWait is the time that a batch waits for more claims. It bounds the commits of a
	// member to 250 a second, which the table service sustains.
	claimBatchWait clock.Millis = 4
	// maxWaitingClaims bounds the claims that wait for a batch.
	maxWaitingClaims = 4096
	// maxClaimBatches bounds the batches of a member that wait for the store at the same time.
	maxClaimBatches = 8
	// maxClaimAttempts bounds the transactions of one batch: each conflict and each lost
	// response costs one.
	maxClaimAttempts = 4
	// claimTimeout bounds the time of one batch with all its attempts.
	claimTimeout clock.Millis = 2000
)

// Claims records which requests that are not idempotent are about to run. It alone keeps such a
// request from running twice: a request may be sent only if its row was created under a check of
// version 0. Claims are decided only while Run is running; Run is called once.
type Claims struct {
	Table *Table
	Clock clock.Clock
	Self  fleet.MemberID

	once    sync.Once
	pending chan *pendingClaim
	changes chan claimChange
	stopped chan struct{}
	dropped atomic.Int64
}

// Claim is a claim that this process holds.
type Claim struct {
	claims      *Claims
	row         wireClaim
	ref         Ref
	version     fleet.Version
	unconfirmed bool // a write with an unknown outcome may create the row again after its removal
	outcomeSet  atomic.Bool
}

// pendingClaim is a claim that waits for its batch.
type pendingClaim struct {
	ref         Ref
	row         wireClaim
	unconfirmed bool // a write may take effect later
	decided     atomic.Bool
	result      chan claimResult
}

type claimResult struct {
	claim *Claim
	err   error
}

func (c *Claims) init() {
	c.once.Do(func() {
		c.pending = make(chan *pendingClaim, maxWaitingClaims)
		c.changes = make(chan claimChange, maxWaitingClaims)
		c.stopped = make(chan struct{})
	})
}

// Claim waits until the claim of r is held. It fails with *ClaimError; the request must not be
// sent then. If the write may still take effect, the claim is removed in the background.
func (c *Claims) Claim(ctx context.Context, r ClaimRequest) (*Claim, error) {
	c.init()
	w := &pendingClaim{ref: claimRef(r), row: newClaim(r, c.Self, c.Clock.Wall()), result: make(chan claimResult, 1)}
	select {
	case c.pending <- w:
	default:
		return nil, &ClaimError{State: ClaimStoreUnavailable, Err: eris.New("too many claims waiting")}
	}
	select {
	case a := <-w.result:
		return a.claim, a.err
	case <-ctx.Done():
	case <-c.stopped:
	}
	if w.decided.CompareAndSwap(false, true) {
		return nil, &ClaimError{State: ClaimStoreUnavailable, Err: eris.New("gave up before the claim was decided")}
	}
	a := <-w.result
	return a.claim, a.err
}

// Settle records the outcome of the request in the background. The claim of a request that
// certainly did not run is removed, so that the request may be tried again under its key. Only
// the first call has an effect. If the record is lost, a repeat of the request is refused
// because the outcome is unknown.
func (c *Claim) Settle(outcome Outcome, answer *RecordedAnswer) {
	if !c.outcomeSet.CompareAndSwap(false, true) {
		return
	}
	w := claimChange{ref: c.ref, row: c.row, version: c.version, remove: outcome == OutcomeNotRun}
	if !w.remove {
		w.value = encodeClaim(c.row.withOutcome(outcome, answer))
	}
	c.claims.enqueueChange(w)
	if w.remove && c.unconfirmed {
		c.claims.enqueueChange(claimChange{ref: c.ref, row: c.row, remove: true})
	}
}

// Dropped returns the number of records and removals that were dropped because the background
// queue was full or their deadline had passed.
func (c *Claims) Dropped() int64 { return c.dropped.Load() }

// Run decides claims and records outcomes until ctx ends. It returns when all its goroutines
// have ended.
func (c *Claims) Run(ctx context.Context) {
	c.init()
	var batches, background sync.WaitGroup
	backgroundCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	background.Go(func() { c.sendChanges(backgroundCtx) })
	slots := make(chan struct{}, maxClaimBatches)
	for {
		batch := c.collectBatch(ctx)
		if len(batch) == 0 {
			break
		}
		slots <- struct{}{}
		batches.Go(func() {
			defer func() { <-slots }()
			for len(batch) > 0 {
				batch = c.decide(context.WithoutCancel(ctx), batch)
			}
		})
	}
	batches.Wait()
	close(c.stopped)
	stopBackground()
	background.Wait()
}

// collectBatch collects the claims of one batch. It returns none when ctx has ended.
func (c *Claims) collectBatch(ctx context.Context) []*pendingClaim {
	var batch []*pendingClaim
	select {
	case <-ctx.Done():
		return nil
	case w := <-c.pending:
		batch = append(batch, w)
	}
	timer := time.NewTimer(claimBatchWait.Duration())
	defer timer.Stop()
	for len(batch) < MaxRows {
		select {
		case w := <-c.pending:
			batch = append(batch, w)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// decide decides the claims of a batch. It returns those that have to wait because the batch has
// another claim of the same key.
func (c *Claims) decide(ctx context.Context, batch []*pendingClaim) (deferred []*pendingClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	batch, deferred = splitByKey(batch)
	var lastErr error
	for range maxClaimAttempts {
		if len(batch) == 0 {
			return deferred
		}
		tx := Transaction{}
		for _, w := range batch {
			tx.Checks = append(tx.Checks, Check{Ref: w.ref})
			tx.Writes = append(tx.Writes, Write{Ref: w.ref, Value: encodeClaim(w.row)})
		}
		versions, err := c.Table.Transact(ctx, tx)
		if err == nil {
			for i, w := range batch {
				c.grant(w, versions[i])
			}
			return deferred
		}
		lastErr = err
		var conflict *ConflictError
		var unavailable *UnavailableError
		switch {
		case errors.As(err, &conflict):
			batch, err = c.readBack(ctx, batch, conflict.Rows)
		case errors.As(err, &unavailable) && unavailable.OutcomeUnknown:
			for _, w := range batch {
				w.unconfirmed = true
			}
			batch, err = c.readBack(ctx, batch, nil)
		}
		if err != nil {
			break
		}
	}
	for _, w := range batch {
		c.refuse(w, &ClaimError{State: ClaimStoreUnavailable, Err: lastErr})
	}
	return deferred
}

// splitByKey returns the first claim of each key, and the others separately: both writes of one
// transaction would take effect, and the second would replace the first. It leaves out claims
// whose callers gave up before anything was written.
func splitByKey(batch []*pendingClaim) (first, deferred []*pendingClaim) {
	seen := map[Ref]bool{}
	for _, w := range batch {
		switch {
		case w.decided.Load():
		case seen[w.ref]:
			deferred = append(deferred, w)
		default:
			seen[w.ref] = true
			first = append(first, w)
		}
	}
	return first, deferred
}

// readBack decides the claims of a batch whose rows exist, and returns the others to be sent
// again. Sending the same row again is safe if the earlier write takes effect later: one of the
// two creates the row, both for the same request, and the other fails its check. If refs is nil,
// the rows of all claims are read.
func (c *Claims) readBack(ctx context.Context, batch []*pendingClaim, refs []Ref) ([]*pendingClaim, error) {
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
	absent := batch[:0:0]
	for _, w := range batch {
		switch r, ok := found[w.ref]; {
		case !ok:
			absent = append(absent, w)
		case w.row.matches(r):
			c.grant(w, r.Version)
		default:
			c.refuse(w, refusal(r))
		}
	}
	return absent, nil
}

// grant gives a claim to its caller, or has it removed if the caller gave up.
func (c *Claims) grant(w *pendingClaim, version fleet.Version) {
	if w.decided.CompareAndSwap(false, true) {
		w.result <- claimResult{claim: &Claim{claims: c, row: w.row, ref: w.ref, version: version, unconfirmed: w.unconfirmed}}
		return
	}
	c.enqueueChange(claimChange{ref: w.ref, row: w.row, version: version, remove: true})
}

func (c *Claims) refuse(w *pendingClaim, err error) {
	if w.unconfirmed {
		c.enqueueChange(claimChange{ref: w.ref, row: w.row, remove: true})
	}
	if w.decided.CompareAndSwap(false, true) {
		w.result <- claimResult{err: err}
	}
}
