package owner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"citronknot/clock"
	"citronknot/dispatcher"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/rowstore"
	"citronknot/schedule"
	"citronknot/worker"
)

// Config holds the settings and dependencies of an Owner.
type Config struct {
	Pool                fleet.PoolID
	Lease               *rowstore.OwnerLease // the pool's owner lease, which this member holds
	CPUCores            float64              // of this member; 0 if unknown
	Table               *rowstore.Table
	Calls               worker.Calls
	Clock               clock.Clock
	Log                 *slog.Logger
	Metrics             *Metrics
	FinalStateRetention clock.Millis // how long the state of a finished job stays readable
	StopTime            clock.Millis // longest time that a worker takes to stop a run
	PollWait            clock.Millis // longest time that a worker delays its response to a poll; see worker.Config
	MaxLease            clock.Millis // longest lease that workers grant; 0 means worker.DefaultMaxLease
	MaxRowBytes         int          // largest value of a row of the table; 0 means DefaultMaxRowBytes
	FarFactor           float64      // see schedule.Config
	// Policy returns the policy of a queue, and false if this member has read no configuration with the queue.
	// It is asked only for jobs that come without their policy, from members of an earlier version.
	Policy func(fleet.QueueID) (job.Policy, bool)
	// Advise asks the adviser, an external service, which workers may run a step. It is nil if
	// no adviser is configured.
	Advise func(ctx context.Context, step string, workers []fleet.InstanceID) (schedule.Advice, error)
	// Limited reports whether a team's running tasks have a resource limit. If it is nil, no
	// team has one.
	Limited func(fleet.TeamID) bool
	// Evacuated returns the evacuated zones that this member knows, sorted. If it is nil, there are
	// none.
	Evacuated func() []fleet.ZoneID
	// MayStart reports whether a start may be sent to a worker of a zone now; the empty zone stands
	// for an unknown one. If it is nil, starts may be sent to all zones.
	MayStart func(fleet.ZoneID) bool
	// Weight returns the weight of a team; see schedule.Config. If it is nil, no team has one.
	Weight func(fleet.TeamID) float64
	// MayRefuse is passed to the pool; see schedule.Config.
	MayRefuse func(team fleet.TeamID, now clock.Millis) bool
}

// DefaultMaxRowBytes is the largest value of a row of the table, unless Config.MaxRowBytes says
// otherwise.
const DefaultMaxRowBytes = 65536

// maxStarting limits the start orders without a response. An order takes about 0.4 ms of CPU
// time, so the responses to this many arrive within 110 ms on a machine with 0.12 cores.
const maxStarting = 32

// planInterval is the longest time between scheduling passes. Timeouts, due times of jobs and
// the pace of tasks have no event that would start a pass.
const planInterval clock.Millis = 100

// Owner runs one pool while its member holds the owner lease.
type Owner struct {
	Config

	mu            sync.Mutex
	pool          *schedule.Pool
	loaded        bool
	listedWorkers map[fleet.InstanceID]schedule.Worker // as the platform listed them last
	addresses     map[fleet.InstanceID]string
	sessions      map[fleet.InstanceID]*session
	knownWorkers  map[fleet.InstanceID]knownWorker // workers on which something may run
	// The durable version of knownWorkers. A worker is first polled once it is recorded here.
	savedKnownWorkers map[fleet.InstanceID]knownWorker
	knownWorkersDirty bool
	knownRows         int                               // rows of known workers that the store may have
	unconfirmed       map[fleet.InstanceID]bool         // known at the takeover, and not confirmed since
	unreadEnds        map[fleet.InstanceID]bool         // workers that have more ended runs than they have listed
	endedIncarnations map[incarnation]clock.Millis      // those that have certainly ended, and since when
	strayLeases       map[fleet.InstanceID]clock.Millis // of restarted workers, when leases end that were meant for an earlier incarnation
	formerLeasesEnd   clock.Millis                      // when all leases given by earlier owners have expired
	stopped           bool

	permits     map[fleet.QueueAddress]*rowstore.QueuePermit // queues whose jobs the pool takes
	movedAway   map[fleet.QueueAddress]fleet.Version         // by queue that another pool takes, the version that sends it there
	acquiring   chan struct{}                                // holds a value while a permit is acquired
	unreadable  map[job.ID]bool                              // jobs with rows that can't be decoded
	submissions map[job.ID]*submission                       // not durable yet
	refusals    refusalLog
	uncommitted []*submission // the submissions that no commit contains yet
	removedJobs []job.ID      // finished jobs whose rows are to be deleted

	reducedProgress map[job.ID]bool // jobs of which noteReducedProgress was called

	lastChange    uint64        // number of the newest worker report with ended runs
	durableChange uint64        // number of the newest such report that is durable
	committed     chan struct{} // closed and replaced after each commit
	commitStarted clock.Millis  // when the current commit began; 0 if there is none
	latestCommit  clock.Millis  // how long the latest commit took

	divided         bool // dispatchers are to serve the workers; see Divides
	dispatchers     map[fleet.MemberID]*dispatcherRecord
	assignments     dispatcher.AssignmentID // the newest one
	dispatcherLeft  chan struct{}           // a dispatcher has stopped while the owner stops; buffers one
	plannedAt       clock.Mark              // of the last scheduling pass
	absencesCounted clock.Millis            // see countAbsences
	endsLogged      bool                    // the ended runs that are being recorded were logged elsewhere
	activity        activity

	sessionsCtx context.Context // context of the sessions; set by Run before the first one
	wg          sync.WaitGroup  // counts the planner, the sessions and the orders in flight
	planWake    chan struct{}   // starts a scheduling pass; buffers one
	commitWake  chan struct{}   // starts a commit; buffers one
}

// New returns an owner, which serves once Run is called.
func New(c Config) *Owner {
	if c.MaxRowBytes == 0 {
		c.MaxRowBytes = DefaultMaxRowBytes
	}
	if c.MaxLease == 0 {
		c.MaxLease = worker.DefaultMaxLease
	}
	o := &Owner{
		Config: c, listedWorkers: map[fleet.InstanceID]schedule.Worker{}, addresses: map[fleet.InstanceID]string{},
		sessions: map[fleet.InstanceID]*session{}, knownWorkers: map[fleet.InstanceID]knownWorker{},
		savedKnownWorkers: map[fleet.InstanceID]knownWorker{}, endedIncarnations: map[incarnation]clock.Millis{}, strayLeases: map[fleet.InstanceID]clock.Millis{}, unreadEnds: map[fleet.InstanceID]bool{},
		reducedProgress: map[job.ID]bool{}, permits: map[fleet.QueueAddress]*rowstore.QueuePermit{}, movedAway: map[fleet.QueueAddress]fleet.Version{}, acquiring: make(chan struct{}, 1),
		unconfirmed: map[fleet.InstanceID]bool{}, unreadable: map[job.ID]bool{}, submissions: map[job.ID]*submission{},
		dispatchers: map[fleet.MemberID]*dispatcherRecord{}, dispatcherLeft: make(chan struct{}, 1),
		plannedAt: c.Clock.Mark(), committed: make(chan struct{}), planWake: make(chan struct{}, 1), commitWake: make(chan struct{}, 1),
	}
	return o
}

// formerLeaseLimit is the longest time for which a worker lease can last after the last order of an
// earlier owner.
var formerLeaseLimit = worker.MaxElapsed(worker.LeaseLength) + formerLeaseSlack

// formerLeaseSlack covers the time between the reading of a worker's clock and the arrival of
// the last order.
const formerLeaseSlack clock.Millis = 300

// firstResponseTime is how long an owner waits for the first responses of workers even if all leases given
// by earlier owners have expired, so that ended runs on the workers that respond are not repeated. It is two
// polls that fail.
const firstResponseTime clock.Millis = 1500

// runsPerOwnerLease is the distance between the first run numbers of successive owner leases.
// An owner with a higher fence thus uses higher run numbers.
const runsPerOwnerLease = 1000

// Run serves the pool until ctx ends or the owner lease is lost. In the latter case it returns
// *rowstore.LeaseLostError or *rowstore.LeaseExpiredError. No order is in flight when Run returns,
// unless it returns one of these or *UnconfirmedStopError.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.sessionsCtx = ctx
	if err := o.load(ctx); err != nil {
		return err
	}
	o.wg.Go(func() { o.runPlanner(ctx) })
	err := o.runCommitter(ctx)
	cancel()
	o.shutDown(err)
	o.wg.Wait()
	if LeaseLost(err) {
		return err
	}
	if !o.awaitDispatchers() {
		return &UnconfirmedStopError{Pool: o.Pool}
	}
	return err
}

// UnconfirmedStopError reports that an owner has stopped, but that a dispatcher may still be calling
// workers for it. The owner lease must expire; it must not be released.
type UnconfirmedStopError struct {
	Pool fleet.PoolID
}

func (e *UnconfirmedStopError) Error() string {
	return fmt.Sprintf("owner: a dispatcher of pool %s has not confirmed that it has stopped", e.Pool)
}

// shutDown ends the sessions and fails all submissions that are not durable.
func (o *Owner) shutDown(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
	for _, s := range o.sessions {
		if s.dispatcher == nil {
			s.cancel()
		}
	}
	for _, d := range o.dispatchers {
		wake(d.wakeup)
	}
	o.Metrics.Dispatchers.DeleteLabelValues(string(o.Pool))
	o.Metrics.Suspects.DeleteLabelValues(string(o.Pool))
	o.Metrics.TeamsOverShare.DeleteLabelValues(string(o.Pool))
	o.Metrics.WorkersAvoided.DeleteLabelValues(string(o.Pool))
	o.Metrics.TasksAway.DeletePartialMatch(prometheus.Labels{"pool": string(o.Pool)})
	o.Metrics.TasksWaiting.DeletePartialMatch(prometheus.Labels{"pool": string(o.Pool)})
	for _, s := range o.submissions {
		s.fail(err)
	}
}

// mayGiveOrders reports whether the owner lease still allows orders to workers.
func (o *Owner) mayGiveOrders() bool { return o.Lease.Authorized() }

// wake starts another pass of the loop that receives from wakeup. It does not block: a pass that
// is already requested covers this request as well.
func wake(wakeup chan struct{}) {
	select {
	case wakeup <- struct{}{}:
	default:
	}
}

// runPlanner runs a scheduling pass on each wake-up and at least every planInterval, until ctx
// ends.
func (o *Owner) runPlanner(ctx context.Context) {
	ticker := time.NewTicker(planInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-o.planWake:
		}
		if o.mayGiveOrders() {
			o.runPlan(ctx)
		}
	}
}

// runPlan runs one scheduling pass and sends the resulting orders in the background.
func (o *Owner) runPlan(ctx context.Context) {
	started := time.Now()
	o.mu.Lock()
	now := o.Clock.Now()
	o.noticeSuspension(now)
	o.finishRecovery(now)
	o.forgetStrayLeases(now)
	o.checkDispatchers(now)
	o.divide(now)
	o.updateEvacuated(now)
	orders := o.pool.Plan(now, o.Clock.Wall())
	for i := range orders {
		order := orders[i]
		if order.Kind == schedule.Start {
			o.activity.starts++
		}
		if order.Kind == schedule.Ask {
			o.wg.Go(func() { o.requestAdvice(ctx, order) })
			continue
		}
		s := o.sessions[order.Worker]
		if s == nil || s.incarnation != order.Incarnation {
			o.pool.Answered(order, schedule.NotSent, now)
			continue
		}
		if s.dispatcher != nil {
			o.enqueueOrder(s, order)
			continue
		}
		s.inFlight++
		o.wg.Go(func() { o.sendOrder(ctx, s, order) })
	}
	o.countAbsences(now)
	o.activity.slowestPass = max(o.activity.slowestPass, time.Since(started))
	o.logActivity(now)
	dirty := o.pool.Dirty()
	o.Metrics.Suspects.WithLabelValues(string(o.Pool)).Set(float64(o.pool.Suspects()))
	o.Metrics.TeamsOverShare.WithLabelValues(string(o.Pool)).Set(float64(o.pool.TeamsOverShare()))
	o.mu.Unlock()
	o.Metrics.PlanTime.Observe(time.Since(started).Seconds())
	if dirty {
		wake(o.commitWake)
	}
}

// suspensionTolerance is the longest suspension after which the owner's view of the workers still counts.
const suspensionTolerance clock.Millis = 300

// noticeSuspension drops the owner's view of what runs on the workers if the machine was suspended since the
// last pass. Times on the owner's clock, which stood still, would make that view seem recent.
func (o *Owner) noticeSuspension(now clock.Millis) {
	suspended := o.Clock.MaxElapsed(o.plannedAt) - o.Clock.MinElapsed(o.plannedAt)
	o.plannedAt = o.Clock.Mark()
	if suspended > suspensionTolerance {
		o.Log.Warn("owner: the machine was suspended", "pool", o.Pool, "fence", o.Lease.Fence(), "suspended_ms", int64(suspended))
		o.pool.ForgetLists(now)
	}
}

// absenceInterval is the time between two counts of the long-running tasks that are away.
const absenceInterval clock.Millis = 1000

// countAbsences updates the metric of the long-running tasks that are away, if that is due.
func (o *Owner) countAbsences(now clock.Millis) {
	if now-o.absencesCounted < absenceInterval {
		return
	}
	o.absencesCounted = now
	for cause, n := range o.pool.Absences(now) {
		o.Metrics.TasksAway.WithLabelValues(string(o.Pool), cause.String()).Set(float64(n))
	}
}

// sendOrder sends one order to a worker and records its outcome in the pool.
func (o *Owner) sendOrder(ctx context.Context, s *session, order schedule.Order) {
	started := time.Now()
	outcome, result := s.own.Order(ctx, order)
	o.Metrics.Orders.WithLabelValues(order.Kind.String(), result.String()).Inc()
	o.Metrics.OrderTime.Observe(time.Since(started).Seconds())
	o.Log.Info("owner: order completed", "order", order.Kind.String(), "task", order.Task.String(), "run", order.Run,
		"worker", order.Worker, "pool", o.Pool, "fence", o.Lease.Fence(), "reason", string(order.Reason), "answer", result.String())
	o.mu.Lock()
	s.inFlight--
	o.pool.Answered(order, outcome, o.Clock.Now())
	startsDeferred := o.pool.StartsDeferred()
	o.mu.Unlock()
	if startsDeferred || outcome != schedule.Accepted || order.Kind == schedule.Stop {
		wake(o.planWake)
	}
}

// finishRecovery lets recovered tasks start once each worker on which they may run has responded,
// or its leases have expired, and once those that respond have listed all of their ended runs. Expiry
// counts only while this member is certain to hold the owner lease: otherwise a successor may have polled
// the worker and let it forget an ended run that this owner never received.
func (o *Owner) finishRecovery(now clock.Millis) {
	if o.pool.RecoveryFinished() || (len(o.unconfirmed) > 0 && (now < o.formerLeasesEnd || !o.Lease.Exclusive())) {
		return
	}
	if len(o.unreadEnds) > 0 {
		return
	}
	o.pool.FinishRecovery(now)
	o.Log.Info("owner: recovered tasks may start", "pool", o.Pool, "fence", o.Lease.Fence(), "workers_without_answer", len(o.unconfirmed))
}

// LeaseLost reports whether err means that the owner lease is lost: it is, or wraps, a
// *rowstore.LeaseLostError or a *rowstore.LeaseExpiredError.
func LeaseLost(err error) bool {
	var leaseLost *rowstore.LeaseLostError
	var expired *rowstore.LeaseExpiredError
	return errors.As(err, &leaseLost) || errors.As(err, &expired)
}
