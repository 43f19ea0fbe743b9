package pool

import (
	"context"
	"fmt"

	"citronknot/fleet"
	"citronknot/rowstore"
)

// UnknownInstanceError reports an instance that the configuration does not hold.
type UnknownInstanceError struct {
	Instance fleet.InstanceID
}

func (e *UnknownInstanceError) Error() string {
	return fmt.Sprintf("pool: no instance %q", e.Instance)
}

// SetDrain asks for the drain of an instance, or for the end of its drain. Any member may
// call it; the lease holder of the instance's zone carries it out.
func (c *Controller) SetDrain(ctx context.Context, id fleet.InstanceID, drain bool) error {
	in, ok := c.Config().Instances[id]
	if !ok {
		return &UnknownInstanceError{Instance: id}
	}
	return c.Assignments.RequestDrain(ctx, in.Zone, rowstore.DrainRequest{Instance: id, Drain: drain, At: c.Clock.Wall()})
}
