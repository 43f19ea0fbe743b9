package schedule

import (
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

// ZoneLoad is the part of a pool in one zone.
type ZoneLoad struct {
	Zone    fleet.ZoneID
	Workers int
	Runs    int // tasks that occupy these workers
}

// SetEvacuated sets the zones that are being evacuated. Their workers take no starts of any kind. Tasks
// that can continue elsewhere move as from cordoned workers; the others run to their end. Zones that
// are not in the list take starts again. A zone without workers, and an empty one, have no effect.
func (p *Pool) SetEvacuated(zones []fleet.ZoneID, now clock.Millis) {
	if slices.Equal(zones, p.evacuated) { // the usual case: an owner sets them in each pass
		return
	}
	zones = slices.DeleteFunc(slices.Compact(slices.Sorted(slices.Values(zones))), func(z fleet.ZoneID) bool { return z == "" })
	before := p.evacuated
	p.evacuated = zones
	if len(zones) == 0 {
		p.moving = nil
	}
	for _, w := range p.sortedWorkers {
		p.updateEvacuated(w, now)
	}
	p.emitZones("zone_evacuated", zones, before)
	p.emitZones("zone_taken_back", before, zones)
}

// updateEvacuated sets whether a worker's zone is being evacuated.
func (p *Pool) updateEvacuated(w *worker, now clock.Millis) {
	if evacuated := slices.Contains(p.evacuated, w.Zone); evacuated != w.evacuated {
		w.evacuated, w.evacuatedAt = evacuated, now
		w.index.update(w)
	}
}

// emitZones emits an event for each of the zones that is not in others.
func (p *Pool) emitZones(kind string, zones, others []fleet.ZoneID) {
	for _, z := range zones {
		if !slices.Contains(others, z) {
			workers, runs := p.CountZone(z)
			p.emit(Event{Kind: kind, Zone: &ZoneLoad{Zone: z, Workers: workers, Runs: runs}})
		}
	}
}

// CountZone returns the number of workers of the pool in a zone, and of the tasks that occupy them.
func (p *Pool) CountZone(zone fleet.ZoneID) (workers, tasks int) {
	for _, w := range p.sortedWorkers {
		if w.Zone == zone {
			workers++
			tasks += len(w.tasks)
		}
	}
	return workers, tasks
}
