package entry

import (
	"context"
	"time"

	"citronknot/fleet"
	"citronknot/operator"
	"citronknot/rowstore"
)

// Gaps between two rounds of rebalancing. A team that was denied a start asks early, so that
// urgent work does not wait for the next regular round. The gap doubles while the rounds change
// nothing, so that a team at its limit does not turn every denial into a read.
const (
	firstGap = 250 * time.Millisecond
	lastGap  = time.Second
)

// tryStart counts one more running request of a team, or asks for a larger portion.
func (p *Process) tryStart(t fleet.TeamID) bool {
	if p.escrow.TryStart(t) {
		return true
	}
	ask(p.denied)
	return false
}

// ask puts a signal into a channel of one, unless one is pending.
func ask(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// lend asks for an early round if this process holds idle slots of a team that waits at
// another member. Otherwise a member that just started waits for the others' regular rounds,
// which exceeds the bound on the start of urgent work.
func (p *Process) lend() {
	waiting := p.syncer.WaitingElsewhere()
	if len(waiting) == 0 {
		return
	}
	for t, x := range p.escrow.Portions() {
		if waiting[t] > 0 && x.Slots > x.Running {
			ask(p.lending)
			return
		}
	}
}

// rebalance keeps the portions near the demand until ctx ends.
func (p *Process) rebalance(ctx context.Context) {
	regular := time.NewTicker(rowstore.EscrowEvery.Duration())
	defer regular.Stop()
	gap := firstGap
	for {
		select {
		case <-ctx.Done():
			return
		case <-regular.C:
		case <-p.denied:
		case <-p.lending:
		}
		p.countWaiting()
		before := p.held()
		if err := p.escrow.Rebalance(ctx); err != nil && ctx.Err() == nil {
			p.log.Warn("entry: limits not rebalanced", "err", err)
		}
		p.admission.Wake()
		gap = min(2*gap, lastGap)
		if p.held() != before {
			gap = firstGap
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(firstGap):
		}
		if gap == firstGap {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-p.lending:
			ask(p.lending)
		case <-time.After(gap - firstGap):
		}
	}
}

// countWaiting notes the waiting requests of each team for the next round.
func (p *Process) countWaiting() {
	waiting := map[fleet.TeamID]int{}
	for _, l := range p.admission.Summary() {
		for t, n := range l.Teams {
			waiting[t] += n.Waiting
		}
	}
	p.waiting.Store(&waiting)
}

func (p *Process) waitingOf(t fleet.TeamID) int {
	if m := p.waiting.Load(); m != nil {
		return (*m)[t]
	}
	return 0
}

// held returns the slots of all portions.
func (p *Process) held() (n fleet.Slots) {
	for _, x := range p.escrow.Portions() {
		n += x.Slots
	}
	return n
}

// returnPortions gives the portions back on a planned stop and takes the member off the list.
func (p *Process) returnPortions(ctx context.Context) {
	if err := p.escrow.Return(ctx); err != nil {
		p.log.Warn("entry: portions not returned; they stay unusable until they are reclaimed", "err", err)
		return
	}
	if err := p.members.Leave(ctx); err != nil {
		p.log.Warn("entry: registration not deleted", "err", err)
	}
}

// declareZoneLost frees what the members of a zone hold of the teams' limits, if none of them is
// heard: a member that lives starts requests within its portion until it reads the rows.
func (p *Process) declareZoneLost(ctx context.Context, zone fleet.ZoneID) error {
	if n := p.syncer.LiveByZone()[zone]; n > 0 {
		return &operator.ZoneLiveError{Zone: zone, Members: n}
	}
	return p.escrow.DeclareZoneLost(ctx, zone)
}
