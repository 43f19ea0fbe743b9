package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Client calls the administration API. Its methods fail with *[Problem] if the server responds
// with an error, and with *[UnreachableError] if no complete response arrives.
type Client struct {
	URL        string       // base URL of the API, without a trailing slash
	Credential string       // bearer credential of operators, or a team's key for calls about jobs; if empty, none is sent
	HTTP       *http.Client // nil means http.DefaultClient
}

// maxResponseSize limits the bytes read of one response body. The configuration of a fleet of
// the size that the system is designed for is under 1 MB.
const maxResponseSize = 64 << 20

// call sends one request and decodes the JSON body of the response into out. It fails with
// *Problem or *UnreachableError.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "operator: request")
	}
	if c.Credential != "" {
		req.Header.Set("Authorization", "Bearer "+c.Credential)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return &UnreachableError{URL: c.URL, OutcomeUnknown: connected.Load(), Err: err}
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return &UnreachableError{URL: c.URL, OutcomeUnknown: true, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return decodeProblem(resp.StatusCode, responseBody)
	}
	return eris.Wrap(json.Unmarshal(responseBody, out), "operator: decode")
}
