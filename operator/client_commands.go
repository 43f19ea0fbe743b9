package operator

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"citronknot/fleet"
)

// Accepted says which version a release note became, or would become.
type Accepted struct {
	Version fleet.Version
	Note    fleet.NoteID
}

// Apply sends the text of a release note once.
func (c *Client) Apply(ctx context.Context, text []byte) (Accepted, error) {
	return c.post(ctx, "/v1/notes", text)
}

// Check sends the text of a release note to be checked only.
func (c *Client) Check(ctx context.Context, text []byte) (Accepted, error) {
	return c.post(ctx, "/v1/notes?dry_run=true", text)
}

func (c *Client) post(ctx context.Context, path string, text []byte) (Accepted, error) {
	var out WireAccepted
	err := c.call(ctx, http.MethodPost, path, text, &out)
	return Accepted{Version: fleet.Version(out.Version), Note: fleet.NoteID(out.Note)}, err
}

const (
	resends    = 4
	resendWait = 200 * time.Millisecond // doubles after each attempt
)

// ApplyResolved sends a release note, and sends it again while it is open whether it was
// accepted. The server answers an accepted note in the same way each time. It fails with
// *UnknownOutcomeError if the repeats did not settle it.
func (c *Client) ApplyResolved(ctx context.Context, text []byte) (Accepted, error) {
	wait := resendWait
	open := false
	for attempt := 1; ; attempt++ {
		a, err := c.Apply(ctx, text)
		// A later "not accepted" only speaks of its own attempt.
		open = open || maybeAccepted(err)
		if !open || settled(err) {
			return a, err
		}
		if attempt == resends {
			return a, &UnknownOutcomeError{Err: err}
		}
		select {
		case <-ctx.Done():
			return a, &UnknownOutcomeError{Err: err}
		case <-time.After(wait):
		}
		wait *= 2
	}
}

// SetDrain takes an instance out of service or back into it.
func (c *Client) SetDrain(ctx context.Context, id fleet.InstanceID, drain bool) error {
	verb := "return"
	if drain {
		verb = "drain"
	}
	var out WireDrain
	return c.call(ctx, http.MethodPost, "/v1/instances/"+url.PathEscape(string(id))+"/"+verb, nil, &out)
}

// DeclareZoneLost frees the parts of teams' limits that the members of a zone hold. The
// operator has to know that nothing runs in the zone any more.
func (c *Client) DeclareZoneLost(ctx context.Context, zone fleet.ZoneID) error {
	var out WireZoneLost
	return c.call(ctx, http.MethodPost, "/v1/zones/"+url.PathEscape(string(zone))+"/lost", nil, &out)
}
