package entry

import "citronknot/fleet"

// Dump is the state of a process. It holds no key and no credential.
type Dump struct {
	Member        string         `json:"member"`
	Zone          string         `json:"zone"`
	Ready         bool           `json:"ready"`
	Version       uint64         `json:"config_version"`
	Note          string         `json:"note"`
	AgeMS         int64          `json:"config_age_ms"`
	InFlight      map[string]int `json:"in_flight"`
	RunningByTeam map[string]int `json:"running_by_team"`
}

// Dump returns the state of the process.
func (p *Process) Dump() Dump {
	c := p.current.Load()
	age, _ := p.follower.Age()
	d := Dump{
		Member: p.settings.Member, Zone: p.settings.Zone, Ready: p.ready.Load(),
		Version: uint64(c.Version), Note: string(c.Note), AgeMS: int64(age),
		InFlight: map[string]int{}, RunningByTeam: map[string]int{},
	}
	for id, n := range p.dispatcher.InFlight() {
		d.InFlight[string(id)] = n
	}
	for id, n := range p.limits.counts() {
		d.RunningByTeam[string(id)] = int(n)
	}
	return d
}

func (c *teamCounts) counts() map[fleet.TeamID]fleet.Slots {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[fleet.TeamID]fleet.Slots, len(c.running))
	for id, n := range c.running {
		out[id] = n
	}
	return out
}
