package rowstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"
)

// Objects is the object store.
type Objects struct {
	// Put stores an object. It fails with *UnavailableError; the object may then exist.
	Put func(ctx context.Context, name string, text []byte) error
	// Get returns an object; ok is false if it does not exist. It fails with *UnavailableError.
	Get func(ctx context.Context, name string) (text []byte, ok bool, err error)
}

// Objects returns the object store that c calls. Its objects are JSON texts.
func (c *Client) Objects() *Objects { return &Objects{Put: c.putObject, Get: c.getObject} }

func objectPath(name string) string { return "/v1/objects/" + url.PathEscape(name) }

func (c *Client) putObject(ctx context.Context, name string, text []byte) error {
	status, sent, err := c.call(ctx, http.MethodPut, objectPath(name), json.RawMessage(text), nil)
	if err == nil && status != http.StatusOK {
		err = eris.Errorf("status %d", status)
	}
	if err != nil {
		return &UnavailableError{Op: "put object", OutcomeUnknown: sent, Err: err}
	}
	return nil
}

func (c *Client) getObject(ctx context.Context, name string) ([]byte, bool, error) {
	var text json.RawMessage
	status, _, err := c.call(ctx, http.MethodGet, objectPath(name), nil, &text)
	switch {
	case err == nil && status == http.StatusNotFound:
		return nil, false, nil
	case err == nil && status != http.StatusOK:
		err = eris.Errorf("status %d", status)
	}
	if err != nil {
		return nil, false, &UnavailableError{Op: "get object", Err: err}
	}
	return text, true, nil
}
