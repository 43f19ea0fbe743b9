package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"citronknot/caller"
	"citronknot/fleet"
	"citronknot/operator"
	"citronknot/peer"
	"citronknot/rowstore"
)

func (p *Process) newCallerServer() *http.Server {
	s := &caller.Server{
		Clock: p.clock, Config: p.current.Load, ConfigFresh: p.configFresh, Acquire: p.admission.Acquire, Claim: p.claim,
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

func (p *Process) newOperatorServer() *http.Server {
	registry := prometheus.NewRegistry()
	registry.MustRegister(p.metrics.Collectors()...)
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "citronknot_config_version", Help: "Version of the configuration in force.",
	}, func() float64 { return float64(p.current.Load().Version) }))
	s := &operator.Server{
		Credential: p.settings.OperatorCredential,
		Config:     p.current.Load,
		Accept:     p.accept,
		Refresh:    p.follower.Refresh,
		Notes:      p.follower.ConfigLog.Notes,
		Placement:  p.placement,
		SetDrain:   p.controller.SetDrain,

		DeclareZoneLost: p.declareZoneLost,

		Dump:    func() any { return p.Dump() },
		Ready:   p.ready,
		Metrics: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		Log:     p.log,
	}
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	}
}

func (p *Process) newPeerServer() *http.Server {
	s := &peer.Server{Credential: p.settings.PeerCredential, Respond: p.syncer.Respond}
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 10 * time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	}
}

// accept appends a release note to the configuration log. It returns *rowstore.UnavailableError
// while some member may not have recorded the registration of this one.
func (p *Process) accept(ctx context.Context, note fleet.ReleaseNote) (fleet.Version, error) {
	if !p.members.MayAccept() {
		// Other members may have acknowledged the registration since the list was last read.
		if err := p.members.Refresh(ctx); err != nil {
			return 0, err
		}
	}
	if !p.members.MayAccept() {
		return 0, &rowstore.UnavailableError{Op: "accept", Err: eris.New("this member is not known to all members yet; try another one")}
	}
	return p.follower.Submit(ctx, note)
}

// ready reports whether the load balancer should send requests to this member. A starting
// member first reads the assignment of its zone, because handovers of instances do not wait
// for it.
func (p *Process) ready() bool {
	_, known := p.follower.Age()
	_, read := p.zones.zoneRows(p.members.Self.Zone)
	return p.accepting.Load() && known && read && p.members.Live()
}

// listen opens a listener, which uses TLS if a certificate file is set.
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
