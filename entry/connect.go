package entry

import (
	"net/http"

	"citronknot/caller"
	"citronknot/fleet"
	"citronknot/fleet/target"
	"citronknot/peer"
	"citronknot/rowstore"
)

func (p *Process) connectPlatform() {
	s, table := p.settings, p.client.Table()
	p.members = &rowstore.Members{
		Table: table, Clock: p.clock, Gone: p.list.Gone,
		Self: rowstore.Member{
			ID: fleet.MemberID(s.Member), Zone: fleet.ZoneID(s.Zone),
			CallerAddr: s.CallerAddr, OperatorAddr: s.OperatorAddr, PeerAddr: s.PeerAddress,
		},
	}
	p.escrow = &rowstore.Escrow{
		Table: table, Clock: p.clock, Members: p.members, Zone: fleet.ZoneID(s.Zone), Config: p.current.Load,
		Waiting: p.waitingOf,
	}
	p.claims = &rowstore.Claims{Table: table, Clock: p.clock, Self: p.members.Self.ID}
	p.fleetLease = &rowstore.Lease{Table: table, Clock: p.clock, Name: "fleet", Self: p.members.Self.ID}
}

func (p *Process) connectPeers() {
	p.follower = &peer.Follower{
		Clock: p.clock, Log: &rowstore.ConfigLog{Table: p.client.Table()}, Current: &p.current, Logger: p.log,
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
