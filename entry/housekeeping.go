package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"citronknot/fleet"
	"citronknot/rowstore"
)

// housekeepingEvery is the time between two rounds of the fleet's housekeeping.
const housekeepingEvery = 10 * time.Second

// housekeep does the fleet's housekeeping while this member holds the fleet lease: snapshots of the
// configuration and removal of members that are gone.
func (p *Process) housekeep(ctx context.Context) {
	table := p.client.Table()
	snapshots := &rowstore.Snapshots{Table: table, Objects: p.client.Objects()}
	ticker := time.NewTicker(housekeepingEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		fence, held := p.fleetLease.Held()
		if !held {
			continue
		}
		if _, err := snapshots.Save(ctx, p.current.Load(), fence); err != nil && ctx.Err() == nil {
			p.log.Warn("entry: snapshot not saved", "err", err)
		}
		p.removeMembers(ctx, fence)
	}
}

// claimTeams returns the teams whose claims expire. The empty team is that of open queues.
func (p *Process) claimTeams() []fleet.TeamID {
	return append(slices.Collect(maps.Keys(p.current.Load().Teams)), "")
}

// removeMembers takes members off the list that the platform's list shows as gone.
func (p *Process) removeMembers(ctx context.Context, fence rowstore.Check) {
	for _, m := range p.members.List() {
		if !p.list.Gone(m.ID) {
			continue
		}
		removed, err := p.members.Remove(ctx, m.ID, fence)
		switch {
		case err != nil && ctx.Err() == nil:
			p.log.Warn("entry: member not removed", "member", m.ID, "err", err)
		case removed:
			p.log.Info("entry: member removed", "member", m.ID)
		}
	}
}
