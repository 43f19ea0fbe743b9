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

// Process is the process of an entry instance, as citronknotd runs it.
type Process struct {
	settings      Settings
	log           *slog.Logger
	clock         clock.Clock
	metrics       *caller.Metrics
	current       fleet.Current     // configuration in force
	assigned      fleet.Assignments // zone assignments in use
	instances     rowstore.Presence // states of the instances in the platform's list
	ranking       ranking
	gone          goneMembers
	serving       snapshots
	client        *rowstore.Client
	members       *rowstore.Members
	escrow        *rowstore.Escrow
	startDenied   chan struct{}                        // requests an early round of rebalancing after a denied start
	waitingByTeam atomic.Pointer[map[fleet.TeamID]int] // waiting requests; nil before the first round
	slotsWanted   chan struct{}                        // requests an early round because another member needs idle slots
	claims        *rowstore.Claims
	fleetLease    *rowstore.Lease

	assignments *rowstore.Assignments
	zones       zoneAssignments
	zoneLease   *rowstore.Lease
	controller  *pool.Controller
	contacts    memberContacts
	demand      demandCounters

	follower   *peer.Follower
	syncer     *peer.Syncer
	admission  *caller.Admission
	dispatcher *target.Dispatcher

	callerServer   *http.Server
	operatorServer *http.Server
	peerServer     *http.Server
	accepting      atomic.Bool // cleared when a graceful shutdown begins
	cancel         context.CancelFunc
	background     sync.WaitGroup
}

// New returns a process that is not started yet. Its error is a *SettingError.
func New(s Settings, log *slog.Logger) (*Process, error) {
	if err := s.ReadCredentials(); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.PeerAdvertiseAddr == "" {
		s.PeerAdvertiseAddr = s.PeerAddr
	}
	p := &Process{settings: s, log: log, metrics: caller.NewMetrics(), startDenied: make(chan struct{}, 1), slotsWanted: make(chan struct{}, 1)}
	p.client = &rowstore.Client{URL: s.Platform, Zone: fleet.ZoneID(s.Zone)}
	p.connectPlatform()
	p.connectPeers()
	p.connectTargets()
	p.connectController()
	p.callerServer, p.operatorServer, p.peerServer = p.newCallerServer(), p.newOperatorServer(), p.newPeerServer()
	return p, nil
}

// Start opens the listeners and starts the background work. It returns an error if a listener
// can't be opened or its certificate can't be used.
func (p *Process) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	for _, l := range []struct {
		server    *http.Server
		addr      string
		cert, key flags.Filename
	}{
		{p.callerServer, p.settings.CallerAddr, p.settings.CallerCert, p.settings.CallerKey},
		{p.operatorServer, p.settings.OperatorAddr, p.settings.OperatorCert, p.settings.OperatorKey},
		{p.peerServer, p.settings.PeerAddr, p.settings.PeerCert, p.settings.PeerKey},
	} {
		listener, err := p.listen(l.addr, l.cert, l.key)
		if err != nil {
			cancel()
			return err
		}
		p.runInBackground(func() {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				p.log.Error("entry: listener failed", "addr", l.addr, "err", err)
			}
		})
	}
	p.runInBackground(func() { p.follower.Run(ctx) })
	p.runInBackground(func() { p.followInstances(ctx) })
	p.runInBackground(func() { p.members.Run(ctx) })
	p.runInBackground(func() { p.rebalance(ctx) })
	p.runInBackground(func() { p.claims.Run(ctx) })
	p.runInBackground(func() { p.fleetLease.Run(ctx) })
	p.runInBackground(func() { p.housekeep(ctx) })
	p.runInBackground(func() { p.followZones(ctx) })
	p.runInBackground(func() { p.zoneLease.Run(ctx) })
	p.runInBackground(func() { p.controller.Run(ctx) })
	expiry := &rowstore.ClaimExpiry{Table: p.client.Table(), Clock: p.clock, Lease: p.fleetLease, Teams: p.claimTeams}
	p.runInBackground(func() { expiry.Run(ctx) })
	p.runInBackground(func() { p.syncer.Run(ctx) })
	p.runInBackground(func() { p.refresh(ctx) })
	p.accepting.Store(true)
	p.log.Info("entry: started", "member", p.settings.Member, "zone", p.settings.Zone)
	return nil
}

// refreshInterval is the time between two updates of what is derived from the list of members
// and from their load summaries. The portions of the admission follow these summaries.
const refreshInterval = 250 * time.Millisecond

// refresh updates the ranking, the expired zones, the peers' requests in flight and the
// admission of waiting requests at each refreshInterval until ctx ends.
func (p *Process) refresh(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		p.updateRanking()
		if p.zones.update(p.allZones(), p.members.Live()) {
			p.ranking.invalidate()
		}
		p.offerIdleSlots()
		p.dispatcher.SetPeerInFlight(p.peersInFlight())
		p.admission.RefreshAll()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runInBackground runs f in a goroutine for which Close waits.
func (p *Process) runInBackground(f func()) {
	p.background.Go(f)
}

// Shutdown stops the process without interrupting requests. It fails readiness, waits for the
// shutdown delay, closes the callers' listener, waits for the running requests and returns the
// portions. It returns an error if ctx ends before the last request; such requests are
// interrupted.
func (p *Process) Shutdown(ctx context.Context) error {
	p.accepting.Store(false)
	select {
	case <-time.After(p.settings.ShutdownDelay):
	case <-ctx.Done():
	}
	err := p.callerServer.Shutdown(ctx)
	if err == nil {
		returnCtx, cancel := context.WithTimeout(ctx, returnTimeout)
		p.returnPortions(returnCtx)
		cancel()
	}
	p.Close()
	p.log.Info("entry: stopped")
	return eris.Wrap(err, "entry: shutdown")
}

// returnTimeout bounds the return of portions during a graceful shutdown. If the table service
// is unavailable, the portions stay with this member until they are reclaimed.
const returnTimeout = 5 * time.Second

// Close stops the process at once and interrupts running requests.
func (p *Process) Close() {
	p.cancel()
	for _, s := range []*http.Server{p.callerServer, p.operatorServer, p.peerServer} {
		_ = s.Close()
	}
	p.background.Wait()
	p.dispatcher.Close()
}
