package rowstore_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/rowstore"
)

// runClaims calls f while a Run of its claims is active, under virtual time.
func runClaims(t *testing.T, f func(c *rowstore.Claims, w *simulation)) {
	synctest.Test(t, func(*testing.T) {
		w := &simulation{faultFree: true}
		c := &rowstore.Claims{Table: w.table(), Self: "a"}
		ctx, cancel := context.WithCancel(context.Background())
		var run sync.WaitGroup
		run.Go(func() { c.Run(ctx) })
		f(c, w)
		cancel()
		run.Wait()
	})
}

func tryClaimKey(c *rowstore.Claims, id string) (*rowstore.Claim, *rowstore.ClaimError) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	got, err := c.Claim(ctx, rowstore.ClaimRequest{Team: "t", IdempotencyKey: "k", Request: fleet.RequestID(id)})
	var refused *rowstore.ClaimError
	errors.As(err, &refused)
	return got, refused
}

// Guards against two requests with one key in one batch that both hold the claim.
func TestClaimsOfOneKeyInOneBatch(t *testing.T) {
	runClaims(t, func(c *rowstore.Claims, _ *simulation) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		held := 0
		for i := range 5 {
			wg.Go(func() {
				got, refused := tryClaimKey(c, fmt.Sprint(i))
				mu.Lock()
				defer mu.Unlock()
				if got != nil {
					held++
				} else {
					must.Eq(t, rowstore.ClaimedByOther, refused.State)
				}
			})
		}
		wg.Wait()
		must.Eq(t, 1, held)
	})
}

// Guards against a recorded response that is not returned to a repeat, a response recorded
// beyond the size limit, and a key that stays claimed by a request that did not run.
func TestClaimOutcomes(t *testing.T) {
	runClaims(t, func(c *rowstore.Claims, _ *simulation) {
		first, _ := tryClaimKey(c, "1")
		first.Settle(rowstore.OutcomeNotRun, nil)
		first.Settle(rowstore.OutcomeRan, nil)
		time.Sleep(time.Second)
		second, _ := tryClaimKey(c, "2")
		second.Settle(rowstore.OutcomeRan, &rowstore.RecordedAnswer{Status: 201, Body: []byte("done")})
		time.Sleep(time.Second)
		_, refused := tryClaimKey(c, "3")
		must.Eq(t, rowstore.ClaimRanAlready, refused.State)
		must.Eq(t, "done", string(refused.Answer.Body))
	})
	runClaims(t, func(c *rowstore.Claims, _ *simulation) {
		large, _ := tryClaimKey(c, "1")
		large.Settle(rowstore.OutcomeRan, &rowstore.RecordedAnswer{Body: make([]byte, rowstore.MaxRecordedBody+1)})
		time.Sleep(time.Second)
		_, refused := tryClaimKey(c, "2")
		must.Eq(t, rowstore.ClaimRanAlready, refused.State)
		must.Nil(t, refused.Answer)
	})
}

// Guards against a claim that stays in the table because its write took effect after its request
// was refused.
func TestDelayedClaimIsRemoved(t *testing.T) {
	runClaims(t, func(c *rowstore.Claims, w *simulation) {
		transact := c.Table.Transact
		var delayed rowstore.Transaction
		c.Table.Transact = func(_ context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
			delayed = tx
			return nil, &rowstore.UnavailableError{OutcomeUnknown: true, Err: errFault}
		}
		_, refused := tryClaimKey(c, "1")
		must.Eq(t, rowstore.ClaimStoreUnavailable, refused.State)
		c.Table.Transact = transact
		time.Sleep(5 * time.Second)
		_, err := w.commit(delayed)
		must.NoError(t, err)
		time.Sleep(3 * time.Second)
		second, _ := tryClaimKey(c, "2")
		must.NotNil(t, second)
	})
}

// Guards against claims that never expire, that expire early when the wall clock is set, and
// against deletes by a member that does not hold the lease.
func TestClaimExpiry(t *testing.T) {
	ctx := context.Background()
	w := &simulation{faultFree: true}
	s := &skewedClock{sim: w}
	runClaims(t, func(c *rowstore.Claims, _ *simulation) {
		c.Table, c.Clock = w.table(), s.clock()
		_, refused := tryClaimKey(c, "1")
		must.Nil(t, refused)
	})
	lease := &rowstore.Lease{Table: w.table(), Clock: s.clock(), Name: "fleet", Self: "a"}
	x := &rowstore.ClaimExpiry{
		Table: w.table(), Clock: s.clock(), Lease: lease,
		Teams: func() []fleet.TeamID { return []fleet.TeamID{"s", "t"} },
	}
	pass := func() (n int) {
		for range 600 {
			must.NoError(t, lease.Step(ctx))
			k, err := x.Step(ctx)
			must.NoError(t, err)
			n += k
		}
		return n
	}
	must.Eq(t, 0, pass())
	s.wallOffset += rowstore.ClaimAge
	w.now += 7000 // the jump ended the lease
	must.Eq(t, 0, pass())
	w.now += rowstore.ClaimAge
	for range 600 { // the lease has ended
		k, _ := x.Step(ctx)
		must.Eq(t, 0, k)
	}
	must.Eq(t, 1, pass())
	must.Eq(t, 0, len(w.rows(rowstore.Query{Scans: []rowstore.Scan{{Table: "claims"}}})))
}
