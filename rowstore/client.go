package rowstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

// Client calls the platform over HTTP.
type Client struct {
	URL     string       // base URL, such as http://127.0.0.1:7000
	Zone    fleet.ZoneID // zone of this process
	Timeout clock.Millis // of one call; 0 means 2000
	HTTP    *http.Client // nil means http.DefaultClient

	mu      sync.Mutex
	list    []Listed // the list as last read
	listTag string   // its entity tag, empty if the platform gave none
}

const defaultTimeout clock.Millis = 2000

// maxResponseBytes bounds the bytes that are read of one response: 910 instances with their rows
// stay under 1 MB.
const maxResponseBytes = 64 << 20

// Table returns the table service that c calls. Its Partitions and Feed are nil.
func (c *Client) Table() *Table {
	return &Table{Transact: c.transact, Read: c.read}
}

func (c *Client) transact(ctx context.Context, t Transaction) ([]fleet.Version, error) {
	var out WireCommit
	status, sent, err := c.call(ctx, http.MethodPost, "/v1/transactions", encodeTransaction(t), &out)
	switch {
	case err != nil:
		return nil, &UnavailableError{Op: "transaction", OutcomeUnknown: sent, Err: err}
	case status == http.StatusConflict:
		return nil, decodeConflict(out)
	case status != statusCommitted:
		return nil, &UnavailableError{Op: "transaction", OutcomeUnknown: status >= 500, Err: eris.Errorf("status %d", status)}
	}
	versions := make([]fleet.Version, len(out.Versions))
	for i, v := range out.Versions {
		versions[i] = fleet.Version(v)
	}
	return versions, nil
}

func (c *Client) read(ctx context.Context, q Query) ([]Row, error) {
	var out WireRows
	status, _, err := c.call(ctx, http.MethodPost, "/v1/reads", encodeQuery(q), &out)
	if err == nil && status != http.StatusOK {
		err = eris.Errorf("status %d", status)
	}
	if err != nil {
		return nil, &UnavailableError{Op: "read", Err: err}
	}
	return decodeRows(out), nil
}

// call sends one request. sent reports whether the platform can have received it.
func (c *Client) call(ctx context.Context, method, path string, in, out any) (status int, sent bool, err error) {
	status, _, sent, err = c.callTagged(ctx, method, path, "", in, out)
	return status, sent, err
}

// callTagged is call with the entity tag of the content that the caller holds; the status is 304
// if that content is still current. It also returns the entity tag of the response.
func (c *Client) callTagged(ctx context.Context, method, path, heldTag string, in, out any) (status int, tag string, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout().Duration())
	defer cancel()
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return 0, "", false, eris.Wrap(err, "rowstore: encode")
		}
		body = bytes.NewReader(text)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, body)
	if err != nil {
		return 0, "", false, eris.Wrap(err, "rowstore: request")
	}
	req.Header.Set("Content-Type", contentJSON)
	req.Header.Set(ZoneHeader, string(c.Zone))
	if heldTag != "" {
		req.Header.Set("If-None-Match", heldTag)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return 0, "", connected.Load(), eris.Wrap(err, "rowstore: call")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, "", true, eris.Wrap(err, "rowstore: answer")
	}
	if out != nil && (resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusConflict) {
		if err := json.Unmarshal(text, out); err != nil {
			return 0, "", true, eris.Wrap(err, "rowstore: decode")
		}
	}
	return resp.StatusCode, resp.Header.Get("ETag"), true, nil
}

func (c *Client) timeout() clock.Millis {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states in the platform's list. An instance that is not listed is gone.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Listed is an entry of the platform's list of instances, which lags behind the instances
// themselves.
type Listed struct {
	ID    fleet.InstanceID
	Zone  fleet.ZoneID
	State InstanceState
}

// Instances returns the platform's list, which lags behind the instances themselves. A list that
// has not changed is not sent again: it has 64 KB at 910 workers, and is read each second. It
// fails with *UnavailableError.
func (c *Client) Instances(ctx context.Context) ([]Listed, error) {
	c.mu.Lock()
	heldTag, list := c.listTag, c.list
	c.mu.Unlock()
	var out WireInstances
	status, tag, _, err := c.callTagged(ctx, http.MethodGet, "/v1/instances", heldTag, nil, &out)
	if err == nil && heldTag != "" && status == http.StatusNotModified {
		return slices.Clone(list), nil
	}
	if err == nil && status != http.StatusOK {
		err = eris.Errorf("status %d", status)
	}
	if err != nil {
		return nil, &UnavailableError{Op: "instances", Err: err}
	}
	list = make([]Listed, len(out.Instances))
	for i, in := range out.Instances {
		list[i] = Listed{ID: fleet.InstanceID(in.ID), Zone: fleet.ZoneID(in.Zone), State: InstanceState(in.State)}
	}
	c.mu.Lock()
	c.list, c.listTag = list, tag
	c.mu.Unlock()
	return slices.Clone(list), nil
}

// Reboot requests a reboot of an instance from the platform. It fails with *UnavailableError;
// the reboot may then have been ordered.
func (c *Client) Reboot(ctx context.Context, id fleet.InstanceID) error {
	status, _, err := c.call(ctx, http.MethodPost, fmt.Sprintf("/v1/instances/%s/reboot", id), nil, nil)
	if err == nil && status != http.StatusAccepted {
		err = eris.Errorf("status %d", status)
	}
	if err != nil {
		return &UnavailableError{Op: "reboot", OutcomeUnknown: true, Err: err}
	}
	return nil
}
