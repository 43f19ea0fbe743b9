package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// Client calls the administration API.
type Client struct {
	URL        string
	Credential string
	HTTP       *http.Client // nil means http.DefaultClient
}

// UnreachableError reports that a call got no complete answer. A command may have been
// carried out.
type UnreachableError struct {
	URL string
	Err error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("operator: no answer from %s: %v", e.URL, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// maxAnswer bounds what is read of one answer: a configuration of the target size stays
// under 1 MB.
const maxAnswer = 64 << 20

// call sends one request. It fails with *Problem or *UnreachableError.
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
		return &UnreachableError{URL: c.URL, Err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return &UnreachableError{URL: c.URL, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return decodeProblem(resp.StatusCode, text)
	}
	return eris.Wrap(json.Unmarshal(text, out), "operator: decode")
}
