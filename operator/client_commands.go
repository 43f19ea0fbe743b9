package operator

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"citronknot/fleet"
)

// Accepted names the configuration version that a release note created. In the result of
// [Client.Check], it is the version that the note would create.
type Accepted struct {
	Version fleet.Version
	Note    fleet.NoteID
}

// Apply sends the JSON text of a release note once, to be applied. If the call fails, the note
// may have been accepted nevertheless; [Client.ApplyResolved] resolves that.
func (c *Client) Apply(ctx context.Context, text []byte) (Accepted, error) {
	return c.post(ctx, "/v1/notes", text)
}

// Check sends the JSON text of a release note to be checked without being applied.
func (c *Client) Check(ctx context.Context, text []byte) (Accepted, error) {
	return c.post(ctx, "/v1/notes?dry_run=true", text)
}

func (c *Client) post(ctx context.Context, path string, text []byte) (Accepted, error) {
	var out WireAccepted
	err := c.call(ctx, http.MethodPost, path, text, &out)
	return Accepted{Version: fleet.Version(out.Version), Note: fleet.NoteID(out.Note)}, err
}

const (
	applyAttempts    = 4
	initialRetryWait = 200 * time.Millisecond // doubles after each attempt
)

// ApplyResolved sends the JSON text of a release note and retries while it is unknown whether
// the note was accepted. Retrying is safe, because the server returns the same response each
// time it receives an accepted note. ApplyResolved fails with *[UnknownOutcomeError] if the
// outcome is still unknown after the last attempt or when ctx ends.
func (c *Client) ApplyResolved(ctx context.Context, text []byte) (Accepted, error) {
	retryWait := initialRetryWait
	unconfirmed := false
	for attempt := 1; ; attempt++ {
		accepted, err := c.Apply(ctx, text)
		// A later attempt that reports "not accepted" does not show whether an earlier
		// attempt was accepted.
		unconfirmed = unconfirmed || maybeAccepted(err)
		if !unconfirmed || outcomeKnown(err) {
			return accepted, err
		}
		if attempt == applyAttempts {
			return accepted, &UnknownOutcomeError{Err: err}
		}
		select {
		case <-ctx.Done():
			return accepted, &UnknownOutcomeError{Err: err}
		case <-time.After(retryWait):
		}
		retryWait *= 2
	}
}

// SetDrain drains an instance, which takes it out of service, or returns it to service.
func (c *Client) SetDrain(ctx context.Context, id fleet.InstanceID, drain bool) error {
	action := "return"
	if drain {
		action = "drain"
	}
	var out WireDrain
	return c.call(ctx, http.MethodPost, "/v1/instances/"+url.PathEscape(string(id))+"/"+action, nil, &out)
}

// DeclareZoneLost frees the portions of the teams' limits that the members of a zone hold. The
// operator must be sure that nothing runs in the zone any more. It fails with a *[Problem] of
// status 409 while members of the zone respond.
func (c *Client) DeclareZoneLost(ctx context.Context, zone fleet.ZoneID) error {
	var out WireZoneLost
	return c.call(ctx, http.MethodPost, "/v1/zones/"+url.PathEscape(string(zone))+"/lost", nil, &out)
}
