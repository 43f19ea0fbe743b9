package owner

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/rowstore"
	"citronknot/schedule"
	"citronknot/worker"
)

// Config holds what an Owner is made from.
type Config struct {
	Pool      fleet.PoolID
	Tenure    *rowstore.Tenure // held
	Released  bool             // the former holder gave the pool up, or its process has ended
	Table     *rowstore.Table
	Calls     worker.Calls
	Clock     clock.Clock
	Log       *slog.Logger
	Metrics   *Metrics
	KeepFinal clock.Millis // how long the state of a finished job can be read
	StopTime  clock.Millis // longest time that a worker takes to carry a stop out
	LookWait  clock.Millis // longest wait of a look for an end; see worker.Config
	// Terms returns what a queue promises its jobs.
	Terms func(fleet.QueueID) (schedule.Terms, bool)
	// Advise asks which workers may run a step; nil where there is no adviser.
	Advise func(ctx context.Context, step string, workers []fleet.InstanceID) (schedule.Advice, error)
	// Limited reports whether a team's running tasks are bounded.
	Limited func(fleet.TeamID) bool
}

// maxStarting bounds the starts under way. An order takes some 0.4 ms of processor time, so that
// the answers to this many come within 110 ms on a machine with 0.12 cores.
const maxStarting = 32

// tick is the period of what has no event of its own: timeouts, due times, pace.
const tick clock.Millis = 100

// Owner runs one pool during one tenure.
type Owner struct {
	Config

	mu        sync.Mutex
	pool      *schedule.Pool
	loaded    bool
	listed    map[fleet.InstanceID]schedule.Worker // as last listed
	addresses map[fleet.InstanceID]string
	sessions  map[fleet.InstanceID]*session
	known     map[fleet.InstanceID]knownWorker // workers on which something may run
	// What of known is durable. A worker gets its first look after it is.
	savedKnown map[fleet.InstanceID]knownWorker
	knownDirty bool
	unproven   map[fleet.InstanceID]bool // known at the takeover and not heard since
	// Start of incarnations that ended by an order to their machine.
	ended    map[fleet.InstanceID]clock.Millis
	settleAt clock.Millis
	stopped  bool

	inbox      map[job.ID]*submission // not durable yet
	queue      []*submission          // of them, those in no commit yet
	removals   []job.ID               // finished jobs to forget
	changes    uint64                 // counts reports with ends
	durableTo  uint64                 // the newest of them that is durable
	saved      chan struct{}          // closed and replaced after each commit
	commitFrom clock.Millis           // when the commit under way began; 0 if there is none

	ctx  context.Context // of the sessions; set by Run before there are any
	wg   sync.WaitGroup  // the planner, the sessions and the orders under way
	plan chan struct{}   // one buffered wake-up of the planner
	save chan struct{}   // one buffered wake-up of the saver
}

type session struct {
	*worker.Session
	cancel context.CancelFunc
	born   clock.Millis
	addr   string
}

// New returns an owner; Run keeps it.
func New(c Config) *Owner {
	o := &Owner{
		Config: c, listed: map[fleet.InstanceID]schedule.Worker{}, addresses: map[fleet.InstanceID]string{},
		sessions: map[fleet.InstanceID]*session{}, known: map[fleet.InstanceID]knownWorker{},
		savedKnown: map[fleet.InstanceID]knownWorker{}, ended: map[fleet.InstanceID]clock.Millis{}, unproven: map[fleet.InstanceID]bool{},
		inbox: map[job.ID]*submission{}, saved: make(chan struct{}), plan: make(chan struct{}, 1), save: make(chan struct{}, 1),
	}
	return o
}

// settleLease is how long the leases of a former tenure may last after its last order.
var settleLease = worker.MaxElapsed(worker.LeaseLength) + settleSlack

// settleSlack covers the time between the reading of a worker's clock and the arrival of the
// last order.
const settleSlack clock.Millis = 300

// runsPerTenure is the distance between the run numbers of one tenure and those of the next.
const runsPerTenure = 1000

// Run serves the pool until ctx ends or the tenure is over. It returns *rowstore.DeposedError
// or *rowstore.ExpiredError in the latter case. Before it returns it has ended all its orders.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.ctx = ctx
	if err := o.load(ctx); err != nil {
		return err
	}
	o.wg.Go(func() { o.planner(ctx) })
	err := o.saver(ctx)
	cancel()
	o.stop(err)
	o.wg.Wait()
	return err
}

// stop ends the sessions and answers those who wait.
func (o *Owner) stop(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
	for _, s := range o.sessions {
		s.cancel()
	}
	for _, s := range o.inbox {
		s.fail(err)
	}
}

// authorized reports whether orders may be given.
func (o *Owner) authorized() bool { return o.Tenure.Authorized() }

// wake asks for one more run of a loop.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// planner carries out what the pool decides.
func (o *Owner) planner(ctx context.Context) {
	ticker := time.NewTicker(tick.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-o.plan:
		}
		if o.authorized() {
			o.carryOut(ctx)
		}
	}
}

func (o *Owner) carryOut(ctx context.Context) {
	begun := time.Now()
	o.mu.Lock()
	now := o.Clock.Now()
	o.settle(now)
	orders := o.pool.Plan(now, o.Clock.Wall())
	for i := range orders {
		order := orders[i]
		if order.Kind == schedule.Ask {
			o.wg.Go(func() { o.ask(ctx, order) })
			continue
		}
		s := o.sessions[order.Worker]
		if s == nil || s.born != order.Born {
			o.pool.Answered(order, schedule.NotSent, now)
			continue
		}
		o.wg.Go(func() { o.order(ctx, s, order) })
	}
	dirty := o.pool.Dirty()
	o.mu.Unlock()
	o.Metrics.Plan.Observe(time.Since(begun).Seconds())
	if dirty {
		wake(o.save)
	}
}

// order sends one order and takes in its outcome.
func (o *Owner) order(ctx context.Context, s *session, order schedule.Order) {
	begun := time.Now()
	outcome, result := s.Order(ctx, order)
	o.Metrics.Orders.WithLabelValues(order.Kind.String(), result.String()).Inc()
	o.Metrics.OrderTime.Observe(time.Since(begun).Seconds())
	o.Log.Info("owner: order given", "order", order.Kind.String(), "task", order.Task.String(), "run", order.Run,
		"worker", order.Worker, "pool", o.Pool, "fence", o.Tenure.Fence(), "reason", string(order.Reason), "answer", result.String())
	o.mu.Lock()
	o.pool.Answered(order, outcome, o.Clock.Now())
	held := o.pool.Held()
	o.mu.Unlock()
	if held || outcome != schedule.Accepted || order.Kind == schedule.Stop {
		wake(o.plan)
	}
}

// settle lets recovered tasks start once every worker on which they could run has answered, or
// its leases have ended. The latter says nothing if a successor may have looked at the worker
// meanwhile and had an end forgotten that this owner never saw.
func (o *Owner) settle(now clock.Millis) {
	if o.pool.Settled() || (len(o.unproven) > 0 && (now < o.settleAt || !o.Tenure.Certain())) {
		return
	}
	o.pool.Settle(now)
	o.Log.Info("owner: recovered tasks may start", "pool", o.Pool, "fence", o.Tenure.Fence(), "workers_without_answer", len(o.unproven))
}

// Expired reports whether err ends a tenure.
func Expired(err error) bool {
	var deposed *rowstore.DeposedError
	var expired *rowstore.ExpiredError
	return errors.As(err, &deposed) || errors.As(err, &expired)
}
