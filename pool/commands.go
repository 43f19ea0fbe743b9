package pool

import (
	"context"
	"fmt"

	"citronknot/fleet"
	"citronknot/rowstore"
)

// UnknownInstanceError reports an instance that is not in the configuration.
type UnknownInstanceError struct {
	Instance fleet.InstanceID
}

func (e *UnknownInstanceError) Error() string {
	return fmt.Sprintf("pool: no instance %q", e.Instance)
}

// SetDrain requests the drain of an instance or, if drain is false, its return to service. Any
// member may call it: the request is stored as a row, and the lease holder of the instance's
// zone carries it out. It returns an [UnknownInstanceError] if the configuration does not hold
// the instance, or the error of the table service.
func (c *Controller) SetDrain(ctx context.Context, id fleet.InstanceID, drain bool) error {
	in, ok := c.Config().Instances[id]
	if !ok {
		return &UnknownInstanceError{Instance: id}
	}
	return c.Assignments.RequestDrain(ctx, in.Zone, rowstore.DrainRequest{Instance: id, Drain: drain, At: c.Clock.Wall()})
}
