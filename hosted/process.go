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

// Times of a process.
const (
	tenurePoll clock.Millis = 250  // between readings of who holds the pools
	workerPoll clock.Millis = 250  // between readings of the list of workers
	configWait clock.Millis = 1000 // longest wait of one reading of the configuration
	pollRetry  clock.Millis = 200  // after a failed reading

	// Connections to one worker: a look and the orders that overlap with it. To one member:
	// the calls of clients at the same time.
	workerConns  = 6
	memberConns  = 32
	storeConns   = 16
	machineConns = 8
	// The adviser takes the calls of a member one after the other, and 32 of all may wait.
	adviceConns = 2

	// memoryShare is the part of the memory limit that the collector keeps the heap under.
	memoryShare = 0.6
)

// Config holds what a Process is made from.
type Config struct {
	Settings *platform.Settings
	Log      *slog.Logger
	Clock    clock.Clock
	Dropped  func() int64 // log lines that were dropped; nil counts none
	// Credential of operators; without one their calls are refused.
	Credential string
}

// Process is one member on the platform.
type Process struct {
	Config
	direct       *rowstore.Table // the store
	table        *rowstore.Table // the store, through another member if it turns this one away
	calls        worker.Calls
	members      *memberClient
	machines     machine.Calls // none where the platform has no service for machines
	machinesSeen dependency
	// advise asks the adviser; nil where there is none.
	advise  func(ctx context.Context, step string, workers []fleet.InstanceID) (schedule.Advice, error)
	metrics *metrics
	catalog atomic.Pointer[job.Catalog]
	closing atomic.Bool
	crashed atomic.Bool // by Close

	mu          sync.Mutex
	tenures     map[fleet.PoolID]*rowstore.Tenure
	owners      map[fleet.PoolID]*owned
	vacant      map[fleet.PoolID]clock.Millis // since when a pool was seen without an owner
	weakTenures map[fleet.PoolID]weakTenure
	formerly    map[fleet.QueueID][]fleet.PoolID
	workers     map[fleet.InstanceID]*platform.Registration
	scanned     bool // the list of workers was read
	waves       map[int]seenWave
	avoid       map[string]clock.Millis // members that could not reach the store, until when
	holder      *fleetHolder            // nil if this member does not hold the fleet

	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	servers []*http.Server
}

// owned is a pool that this member runs.
type owned struct {
	owner  *owner.Owner
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a process; Start starts it.
func New(c Config) *Process {
	s := c.Settings
	store := platform.NewStore(s.StoreAddr, platform.NewHTTPClient(storeConns))
	p := &Process{
		Config: c, direct: store.Table(), calls: platform.NewWorkers(platform.NewHTTPClient(workerConns)).Calls(),
		members: &memberClient{http: platform.NewHTTPClient(memberConns)}, metrics: newMetrics(c.Dropped),
		tenures: map[fleet.PoolID]*rowstore.Tenure{}, owners: map[fleet.PoolID]*owned{}, vacant: map[fleet.PoolID]clock.Millis{}, weakTenures: map[fleet.PoolID]weakTenure{},
		formerly: map[fleet.QueueID][]fleet.PoolID{}, workers: map[fleet.InstanceID]*platform.Registration{}, waves: map[int]seenWave{}, avoid: map[string]clock.Millis{},
	}
	detour := &rowstore.Detour{Direct: p.direct, Other: p.relayed, Clock: c.Clock, Used: p.metrics.detours.Inc}
	p.table = detour.Table()
	if s.MachinesAddr.IsValid() {
		p.machines = platform.NewMachines(s.MachinesAddr, platform.NewHTTPClient(machineConns)).Calls()
	}
	if s.AdviceAddr.IsValid() {
		p.advise = platform.NewAdviser(s.AdviceAddr, platform.NewHTTPClient(adviceConns)).Advise
	}
	p.machinesSeen.name = "machines"
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Start opens the listeners and begins to follow the store.
func (p *Process) Start() error {
	s := p.Settings
	limitMemory(s)
	registry := prometheus.NewRegistry()
	registry.MustRegister(p.metrics.collectors()...)
	internal := http.NewServeMux()
	internal.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	internal.HandleFunc("GET /debug/state", p.serveDump)
	p.operatorRoutes(internal)
	internal.Handle("/v1/queues/", p.jobs())
	for _, l := range []struct {
		name    string
		address string
		handler http.Handler
	}{
		{"callers", s.CallerAddr.String(), p.front()},
		{"ready", s.ReadyAddr.String(), http.HandlerFunc(p.serveReady)},
		{"members", p.memberAddress(), p.memberHandler()},
		{"metrics", fmt.Sprintf("%s:%d", s.IP, s.MetricsPort), internal},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return eris.Wrapf(err, "hosted: listener for %s", l.name)
		}
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 60 * time.Second, ErrorLog: slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug)}
		p.servers = append(p.servers, server)
		p.wg.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				p.Log.Error("hosted: listener failed", "listener", l.name, "err", err)
			}
		})
	}
	p.wg.Go(func() { p.followConfig(p.ctx) })
	p.wg.Go(func() { p.followTenures(p.ctx) })
	p.wg.Go(func() { p.followWorkers(p.ctx) })
	p.wg.Go(func() { p.reportPools(p.ctx) })
	p.Log.Info("hosted: started", "member", s.Member, "zone", s.Zone, "callers", s.CallerAddr.String(), "members", p.memberAddress(), "store", s.StoreAddr.String())
	return nil
}

// Reload takes new settings in. The memory limit takes effect at once, addresses at the next
// start.
func (p *Process) Reload(s *platform.Settings) { limitMemory(s) }

// limitMemory keeps the heap under its share of the platform's limit.
func limitMemory(s *platform.Settings) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
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

// Times of a planned stop: the platform asks for readiness once a second and takes a member
// out of rotation after two misses; then the calls in progress end.
const (
	leaveRotation = 2300 * time.Millisecond
	finishCalls   = 2500 * time.Millisecond
)

// Shutdown hands the pools over at once, leaves the rotation, finishes calls and stops.
func (p *Process) Shutdown() {
	p.closing.Store(true)
	p.Log.Info("hosted: stopping", "member", p.Settings.Member)
	p.handOver()
	time.Sleep(leaveRotation)
	ctx, cancel := context.WithTimeout(context.Background(), finishCalls)
	defer cancel()
	if err := p.servers[0].Shutdown(ctx); err != nil {
		p.Log.Warn("hosted: calls were cut by the stop", "err", err)
	}
	p.cancel()
	for _, s := range p.servers[1:] {
		_ = s.Close()
	}
	p.Log.Info("hosted: stopped", "member", p.Settings.Member)
}

// Close cuts everything off at once. The pools are not handed over: other members take them
// over after the term, as after a crash.
func (p *Process) Close() {
	p.closing.Store(true)
	p.crashed.Store(true)
	p.cancel()
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.wg.Wait()
}

// handOver ends the own tenures, so that others can take the pools over.
func (p *Process) handOver() {
	p.mu.Lock()
	var list []*owned
	for _, o := range p.owners {
		o.cancel()
		list = append(list, o)
	}
	holder := p.holder
	p.mu.Unlock()
	if holder != nil {
		holder.cancel()
		<-holder.done
	}
	for _, o := range list {
		<-o.done
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d clock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
