package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/fleet/target"
	"citronknot/peer"
	"citronknot/pool"
	"citronknot/rowstore"
)

// Process is one running citronknotd.
type Process struct {
	settings   Settings
	log        *slog.Logger
	clock      clock.Clock
	metrics    *caller.Metrics
	current    fleet.Current
	assigned   fleet.Assignments
	list       rowstore.Presence
	place      place
	gone       goneMembers
	serving    snapshots
	client     *rowstore.Client
	members    *rowstore.Members
	escrow     *rowstore.Escrow
	denied     chan struct{} // a team was denied a start
	waiting    atomic.Pointer[map[fleet.TeamID]int]
	lending    chan struct{} // idle slots are wanted elsewhere
	claims     *rowstore.Claims
	fleetLease *rowstore.Lease

	assignments *rowstore.Assignments
	zones       zones
	zoneLease   *rowstore.Lease
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
	p.client = &rowstore.Client{URL: s.Platform, Zone: fleet.ZoneID(s.Zone)}
	p.connectPlatform()
	p.connectPeers()
	p.connectTargets()
	p.connectController()
	p.callers, p.operators, p.peers = p.callerServer(), p.operatorServer(), p.peerServer()
	return p, nil
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
	p.goRun(func() { p.housekeep(ctx) })
	p.goRun(func() { p.followZones(ctx) })
	p.goRun(func() { p.zoneLease.Run(ctx) })
	p.goRun(func() { p.controller.Run(ctx) })
	expiry := &rowstore.ClaimExpiry{Table: p.client.Table(), Clock: p.clock, Lease: p.fleetLease, Teams: p.claimTeams}
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
