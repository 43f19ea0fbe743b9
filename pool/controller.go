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

// Controller carries out the decisions for one zone while this process holds the zone's
// lease. Its state is only a cache: after a restart, or at another member, it continues from
// the rows of the table service.
type Controller struct {
	Zone        fleet.ZoneID
	Clock       clock.Clock
	Assignments *rowstore.Assignments
	Config      func() *fleet.Config
	// Lease returns the lease row's version and the time left; ok is false if this process
	// does not hold the zone's lease.
	Lease func() (row rowstore.Check, left clock.Millis, ok bool)
	// Instances is the platform's list, such as [rowstore.Client.Instances].
	Instances func(ctx context.Context) ([]rowstore.Listed, error)
	// Members returns every registered member. It fails if one may be missing.
	Members func(ctx context.Context) ([]Member, error)
	// Failing returns the instances that members report as failing; nil means none.
	Failing func() map[fleet.InstanceID]bool
	// Load returns the newest load of each pool, over all members; nil means none is known.
	Load func() map[fleet.PoolID]Load
	// Reboot asks the platform for a reboot, such as [rowstore.Client.Reboot].
	Reboot func(ctx context.Context, id fleet.InstanceID) error
	// Publish is given each new version of the assignment; nil drops it.
	Publish func(*fleet.Assignment)

	Weights  Weights      // the zero value moves instances by configuration only
	Policy   Policy       // bounds; the zero value means the defaults
	Interval clock.Millis // between ticks; 0 means 1000
	Timeout  clock.Millis // of one tick; 0 means 5000
	Log      *slog.Logger // nil means slog.Default()

	known     *rowstore.ZoneRows
	published fleet.Version
	watched   map[fleet.InstanceID]watch
	listed    map[fleet.InstanceID]bool // ever shown by the list
	firstList *clock.Mark
	estimates map[fleet.PoolID]*Estimator
	need      map[fleet.PoolID]fleet.Slots
	needAt    clock.Millis

	mu    sync.Mutex
	state State
}

// watch is what this process has seen of a row that is not serving.
type watch struct {
	version  fleet.Version
	since    clock.Mark
	free     bool
	freed    clock.Mark
	rebooted bool
}

const (
	defaultInterval = second
	defaultTimeout  = 5 * second
	// maxRows bounds the instance rows of one transaction: each may change a budget row and
	// settle a request, and a transaction carries at most rowstore.MaxRows rows.
	maxRows = (rowstore.MaxRows - 1) / 3
	// listGrace is how long an instance that the list never showed counts as present, because
	// the list lags.
	listGrace = 30 * second
	// needEvery is how often needs are computed: they change over minutes.
	needEvery = 10 * second
)

// Run ticks until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(or(c.Interval, defaultInterval).Duration())
	defer ticker.Stop()
	for {
		if err := c.Tick(ctx, c.Clock.Mark()); err != nil && ctx.Err() == nil {
			c.log().Warn("pool: tick failed", "zone", c.Zone, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Tick observes the load and, if this process holds the lease, takes at most one step: one
// transaction and the reboots that it allows.
func (c *Controller) Tick(ctx context.Context, now clock.Mark) error {
	c.observe()
	_, left, ok := c.Lease()
	if !ok {
		c.known, c.watched = nil, nil
		c.record(nil, View{}, nil)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(left, or(c.Timeout, defaultTimeout)).Duration())
	defer cancel()
	view, marks, err := c.look(ctx, now)
	if err == nil {
		err = c.act(ctx, now, view, marks)
	}
	if err == nil { // a conflict means that the view is old
		err = c.reboot(ctx, view)
	}
	c.record(c.known, view, err)
	return err
}

// act makes the changes that view calls for. A step in the same transaction as the marks is
// planned against the budgets that already count them.
func (c *Controller) act(ctx context.Context, now clock.Mark, view View, marks map[fleet.InstanceID]bool) error {
	changes := c.upkeep(now.Wall, view)
	changes.Down = marks
	if len(changes.Rows) == 0 && len(changes.Forget) == 0 {
		ahead, err := view.Rows.Preview(view.Config, changes)
		if err != nil {
			return err
		}
		view.Rows = ahead
		c.steps(now.Wall, view, &changes)
	}
	lease, _, ok := c.Lease()
	if !ok || changes.Empty() {
		return nil
	}
	next, err := c.Assignments.Apply(ctx, lease, c.known, view.Config, changes)
	if err != nil {
		c.known = nil // the rows are read again before the next step
		return err
	}
	c.known = next
	c.publish()
	return nil
}

// reboot asks for the reboots that are due. The lease is checked before each, so that a
// process that was paused does not reboot an instance that its successor has returned.
func (c *Controller) reboot(ctx context.Context, view View) error {
	for id, r := range view.Rows.Instances {
		w := c.watched[id]
		if r.Phase != fleet.Rebooting || w.rebooted || w.version != r.Version {
			continue
		}
		if _, _, ok := c.Lease(); !ok {
			return nil
		}
		if err := c.Reboot(ctx, id); err != nil {
			return eris.Wrapf(err, "pool: reboot of %s", id)
		}
		w.rebooted = true
		c.watched[id] = w
		c.log().Info("pool: instance rebooted", "zone", c.Zone, "instance", id)
	}
	return nil
}

func (c *Controller) publish() {
	if c.Publish != nil && c.known.Version != c.published {
		c.Publish(c.known.Assignment())
		c.published = c.known.Version
	}
}

func (c *Controller) log() *slog.Logger {
	if c.Log != nil {
		return c.Log
	}
	return slog.Default()
}
