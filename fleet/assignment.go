package fleet

// Phase is the state of an instance in the cycle of moves and maintenance.
type Phase string

// The phases of an instance. Only a serving instance receives new requests.
const (
	Serving     Phase = "serving"
	LeavingPool Phase = "leaving_pool" // waits until no member routes to it, and then moves to another pool
	Draining    Phase = "draining"     // finishes its requests before a reboot, or before it is held absent for an operator
	Rebooting   Phase = "rebooting"    // is drained; the platform has not accepted its reboot yet
	Returning   Phase = "returning"    // the platform accepted the reboot; the instance is not up yet
	Absent      Phase = "absent"       // is held for an operator, or did not return after a reboot
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
