package fleet

// Phase is the state of an instance in the cycle of moves and maintenance.
type Phase string

// The phases of an instance. Only a serving instance receives new requests.
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

// Assignment is one version of the placements of a zone's instances. An instance without a
// placement serves the pool that its configuration names. An Assignment is immutable once
// published.
type Assignment struct {
	Zone       ZoneID
	Version    Version
	Placements map[InstanceID]Placement
}

// Of returns the placement of an instance. It accepts a nil receiver, which has no placements.
// It is the only function that resolves an instance to a pool, so that an instance is never in
// two pools of the same assignment.
func (a *Assignment) Of(in Instance) Placement {
	if a != nil {
		if p, ok := a.Placements[in.ID]; ok {
			return p
		}
	}
	return Placement{Pool: in.Pool, Phase: Serving}
}
