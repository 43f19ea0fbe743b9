package hosted

import (
	"encoding/json"
	"net/http"

	"citronknot/fleet"
	"citronknot/owner"
)

// Dump is the state of a process, without secrets.
type Dump struct {
	Member        string                       `json:"member"`
	Zone          string                       `json:"zone"`
	Closing       bool                         `json:"closing"`
	ConfigVersion uint64                       `json:"config_version"`
	Owners        map[string]string            `json:"owners"`
	Pools         map[fleet.PoolID]*owner.Dump `json:"pools"`
}

// Dump returns the state of the process.
func (p *Process) Dump() Dump {
	d := Dump{
		Member: string(p.Settings.Member), Zone: string(p.Settings.Zone), Closing: p.closing.Load(),
		Owners: map[string]string{}, Pools: map[fleet.PoolID]*owner.Dump{},
	}
	if c := p.catalog.Load(); c != nil {
		d.ConfigVersion = uint64(c.Version)
	}
	p.mu.Lock()
	owners := make(map[fleet.PoolID]*owner.Owner, len(p.owners))
	for id, o := range p.owners {
		owners[id] = o.owner
	}
	for id, t := range p.tenures {
		d.Owners[string(id)] = string(t.Holder().Member)
	}
	p.mu.Unlock()
	for id, o := range owners {
		d.Pools[id] = o.Dump()
	}
	return d
}

func (p *Process) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(p.Dump()); err != nil {
		p.Log.Warn("hosted: dump not sent", "err", err)
	}
}
