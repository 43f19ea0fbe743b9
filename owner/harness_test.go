package owner_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/owner"
	"citronknot/rowstore"
)

// runningOwner is an owner that runs until the test ends or stops it.
type runningOwner struct {
	*owner.Owner
	lease  *rowstore.OwnerLease
	cancel context.CancelFunc
	done   chan error
}

// newStore returns an empty row store.
func newStore() *fakeStore { return &fakeStore{rows: map[rowstore.Ref]rowstore.Row{}} }

// newClock returns a clock that starts at 0.
func newClock() clock.Clock {
	started := time.Now()
	return clock.Clock{NowFunc: func() clock.Millis { return clock.MillisOf(time.Since(started)) }}
}

// claimLease returns the owner lease of pool p, which the member has claimed.
func claimLease(t *testing.T, table *rowstore.Table, c clock.Clock, self fleet.MemberID) *rowstore.OwnerLease {
	lease := &rowstore.OwnerLease{Table: table, Clock: c, Partition: "p", Self: self, Address: string(self) + ":1"}
	must.NoError(t, lease.Observe(rowstore.Row{}))
	claimed, err := lease.Claim(t.Context())
	must.NoError(t, err)
	must.True(t, claimed)
	return lease
}

// takeOverLease returns the owner lease of pool p, which the member has claimed after another one has not
// renewed it.
func takeOverLease(t *testing.T, store *fakeStore, c clock.Clock, self fleet.MemberID) *rowstore.OwnerLease {
	claimLease(t, store.table(), c, "former")
	lease := &rowstore.OwnerLease{Table: store.table(), Clock: c, Partition: "p", Self: self, Address: string(self) + ":1"}
	must.NoError(t, lease.Observe(store.leaseRow()))
	for !lease.Vacant() {
		time.Sleep(100 * time.Millisecond)
	}
	claimed, err := lease.Claim(t.Context())
	must.NoError(t, err)
	must.True(t, claimed)
	return lease
}

// startOwner runs the owner of pool p. Fields of the configuration that are not set get values that suffice for
// most tests; Table is required.
func startOwner(t *testing.T, c owner.Config) *runningOwner {
	c.Pool = "p"
	if c.Clock.NowFunc == nil {
		c.Clock = newClock()
	}
	if c.Lease == nil {
		c.Lease = claimLease(t, c.Table, c.Clock, "m")
	}
	if c.Calls.Poll == nil {
		c.Calls = (&fakeWorkers{}).calls()
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Metrics == nil {
		c.Metrics = owner.NewMetrics()
	}
	if c.FinalStateRetention == 0 {
		c.FinalStateRetention = 1000
	}
	if c.Policy == nil {
		c.Policy = func(fleet.QueueID) (job.Policy, bool) { return job.Policy{Attempts: 1}, true }
	}
	o := &runningOwner{Owner: owner.New(c), lease: c.Lease, done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	o.cancel = cancel
	go func() { o.done <- o.Run(ctx) }()
	time.Sleep(100 * time.Millisecond)
	return o
}

// stop ends the owner and returns what its Run returned.
func (o *runningOwner) stop() error {
	o.cancel()
	return <-o.done
}
