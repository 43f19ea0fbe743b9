package rowstore

import (
	"context"
	"errors"

	"citronknot/clock"
	"citronknot/fleet"
)

// DrainRequest is an operator's wish for one instance, kept until the zone's lease holder has
// carried it out.
type DrainRequest struct {
	Instance fleet.InstanceID
	Drain    bool         // false asks for the return of the instance
	At       clock.Millis // wall time

	row fleet.Version
}

func drainRef(z fleet.ZoneID, id fleet.InstanceID) Ref {
	return Ref{Table: drainTable, Key: string(z) + "/" + string(id)}
}

// RequestDrain writes a request; the last of several wins. Any member may call it. A write
// whose response is lost is read back, because repeating it could undo a later request.
func (a *Assignments) RequestDrain(ctx context.Context, zone fleet.ZoneID, d DrainRequest) error {
	attempt := a.attempt()
	_, err := a.Table.Transact(ctx, Transaction{Writes: []Write{{Ref: drainRef(zone, d.Instance), Value: encodeDrain(d, attempt)}}})
	var lost *UnavailableError
	if !errors.As(err, &lost) || !lost.Maybe {
		return err
	}
	row, ok, readErr := a.Table.Get(ctx, drainRef(zone, d.Instance))
	if readErr == nil && ok && drainAttempt(row.Value) == attempt {
		return nil
	}
	return err
}
