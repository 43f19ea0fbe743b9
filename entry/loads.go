package entry

import (
	"cmp"
	"maps"
	"slices"

	"citronknot/caller"
	"citronknot/fleet"
	"citronknot/peer"
)

// ownLoad returns this process's load for its peers.
func (p *Process) ownLoad() map[fleet.PoolID]peer.PoolLoad {
	out := map[fleet.PoolID]peer.PoolLoad{}
	for id, l := range p.admission.Summary() {
		pl := peer.PoolLoad{
			InFlight: int(l.InFlight), Slots: p.serving.slots(id), Oldest: l.Oldest,
			Finished: l.Finished, Refused: l.Refused, Teams: map[fleet.TeamID]peer.TeamLoad{},
		}
		for t, n := range l.Teams {
			pl.Teams[t] = peer.TeamLoad{Running: int(n.Running), Waiting: n.Waiting}
		}
		out[id] = pl
	}
	return out
}

// inFlight returns the targets on which this process has requests in flight.
func (p *Process) inFlight() map[fleet.InstanceID]int {
	out := p.dispatcher.InFlight()
	maps.DeleteFunc(out, func(_ fleet.InstanceID, n int) bool { return n == 0 })
	return out
}

// peersInFlight returns the requests that the other members have in flight on each target, by
// their last summaries.
func (p *Process) peersInFlight() map[fleet.InstanceID]int {
	out := map[fleet.InstanceID]int{}
	for _, s := range p.syncer.Summaries() {
		if s.Member == p.members.Self.ID {
			continue
		}
		for id, n := range s.Targets {
			out[id] += n
		}
	}
	return out
}

// view returns what is known of the use of a pool by all members.
func (p *Process) view(pool fleet.PoolID) caller.View {
	_, members := p.place.load()
	v := caller.View{Members: members, Self: p.members.Self.ID, Own: callerLoad(p.syncer.OwnLoad(pool))}
	for _, l := range p.syncer.Loads(pool) {
		v.Peers = append(v.Peers, caller.PeerLoad{Member: l.Member, Load: callerLoad(l.PoolLoad), Age: l.Age})
	}
	slices.SortFunc(v.Peers, func(a, b caller.PeerLoad) int { return cmp.Compare(a.Member, b.Member) })
	return v
}

func callerLoad(l peer.PoolLoad) caller.Load {
	out := caller.Load{InFlight: fleet.Slots(l.InFlight), Oldest: l.Oldest, Teams: map[fleet.TeamID]caller.TeamLoad{}}
	for t, n := range l.Teams {
		out.Teams[t] = caller.TeamLoad{Running: fleet.Slots(n.Running), Waiting: n.Waiting}
	}
	return out
}
