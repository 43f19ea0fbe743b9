package rowstore

import (
	"context"
	"errors"

	"citronknot/clock"
	"citronknot/fleet"
)

// DrainRequest is an operator's request to drain an instance or to return it to service. It is
// kept until the holder of the zone's lease has carried it out.
type DrainRequest struct {
	Instance fleet.InstanceID
	Drain    bool         // false requests the return of the instance
	At       clock.Millis // wall time

	rowVersion fleet.Version
}

func drainRef(z fleet.ZoneID, id fleet.InstanceID) Ref {
	return Ref{Table: drainTable, Key: string(z) + "/" + string(id)}
}

// RequestDrain writes a request, which replaces an earlier one for the same instance. Any member
// may call it. A write whose response is lost is read back, because repeating it could undo a
// later request. It fails with *UnavailableError.
func (a *Assignments) RequestDrain(ctx context.Context, zone fleet.ZoneID, d DrainRequest) error {
	attempt := a.newAttemptID()
	_, err := a.Table.Transact(ctx, Transaction{Writes: []Write{{Ref: drainRef(zone, d.Instance), Value: encodeDrain(d, attempt)}}})
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) || !unavailable.OutcomeUnknown {
		return err
	}
	row, ok, readErr := a.Table.Get(ctx, drainRef(zone, d.Instance))
	if readErr == nil && ok && drainAttempt(row.Value) == attempt {
		return nil
	}
	return err
}
