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
	// assignmentsEvery is the time between two reads of the own zone's assignment.
	assignmentsEvery = time.Second
	// othersEvery is the number of those reads after which the other zones are read, too.
	othersEvery = 3
	// routeLapse is the age from which another zone's assignment is too old to route by. The
	// own zone's lapses with the member's term: a zone that is cut off goes on serving for an hour.
	routeLapse clock.Millis = 10_000
	// releaseAfter is the time after which no member of another zone routes by an older
	// assignment, and its load summary was counted after that: the lapse, a fifth of it for clocks
	// that run at different rates, and 7 s for the oldest summary that counts as news.
	releaseAfter clock.Millis = 19_000
)

// zones reads the assignments of all zones and knows how old they are.
type zones struct {
	own   fleet.ZoneID
	clock clock.Clock

	mu        sync.Mutex
	rows      map[fleet.ZoneID]*rowstore.ZoneRows
	confirmed map[fleet.ZoneID]clock.Mark
	lapses    fleet.Lapses
	published []publishedVersion // of the own zone, oldest first
}

// publishedVersion is a version of the own zone with the time at which this process saw it.
type publishedVersion struct {
	version fleet.Version
	seen    clock.Mark
}

// stale reports whether a zone's assignment is too old to route by (I2).
func (z *zones) stale(zone fleet.ZoneID) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.lapses.Lapsed(zone)
}

// update computes which zones have lapsed and reports whether that changed. The own zone's
// assignment lapses with the member's term, after which hand-overs do not wait for it.
func (z *zones) update(all []fleet.ZoneID, live bool) (changed bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, id := range all {
		at, known := z.confirmed[id]
		lapsed := !known || z.clock.AtLeast(at) > routeLapse
		if id == z.own {
			lapsed = !live
		}
		changed = z.lapses.Set(id, lapsed) || changed
	}
	return changed
}

// read returns what is known of a zone.
func (z *zones) read(zone fleet.ZoneID) (rows *rowstore.ZoneRows, known bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	_, known = z.confirmed[zone]
	return z.rows[zone], known
}

// store takes in the rows of a zone that were read by a request sent at sent.
func (z *zones) store(rows *rowstore.ZoneRows, sent clock.Mark) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.rows == nil {
		z.rows, z.confirmed = map[fleet.ZoneID]*rowstore.ZoneRows{}, map[fleet.ZoneID]clock.Mark{}
	}
	z.rows[rows.Zone], z.confirmed[rows.Zone] = rows, sent
	if rows.Zone != z.own {
		return
	}
	if n := len(z.published); n == 0 || z.published[n-1].version < rows.Version {
		z.published = append(z.published, publishedVersion{rows.Version, z.clock.Mark()})
	}
	// Of the versions that are old enough only the newest matters.
	for len(z.published) > 1 && z.clock.AtMost(z.published[1].seen) > releaseAfter {
		z.published = z.published[1:]
	}
}

// released returns the newest version of the own zone that every member of another zone has
// confirmed or has lapsed on.
func (z *zones) released() fleet.Version {
	z.mu.Lock()
	defer z.mu.Unlock()
	var v fleet.Version
	for _, p := range z.published {
		if z.clock.AtMost(p.seen) > releaseAfter {
			v = p.version
		}
	}
	return v
}

// sinceNewest returns the time since this process first saw the newest version of the own zone.
func (z *zones) sinceNewest() clock.Millis {
	z.mu.Lock()
	defer z.mu.Unlock()
	if len(z.published) == 0 {
		return 0
	}
	return z.clock.AtMost(z.published[len(z.published)-1].seen)
}

// followZones reads the assignments until ctx ends.
func (p *Process) followZones(ctx context.Context) {
	ticker := time.NewTicker(assignmentsEvery)
	defer ticker.Stop()
	for n := 0; ; n++ {
		for _, zone := range p.allZones() {
			if zone == p.members.Self.Zone || n%othersEvery == 0 {
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

func (p *Process) readZone(ctx context.Context, zone fleet.ZoneID) {
	known, _ := p.zones.read(zone)
	sent := p.clock.Mark()
	rows, err := p.assignments.Read(ctx, zone, known)
	if err != nil {
		if ctx.Err() == nil {
			p.log.Warn("entry: assignment not read", "zone", zone, "err", err)
		}
		return
	}
	p.zones.store(rows, sent)
	p.publish(rows.Assignment())
}

func (p *Process) publish(a *fleet.Assignment) {
	if p.syncer.Publish(a) {
		p.log.Info("entry: assignment applied", "zone", a.Zone, "version", a.Version)
	}
}

// allZones returns the own zone and those of all instances.
func (p *Process) allZones() []fleet.ZoneID {
	all := []fleet.ZoneID{p.members.Self.Zone}
	for _, in := range p.current.Load().Instances {
		if !slices.Contains(all, in.Zone) {
			all = append(all, in.Zone)
		}
	}
	return all
}

func (p *Process) placement(in fleet.Instance) fleet.Placement {
	return p.assigned.Load(in.Zone).Of(in)
}

// connectController makes the controller that acts while this member holds its zone's lease.
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

// routers returns every registered member with the version of the own zone that it routes by.
func (p *Process) routers(ctx context.Context) ([]pool.Member, error) {
	if err := p.members.Refresh(ctx); err != nil {
		return nil, err
	}
	released := p.zones.released()
	// A member that is silent towards this one may still read the table service, so its right to
	// route by an older version ends its term after the newest one, not after its last news.
	newest := p.zones.sinceNewest()
	summaries := map[fleet.MemberID]peer.Summary{}
	for _, sum := range p.syncer.Summaries() {
		summaries[sum.Member] = sum
	}
	var out []pool.Member
	for _, m := range p.members.List() {
		sum, heard := summaries[m.ID]
		r := pool.Member{
			ID: m.ID, Zone: m.Zone, Gone: p.list.Gone(m.ID),
			Silent: min(newest, p.heard.silent(m.ID, heard, p.clock)),
		}
		if heard {
			r.InFlight, r.Confirmed = sum.Targets, sum.Assignment
		}
		if heard && m.Zone != p.members.Self.Zone {
			r.Confirmed = released
		}
		out = append(out, r)
	}
	return out, nil
}

// heardMembers remembers when members were last heard of.
type heardMembers struct {
	mu sync.Mutex
	at map[fleet.MemberID]clock.Mark
}

// silent returns the time since a member was last heard of, or since this process first knew
// of it. heard is set if there is news of it now.
func (h *heardMembers) silent(id fleet.MemberID, heard bool, c clock.Clock) clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = map[fleet.MemberID]clock.Mark{}
	}
	at, known := h.at[id]
	if heard || !known {
		at = c.Mark()
		h.at[id] = at
	}
	return c.AtMost(at)
}
