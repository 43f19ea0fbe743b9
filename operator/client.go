package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
)

// Client calls the administration API.
type Client struct {
	URL        string
	Credential string
	HTTP       *http.Client // nil means http.DefaultClient
}

// StatusError is an answer of the administration API that is not a success.
type StatusError struct {
	Status  int
	Message string
	Faults  []fleet.Fault
	Head    fleet.Version // with a conflict: the newest version
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("operator: status %d: %s", e.Status, e.Message)
}

// Accepted says which version a release note became.
type Accepted struct {
	Version fleet.Version
	Note    fleet.NoteID
}

// Apply sends the text of a release note.
func (c *Client) Apply(ctx context.Context, text []byte) (Accepted, error) {
	var out wireAccepted
	err := c.call(ctx, http.MethodPost, "/v1/notes", text, &out)
	return Accepted{Version: fleet.Version(out.Version), Note: fleet.NoteID(out.Note)}, err
}

// Get returns the JSON text of a query, such as /v1/status.
func (c *Client) Get(ctx context.Context, path string) (json.RawMessage, error) {
	var out json.RawMessage
	err := c.call(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "operator: request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Credential)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "operator: call")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "operator: answer")
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(resp.StatusCode, text)
	}
	return eris.Wrap(json.Unmarshal(text, out), "operator: decode")
}

func decodeError(status int, text []byte) error {
	var w wireError
	e := &StatusError{Status: status}
	if json.Unmarshal(text, &w) != nil {
		e.Message = string(text)
		return e
	}
	e.Message, e.Head = w.Error, fleet.Version(w.Head)
	for _, f := range w.Faults {
		e.Faults = append(e.Faults, fleet.Fault{Field: f.Field, Value: f.Value, Accepted: f.Accepted})
	}
	return e
}
