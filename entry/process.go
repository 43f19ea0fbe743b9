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
	"citronknot/target"
)

// Process is one running citronknotd.
type Process struct {
	settings   Settings
	log        *slog.Logger
	clock      clock.Clock
	current    fleet.Current
	client     *platform.Client
	follower   *peer.Follower
	limits     teamCounts
	list       instanceList
	serving    snapshots
	admission  *caller.Admission
	dispatcher *target.Dispatcher

	callers   *http.Server
	operators *http.Server
	ready     atomic.Bool
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
	p := &Process{settings: s, log: log}
	p.client = &platform.Client{URL: s.Platform, Zone: fleet.ZoneID(s.Zone)}
	configLog := &platform.ConfigLog{Table: p.client.Table()}
	p.follower = &peer.Follower{Clock: p.clock, Log: configLog, Current: &p.current, Logger: log}
	p.serving = snapshots{current: &p.current, list: &p.list, members: s.Members, rank: rankOf(s.Member, s.Members)}
	p.dispatcher = &target.Dispatcher{Clock: p.clock, Zone: fleet.ZoneID(s.Zone), Serving: p.serving.of}
	p.limits.portion = p.portion
	p.admission = &caller.Admission{Clock: p.clock, Slots: p.slots, TryStart: p.limits.tryStart, Finish: p.limits.finish}
	p.callers = p.callerServer()
	p.operators = p.operatorServer(configLog)
	return p, nil
}

func (p *Process) callerServer() *http.Server {
	s := &caller.Server{
		Clock: p.clock, Config: p.current.Load, Fresh: p.fresh, Acquire: p.admission.Acquire, Forward: p.forward, Log: p.log,
	}
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       time.Minute,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
}

func (p *Process) operatorServer(l *platform.ConfigLog) *http.Server {
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "citronknot_config_version", Help: "Version of the configuration in force.",
	}, func() float64 { return float64(p.current.Load().Version) }))
	s := &operator.Server{
		Credential: p.settings.Credential,
		Config:     p.current.Load,
		Accept:     l.Accept,
		Refresh:    p.follower.Refresh,
		Notes:      l.Notes,
		Dump:       func() any { return p.Dump() },
		Ready:      p.ready.Load,
		Metrics:    promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		Log:        p.log,
	}
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	}
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
	p.goRun(func() { p.list.run(ctx, p.client, p.log) })
	p.ready.Store(true)
	p.log.Info("entry: started", "member", p.settings.Member, "zone", p.settings.Zone)
	return nil
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
// callers' listener closes, then the last request ends.
func (p *Process) Shutdown(ctx context.Context) error {
	p.ready.Store(false)
	select {
	case <-time.After(p.settings.ShutdownDelay):
	case <-ctx.Done():
	}
	err := p.callers.Shutdown(ctx)
	p.stop()
	_ = p.operators.Close()
	p.running.Wait()
	p.log.Info("entry: stopped")
	return eris.Wrap(err, "entry: shutdown")
}

// Close stops the process at once and cuts what runs.
func (p *Process) Close() {
	p.stop()
	_ = p.callers.Close()
	_ = p.operators.Close()
	p.running.Wait()
}

// fresh reports whether the configuration is recent enough to accept the keys of a team.
func (p *Process) fresh(t fleet.Team) bool {
	age, ok := p.follower.Age()
	return ok && age <= max(clock.Of(p.settings.Staleness), t.MaxStaleness)
}

func (p *Process) forward(w http.ResponseWriter, r *http.Request, q *caller.Request) (caller.Outcome, error) {
	err := p.dispatcher.Forward(w, r, target.Request{
		ID: q.ID, Team: q.Team, Queue: q.Queue.ID, Pool: q.Queue.Pool, IdempotencyKey: q.IdempotencyKey,
		Idempotent: q.Queue.Idempotent, Deadline: q.Deadline,
	})
	if err == nil {
		return caller.Ran, nil
	}
	outcome := caller.Unknown
	var te *target.Error
	if errors.As(err, &te) && !te.Sent {
		outcome = caller.NotRun
	}
	return outcome, &caller.Problem{Status: http.StatusBadGateway, Title: "no answer from a target", Detail: err.Error(), Run: outcome}
}
