package entry

import (
	"context"
	"time"

	"citronknot/fleet"
	"citronknot/operator"
	"citronknot/rowstore"
)

// minRebalanceGap and maxRebalanceGap bound the time between two rounds of rebalancing. A
// denied start triggers an early round, so that urgent work does not wait for the next regular
// one. The gap doubles while rounds change nothing, so that a team at its limit does not cause
// a read of the table service with each denial.
const (
	minRebalanceGap = 250 * time.Millisecond
	maxRebalanceGap = time.Second
)

// tryStart counts one more running request of a team. If the portion of this member is used up,
// it requests an early round of rebalancing and returns false.
func (p *Process) tryStart(t fleet.TeamID) bool {
	if p.escrow.TryStart(t) {
		return true
	}
	signal(p.startDenied)
	return false
}

// signal sends to a channel with a buffer of one, unless a signal is already pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// offerIdleSlots requests an early round if this process holds idle slots of a team that has
// requests waiting at another member. Otherwise a member that has just started would wait for
// the regular rounds of the others, which take longer than the bound on the start of urgent
// work.
func (p *Process) offerIdleSlots() {
	waiting := p.syncer.WaitingAtPeers()
	if len(waiting) == 0 {
		return
	}
	for t, portion := range p.escrow.Portions() {
		if waiting[t] > 0 && portion.Slots > portion.Running {
			signal(p.slotsWanted)
			return
		}
	}
}

// rebalance adjusts the portions of this member to the demand until ctx ends.
func (p *Process) rebalance(ctx context.Context) {
	regular := time.NewTicker(rowstore.EscrowEvery.Duration())
	defer regular.Stop()
	gap := minRebalanceGap
	for {
		select {
		case <-ctx.Done():
			return
		case <-regular.C:
		case <-p.startDenied:
		case <-p.slotsWanted:
		}
		p.countWaiting()
		before := p.heldSlots()
		if err := p.escrow.Rebalance(ctx); err != nil && ctx.Err() == nil {
			p.log.Warn("entry: portions of team limits not rebalanced", "err", err)
		}
		p.admission.RefreshAll()
		gap = min(2*gap, maxRebalanceGap)
		if p.heldSlots() != before {
			gap = minRebalanceGap
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minRebalanceGap):
		}
		if gap == minRebalanceGap {
			continue
		}
		// A member that needs idle slots ends the longer wait. A denied start of this member
		// does not.
		select {
		case <-ctx.Done():
			return
		case <-p.slotsWanted:
			signal(p.slotsWanted)
		case <-time.After(gap - minRebalanceGap):
		}
	}
}

// countWaiting records the waiting requests of each team for the next round.
func (p *Process) countWaiting() {
	waiting := map[fleet.TeamID]int{}
	for _, load := range p.admission.Summary() {
		for t, team := range load.Teams {
			waiting[t] += team.Waiting
		}
	}
	p.waitingByTeam.Store(&waiting)
}

// waitingRequests returns the waiting requests of a team that countWaiting recorded last.
func (p *Process) waitingRequests(t fleet.TeamID) int {
	if m := p.waitingByTeam.Load(); m != nil {
		return (*m)[t]
	}
	return 0
}

// heldSlots returns the total of the slots of all portions.
func (p *Process) heldSlots() (n fleet.Slots) {
	for _, portion := range p.escrow.Portions() {
		n += portion.Slots
	}
	return n
}

// returnPortions returns the portions during a graceful shutdown and then deletes the member's
// registration.
func (p *Process) returnPortions(ctx context.Context) {
	if err := p.escrow.Return(ctx); err != nil {
		p.log.Warn("entry: portions not returned; their slots can't be used until they are reclaimed", "err", err)
		return
	}
	if err := p.members.Leave(ctx); err != nil {
		p.log.Warn("entry: registration not deleted", "err", err)
	}
}

// declareZoneLost frees the portions of the members of a zone. It returns
// *operator.ZoneLiveError if a member of the zone has responded recently, because a running
// member starts requests within its portion until it has read the changed rows.
func (p *Process) declareZoneLost(ctx context.Context, zone fleet.ZoneID) error {
	if n := p.syncer.LiveMembersByZone()[zone]; n > 0 {
		return &operator.ZoneLiveError{Zone: zone, Members: n}
	}
	return p.escrow.DeclareZoneLost(ctx, zone)
}
