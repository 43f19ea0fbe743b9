package target_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/fleet/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script serves one connection to a target; n counts the connections from 1.
type script func(n int, c *peerConn)

// peerConn is the target's end of a connection.
type peerConn struct {
	net.Conn
	r *bufio.Reader
}

// request reads one request with its body and returns its id, or false at the connection's end.
func (c *peerConn) request() (id string, r *http.Request, ok bool) {
	r, err := http.ReadRequest(c.r)
	if err != nil {
		return "", nil, false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return "", nil, false
	}
	return r.Header.Get(target.HeaderRequestID), r, true
}

func (c *peerConn) write(format string, args ...any) {
	_, _ = fmt.Fprintf(c, strings.ReplaceAll(format, "\n", "\r\n"), args...)
}

// answer sends a short complete response.
func (c *peerConn) answer(id string) {
	c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nContent-Length: 2\n\nok", id)
}

func (c *peerConn) refuse(id string) {
	c.write("HTTP/1.1 503 Busy\nCitronknot-Run: not_run\nCitronknot-Request-Id: %s\nContent-Length: 0\n\n", id)
}

// serve answers every request of a connection.
func serve(_ int, c *peerConn) {
	for {
		id, _, ok := c.request()
		if !ok {
			return
		}
		c.answer(id)
	}
}

// network connects a dispatcher to scripted targets over pipes.
type network struct {
	scripts map[string]script
	count   map[string]int
	mu      sync.Mutex
	wait    sync.WaitGroup
	ends    []net.Conn
}

func (n *network) dial(_ context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.scripts[addr]
	if !ok {
		return nil, errors.New("connection refused")
	}
	n.count[addr]++
	k := n.count[addr]
	mine, theirs := net.Pipe()
	n.ends = append(n.ends, theirs)
	n.wait.Go(func() {
		defer theirs.Close()
		s(k, &peerConn{Conn: theirs, r: bufio.NewReader(theirs)})
	})
	return mine, nil
}

func (n *network) dials(addr string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.count[addr]
}

// fixture is a dispatcher with scripted targets named a, b, ...
type fixture struct {
	*target.Dispatcher
	net      *network
	snapshot atomic.Pointer[target.Snapshot]
	ids      atomic.Int64

	mu       sync.Mutex
	observed []target.Observation
}

func newFixture(t *testing.T, scripts ...script) *fixture {
	t.Helper()
	f := &fixture{net: &network{scripts: map[string]script{}, count: map[string]int{}}}
	s := &target.Snapshot{MaxEjected: 1}
	for i, sc := range scripts {
		id := string(rune('a' + i))
		f.net.scripts[id+":1"] = sc
		s.Targets = append(s.Targets, fleet.Instance{ID: fleet.InstanceID(id), Zone: "z", Address: id + ":1", Slots: 8, Connections: 64})
	}
	f.snapshot.Store(s)
	start := time.Now()
	f.Dispatcher = &target.Dispatcher{
		Clock: clock.Clock{NowFunc: func() clock.Millis { return clock.Of(time.Since(start)) }},
		Zone:  "z", Dial: f.net.dial,
		Serving: func(fleet.PoolID) *target.Snapshot { return f.snapshot.Load() },
		Observe: func(o target.Observation) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.observed = append(f.observed, o)
		},
	}
	t.Cleanup(f.close)
	return f
}

func (f *fixture) close() {
	f.Close()
	f.net.mu.Lock()
	for _, c := range f.net.ends {
		_ = c.Close()
	}
	f.net.mu.Unlock()
	f.net.wait.Wait()
}

func (f *fixture) results() []target.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]target.Result, 0, len(f.observed))
	for _, o := range f.observed {
		out = append(out, o.Result)
	}
	return out
}

// outcome is what the caller of one request saw.
type outcome struct {
	*httptest.ResponseRecorder
	err     error
	aborted bool
}

// sent reports whether the dispatcher said that the request may have run.
func (o outcome) sent() bool {
	var e *target.Error
	return errors.As(o.err, &e) && e.Sent
}

type call struct {
	idempotent bool
	body       io.Reader
	length     int64         // of the body, if its type does not say
	deadline   time.Duration // 5 s if 0
	header     http.Header
	ctx        context.Context
}

// forward sends one request through the dispatcher.
func (f *fixture) forward(c call) (o outcome) {
	if c.deadline == 0 {
		c.deadline = 5 * time.Second
	}
	if c.ctx == nil {
		c.ctx = context.Background()
	}
	r := httptest.NewRequestWithContext(c.ctx, http.MethodPost, "/", c.body)
	if c.length > 0 {
		r.ContentLength = c.length
	}
	for k, v := range c.header {
		r.Header[k] = v
	}
	o.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler { //nolint:errorlint // a panic value
				panic(p)
			}
			o.aborted = true
		}
	}()
	o.err = f.Forward(o.ResponseRecorder, r, target.Request{
		ID: fleet.RequestID(fmt.Sprintf("r%d", f.ids.Add(1))), Pool: "p", Idempotent: c.idempotent,
		Deadline: f.Clock.Now() + clock.Of(c.deadline),
	})
	return o
}
