package hosted

import (
	"encoding/json"
	"net/http"
	"time"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/owner"
)

// Dump is the state of a process for debugging. It contains no secrets.
type Dump struct {
	Member        string                       `json:"member"`
	Zone          string                       `json:"zone"`
	Closing       bool                         `json:"closing"`
	ConfigVersion uint64                       `json:"config_version"`
	Owners        map[string]string            `json:"owners"`
	Pools         map[fleet.PoolID]*owner.Dump `json:"pools"`
	Evacuations   EvacuationsDump              `json:"evacuations"`
}

// EvacuationsDump is what a process knows of evacuations.
type EvacuationsDump struct {
	Confirmed int64            `json:"confirmed_ms"` // age of the latest confirmation; -1 if there is none
	Zones     []EvacuationDump `json:"zones"`
}

// EvacuationDump is an evacuation that a process knows.
type EvacuationDump struct {
	Zone    string `json:"zone"`
	Version uint64 `json:"version"` // of the operator's row
	Since   string `json:"since"`   // when the process read it
}

// dumpEvacuations returns the evacuations, sorted by zone.
func (p *Process) dumpEvacuations() EvacuationsDump {
	dump := EvacuationsDump{Confirmed: p.confirmedMS(), Zones: []EvacuationDump{}}
	for _, e := range p.evacuations.List() {
		dump.Zones = append(dump.Zones, EvacuationDump{Zone: string(e.Zone), Version: uint64(e.Version), Since: formatTime(e.Since)})
	}
	return dump
}

// formatTime returns a wall-clock time in UTC.
func formatTime(t clock.Millis) string { return time.UnixMilli(int64(t)).UTC().Format(time.RFC3339) }

// Dump returns the state of the process, with the pools that it owns and the owners of all pools as
// last read.
func (p *Process) Dump() Dump {
	dump := Dump{
		Member: string(p.Settings.Member), Zone: string(p.Settings.Zone), Closing: p.closing.Load(),
		Owners: map[string]string{}, Pools: map[fleet.PoolID]*owner.Dump{}, Evacuations: p.dumpEvacuations(),
	}
	if catalog := p.catalog.Load(); catalog != nil {
		dump.ConfigVersion = uint64(catalog.Version)
	}
	p.mu.Lock()
	owners := make(map[fleet.PoolID]*owner.Owner, len(p.owners))
	for id, o := range p.owners {
		owners[id] = o.owner
	}
	for id, lease := range p.ownerLeases {
		dump.Owners[string(id)] = string(lease.Holder().Member)
	}
	p.mu.Unlock()
	for id, o := range owners {
		dump.Pools[id] = o.Dump()
	}
	return dump
}

func (p *Process) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(p.Dump()); err != nil {
		p.Log.Warn("hosted: sending the state dump failed", "err", err)
	}
}
