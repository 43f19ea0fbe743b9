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
		return 0, &rowstore.UnavailableError{Op: "accept", Err: eris.New("this member is not known to all members yet; try another one")}
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
