package entry

import (
	"cmp"
	"maps"
	"slices"

	"citronknot/caller"
	"citronknot/fleet"
	"citronknot/peer"
)

// ownLoad returns the load of this process on each pool, which is sent to the other members.
func (p *Process) ownLoad() map[fleet.PoolID]peer.PoolLoad {
	out := map[fleet.PoolID]peer.PoolLoad{}
	for id, l := range p.admission.Summary() {
		load := peer.PoolLoad{
			InFlight: int(l.InFlight), Slots: p.serving.slots(id), LongestWait: l.LongestWait,
			Finished: l.Finished, Refused: l.Refused, Teams: map[fleet.TeamID]peer.TeamLoad{},
		}
		for t, n := range l.Teams {
			load.Teams[t] = peer.TeamLoad{Running: int(n.Running), Waiting: n.Waiting}
		}
		out[id] = load
	}
	return out
}

// inFlight returns the requests that this process has in flight on each target, without targets
// that have none.
func (p *Process) inFlight() map[fleet.InstanceID]int {
	out := p.dispatcher.InFlight()
	maps.DeleteFunc(out, func(_ fleet.InstanceID, n int) bool { return n == 0 })
	return out
}

// peersInFlight returns the requests that the other members have in flight on each target,
// according to their newest load summaries.
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

// poolView returns the load on a pool by this member and by the others, as last reported.
func (p *Process) poolView(pool fleet.PoolID) caller.View {
	_, members := p.ranking.load()
	view := caller.View{Members: members, Self: p.members.Self.ID, Own: callerLoad(p.syncer.OwnLoad(pool))}
	for _, l := range p.syncer.Loads(pool) {
		view.Peers = append(view.Peers, caller.PeerLoad{Member: l.Member, Load: callerLoad(l.PoolLoad), Age: l.Age})
	}
	slices.SortFunc(view.Peers, func(a, b caller.PeerLoad) int { return cmp.Compare(a.Member, b.Member) })
	return view
}

// callerLoad converts a load to the type of package caller.
func callerLoad(l peer.PoolLoad) caller.Load {
	out := caller.Load{InFlight: fleet.Slots(l.InFlight), LongestWait: l.LongestWait, Teams: map[fleet.TeamID]caller.TeamLoad{}}
	for t, n := range l.Teams {
		out.Teams[t] = caller.TeamLoad{Running: fleet.Slots(n.Running), Waiting: n.Waiting}
	}
	return out
}
