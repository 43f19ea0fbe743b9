package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/operator"
	"citronknot/peer"
	"citronknot/platform"
	"citronknot/pool"
	"citronknot/target"
)

// Process is one running citronknotd.
type Process struct {
	settings   Settings
	log        *slog.Logger
	clock      clock.Clock
	metrics    *caller.Metrics
	current    fleet.Current
	assigned   fleet.Assignments
	list       platform.Presence
	place      place
	gone       goneMembers
	serving    snapshots
	client     *platform.Client
	members    *platform.Members
	escrow     *platform.Escrow
	denied     chan struct{} // a team was denied a start
	waiting    atomic.Pointer[map[fleet.TeamID]int]
	lending    chan struct{} // idle slots are wanted elsewhere
	claims     *platform.Claims
	fleetLease *platform.Lease

	assignments *platform.Assignments
	zones       zones
	zoneLease   *platform.Lease
	controller  *pool.Controller
	heard       heardMembers
	demand      demand

	follower   *peer.Follower
	syncer     *peer.Syncer
	admission  *caller.Admission
	dispatcher *target.Dispatcher

	callers   *http.Server
	operators *http.Server
	peers     *http.Server
	accepting atomic.Bool // cleared when a planned stop begins
	stop      context.CancelFunc
	running   sync.WaitGroup
}

// New returns a process that is not started yet. It fails with *SettingError.
func New(s Settings, log *slog.Logger) (*Process, error) {
	if err := s.ReadCredentials(); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.PeerAddress == "" {
		s.PeerAddress = s.PeerAddr
	}
	p := &Process{settings: s, log: log, metrics: caller.NewMetrics(), denied: make(chan struct{}, 1), lending: make(chan struct{}, 1)}
	p.client = &platform.Client{URL: s.Platform, Zone: fleet.ZoneID(s.Zone)}
	p.connectPlatform()
	p.connectPeers()
	p.connectTargets()
	p.connectController()
	p.callers, p.operators, p.peers = p.callerServer(), p.operatorServer(), p.peerServer()
	return p, nil
}

func (p *Process) connectPlatform() {
	s, table := p.settings, p.client.Table()
	p.members = &platform.Members{
		Table: table, Clock: p.clock, Gone: p.list.Gone,
		Self: platform.Member{
			ID: fleet.MemberID(s.Member), Zone: fleet.ZoneID(s.Zone),
			CallerAddr: s.CallerAddr, OperatorAddr: s.OperatorAddr, PeerAddr: s.PeerAddress,
		},
	}
	p.escrow = &platform.Escrow{
		Table: table, Clock: p.clock, Members: p.members, Zone: fleet.ZoneID(s.Zone), Config: p.current.Load,
		Waiting: p.waitingOf,
	}
	p.claims = &platform.Claims{Table: table, Clock: p.clock, Self: p.members.Self.ID}
	p.fleetLease = &platform.Lease{Table: table, Clock: p.clock, Name: "fleet", Self: p.members.Self.ID}
}

func (p *Process) connectPeers() {
	p.follower = &peer.Follower{
		Clock: p.clock, Log: &platform.ConfigLog{Table: p.client.Table()}, Current: &p.current, Logger: p.log,
		Changed:  func() { p.syncer.Changed() },
		Snapshot: (&platform.Snapshots{Table: p.client.Table(), Objects: p.client.Objects()}).Load,
	}
	scheme := "http"
	if p.settings.PeerCert != "" {
		scheme = "https"
	}
	client := &peer.Client{
		Credential: p.settings.PeerCredential, Scheme: scheme, HTTP: &http.Client{Transport: peer.NewTransport()},
	}
	p.syncer = &peer.Syncer{
		Self: p.members.Self.ID, Zone: p.members.Self.Zone, Clock: p.clock, Logger: p.log,
		// A restarted member has to be newer than before. It has no disk, so the wall clock says so.
		Epoch:    uint64(p.clock.Wall()),
		Follower: p.follower, Assignments: &p.assigned, Members: p.roster, Load: p.ownLoad, Call: client.Call,
		Targets: p.inFlight,
	}
}

func (p *Process) connectTargets() {
	p.serving = snapshots{
		current: &p.current, assignments: &p.assigned, list: &p.list, place: &p.place,
		stale: p.zones.stale,
	}
	p.dispatcher = &target.Dispatcher{Clock: p.clock, Zone: p.members.Self.Zone, Serving: p.serving.of}
	p.admission = &caller.Admission{
		Clock: p.clock, Slots: p.serving.slots, Loads: p.view, Share: p.share, TryStart: p.tryStart, Finish: p.escrow.Finish,
	}
}

func (p *Process) callerServer() *http.Server {
	s := &caller.Server{
		Clock: p.clock, Config: p.current.Load, Fresh: p.fresh, Acquire: p.admission.Acquire, Claim: p.claim,
		Forward: p.forward, Log: p.log, Metrics: p.metrics,
	}
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       time.Minute,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    caller.MaxHeaderBytes,
	}
}

func (p *Process) operatorServer() *http.Server {
	registry := prometheus.NewRegistry()
	registry.MustRegister(p.metrics.Collectors()...)
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "citronknot_config_version", Help: "Version of the configuration in force.",
	}, func() float64 { return float64(p.current.Load().Version) }))
	s := &operator.Server{
		Credential: p.settings.Credential,
		Config:     p.current.Load,
		Accept:     p.accept,
		Refresh:    p.follower.Refresh,
		Notes:      p.follower.Log.Notes,
		Placement:  p.placement,
		SetDrain:   p.controller.SetDrain,
		Dump:       func() any { return p.Dump() },
		Ready:      p.ready,
		Metrics:    promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		Log:        p.log,
	}
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	}
}

func (p *Process) peerServer() *http.Server {
	s := &peer.Server{Credential: p.settings.PeerCredential, Answer: p.syncer.Answer}
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 10 * time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	}
}

// accept appends a release note to the log, unless some member may not know of this one yet.
func (p *Process) accept(ctx context.Context, n fleet.ReleaseNote) (fleet.Version, error) {
	if !p.members.MayAccept() {
		// The others' acknowledgments may be newer than the last read of the list.
		if err := p.members.Refresh(ctx); err != nil {
			return 0, err
		}
	}
	if !p.members.MayAccept() {
		return 0, &platform.UnavailableError{Op: "accept", Err: eris.New("this member is not known to all members yet; try another one")}
	}
	return p.follower.Accept(ctx, n)
}

// ready reports whether the balancer should send requests here. A member that starts reads its
// zone's assignment before it routes, because hand-overs do not wait for it.
func (p *Process) ready() bool {
	_, known := p.follower.Age()
	_, read := p.zones.read(p.members.Self.Zone)
	return p.accepting.Load() && known && read && p.members.Live()
}

// Start opens the listeners and starts the background work.
func (p *Process) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	for _, l := range []struct {
		server    *http.Server
		addr      string
		cert, key flags.Filename
	}{
		{p.callers, p.settings.CallerAddr, p.settings.CallerCert, p.settings.CallerKey},
		{p.operators, p.settings.OperatorAddr, p.settings.OperatorCert, p.settings.OperatorKey},
		{p.peers, p.settings.PeerAddr, p.settings.PeerCert, p.settings.PeerKey},
	} {
		listener, err := p.listen(l.addr, l.cert, l.key)
		if err != nil {
			cancel()
			return err
		}
		p.goRun(func() {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				p.log.Error("entry: listener failed", "addr", l.addr, "err", err)
			}
		})
	}
	p.goRun(func() { p.follower.Run(ctx) })
	p.goRun(func() { p.followList(ctx) })
	p.goRun(func() { p.members.Run(ctx) })
	p.goRun(func() { p.rebalance(ctx) })
	p.goRun(func() { p.claims.Run(ctx) })
	p.goRun(func() { p.fleetLease.Run(ctx) })
	p.goRun(func() { p.tend(ctx) })
	p.goRun(func() { p.followZones(ctx) })
	p.goRun(func() { p.zoneLease.Run(ctx) })
	p.goRun(func() { p.controller.Run(ctx) })
	expiry := &platform.ClaimExpiry{Table: p.client.Table(), Clock: p.clock, Lease: p.fleetLease, Teams: p.claimTeams}
	p.goRun(func() { expiry.Run(ctx) })
	p.goRun(func() { p.syncer.Run(ctx) })
	p.goRun(func() { p.tick(ctx) })
	p.accepting.Store(true)
	p.log.Info("entry: started", "member", p.settings.Member, "zone", p.settings.Zone)
	return nil
}

// tickEvery is the time between two looks at the members and at the admission of waiting
// requests, whose portions follow the peers' load summaries.
const tickEvery = 250 * time.Millisecond

func (p *Process) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		p.updatePlace()
		if p.zones.update(p.allZones(), p.members.Live()) {
			p.place.bump()
		}
		p.lend()
		p.dispatcher.SetPeers(p.peersInFlight())
		p.admission.Wake()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// listen opens a listener, with TLS if a certificate is set.
func (p *Process) listen(addr string, cert, key flags.Filename) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil || cert == "" {
		return listener, eris.Wrap(err, "entry: listen")
	}
	files := &CertificateFiles{Cert: string(cert), Key: string(key), Clock: p.clock, Log: p.log}
	config, err := files.Config()
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, config), nil
}

func (p *Process) goRun(f func()) {
	p.running.Go(f)
}

// Shutdown stops the process without cutting a request: readiness fails first, then the
// callers' listener closes, then the last request ends, then the portions are returned.
func (p *Process) Shutdown(ctx context.Context) error {
	p.accepting.Store(false)
	select {
	case <-time.After(p.settings.ShutdownDelay):
	case <-ctx.Done():
	}
	err := p.callers.Shutdown(ctx)
	if err == nil {
		returning, cancel := context.WithTimeout(ctx, returnBound)
		p.returnPortions(returning)
		cancel()
	}
	p.Close()
	p.log.Info("entry: stopped")
	return eris.Wrap(err, "entry: shutdown")
}

// returnBound bounds the return of portions on a planned stop: while the store is down they
// stay with this member until they are reclaimed.
const returnBound = 5 * time.Second

// Close stops the process at once and cuts what runs.
func (p *Process) Close() {
	p.stop()
	for _, s := range []*http.Server{p.callers, p.operators, p.peers} {
		_ = s.Close()
	}
	p.running.Wait()
	p.dispatcher.Close()
}
