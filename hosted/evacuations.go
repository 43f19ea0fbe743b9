package hosted

import (
	"net/http"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/operator"
	"citronknot/owner"
	"citronknot/platform"
	"citronknot/rowstore"
)

// operatorPollWait returns the longest wait of one read of the operators' table. Each read confirms
// the evacuations as of its sending, so several of them fit into the time for which a confirmation
// counts.
func (p *Process) operatorPollWait() clock.Millis {
	if p.evacuations.Limit == 0 {
		return configPollWait
	}
	return min(configPollWait, p.evacuations.Limit/4)
}

// evacuate records that an operator wants nothing to be started in a zone any more.
func (p *Process) evacuate(zone fleet.ZoneID, row rowstore.Row) {
	if zone == "" {
		p.Log.Error("hosted: skipped an evacuation without a zone", "key", row.Key, "row_version", uint64(row.Version))
		return
	}
	if p.evacuations.Set(zone, row.Version) {
		p.Log.Info("hosted: evacuation is in force", "zone", zone, "row_version", uint64(row.Version), "confirmed_ms", p.confirmedMS())
	}
	p.metrics.evacuatedZones.Set(float64(len(p.evacuations.Zones())))
}

// removeOperatorRow applies the removal of a row that an operator wrote. Only the removal of an
// evacuation has an effect.
func (p *Process) removeOperatorRow(ref rowstore.Ref) {
	zone, ok := platform.DecodeEvacuation(rowstore.Row{Ref: ref})
	if !ok {
		return
	}
	if ended, ok := p.evacuations.Clear(zone); ok {
		p.Log.Info("hosted: evacuation has ended", "zone", zone, "row_version", uint64(ended.Version),
			"lasted_ms", int64(p.Clock.Wall()-ended.Since), "confirmed_ms", p.confirmedMS())
	}
	p.metrics.evacuatedZones.Set(float64(len(p.evacuations.Zones())))
}

// confirmedMS returns the age of the latest confirmation of the evacuations, in ms, or -1 if there is
// none.
func (p *Process) confirmedMS() int64 {
	age, ok := p.evacuations.ConfirmationAge()
	if !ok {
		return -1
	}
	return int64(age)
}

// serveEvacuations lists the evacuations that this member knows, with what is left in their zones as
// reported by the pools' owners. Pools whose owner doesn't respond are listed as missing.
func (p *Process) serveEvacuations(w http.ResponseWriter, r *http.Request) {
	out := operator.WireEvacuations{Evacuations: []operator.WireEvacuation{}, ConfirmedMS: p.confirmedMS()}
	for _, e := range p.evacuations.List() {
		out.Evacuations = append(out.Evacuations, operator.WireEvacuation{
			Zone: string(e.Zone), Since: formatTime(e.Since), Version: uint64(e.Version), Pools: []operator.WireEvacuationPool{},
		})
	}
	if len(out.Evacuations) == 0 {
		writeJSON(w, out)
		return
	}
	missing, ok := p.visitPools(w, r, func(id fleet.PoolID, dump *owner.Dump) {
		for i := range out.Evacuations {
			e := &out.Evacuations[i]
			if pool := countZone(id, dump, fleet.ZoneID(e.Zone)); pool.Workers > 0 {
				e.Pools = append(e.Pools, pool)
			}
		}
	})
	if out.Missing = missing; ok {
		writeJSON(w, out)
	}
}

// countZone counts the workers of a pool in a zone and the runs there.
func countZone(id fleet.PoolID, dump *owner.Dump, zone fleet.ZoneID) operator.WireEvacuationPool {
	out := operator.WireEvacuationPool{Pool: string(id)}
	for i := range dump.Schedule.Workers {
		if worker := &dump.Schedule.Workers[i]; worker.Zone == zone {
			out.Workers++
			out.Runs += worker.Tasks
		}
	}
	return out
}
