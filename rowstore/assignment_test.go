package rowstore_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/rowstore"
	"citronknot/standin"
)

var (
	leaseRef = rowstore.Ref{Table: "leases", Key: "zone/z"}
	twoPools = &fleet.Config{Pools: map[fleet.PoolID]fleet.Pool{"p": {ID: "p", MaxAbsent: 1}, "q": {ID: "q", MaxAbsent: 1}}}
)

// newAssignments returns a zone with the instances a and b in pool p, and its lease.
func newAssignments(t *testing.T) (*rowstore.Assignments, *standin.Platform, rowstore.Check, *rowstore.ZoneRows) {
	t.Helper()
	p := &standin.Platform{}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	a := &rowstore.Assignments{Table: (&rowstore.Client{URL: server.URL, HTTP: server.Client()}).Table()}
	ctx := context.Background()
	v, err := a.Table.Transact(ctx, rowstore.Transaction{Writes: []rowstore.Write{{Ref: leaseRef, Value: []byte("1")}}})
	must.NoError(t, err)
	lease := rowstore.Check{Ref: leaseRef, Version: v[0]}
	z, err := a.Read(ctx, "z", nil)
	must.NoError(t, err)
	z, err = a.Apply(ctx, lease, z, twoPools, rowstore.Changes{Rows: []rowstore.InstanceRow{
		{ID: "a", Pool: "p", Phase: fleet.Serving}, {ID: "b", Pool: "p", Phase: fleet.Serving},
	}})
	must.NoError(t, err)
	return a, p, lease, z
}

func phaseChange(id fleet.InstanceID, pool fleet.PoolID, phase fleet.Phase) rowstore.Changes {
	return rowstore.Changes{At: 5, Rows: []rowstore.InstanceRow{{ID: id, Pool: pool, Phase: phase, Maintained: 7}}}
}

// Guards against a zone that reads back differently from what was written, and against a cached
// read that misses a change.
func TestAssignmentsReadBack(t *testing.T) {
	a, _, lease, z := newAssignments(t)
	ctx := context.Background()
	next, err := a.Apply(ctx, lease, z, twoPools, phaseChange("a", "p", fleet.Draining))
	must.NoError(t, err)
	for _, known := range []*rowstore.ZoneRows{nil, z, next} {
		read, err := a.Read(ctx, "z", known)
		must.NoError(t, err)
		must.Eq(t, next.Instances, read.Instances)
		must.Eq(t, next.Budgets["p"].Absent, read.Budgets["p"].Absent)
		must.Eq(t, fleet.Version(2), read.Assignment().Version)
		must.Eq(t, fleet.Draining, read.Assignment().Placements["a"].Phase)
	}
}

// Guards against a budget that is exceeded within one view, an instance that changes its pool
// without a handover, and a write by a controller whose lease or view is out of date.
func TestApplyRefuses(t *testing.T) {
	a, _, lease, z := newAssignments(t)
	ctx := context.Background()
	var conflict *rowstore.ConflictError
	var budget *rowstore.BudgetError
	var transition *rowstore.TransitionError

	_, err := a.Apply(ctx, rowstore.Check{Ref: leaseRef, Version: lease.Version + 1000}, z, twoPools, phaseChange("a", "p", fleet.Draining))
	must.True(t, errors.As(err, &conflict), must.Sprint("stale lease"))

	_, err = a.Apply(ctx, lease, z, twoPools, phaseChange("a", "q", fleet.Serving))
	must.True(t, errors.As(err, &transition), must.Sprint("no handover"))

	next, err := a.Apply(ctx, lease, z, twoPools, phaseChange("a", "p", fleet.Draining))
	must.NoError(t, err)
	_, err = a.Apply(ctx, lease, z, twoPools, phaseChange("b", "p", fleet.Draining))
	must.True(t, errors.As(err, &conflict), must.Sprint("old view"))
	_, err = a.Apply(ctx, lease, next, twoPools, phaseChange("b", "p", fleet.Draining))
	must.True(t, errors.As(err, &budget), must.Sprint("budget used up"))
}

// Guards against two zones that take the last place of one pool's budget.
func TestBudgetIsSharedByZones(t *testing.T) {
	a, _, lease, z := newAssignments(t)
	ctx := context.Background()
	other, err := a.Read(ctx, "y", nil)
	must.NoError(t, err)
	other, err = a.Apply(ctx, lease, other, twoPools, phaseChange("c", "p", fleet.Serving))
	must.NoError(t, err)
	_, err = a.Apply(ctx, lease, z, twoPools, phaseChange("a", "p", fleet.Draining))
	must.NoError(t, err)
	_, err = a.Apply(ctx, lease, other, twoPools, phaseChange("c", "p", fleet.Draining))
	var conflict *rowstore.ConflictError
	must.True(t, errors.As(err, &conflict))
}

// Guards against a change that is reported as failed, or a request that is repeated, although
// only its response was lost.
func TestLostResponseIsReadBack(t *testing.T) {
	a, p, lease, z := newAssignments(t)
	p.SetFaults(standin.Faults{LoseResponses: true})
	next, err := a.Apply(context.Background(), lease, z, twoPools, phaseChange("a", "p", fleet.Draining))
	must.NoError(t, err)
	must.Eq(t, z.Version+1, next.Version)
	must.NoError(t, a.RequestDrain(context.Background(), "z", rowstore.DrainRequest{Instance: "a", Drain: true}))
}
