package entry

import (
	"context"
	"time"

	"citronknot/fleet"
	"citronknot/platform"
)

// Gaps between two rounds of rebalancing. A team that was denied a start asks early, so that
// urgent work does not wait for the next regular round; teams that stay at their limits must
// not turn every denial into a transaction.
const (
	firstGap = 250 * time.Millisecond
	lastGap  = 2 * time.Second
)

// tryStart counts one more running request of a team, or asks for a larger portion.
func (p *Process) tryStart(t fleet.TeamID) bool {
	if p.escrow.TryStart(t) {
		return true
	}
	select {
	case p.denied <- struct{}{}:
	default:
	}
	return false
}

// rebalance keeps the portions near the demand until ctx ends.
func (p *Process) rebalance(ctx context.Context) {
	regular := time.NewTicker(platform.EscrowEvery.Duration())
	defer regular.Stop()
	gap := firstGap
	for {
		select {
		case <-ctx.Done():
			return
		case <-regular.C:
			gap = firstGap
		case <-p.denied:
			gap = min(2*gap, lastGap)
		}
		if err := p.escrow.Rebalance(ctx); err != nil && ctx.Err() == nil {
			p.log.Warn("entry: limits not rebalanced", "err", err)
		}
		p.admission.Wake()
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
	}
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
