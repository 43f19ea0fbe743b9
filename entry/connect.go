package entry

import (
	"net/http"

	"citronknot/caller"
	"citronknot/fleet"
	"citronknot/fleet/target"
	"citronknot/peer"
	"citronknot/rowstore"
)

// connectPlatform creates the clients of the platform's table service.
func (p *Process) connectPlatform() {
	s, table := p.settings, p.client.Table()
	p.members = &rowstore.Members{
		Table: table, Clock: p.clock, Gone: p.instances.Gone,
		Self: rowstore.Member{
			ID: fleet.MemberID(s.Member), Zone: fleet.ZoneID(s.Zone),
			CallerAddr: s.CallerAddr, OperatorAddr: s.OperatorAddr, PeerAddr: s.PeerAdvertiseAddr,
		},
	}
	p.escrow = &rowstore.Escrow{
		Table: table, Clock: p.clock, Members: p.members, Zone: fleet.ZoneID(s.Zone), Config: p.current.Load,
		Waiting: p.waitingRequests,
	}
	p.claims = &rowstore.Claims{Table: table, Clock: p.clock, Self: p.members.Self.ID}
	p.fleetLease = &rowstore.Lease{Table: table, Clock: p.clock, Name: "fleet", Self: p.members.Self.ID}
}

// connectPeers creates the follower of the configuration log and the exchange of state with the
// other members.
func (p *Process) connectPeers() {
	p.follower = &peer.Follower{
		Clock: p.clock, ConfigLog: &rowstore.ConfigLog{Table: p.client.Table()}, Current: &p.current, Logger: p.log,
		Changed:  func() { p.syncer.Changed() },
		Snapshot: (&rowstore.Snapshots{Table: p.client.Table(), Objects: p.client.Objects()}).Load,
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
		// The epoch must rise with each restart. A member keeps no data on disk, so the epoch
		// is the wall clock.
		Epoch:    uint64(p.clock.Wall()),
		Follower: p.follower, Assignments: &p.assigned, Members: p.roster, Load: p.ownLoad, Call: client.Call,
		Targets: p.inFlight,
	}
}

// connectTargets creates the dispatcher to the targets and the admission of requests.
func (p *Process) connectTargets() {
	p.serving = snapshots{
		current: &p.current, assignments: &p.assigned, instances: &p.instances, ranking: &p.ranking,
		expired: p.zones.isExpired,
	}
	p.dispatcher = &target.Dispatcher{Clock: p.clock, Zone: p.members.Self.Zone, Snapshot: p.serving.snapshot}
	p.admission = &caller.Admission{
		Clock: p.clock, Slots: p.serving.slots, Loads: p.poolView, Share: p.share, TryStart: p.tryStart, Finish: p.escrow.Finish,
	}
}
