package entry

import (
	"citronknot/fleet/target"
	"citronknot/peer"
	"citronknot/pool"
)

// Dump is the state of a process, for operators. It contains no keys and no credentials.
type Dump struct {
	Member    string             `json:"member"`
	Zone      string             `json:"zone"`
	Ready     bool               `json:"ready"`
	Version   uint64             `json:"config_version"`
	Note      string             `json:"note"`
	Confirmed bool               `json:"config_confirmed"`
	AgeMS     int64              `json:"config_age_ms"`
	Members   []DumpMember       `json:"members"`
	Portions  map[string]Portion `json:"portions"`
	Pools     map[string]Pool    `json:"pools"`
	Targets   []Target           `json:"targets"`
	Peers     peer.Dump          `json:"peers"`
	Control   pool.State         `json:"zone_controller"`
}

// DumpMember is a registered member. Gone is set if the platform lists it as gone.
type DumpMember struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Gone bool   `json:"gone"`
}

// Portion is the part of a team's limit that the process holds. Valid is set if requests may
// start within it now.
type Portion struct {
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	Valid   bool `json:"valid"`
}

// Pool is the state of the admission of requests to a pool.
type Pool struct {
	Slots    int `json:"slots"`   // total of the targets that may get requests
	Portion  int `json:"portion"` // slots that this process may use
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
}

// Target is the state of a target as this process has recorded it.
type Target struct {
	ID          string  `json:"id"`
	InFlight    int     `json:"in_flight"`
	Idle        int     `json:"idle_connections"`
	FailureRate float64 `json:"failure_rate"`
	Ejections   int     `json:"ejections"`
	Generation  uint64  `json:"connection_generation"`
}

// Dump returns the state of the process.
func (p *Process) Dump() Dump {
	config := p.current.Load()
	age, known := p.follower.Age()
	dump := Dump{
		Member: p.settings.Member, Zone: p.settings.Zone, Ready: p.ready(),
		Version: uint64(config.Version), Note: string(config.Note), Confirmed: known, AgeMS: int64(age),
		Portions: map[string]Portion{}, Pools: map[string]Pool{}, Peers: p.syncer.Dump(), Control: p.controller.Dump(),
	}
	for _, m := range p.members.List() {
		dump.Members = append(dump.Members, DumpMember{ID: string(m.ID), Zone: string(m.Zone), Gone: p.instances.Gone(m.ID)})
	}
	for id, portion := range p.escrow.Portions() {
		dump.Portions[string(id)] = Portion{Slots: int(portion.Slots), Running: int(portion.Running), Valid: portion.Valid}
	}
	for id, portion := range p.admission.Portions() {
		dump.Pools[string(id)] = Pool{Slots: int(p.serving.slots(id)), Portion: int(portion)}
	}
	for id, load := range p.admission.Summary() {
		pool := dump.Pools[string(id)]
		pool.InFlight = int(load.InFlight)
		for _, t := range load.Teams {
			pool.Waiting += t.Waiting
		}
		dump.Pools[string(id)] = pool
	}
	for _, t := range p.dispatcher.State() {
		dump.Targets = append(dump.Targets, dumpTarget(t))
	}
	return dump
}

func dumpTarget(t target.State) Target {
	return Target{
		ID: string(t.ID), InFlight: t.InFlight, Idle: t.Idle, FailureRate: t.FailureRate,
		Ejections: t.Ejections, Generation: t.Generation,
	}
}
