package rowstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

// InstanceRow is the row of one instance in the table service.
type InstanceRow struct {
	ID         fleet.InstanceID
	Pool       fleet.PoolID
	Phase      fleet.Phase
	Next       fleet.PoolID  // the pool that a leaving instance moves to
	Home       fleet.PoolID  // the configured pool that the row last followed; a move is due once the configuration names another
	Version    fleet.Version // assignment version of the zone at which the row last changed
	Since      clock.Millis  // wall time of the last phase change
	Moved      clock.Millis  // wall time of the last handover; 0 means never
	Maintained clock.Millis  // wall time at which the last maintenance ended, or the row was created
	Held       bool          // an operator requested the drain: no reboot, and no return without the operator
}

// Reason is the reason why an instance is absent.
type Reason string

// The reasons of an absence.
const (
	Planned   Reason = "planned"   // a move, maintenance or an operator's drain
	Unplanned Reason = "unplanned" // a failure
)

// Absence is an entry of a budget row: an instance that is out of service.
type Absence struct {
	Zone   fleet.ZoneID
	Reason Reason
	Since  clock.Millis // wall time
}

// Budget holds the absent instances of a pool, over all zones.
type Budget struct {
	Pool   fleet.PoolID
	Absent map[fleet.InstanceID]Absence

	rowVersion fleet.Version
}

// Count returns the number of absences with a reason.
func (b Budget) Count(r Reason) int {
	n := 0
	for _, a := range b.Absent {
		if a.Reason == r {
			n++
		}
	}
	return n
}

// ZoneRows holds the rows of a zone from one consistent read, with the budgets of all pools. It
// is immutable once read.
type ZoneRows struct {
	Zone      fleet.ZoneID
	Version   fleet.Version // of the zone's assignment
	Instances map[fleet.InstanceID]InstanceRow
	Budgets   map[fleet.PoolID]Budget
	Drains    map[fleet.InstanceID]DrainRequest

	attempt    string
	rowVersion fleet.Version
}

// Assignment returns the placements of z.
func (z *ZoneRows) Assignment() *fleet.Assignment {
	a := &fleet.Assignment{Zone: z.Zone, Version: z.Version, Placements: make(map[fleet.InstanceID]fleet.Placement, len(z.Instances))}
	for id, r := range z.Instances {
		a.Placements[id] = fleet.Placement{Pool: r.Pool, Phase: r.Phase}
	}
	return a
}

// Changes is a set of changes of one zone.
type Changes struct {
	Rows            []InstanceRow             // new rows; Apply sets Version
	Down            map[fleet.InstanceID]bool // true if an unplanned absence began, false if it ended
	Remove          []fleet.InstanceID        // instances that left the configuration
	CompletedDrains []fleet.InstanceID        // instances whose drain request is completed
	At              clock.Millis              // wall time
}

// Empty reports whether c changes nothing.
func (c Changes) Empty() bool {
	return len(c.Rows) == 0 && len(c.Down) == 0 && len(c.Remove) == 0 && len(c.CompletedDrains) == 0
}

// BudgetError reports that a change would exceed the availability budget of a pool.
type BudgetError struct {
	Pool      fleet.PoolID
	Absent    int // instances absent already
	MaxAbsent int
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("rowstore: %d of at most %d instances of pool %q are absent", e.Absent, e.MaxAbsent, e.Pool)
}

// TransitionError reports a change of an instance that its row does not allow.
type TransitionError struct {
	Instance fleet.InstanceID
	From, To fleet.Placement
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("rowstore: instance %q cannot change from %v to %v", e.Instance, e.From, e.To)
}

// Assignments reads and changes the placements of instances in the table service.
type Assignments struct {
	Table      *Table
	NewAttempt func() string // id of a transaction; nil means 64 random bits
}

const (
	instanceTable = "instances"
	zoneTable     = "zones"
	budgetTable   = "budgets"
	drainTable    = "drains"
)

func zoneRef(z fleet.ZoneID) Ref { return Ref{Table: zoneTable, Key: string(z)} }

func budgetRef(p fleet.PoolID) Ref { return Ref{Table: budgetTable, Key: string(p)} }

func instanceRef(z fleet.ZoneID, id fleet.InstanceID) Ref {
	return Ref{Table: instanceTable, Key: string(z) + "/" + string(id)}
}

// Read returns the rows of a zone. The instances are read again only if the zone's version row
// differs from that of known, which may be nil. It fails with *UnavailableError, or if a row
// can't be decoded.
func (a *Assignments) Read(ctx context.Context, zone fleet.ZoneID, known *ZoneRows) (*ZoneRows, error) {
	q := Query{Gets: []Ref{zoneRef(zone)}, Scans: []Scan{{Table: budgetTable}, {Table: drainTable, Prefix: string(zone) + "/"}}}
	if known != nil && known.Zone == zone {
		z, err := a.read(ctx, zone, q)
		if err != nil {
			return nil, err
		}
		if z.rowVersion == known.rowVersion {
			z.Instances = known.Instances
			return z, nil
		}
	}
	q.Scans = append(q.Scans, Scan{Table: instanceTable, Prefix: string(zone) + "/"})
	return a.read(ctx, zone, q)
}

func (a *Assignments) read(ctx context.Context, zone fleet.ZoneID, q Query) (*ZoneRows, error) {
	rows, err := a.Table.Read(ctx, q)
	if err != nil {
		return nil, err
	}
	return decodeZone(zone, rows)
}

// Apply makes the changes c to the zone of z in one transaction and returns the new rows. It
// checks the lease row, the zone's version row and the budget rows that it changes, so that of
// two controllers that both act as the holder of the lease only one succeeds. It fails with
// *BudgetError, *TransitionError, *ConflictError or *UnavailableError. After an
// *UnavailableError with OutcomeUnknown set the caller reads the rows again before it applies anything
// else.
func (a *Assignments) Apply(ctx context.Context, lease Check, z *ZoneRows, cfg *fleet.Config, c Changes) (*ZoneRows, error) {
	next, touched, err := z.apply(cfg, c)
	if err != nil {
		return nil, err
	}
	next.attempt = a.newAttemptID()
	t := Transaction{Checks: []Check{lease, {Ref: zoneRef(z.Zone), Version: z.rowVersion}}}
	t.Writes = append(t.Writes, Write{Ref: zoneRef(z.Zone), Value: encodeZone(next)})
	for _, r := range c.Rows {
		t.Writes = append(t.Writes, Write{Ref: instanceRef(z.Zone, r.ID), Value: encodeInstance(next.Instances[r.ID])})
	}
	for _, id := range c.Remove {
		t.Writes = append(t.Writes, Write{Ref: instanceRef(z.Zone, id), Delete: true})
	}
	for _, id := range c.CompletedDrains {
		if d, ok := z.Drains[id]; ok {
			// A request that was written again meanwhile is kept.
			t.Checks = append(t.Checks, Check{Ref: drainRef(z.Zone, id), Version: d.rowVersion})
			t.Writes = append(t.Writes, Write{Ref: drainRef(z.Zone, id), Delete: true})
		}
	}
	for _, p := range touched {
		t.Checks = append(t.Checks, Check{Ref: budgetRef(p), Version: z.Budgets[p].rowVersion})
		t.Writes = append(t.Writes, Write{Ref: budgetRef(p), Value: encodeBudget(next.Budgets[p])})
	}
	if len(t.Writes) > MaxRows {
		return nil, eris.Errorf("rowstore: %d rows in one assignment change, at most %d fit", len(t.Writes), MaxRows)
	}
	versions, err := a.Table.Transact(ctx, t)
	if err != nil {
		return a.confirmOutcome(ctx, next, err)
	}
	next.rowVersion = versions[0]
	for i, p := range touched {
		b := next.Budgets[p]
		b.rowVersion = versions[len(versions)-len(touched)+i]
		next.Budgets[p] = b
	}
	return next, nil
}

// confirmOutcome determines whether a transaction whose response was lost took effect. The check
// of the zone row keeps a transaction that arrives late from taking effect after another one.
func (a *Assignments) confirmOutcome(ctx context.Context, next *ZoneRows, err error) (*ZoneRows, error) {
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) || !unavailable.OutcomeUnknown {
		return nil, err
	}
	z, readErr := a.Read(ctx, next.Zone, nil)
	if readErr != nil || z.attempt != next.attempt {
		return nil, err
	}
	return z, nil
}

func (a *Assignments) newAttemptID() string {
	if a.NewAttempt != nil {
		return a.NewAttempt()
	}
	return fmt.Sprintf("%016x", rand.Uint64())
}

// Preview returns the rows as they would be after c, without writing them. It fails with
// *BudgetError or *TransitionError.
func (z *ZoneRows) Preview(cfg *fleet.Config, c Changes) (*ZoneRows, error) {
	next, _, err := z.apply(cfg, c)
	return next, err
}

// apply returns the rows after c and the pools whose budget rows change.
func (z *ZoneRows) apply(cfg *fleet.Config, c Changes) (*ZoneRows, []fleet.PoolID, error) {
	next := &ZoneRows{
		Zone: z.Zone, Version: z.Version + 1, Instances: maps.Clone(z.Instances), Budgets: maps.Clone(z.Budgets), Drains: maps.Clone(z.Drains),
	}
	e := budgetEdit{zone: z.Zone, at: c.At, config: cfg, budgets: next.Budgets, changedPools: map[fleet.PoolID]bool{}}
	for _, id := range c.Remove {
		e.release(z.Instances[id].Pool, id)
		delete(next.Instances, id)
	}
	e.recordAllDown(next.Instances, c.Down)
	var leaving []InstanceRow
	for _, r := range c.Rows {
		old, known := z.Instances[r.ID]
		if known && !transitionAllowed(old, r) || !known && r.Phase != fleet.Serving {
			return nil, nil, &TransitionError{
				Instance: r.ID, From: fleet.Placement{Pool: old.Pool, Phase: old.Phase}, To: fleet.Placement{Pool: r.Pool, Phase: r.Phase},
			}
		}
		r.Version = next.Version
		next.Instances[r.ID] = r
		if e.leavesService(old, r) {
			leaving = append(leaving, r)
		} else {
			e.recordPhase(old, r)
		}
	}
	// An instance that comes into service in this change while it is down counts as absent
	// before others are taken out.
	e.recordAllDown(next.Instances, c.Down)
	for _, r := range leaving {
		if err := e.takeOut(r.Pool, r.ID); err != nil {
			return nil, nil, err
		}
	}
	for _, id := range c.CompletedDrains {
		delete(next.Drains, id)
	}
	return next, slices.Sorted(maps.Keys(e.changedPools)), nil
}

// transitionAllowed reports whether an instance may change from old to next. The pool changes
// only at the end of a handover, so an instance is in one pool at any time.
func transitionAllowed(old, next InstanceRow) bool {
	if old.Pool != next.Pool {
		return old.Phase == fleet.LeavingPool && next.Phase == fleet.Serving && next.Pool == old.Next
	}
	switch old.Phase {
	case fleet.Serving:
		return next.Phase == fleet.LeavingPool && next.Next != "" || next.Phase == fleet.Draining || next.Phase == fleet.Serving
	case fleet.LeavingPool:
		return next.Phase == fleet.Serving
	case fleet.Draining:
		return next.Phase == fleet.Rebooting || next.Phase == fleet.Absent || next.Phase == fleet.Serving || next.Phase == fleet.Draining
	case fleet.Rebooting:
		return next.Phase == fleet.Returning
	case fleet.Returning:
		return next.Phase == fleet.Serving || next.Phase == fleet.Absent
	case fleet.Absent:
		return next.Phase == fleet.Serving
	}
	return false
}
