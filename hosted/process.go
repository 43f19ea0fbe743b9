package hosted

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/job"
	"citronknot/machine"
	"citronknot/owner"
	"citronknot/platform"
	"citronknot/rowstore"
	"citronknot/schedule"
	"citronknot/worker"
)

// Intervals and connection limits of a process.
const (
	leaseFollowInterval  clock.Millis = 250  // between two reads of the owner leases
	workerFollowInterval clock.Millis = 250  // between two reads of the list of workers
	configPollWait       clock.Millis = 1000 // longest wait of one read for a configuration change
	followRetryDelay     clock.Millis = 200  // after a failed read

	// workerConns is the number of connections to one worker: one for a poll and the others for
	// the orders that overlap with it.
	workerConns = 6
	// memberConns is the number of connections to one member. It bounds the callers' calls that
	// are forwarded to that member at the same time.
	memberConns  = 32
	storeConns   = 16
	relayedConns = 16 // to the store, for calls of other members
	machineConns = 8
	// adviceConns is the number of connections to the adviser. The adviser handles the calls of one
	// member one after the other, and queues at most 32 calls of all members together.
	adviceConns = 2

	// heapShare is the fraction of the platform's memory limit under which the garbage collector
	// keeps the heap.
	heapShare = 0.6
)

// Config holds the settings and dependencies of a Process.
type Config struct {
	Settings *platform.Settings
	Log      *slog.Logger
	Clock    clock.Clock
	Dropped  func() int64 // returns the number of dropped log lines; nil means 0
	// Credential is the bearer credential of operators. If it is empty, their calls are refused.
	Credential string
}

// Process is one member of the deployment on the users' platform.
type Process struct {
	Config
	directTable        *rowstore.Table // the row store, called directly
	relayedTable       *rowstore.Table // the same for calls of other members
	storeRoute         *rowstore.Relay
	table              *rowstore.Table // the row store, through another member while this one can't reach it
	calls              worker.Calls
	members            *memberClient
	machines           machine.Calls // without functions if the platform has no machine service
	machinesDependency dependency
	// advise asks the adviser which workers may run a step; nil if there is no adviser.
	advise  func(ctx context.Context, step string, workers []fleet.InstanceID) (schedule.Advice, error)
	metrics *metrics
	// evacuations are the zones in which operators want nothing to be started.
	evacuations *fleet.Evacuations
	catalog     atomic.Pointer[job.Catalog]
	closing     atomic.Bool
	crashed     atomic.Bool // set by Close: owner leases are not released

	mu                sync.Mutex
	ownerLeases       map[fleet.PoolID]*rowstore.OwnerLease
	owners            map[fleet.PoolID]*ownedPool
	vacantSince       map[fleet.PoolID]clock.Millis  // when a pool was first observed without an owner
	lowCPULeases      map[fleet.PoolID]observedLease // owner leases of low-CPU members
	workers           map[fleet.InstanceID]*platform.Registration
	workersListed     bool                             // the list of workers was read at least once
	waves             map[int]configuredWave           // by wave number
	relayAvoidedUntil map[string]clock.Millis          // by address of a member that could not reach the store
	provenRelay       string                           // address of the member through which the latest relayed call succeeded; empty if none
	fleetLeader       *fleetLeader                     // nil if this member is not the fleet leader
	dispatchers       map[fleet.PoolID]*poolDispatcher // of pools that other members own

	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	servers []*http.Server
}

// ownedPool is a pool that this member owns, with the owner that runs in the background.
type ownedPool struct {
	owner  *owner.Owner
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a process that is not yet running; Start starts it.
func New(config Config) *Process {
	settings := config.Settings
	process := &Process{
		Config: config, directTable: newTable(settings, config.Clock, storeConns), relayedTable: newTable(settings, config.Clock, relayedConns),
		calls:   platform.NewWorkers(platform.NewHTTPClient(workerConns)).Calls(),
		members: &memberClient{http: platform.NewHTTPClient(memberConns)}, metrics: newMetrics(config.Dropped),
		ownerLeases: map[fleet.PoolID]*rowstore.OwnerLease{}, owners: map[fleet.PoolID]*ownedPool{},
		vacantSince: map[fleet.PoolID]clock.Millis{}, lowCPULeases: map[fleet.PoolID]observedLease{},
		workers: map[fleet.InstanceID]*platform.Registration{},
		waves:   map[int]configuredWave{}, relayAvoidedUntil: map[string]clock.Millis{}, dispatchers: map[fleet.PoolID]*poolDispatcher{},
	}
	process.evacuations = &fleet.Evacuations{
		Clock: config.Clock, OwnZone: settings.Zone, Limit: fleet.ConfirmationLimit(settings.EvacuationTime),
		OnHold: func(reason fleet.HoldReason) { process.metrics.heldBackStarts.WithLabelValues(string(reason)).Inc() },
	}
	process.storeRoute = &rowstore.Relay{
		Direct: process.directTable, Relayed: process.relayTable, Clock: config.Clock,
		OnRelay: process.metrics.relayedCalls.Inc, OnDirectFailure: process.evacuations.Fail,
	}
	process.table = process.storeRoute.Table()
	if settings.MachinesAddr.IsValid() {
		machines := platform.NewMachines(settings.MachinesAddr, platform.NewHTTPClient(machineConns))
		machines.OnInvalid = func(err error) {
			config.Log.Warn("hosted: skipped an invalid entry of the list of machines", "err", err)
		}
		process.machines = machines.Calls()
	}
	if settings.AdviserAddr.IsValid() {
		process.advise = platform.NewAdviser(settings.AdviserAddr, platform.NewHTTPClient(adviceConns)).Advise
	}
	process.machinesDependency.name = "machines"
	process.ctx, process.cancel = context.WithCancel(context.Background())
	return process
}

// newTable returns the row store, called through at most conns connections.
func newTable(s *platform.Settings, c clock.Clock, conns int) *rowstore.Table {
	store := platform.NewStore(s.StoreAddr, platform.NewHTTPClient(conns))
	store.ServiceClock.Clock = c
	if s.MaxRowBytes > 0 {
		store.MaxRowBytes = s.MaxRowBytes
	}
	return store.Table()
}

// Start opens the listeners and starts to follow the row store in the background. It fails if a
// listener can't be opened; listeners that are open by then stay open.
func (p *Process) Start() error {
	settings := p.Settings
	limitMemory(settings)
	registry := prometheus.NewRegistry()
	registry.MustRegister(p.metrics.collectors()...)
	internal := http.NewServeMux()
	internal.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	internal.HandleFunc("GET /debug/state", p.serveDump)
	p.operatorRoutes(internal)
	internal.Handle("/v1/queues/", p.jobsHandler())
	for _, l := range []struct {
		name    string
		address string
		handler http.Handler
	}{
		{"callers", settings.CallerAddr.String(), p.callerHandler()},
		{"ready", settings.ReadyAddr.String(), http.HandlerFunc(p.serveReady)},
		{"members", p.memberAddress(), p.memberHandler()},
		{"metrics", fmt.Sprintf("%s:%d", settings.IP, settings.MetricsPort), internal},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return eris.Wrapf(err, "hosted: listener for %s", l.name)
		}
		server := &http.Server{
			Handler: l.handler, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 60 * time.Second,
			ErrorLog: slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug),
		}
		p.servers = append(p.servers, server)
		p.wg.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				p.Log.Error("hosted: listener failed", "listener", l.name, "err", err)
			}
		})
	}
	p.wg.Go(func() { p.followConfig(p.ctx) })
	p.wg.Go(func() { p.followLeases(p.ctx) })
	p.wg.Go(func() { p.followWorkers(p.ctx) })
	p.wg.Go(func() { p.reportPools(p.ctx) })
	p.Log.Info("hosted: started", "member", settings.Member, "zone", settings.Zone, "callers", settings.CallerAddr.String(),
		"members", p.memberAddress(), "store", settings.StoreAddr.String())
	return nil
}

// Reload applies the memory limit of the settings s. Changed addresses take effect only at the
// next start.
func (p *Process) Reload(s *platform.Settings) { limitMemory(s) }

// limitMemory sets the garbage collector's soft memory limit.
func limitMemory(s *platform.Settings) {
	debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB) * (1 << 20)))
}

func (p *Process) memberAddress() string {
	return fmt.Sprintf("%s:%d", p.Settings.IP, p.Settings.PeerPort)
}

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if p.catalog.Load() == nil || p.closing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Times of a planned stop. The platform checks readiness once a second and takes a member out of
// rotation after two failed checks. The calls in progress finish after that.
const (
	readinessDelay     = 2300 * time.Millisecond
	finishCallsTimeout = 2500 * time.Millisecond
)

// Shutdown stops the process as planned. It releases the pools at once, waits until the platform
// has taken the member out of rotation, finishes the calls in progress and closes the listeners.
func (p *Process) Shutdown() {
	p.closing.Store(true)
	p.Log.Info("hosted: stopping", "member", p.Settings.Member)
	p.handOver()
	time.Sleep(readinessDelay)
	ctx, cancel := context.WithTimeout(context.Background(), finishCallsTimeout)
	defer cancel()
	if err := p.servers[0].Shutdown(ctx); err != nil {
		p.Log.Warn("hosted: calls in progress were cut off by the shutdown", "err", err)
	}
	p.cancel()
	for _, server := range p.servers[1:] {
		_ = server.Close()
	}
	p.Log.Info("hosted: stopped", "member", p.Settings.Member)
}

// Close stops the process at once and waits for its goroutines. It doesn't release the owner
// leases: other members take the pools over when the leases have expired, as after a crash.
func (p *Process) Close() {
	p.closing.Store(true)
	p.crashed.Store(true)
	p.cancel()
	for _, server := range p.servers {
		_ = server.Close()
	}
	p.wg.Wait()
}

// handOver stops all pool owners, dispatchers and the fleet leader of this member and waits until
// they have released their leases and workers, so that other members can take over.
func (p *Process) handOver() {
	p.mu.Lock()
	var owned []*ownedPool
	for _, o := range p.owners {
		o.cancel()
		owned = append(owned, o)
	}
	var dispatchers []*poolDispatcher
	for _, d := range p.dispatchers {
		d.cancel()
		dispatchers = append(dispatchers, d)
	}
	leader := p.fleetLeader
	p.mu.Unlock()
	if leader != nil {
		leader.cancel()
		<-leader.done
	}
	for _, d := range dispatchers {
		<-d.done
	}
	for _, o := range owned {
		<-o.done
	}
}

// sleep waits for the duration d or until ctx ends.
func sleep(ctx context.Context, d clock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
