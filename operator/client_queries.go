package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"citronknot/fleet"
	"citronknot/note"
)

// Get returns the JSON body of the response to GET path, such as /v1/status.
func (c *Client) Get(ctx context.Context, path string) (json.RawMessage, error) {
	var out json.RawMessage
	err := c.call(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// Config returns the configuration in force. It also fails if the response is not a valid
// configuration.
func (c *Client) Config(ctx context.Context) (*fleet.Config, error) {
	text, err := c.Get(ctx, "/v1/config")
	if err != nil {
		return nil, err
	}
	return note.DecodeConfig(text)
}
