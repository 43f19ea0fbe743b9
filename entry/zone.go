package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/peer"
	"citronknot/pool"
	"citronknot/rowstore"
)

const (
	// assignmentReadInterval is the time between two reads of the own zone's assignment.
	assignmentReadInterval = time.Second
	// readsPerOtherZoneRead is the number of reads of the own zone's assignment for each read
	// of the other zones.
	readsPerOtherZoneRead = 3
	// routeExpiry is the age above which another zone's assignment is too old to route by. The
	// own zone's assignment expires with the member's registration, so that a zone without
	// connection to the others keeps serving for an hour.
	routeExpiry clock.Millis = 10_000
	// releaseAge is the time after which no member of another zone routes by an older
	// assignment, and the load summaries in use were counted after that: routeExpiry, a fifth
	// of it for clocks that run at different rates, and 7 s as the maximum age of a summary in
	// use.
	releaseAge clock.Millis = 19_000
)

// zoneAssignments holds the newest assignments of all zones and the times at which they were
// read.
type zoneAssignments struct {
	own   fleet.ZoneID
	clock clock.Clock

	mu          sync.Mutex
	rows        map[fleet.ZoneID]*rowstore.ZoneRows
	readAt      map[fleet.ZoneID]clock.Mark
	expired     fleet.ExpiredZones
	ownVersions []observedVersion // versions of the own zone, oldest first
}

// observedVersion is a version of the own zone's assignment and the time at which this process
// first read it.
type observedVersion struct {
	version    fleet.Version
	observedAt clock.Mark
}

// isExpired reports whether a zone's assignment is too old to route by. Its instances may serve
// other pools by then, and an instance must not serve two pools (invariant I2).
func (z *zoneAssignments) isExpired(zone fleet.ZoneID) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.expired.Expired(zone)
}

// update computes which assignments have expired and reports whether that changed. The own
// zone's assignment expires with the member's registration, after which handovers of instances
// do not wait for this member.
func (z *zoneAssignments) update(all []fleet.ZoneID, memberLive bool) (changed bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, id := range all {
		at, known := z.readAt[id]
		expired := !known || z.clock.MaxElapsed(at) > routeExpiry
		if id == z.own {
			expired = !memberLive
		}
		changed = z.expired.Set(id, expired) || changed
	}
	return changed
}

// zoneRows returns the rows of a zone that were read last; known is false if none were read
// yet.
func (z *zoneAssignments) zoneRows(zone fleet.ZoneID) (rows *rowstore.ZoneRows, known bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	_, known = z.readAt[zone]
	return z.rows[zone], known
}

// store records the rows of a zone. sent is the time at which the request for them was sent.
func (z *zoneAssignments) store(rows *rowstore.ZoneRows, sent clock.Mark) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.rows == nil {
		z.rows, z.readAt = map[fleet.ZoneID]*rowstore.ZoneRows{}, map[fleet.ZoneID]clock.Mark{}
	}
	z.rows[rows.Zone], z.readAt[rows.Zone] = rows, sent
	if rows.Zone != z.own {
		return
	}
	if n := len(z.ownVersions); n == 0 || z.ownVersions[n-1].version < rows.Version {
		z.ownVersions = append(z.ownVersions, observedVersion{rows.Version, z.clock.Mark()})
	}
	// Of the versions older than releaseAge only the newest is needed.
	for len(z.ownVersions) > 1 && z.clock.MinElapsed(z.ownVersions[1].observedAt) > releaseAge {
		z.ownVersions = z.ownVersions[1:]
	}
}

// released returns the newest version of the own zone's assignment for which every member of
// another zone routes by that version or a newer one, or no longer routes because its copy
// expired.
func (z *zoneAssignments) released() fleet.Version {
	z.mu.Lock()
	defer z.mu.Unlock()
	var newest fleet.Version
	for _, observed := range z.ownVersions {
		if z.clock.MinElapsed(observed.observedAt) > releaseAge {
			newest = observed.version
		}
	}
	return newest
}

// sinceNewestVersion returns the time since this process first read the newest version of the
// own zone's assignment, or 0 before the first read.
func (z *zoneAssignments) sinceNewestVersion() clock.Millis {
	z.mu.Lock()
	defer z.mu.Unlock()
	if len(z.ownVersions) == 0 {
		return 0
	}
	return z.clock.MinElapsed(z.ownVersions[len(z.ownVersions)-1].observedAt)
}

// followZones reads the assignments of all zones until ctx ends.
func (p *Process) followZones(ctx context.Context) {
	ticker := time.NewTicker(assignmentReadInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		for _, zone := range p.allZones() {
			if zone == p.members.Self.Zone || n%readsPerOtherZoneRead == 0 {
				p.readZone(ctx, zone)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readZone reads the assignment of a zone and applies it.
func (p *Process) readZone(ctx context.Context, zone fleet.ZoneID) {
	known, _ := p.zones.zoneRows(zone)
	sent := p.clock.Mark()
	rows, err := p.assignments.Read(ctx, zone, known)
	if err != nil {
		if ctx.Err() == nil {
			p.log.Warn("entry: zone assignment not read", "zone", zone, "err", err)
		}
		return
	}
	p.zones.store(rows, sent)
	p.publish(rows.Assignment())
}

// publish applies an assignment and sends it to the other members, if it is newer than the one
// in use.
func (p *Process) publish(a *fleet.Assignment) {
	if p.syncer.Publish(a) {
		p.log.Info("entry: zone assignment applied", "zone", a.Zone, "version", a.Version)
	}
}

// allZones returns the own zone and the zones of all instances in the configuration.
func (p *Process) allZones() []fleet.ZoneID {
	all := []fleet.ZoneID{p.members.Self.Zone}
	for _, in := range p.current.Load().Instances {
		if !slices.Contains(all, in.Zone) {
			all = append(all, in.Zone)
		}
	}
	return all
}

// placement returns where the newest assignment places an instance.
func (p *Process) placement(in fleet.Instance) fleet.Placement {
	return p.assigned.Load(in.Zone).Of(in)
}

// connectController creates the pool controller of the zone, which acts while this member holds
// the lease of the zone.
func (p *Process) connectController() {
	zone := p.members.Self.Zone
	p.zones.own, p.zones.clock = zone, p.clock
	p.assignments = &rowstore.Assignments{Table: p.client.Table()}
	p.zoneLease = &rowstore.Lease{
		Table: p.client.Table(), Clock: p.clock, Name: "zone/" + string(zone), Self: p.members.Self.ID, Log: p.log,
	}
	p.controller = &pool.Controller{
		Zone: zone, Clock: p.clock, Assignments: p.assignments, Config: p.current.Load,
		Lease: func() (rowstore.Check, clock.Millis, bool) {
			fence, ok := p.zoneLease.Held()
			return fence, p.zoneLease.Left(), ok
		},
		Instances: p.client.Instances, Members: p.routers, Reboot: p.client.Reboot, Publish: p.publish, Log: p.log,
		Load: p.poolLoads, Weights: weights[p.settings.Weights],
	}
}

// routers returns every registered member with the version of the own zone's assignment by
// which it routes.
func (p *Process) routers(ctx context.Context) ([]pool.Member, error) {
	if err := p.members.Refresh(ctx); err != nil {
		return nil, err
	}
	released := p.zones.released()
	// A member that does not respond to this one may still read the table service, and then routes
	// by the newest version. If it cannot read the table service, it cannot renew its registration
	// either. Its right to route by an older version therefore ends one registration term
	// ([rowstore.EscrowTerm]) after the newest version was published, not one term after its last
	// load summary.
	newest := p.zones.sinceNewestVersion()
	summaries := map[fleet.MemberID]peer.Summary{}
	for _, summary := range p.syncer.Summaries() {
		summaries[summary.Member] = summary
	}
	var out []pool.Member
	for _, m := range p.members.List() {
		summary, inContact := summaries[m.ID]
		member := pool.Member{
			ID: m.ID, Zone: m.Zone, Gone: p.instances.Gone(m.ID),
			SinceObserved: min(newest, p.contacts.sinceContact(m.ID, inContact, p.clock)),
		}
		if inContact {
			member.InFlight, member.Confirmed = summary.Targets, summary.Assignment
		}
		if inContact && m.Zone != p.members.Self.Zone {
			member.Confirmed = released
		}
		out = append(out, member)
	}
	return out, nil
}

// memberContacts holds the time of the last load summary from each member.
type memberContacts struct {
	mu   sync.Mutex
	last map[fleet.MemberID]clock.Mark
}

// sinceContact returns the time since a member last responded, or since the first call for it.
// inContact is set if there is a recent load summary of the member.
func (m *memberContacts) sinceContact(id fleet.MemberID, inContact bool, c clock.Clock) clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.last == nil {
		m.last = map[fleet.MemberID]clock.Mark{}
	}
	at, known := m.last[id]
	if inContact || !known {
		at = c.Mark()
		m.last[id] = at
	}
	return c.MinElapsed(at)
}
