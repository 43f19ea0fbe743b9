package entry

import (
	"sync"
	"sync/atomic"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/peer"
)

// place is this member's rank among the registered members.
type place struct {
	version atomic.Uint64 // counts changes

	mu      sync.Mutex
	rank    int
	members int
}

func (p *place) load() (rank, members int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rank, max(1, p.members)
}

func (p *place) store(rank, members int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rank != rank || p.members != members {
		p.rank, p.members = rank, members
		p.version.Add(1)
	}
}

// bump makes what is computed from the place be computed again.
func (p *place) bump() { p.version.Add(1) }

// updatePlace computes the rank from the members that the platform's list does not show as
// gone. All members order them by id.
func (p *Process) updatePlace() {
	rank, n := 0, 0
	for _, m := range p.members.List() {
		if p.list.Gone(m.ID) {
			continue
		}
		if m.ID == p.members.Self.ID {
			rank = n
		}
		n++
	}
	p.place.store(rank, n)
}

// roster returns the registered members for the exchange with peers.
func (p *Process) roster() peer.Roster {
	// The time of the read comes first: a list that is read in between is newer than it.
	read, known := p.members.ListRead()
	r := peer.Roster{Read: read, Known: known}
	for _, m := range p.members.List() {
		r.Members = append(r.Members, peer.Member{
			ID: m.ID, Zone: m.Zone, Address: m.PeerAddr, Gone: p.list.Gone(m.ID), GoneSince: p.goneSince(m.ID),
		})
	}
	return r
}

// goneSince returns when this process first saw that a member is gone.
func (p *Process) goneSince(id fleet.MemberID) clock.Mark {
	p.gone.mu.Lock()
	defer p.gone.mu.Unlock()
	if !p.list.Gone(id) {
		delete(p.gone.since, id)
		return clock.Mark{}
	}
	if p.gone.since == nil {
		p.gone.since = map[fleet.MemberID]clock.Mark{}
	}
	m, ok := p.gone.since[id]
	if !ok {
		m = p.clock.Mark()
		p.gone.since[id] = m
	}
	return m
}

// goneMembers remembers when members were first seen to be gone.
type goneMembers struct {
	mu    sync.Mutex
	since map[fleet.MemberID]clock.Mark
}
