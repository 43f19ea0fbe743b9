package target

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

// Names of the headers of the targets' protocol. The caller's Idempotency-Key goes under
// another name, because net/http's transport repeats requests that carry that header.
const (
	HeaderRequestID      = "Citronknot-Request-Id"
	HeaderIdempotencyKey = "Citronknot-Idempotency-Key"
	HeaderTeam           = "Citronknot-Team"
	HeaderQueue          = "Citronknot-Queue"
	HeaderDeadline       = "Citronknot-Deadline"
	HeaderRun            = "Citronknot-Run"
)

// Request is what a target is asked to run.
type Request struct {
	ID             fleet.RequestID
	Team           fleet.TeamID
	Queue          fleet.QueueID
	Pool           fleet.PoolID
	IdempotencyKey string
	Idempotent     bool
	Deadline       clock.Millis
}

// Dispatcher sends requests to targets.
type Dispatcher struct {
	Clock clock.Clock
	Zone  fleet.ZoneID
	// Serving returns the instances of a pool that may get new requests.
	Serving func(fleet.PoolID) []fleet.Instance

	mu      sync.Mutex
	targets map[fleet.InstanceID]*state
}

type state struct {
	inFlight  int
	transport *http.Transport
}

// maxAttempts bounds the targets that one request is sent to.
const maxAttempts = 3

// Error reports that no answer of a target can be passed on.
type Error struct {
	Sent bool // a target may have received the request
	Err  error
}

func (e *Error) Error() string { return "target: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Forward sends q with the head and body of r to a target, and the target's answer to w. It
// fails with *Error before anything was written to w; an answer that breaks off later aborts
// the caller's connection.
func (d *Dispatcher) Forward(w http.ResponseWriter, r *http.Request, q Request) error {
	ctx, cancel := context.WithTimeout(r.Context(), (q.Deadline - d.Clock.Now()).Duration())
	defer cancel()
	body := &onceBody{r: r.Body}
	var last error
	for range maxAttempts {
		c, ok := d.acquire(q.Pool)
		if !ok {
			return &Error{Err: eris.New("no target with a free slot")}
		}
		sent, err := d.try(ctx, w, r, q, c.Instance, body)
		d.release(c.Instance.ID)
		if err == nil {
			return nil
		}
		last = err
		if sent || body.read || ctx.Err() != nil {
			return &Error{Sent: sent, Err: err}
		}
	}
	return &Error{Err: last}
}

// try sends the request to one target. sent reports whether the target may have run it.
func (d *Dispatcher) try(ctx context.Context, w http.ResponseWriter, r *http.Request, q Request, in fleet.Instance, body *onceBody) (sent bool, err error) {
	var a attempt
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.use(info.Conn) },
	})
	out, err := newRequest(ctx, r, q, in, body, q.Deadline-d.Clock.Now())
	if err != nil {
		return false, err
	}
	resp, err := d.transport(in).RoundTrip(out)
	if err != nil {
		return a.sent(), eris.Wrap(err, "round trip")
	}
	defer resp.Body.Close()
	if err := verify(resp, q); err != nil {
		return resp.Header.Get(HeaderRun) != "not_run", err
	}
	copyAnswer(w, resp, q)
	return true, nil
}

func newRequest(ctx context.Context, r *http.Request, q Request, in fleet.Instance, body io.ReadCloser, left clock.Millis) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.Address+"/", body)
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	out.ContentLength = r.ContentLength
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	out.Header = r.Header.Clone()
	for _, h := range []string{"Authorization", "Idempotency-Key", "X-Idempotency-Key", "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Proxy-Connection"} {
		out.Header.Del(h)
	}
	out.Header.Set(HeaderRequestID, string(q.ID))
	out.Header.Set(HeaderTeam, string(q.Team))
	out.Header.Set(HeaderQueue, string(q.Queue))
	out.Header.Set(HeaderDeadline, strconv.FormatInt(int64(left), 10))
	if q.IdempotencyKey != "" {
		out.Header.Set(HeaderIdempotencyKey, q.IdempotencyKey)
	}
	return out, nil
}

// verify checks that resp is a whole answer to q. It is the one place that ties an answer to
// its request.
func verify(resp *http.Response, q Request) error {
	switch {
	case resp.Header.Get(HeaderRun) == "not_run":
		return eris.Errorf("the target's guard refused the request with status %d", resp.StatusCode)
	case resp.Header.Get(HeaderRequestID) != string(q.ID):
		return eris.Errorf("the answer is for request %q", resp.Header.Get(HeaderRequestID))
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return eris.New("the answer has no length, so that its end cannot be verified")
	}
	return nil
}

// copyAnswer passes resp on. An answer that breaks off aborts the caller's connection, so that
// the caller never takes it for whole.
func copyAnswer(w http.ResponseWriter, resp *http.Response, q Request) {
	h := w.Header()
	for k, v := range resp.Header {
		h[k] = v
	}
	for _, k := range []string{"Connection", "Keep-Alive", "Trailer", "Transfer-Encoding", "Upgrade"} {
		h.Del(k)
	}
	h.Set(HeaderRun, "ran")
	h.Set(HeaderRequestID, string(q.ID))
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// acquire chooses a target and counts a request there.
func (d *Dispatcher) acquire(pool fleet.PoolID) (Candidate, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var candidates []Candidate
	for _, in := range d.Serving(pool) {
		c := Candidate{Instance: in}
		if s, ok := d.targets[in.ID]; ok {
			c.InFlight = s.inFlight
		}
		candidates = append(candidates, c)
	}
	c, ok := Choose(d.Zone, candidates, rand.IntN)
	if ok {
		d.stateLocked(c.Instance).inFlight++
	}
	return c, ok
}

func (d *Dispatcher) release(id fleet.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets[id].inFlight--
}

func (d *Dispatcher) transport(in fleet.Instance) *http.Transport {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stateLocked(in).transport
}

func (d *Dispatcher) stateLocked(in fleet.Instance) *state {
	if d.targets == nil {
		d.targets = map[fleet.InstanceID]*state{}
	}
	s, ok := d.targets[in.ID]
	if !ok {
		s = &state{transport: newTransport(in.Connections)}
		d.targets[in.ID] = s
	}
	return s
}

func newTransport(connections int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: time.Second,
		// Probes find connections whose state was lost between the two ends.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}
}

// InFlight returns the number of requests that this process has running on each target.
func (d *Dispatcher) InFlight() map[fleet.InstanceID]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[fleet.InstanceID]int, len(d.targets))
	for id, s := range d.targets {
		out[id] = s.inFlight
	}
	return out
}

// onceBody is a request body that remembers whether any of it was read: a request whose body
// was partly read cannot be sent again.
type onceBody struct {
	r    io.ReadCloser
	read bool
}

func (b *onceBody) Read(p []byte) (int, error) {
	b.read = true
	return b.r.Read(p)
}

// Close leaves the caller's body open: the server closes it, and another attempt may need it.
func (b *onceBody) Close() error { return nil }
