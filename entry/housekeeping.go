package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"citronknot/fleet"
	"citronknot/rowstore"
)

// housekeepingInterval is the time between two rounds of housekeeping for the fleet.
const housekeepingInterval = 10 * time.Second

// housekeep saves snapshots of the configuration and removes members that are gone, while this
// member holds the fleet lease, until ctx ends.
func (p *Process) housekeep(ctx context.Context) {
	table := p.client.Table()
	snapshots := &rowstore.Snapshots{Table: table, Objects: p.client.Objects()}
	ticker := time.NewTicker(housekeepingInterval)
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
			p.log.Warn("entry: configuration snapshot not saved", "err", err)
		}
		p.removeMembers(ctx, fence)
	}
}

// claimTeams returns the teams whose expired claims are deleted. The empty team stands for open
// queues.
func (p *Process) claimTeams() []fleet.TeamID {
	return append(slices.Collect(maps.Keys(p.current.Load().Teams)), "")
}

// removeMembers deletes the registrations of members that the platform lists as gone.
func (p *Process) removeMembers(ctx context.Context, fence rowstore.Check) {
	for _, member := range p.members.List() {
		if !p.instances.Gone(member.ID) {
			continue
		}
		removed, err := p.members.Remove(ctx, member.ID, fence)
		switch {
		case err != nil && ctx.Err() == nil:
			p.log.Warn("entry: member not removed", "member", member.ID, "err", err)
		case removed:
			p.log.Info("entry: member removed", "member", member.ID)
		}
	}
}
