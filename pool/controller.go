package pool

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// Controller carries out placement and maintenance decisions for one zone while this process
// holds the zone's lease. Its state is only a cache: after a restart, or at another member, a
// controller continues from the rows of the table service.
type Controller struct {
	Zone        fleet.ZoneID
	Clock       clock.Clock
	Assignments *rowstore.Assignments
	Config      func() *fleet.Config
	// Lease returns a check of the lease row's version, which makes a transaction fail once
	// another member holds the lease, and the remaining time of the lease in ms. ok is false if
	// this process does not hold the zone's lease.
	Lease func() (row rowstore.Check, remaining clock.Millis, ok bool)
	// Instances returns the platform's list of instances, such as [rowstore.Client.Instances].
	Instances func(ctx context.Context) ([]rowstore.Listed, error)
	// Members returns all registered members. It returns an error if one may be missing.
	Members func(ctx context.Context) ([]Member, error)
	// Failing returns the instances that members report as failing. A nil function means none.
	Failing func() map[fleet.InstanceID]bool
	// Load returns the newest load of each pool, over all members. A nil function means that
	// no load is reported.
	Load func() map[fleet.PoolID]Load
	// Reboot requests a reboot from the platform, such as [rowstore.Client.Reboot].
	Reboot func(ctx context.Context, id fleet.InstanceID) error
	// Publish is called with each new version of the assignment. It may be nil.
	Publish func(*fleet.Assignment)

	Weights  Weights      // the zero value moves instances only when their configured pool changes
	Policy   Policy       // bounds of the decisions; the zero value means the defaults
	Interval clock.Millis // between ticks, in ms; 0 means 1000
	Timeout  clock.Millis // of one tick, in ms; 0 means 5000
	Log      *slog.Logger // nil means slog.Default()

	rows             *rowstore.ZoneRows
	publishedVersion fleet.Version
	observations     map[fleet.InstanceID]rowObservation
	everListed       map[fleet.InstanceID]bool // instances that the platform's list has shown at least once
	firstListRead    *clock.Mark               // time of the first read of the platform's list
	estimators       map[fleet.PoolID]*Estimator
	need             map[fleet.PoolID]fleet.Slots
	needComputedAt   clock.Millis

	mu    sync.Mutex
	state State
}

// rowObservation is what this process has observed of the row of an instance that is not
// serving.
type rowObservation struct {
	version        fleet.Version // of the row
	since          clock.Mark    // first observation of this version of the row
	released       bool
	releasedAt     clock.Mark
	rebootAccepted bool
}

const (
	defaultInterval = second
	defaultTimeout  = 5 * second
	// maxInstanceRows bounds the instance rows of one transaction. Each may also change a budget
	// row and complete a drain request, and a transaction holds at most rowstore.MaxRows rows.
	maxInstanceRows = (rowstore.MaxRows - 1) / 3
	// listGrace is the time in ms, from the first read of the platform's list, for which an
	// instance that the list has never shown counts as present, because the list lags.
	listGrace = 30 * second
	// needInterval is the interval in ms at which the pools' needs are computed; they change over
	// minutes.
	needInterval = 10 * second
)

// Run calls Tick at the controller's interval until ctx is done, and logs its errors.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(orDefault(c.Interval, defaultInterval).Duration())
	defer ticker.Stop()
	for {
		if err := c.Tick(ctx, c.Clock.Mark()); err != nil && ctx.Err() == nil {
			c.log().Warn("pool: controller tick failed", "zone", c.Zone, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Tick observes the load. If this process holds the zone's lease, it also commits at most one
// transaction and requests the reboots that are due. It returns an error if a read, the
// transaction or a reboot request failed; the next tick tries again.
func (c *Controller) Tick(ctx context.Context, now clock.Mark) error {
	c.observeLoad()
	_, remaining, ok := c.Lease()
	if !ok {
		c.rows, c.observations = nil, nil
		c.record(nil, View{}, nil)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(remaining, orDefault(c.Timeout, defaultTimeout)).Duration())
	defer cancel()
	view, absenceChanges, err := c.readView(ctx, now)
	if err == nil {
		err = c.applyChanges(ctx, now, view, absenceChanges)
	}
	if err == nil { // after a conflict the view is out of date
		err = c.requestReboots(ctx, view)
	}
	c.record(c.rows, view, err)
	return err
}

// applyChanges commits the changes that view requires in one transaction. Steps in the same
// transaction as absenceChanges are planned against budgets that already count these absences.
func (c *Controller) applyChanges(ctx context.Context, now clock.Mark, view View, absenceChanges map[fleet.InstanceID]bool) error {
	changes := c.syncRows(now.Wall, view)
	changes.Down = absenceChanges
	if len(changes.Rows) == 0 && len(changes.Remove) == 0 {
		preview, err := view.Rows.Preview(view.Config, changes)
		if err != nil {
			return err
		}
		view.Rows = preview
		c.addSteps(now.Wall, view, &changes)
	}
	lease, _, ok := c.Lease()
	if !ok || changes.Empty() {
		return nil
	}
	next, err := c.Assignments.Apply(ctx, lease, c.rows, view.Config, changes)
	if err != nil {
		c.rows = nil // the rows are read again before the next step
		return err
	}
	c.rows = next
	c.publish()
	return nil
}

// requestReboots requests the reboots that are due. It checks the lease before each request, so
// that a process that was paused does not reboot an instance that the next lease holder has
// returned to service.
func (c *Controller) requestReboots(ctx context.Context, view View) error {
	for id, r := range view.Rows.Instances {
		observation := c.observations[id]
		if r.Phase != fleet.Rebooting || observation.rebootAccepted || observation.version != r.Version {
			continue
		}
		if _, _, ok := c.Lease(); !ok {
			return nil
		}
		if err := c.Reboot(ctx, id); err != nil {
			return eris.Wrapf(err, "pool: reboot request for %s", id)
		}
		observation.rebootAccepted = true
		c.observations[id] = observation
		c.log().Info("pool: platform accepted the reboot of an instance", "zone", c.Zone, "instance", id)
	}
	return nil
}

// publish passes the assignment to Publish if its version is new.
func (c *Controller) publish() {
	if c.Publish != nil && c.rows.Version != c.publishedVersion {
		c.Publish(c.rows.Assignment())
		c.publishedVersion = c.rows.Version
	}
}

func (c *Controller) log() *slog.Logger {
	if c.Log != nil {
		return c.Log
	}
	return slog.Default()
}
