package fleet

// Phase is the state of an instance within its pool.
type Phase string

// The phases of an instance. Only a serving instance gets new requests.
const (
	Serving     Phase = "serving"
	LeavingPool Phase = "leaving_pool"
	Draining    Phase = "draining"
	Rebooting   Phase = "rebooting"
	Returning   Phase = "returning"
	Absent      Phase = "absent"
)

// Placement is the pool and the phase of one instance.
type Placement struct {
	Pool  PoolID
	Phase Phase
}

// Assignment is one version of the placements of a zone. An instance without a placement
// serves the pool that its configuration names. It is immutable once published.
type Assignment struct {
	Zone       ZoneID
	Version    Version
	Placements map[InstanceID]Placement
}

// Of returns the placement of an instance. The one-pool rule holds because this is the only
// function that resolves an instance to a pool.
func (a *Assignment) Of(in Instance) Placement {
	if a != nil {
		if p, ok := a.Placements[in.ID]; ok {
			return p
		}
	}
	return Placement{Pool: in.Pool, Phase: Serving}
}
