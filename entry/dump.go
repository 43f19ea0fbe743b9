package entry

import (
	"citronknot/fleet/target"
	"citronknot/peer"
	"citronknot/pool"
)

// Dump is the state of a process. It holds no key and no credential.
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

// DumpMember is a registered member.
type DumpMember struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Gone bool   `json:"gone"`
}

// Portion is what the process holds of a team's limit.
type Portion struct {
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	Valid   bool `json:"valid"`
}

// Pool is the admission of a pool.
type Pool struct {
	Slots    int `json:"slots"`   // of the targets that may get requests
	Portion  int `json:"portion"` // of them that this process may fill
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
}

// Target is the state of a target at this process.
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
	c := p.current.Load()
	age, known := p.follower.Age()
	d := Dump{
		Member: p.settings.Member, Zone: p.settings.Zone, Ready: p.ready(),
		Version: uint64(c.Version), Note: string(c.Note), Confirmed: known, AgeMS: int64(age),
		Portions: map[string]Portion{}, Pools: map[string]Pool{}, Peers: p.syncer.Dump(), Control: p.controller.Dump(),
	}
	for _, m := range p.members.List() {
		d.Members = append(d.Members, DumpMember{ID: string(m.ID), Zone: string(m.Zone), Gone: p.list.Gone(m.ID)})
	}
	for id, x := range p.escrow.Portions() {
		d.Portions[string(id)] = Portion{Slots: int(x.Slots), Running: int(x.Running), Valid: x.Valid}
	}
	for id, n := range p.admission.Portions() {
		d.Pools[string(id)] = Pool{Slots: int(p.serving.slots(id)), Portion: int(n)}
	}
	for id, l := range p.admission.Summary() {
		x := d.Pools[string(id)]
		x.InFlight = int(l.InFlight)
		for _, t := range l.Teams {
			x.Waiting += t.Waiting
		}
		d.Pools[string(id)] = x
	}
	for _, t := range p.dispatcher.State() {
		d.Targets = append(d.Targets, dumpTarget(t))
	}
	return d
}

func dumpTarget(t target.State) Target {
	return Target{
		ID: string(t.ID), InFlight: t.InFlight, Idle: t.Idle, FailureRate: t.FailureRate,
		Ejections: t.Ejections, Generation: t.Generation,
	}
}
