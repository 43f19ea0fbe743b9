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

// Client calls the administration API.
type Client struct {
	URL        string
	Credential string       // of operators; the calls on jobs take a team's key. Empty sends none
	HTTP       *http.Client // nil means http.DefaultClient
}

// maxAnswer bounds what is read of one answer: a configuration of the target size stays
// under 1 MB.
const maxAnswer = 64 << 20

// call sends one request. It fails with *Problem or *UnreachableError.
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
		return &UnreachableError{URL: c.URL, Maybe: connected.Load(), Err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return &UnreachableError{URL: c.URL, Maybe: true, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return decodeProblem(resp.StatusCode, text)
	}
	return eris.Wrap(json.Unmarshal(text, out), "operator: decode")
}
