package entry

import (
	"sync"
	"sync/atomic"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/peer"
)

// ranking is the number of registered members and the rank of this member among them.
type ranking struct {
	version atomic.Uint64 // incremented with each change

	mu      sync.Mutex
	rank    int
	members int
}

func (r *ranking) load() (rank, members int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rank, max(1, r.members)
}

func (r *ranking) store(rank, members int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rank != rank || r.members != members {
		r.rank, r.members = rank, members
		r.version.Add(1)
	}
}

// invalidate makes the snapshots that were computed from the ranking be computed again.
func (r *ranking) invalidate() { r.version.Add(1) }

// updateRanking computes the ranking, without the members that the platform lists as gone.
// Every member orders the list by id.
func (p *Process) updateRanking() {
	rank, n := 0, 0
	for _, m := range p.members.List() {
		if p.instances.Gone(m.ID) {
			continue
		}
		if m.ID == p.members.Self.ID {
			rank = n
		}
		n++
	}
	p.ranking.store(rank, n)
}

// roster returns the registered members with which to exchange state.
func (p *Process) roster() peer.Roster {
	// The time of the read is taken before the list: if a newer list is read in between, the
	// time is too old, which is safe.
	read, known := p.members.ListReadAt()
	r := peer.Roster{ReadAt: read, HasRead: known}
	for _, m := range p.members.List() {
		r.Members = append(r.Members, peer.Member{
			ID: m.ID, Zone: m.Zone, Address: m.PeerAddr, Gone: p.instances.Gone(m.ID), GoneSince: p.goneSince(m.ID),
		})
	}
	return r
}

// goneSince returns when this process first found a member gone in the platform's list, or the
// zero mark if it is not gone.
func (p *Process) goneSince(id fleet.MemberID) clock.Mark {
	p.gone.mu.Lock()
	defer p.gone.mu.Unlock()
	if !p.instances.Gone(id) {
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

// goneMembers holds the time at which each member was first found gone.
type goneMembers struct {
	mu    sync.Mutex
	since map[fleet.MemberID]clock.Mark
}
