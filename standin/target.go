package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one execution of a request, as the target recorded it.
type Run struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Team           string `json:"team"`
	Queue          string `json:"queue"`
	StartMS        int64  `json:"start_ms"` // milliseconds since the Unix epoch
	EndMS          int64  `json:"end_ms"`   // milliseconds since the Unix epoch; 0 while it runs
	Cancelled      bool   `json:"cut"`      // the client cancelled the request before the run ended
}

// TargetFaults are the failures that a target simulates. POST /faults sets them.
type TargetFaults struct {
	FailAll          bool  `json:"fail_all"`  // responds with 500 at once
	Unresponsive     bool  `json:"silent"`    // accepts requests but never responds, on connections opened before the fault was set
	SwapResponses    bool  `json:"crossed"`   // swaps the responses of two requests that run at the same time
	PreviousResponse bool  `json:"late"`      // responds to each request with the response to the previous one
	Truncate         bool  `json:"truncate"`  // sends half of the response body, then closes the connection
	DelayMS          int64 `json:"delay_ms"`  // added to each run
	Drain            bool  `json:"drain"`     // the admission check refuses all new requests
	RebootMS         int64 `json:"reboot_ms"` // closes all connections and refuses new ones and requests for this long

	since time.Time // when the faults were set
}

// Target is an HTTP server that stands in for a target: it admits a limited number of requests,
// waits for the duration of a run and responds with the request's ID and body.
type Target struct {
	Slots       int           // requests that run at once; the admission check refuses more
	Connections int           // open connections; further ones are closed at once; 0 means no limit
	RunDuration time.Duration // duration of a run; the request header Work-Ms, in milliseconds, overrides it

	mu               sync.Mutex
	conns            map[net.Conn]struct{}
	swapPartner      chan response // set while a request waits for another one to swap responses with
	previousResponse response      // response to the previous request, for the fault PreviousResponse
	running          int
	runs             []*Run
	faults           TargetFaults
	rebootUntil      time.Time
}

// SetFaults replaces the simulated failures. If f.RebootMS is set, it closes all connections.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.since = time.Now()
	t.faults = f
	if f.RebootMS > 0 {
		t.rebootUntil = time.Now().Add(time.Duration(f.RebootMS) * time.Millisecond)
		for c := range t.conns {
			_ = c.(*targetConn).Conn.Close()
		}
	}
}

// Runs returns the runs of this target in the order of their starts.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Run, len(t.runs))
	for i, r := range t.runs {
		out[i] = *r
	}
	return out
}

// ServeHTTP runs a request. POST /faults sets the faults, and GET /runs returns the runs.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/faults":
		var f TargetFaults
		if decodeJSON(w, r, &f) {
			t.SetFaults(f)
		}
		return
	case "/runs":
		writeJSON(w, http.StatusOK, t.Runs())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run, f, ok := t.startRun(r)
	if !ok {
		w.Header().Set("Citronknot-Run", "not_run")
		w.Header().Set("Citronknot-Request-Id", r.Header.Get("Citronknot-Request-Id"))
		http.Error(w, "guard: no slot", http.StatusServiceUnavailable)
		return
	}
	cancelled := !waitFor(r, t.runDuration(r, f))
	t.endRun(run, cancelled)
	t.writeResponse(w, r, f, run, body)
}

// startRun takes a slot and records a run. It returns false if the admission check refuses the
// request.
func (t *Target) startRun(r *http.Request) (*Run, TargetFaults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.Slots || t.faults.Drain || time.Now().Before(t.rebootUntil) {
		return nil, t.faults, false
	}
	t.running++
	run := &Run{
		RequestID:      r.Header.Get("Citronknot-Request-Id"),
		IdempotencyKey: r.Header.Get("Citronknot-Idempotency-Key"),
		Team:           r.Header.Get("Citronknot-Team"),
		Queue:          r.Header.Get("Citronknot-Queue"),
		StartMS:        time.Now().UnixMilli(),
	}
	t.runs = append(t.runs, run)
	return run, t.faults, true
}

// endRun frees the slot of a run and records its end.
func (t *Target) endRun(run *Run, cancelled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	run.EndMS = time.Now().UnixMilli()
	run.Cancelled = cancelled
}

// runDuration returns how long a request runs under the faults f.
func (t *Target) runDuration(r *http.Request, f TargetFaults) time.Duration {
	d := t.RunDuration
	if ms, err := strconv.Atoi(r.Header.Get("Work-Ms")); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if f.FailAll {
		return 0
	}
	return d + time.Duration(f.DelayMS)*time.Millisecond
}

// response is the ID and body that the target sends for a request.
type response struct {
	requestID string
	body      []byte
}

// writeResponse sends the response to a run, as the faults f change it.
func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, f TargetFaults, run *Run, body []byte) {
	if f.Unresponsive && openedAt(r.Context()).Before(f.since) {
		<-r.Context().Done()
		return
	}
	resp := response{requestID: run.RequestID, body: append([]byte("ran "+run.RequestID+"\n"), body...)}
	switch {
	case f.SwapResponses:
		resp = t.swapResponse(r, resp)
	case f.PreviousResponse:
		t.mu.Lock()
		resp, t.previousResponse = t.previousResponse, resp
		t.mu.Unlock()
	}
	w.Header().Set("Citronknot-Request-Id", resp.requestID)
	if f.FailAll {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	if f.Truncate {
		_, _ = w.Write(resp.body[:len(resp.body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(resp.body)
}

// swapTimeout limits the wait for a second request to swap responses with.
const swapTimeout = 100 * time.Millisecond

// swapResponse exchanges resp with the response of another running request. If there is none
// within swapTimeout, it returns resp with a wrong request ID.
func (t *Target) swapResponse(r *http.Request, resp response) response {
	t.mu.Lock()
	if partner := t.swapPartner; partner != nil {
		t.swapPartner = nil
		t.mu.Unlock()
		other := <-partner
		partner <- resp
		return other
	}
	exchange := make(chan response)
	t.swapPartner = exchange
	t.mu.Unlock()
	timer := time.NewTimer(swapTimeout)
	defer timer.Stop()
	select {
	case exchange <- resp:
		return <-exchange
	case <-timer.C:
	case <-r.Context().Done():
	}
	t.mu.Lock()
	unpaired := t.swapPartner == exchange
	if unpaired {
		t.swapPartner = nil
	}
	t.mu.Unlock()
	if unpaired {
		return response{requestID: "crossed-" + resp.requestID, body: resp.body}
	}
	exchange <- resp
	return <-exchange
}

// Listener wraps the listener of a target's server. It limits the number of open connections,
// and allows a simulated reboot to close them.
func (t *Target) Listener(l net.Listener) net.Listener {
	return &targetListener{Listener: l, target: t}
}

// targetListener accepts connections up to the target's limit.
type targetListener struct {
	net.Listener
	target *Target
}

// targetConn removes itself from its target's open connections when it is closed.
type targetConn struct {
	net.Conn
	target *Target
}

// Accept implements net.Listener.
func (l *targetListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tc := &targetConn{Conn: c, target: l.target}
		if l.target.admitConn(tc) {
			return tc, nil
		}
		_ = c.Close()
	}
}

// admitConn records an open connection. It returns false at the limit and during a reboot.
func (t *Target) admitConn(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Connections > 0 && len(t.conns) >= t.Connections || time.Now().Before(t.rebootUntil) {
		return false
	}
	if t.conns == nil {
		t.conns = map[net.Conn]struct{}{}
	}
	t.conns[c] = struct{}{}
	return true
}

// Close implements net.Conn.
func (c *targetConn) Close() error {
	c.target.mu.Lock()
	delete(c.target.conns, c)
	c.target.mu.Unlock()
	return c.Conn.Close()
}

// openedKey is the context key of the time at which a connection was opened.
type openedKey struct{}

// ConnContext returns a context that holds the time at which the connection was opened. The
// http.Server of a Target needs it as its ConnContext: the fault Unresponsive affects only
// connections that were opened before the fault was set.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

func openedAt(ctx context.Context) time.Time {
	t, _ := ctx.Value(openedKey{}).(time.Time)
	return t
}

// waitFor waits for d and returns false if the request is cancelled before.
func waitFor(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
