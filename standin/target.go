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

// Run is one execution of a request, as the target saw it.
type Run struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Team           string `json:"team"`
	Queue          string `json:"queue"`
	StartMS        int64  `json:"start_ms"` // since the Unix epoch
	EndMS          int64  `json:"end_ms"`   // 0 while it runs
	Cut            bool   `json:"cut"`      // the caller's side ended it
}

// TargetFaults are the failures that a target can be told to show.
type TargetFaults struct {
	FailAll  bool  `json:"fail_all"`  // answers 500 at once
	Silent   bool  `json:"silent"`    // takes requests and never answers on connections open now
	Crossed  bool  `json:"crossed"`   // swaps the answers of two requests that run at the same time
	Late     bool  `json:"late"`      // answers each request with the answer to the one before it
	Truncate bool  `json:"truncate"`  // ends answers early
	DelayMS  int64 `json:"delay_ms"`  // added to each run
	Drain    bool  `json:"drain"`     // the guard refuses all new requests
	RebootMS int64 `json:"reboot_ms"` // refuses everything for this long

	from time.Time // when the failures began
}

// Target is a stand-in for a target.
type Target struct {
	Slots       int           // requests at once; the guard refuses more
	Connections int           // connections at once; more are closed at once; 0 means no limit
	Work        time.Duration // time of a run; the request header Work-Ms overrides it

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	partner  chan reply // a request that waits for another one to swap answers with
	before   reply      // the answer to the request before
	running  int
	runs     []*Run
	faults   TargetFaults
	rebootAt time.Time
}

// SetFaults replaces the failures shown.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.from = time.Now()
	t.faults = f
	if f.RebootMS > 0 {
		t.rebootAt = time.Now().Add(time.Duration(f.RebootMS) * time.Millisecond)
		for c := range t.conns {
			_ = c.(*targetConn).Conn.Close()
		}
	}
}

// Runs returns what ran here, in the order of the starts.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Run, len(t.runs))
	for i, r := range t.runs {
		out[i] = *r
	}
	return out
}

// ServeHTTP runs requests, and serves POST /faults and GET /runs to steer and watch it.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/faults":
		var f TargetFaults
		if decode(w, r, &f) {
			t.SetFaults(f)
		}
		return
	case "/runs":
		answer(w, http.StatusOK, t.Runs())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run, f, ok := t.begin(r)
	if !ok {
		w.Header().Set("Citronknot-Run", "not_run")
		w.Header().Set("Citronknot-Request-Id", r.Header.Get("Citronknot-Request-Id"))
		http.Error(w, "guard: no slot", http.StatusServiceUnavailable)
		return
	}
	cut := !wait(r, t.duration(r, f))
	t.end(run, cut)
	t.respond(w, r, f, run, body)
}

// begin takes a slot, or reports that the guard refuses the request.
func (t *Target) begin(r *http.Request) (*Run, TargetFaults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.Slots || t.faults.Drain || time.Now().Before(t.rebootAt) {
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

func (t *Target) end(run *Run, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	run.EndMS = time.Now().UnixMilli()
	run.Cut = cut
}

func (t *Target) duration(r *http.Request, f TargetFaults) time.Duration {
	d := t.Work
	if ms, err := strconv.Atoi(r.Header.Get("Work-Ms")); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if f.FailAll {
		return 0
	}
	return d + time.Duration(f.DelayMS)*time.Millisecond
}

// reply is the answer to a request.
type reply struct {
	id   string
	text []byte
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, f TargetFaults, run *Run, body []byte) {
	if f.Silent && opened(r.Context()).Before(f.from) {
		<-r.Context().Done()
		return
	}
	a := reply{id: run.RequestID, text: append([]byte("ran "+run.RequestID+"\n"), body...)}
	switch {
	case f.Crossed:
		a = t.swap(r, a)
	case f.Late:
		t.mu.Lock()
		a, t.before = t.before, a
		t.mu.Unlock()
	}
	w.Header().Set("Citronknot-Request-Id", a.id)
	if f.FailAll {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.text)))
	if f.Truncate {
		_, _ = w.Write(a.text[:len(a.text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(a.text)
}

// swapWait bounds the wait for a second request.
const swapWait = 100 * time.Millisecond

// swap exchanges a with the answer of another running request. Without one, a gets another id.
func (t *Target) swap(r *http.Request, a reply) reply {
	t.mu.Lock()
	if p := t.partner; p != nil {
		t.partner = nil
		t.mu.Unlock()
		other := <-p
		p <- a
		return other
	}
	p := make(chan reply)
	t.partner = p
	t.mu.Unlock()
	timer := time.NewTimer(swapWait)
	defer timer.Stop()
	select {
	case p <- a:
		return <-p
	case <-timer.C:
	case <-r.Context().Done():
	}
	t.mu.Lock()
	alone := t.partner == p
	if alone {
		t.partner = nil
	}
	t.mu.Unlock()
	if alone {
		return reply{id: "crossed-" + a.id, text: a.text}
	}
	p <- a
	return <-p
}

// Listener wraps the listener of a target's server: it bounds the connections and closes them
// on a reboot.
func (t *Target) Listener(l net.Listener) net.Listener {
	return &targetListener{Listener: l, target: t}
}

type targetListener struct {
	net.Listener
	target *Target
}

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
		if l.target.admit(tc) {
			return tc, nil
		}
		_ = c.Close()
	}
}

func (t *Target) admit(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Connections > 0 && len(t.conns) >= t.Connections || time.Now().Before(t.rebootAt) {
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

type openedKey struct{}

// ConnContext records when a connection was opened. A server of a target needs it as its
// ConnContext, so that silent connections can be told from new ones.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

func opened(ctx context.Context) time.Time {
	t, _ := ctx.Value(openedKey{}).(time.Time)
	return t
}

// wait reports whether d passed before the request was cancelled.
func wait(r *http.Request, d time.Duration) bool {
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
