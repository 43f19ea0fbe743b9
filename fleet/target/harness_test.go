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
type script func(n int, c *targetConn)

// targetConn is the target's end of a connection.
type targetConn struct {
	net.Conn
	reader *bufio.Reader
}

// request reads one request with its body and returns its id, or false at the connection's end.
func (c *targetConn) request() (id string, r *http.Request, ok bool) {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return "", nil, false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return "", nil, false
	}
	return r.Header.Get(target.HeaderRequestID), r, true
}

// write sends a message with each \n replaced by \r\n.
func (c *targetConn) write(format string, args ...any) {
	_, _ = fmt.Fprintf(c, strings.ReplaceAll(format, "\n", "\r\n"), args...)
}

// respond sends a short complete response.
func (c *targetConn) respond(id string) {
	c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nContent-Length: 2\n\nok", id)
}

// refuse sends the refusal of a guard.
func (c *targetConn) refuse(id string) {
	c.write("HTTP/1.1 503 Busy\nCitronknot-Run: not_run\nCitronknot-Request-Id: %s\nContent-Length: 0\n\n", id)
}

// respondToAll responds to every request of a connection.
func respondToAll(_ int, c *targetConn) {
	for {
		id, _, ok := c.request()
		if !ok {
			return
		}
		c.respond(id)
	}
}

// network connects a dispatcher to scripted targets over pipes.
type network struct {
	scripts     map[string]script
	dialCount   map[string]int
	mu          sync.Mutex
	scriptsDone sync.WaitGroup
	targetEnds  []net.Conn
}

func (n *network) dial(_ context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	script, ok := n.scripts[addr]
	if !ok {
		return nil, errors.New("connection refused")
	}
	n.dialCount[addr]++
	count := n.dialCount[addr]
	dispatcherEnd, targetEnd := net.Pipe()
	n.targetEnds = append(n.targetEnds, targetEnd)
	n.scriptsDone.Go(func() {
		defer targetEnd.Close()
		script(count, &targetConn{Conn: targetEnd, reader: bufio.NewReader(targetEnd)})
	})
	return dispatcherEnd, nil
}

// dials returns how many connections to addr were opened.
func (n *network) dials(addr string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dialCount[addr]
}

// fixture is a dispatcher with scripted targets named a, b, ...
type fixture struct {
	*target.Dispatcher
	network  *network
	snapshot atomic.Pointer[target.Snapshot]
	lastID   atomic.Int64

	mu           sync.Mutex
	observations []target.Observation
}

func newFixture(t *testing.T, scripts ...script) *fixture {
	t.Helper()
	fixture := &fixture{network: &network{scripts: map[string]script{}, dialCount: map[string]int{}}}
	snapshot := &target.Snapshot{MaxEjected: 1}
	for i, script := range scripts {
		id := string(rune('a' + i))
		fixture.network.scripts[id+":1"] = script
		snapshot.Targets = append(snapshot.Targets, fleet.Instance{ID: fleet.InstanceID(id), Zone: "z", Address: id + ":1", Slots: 8, Connections: 64})
	}
	fixture.snapshot.Store(snapshot)
	start := time.Now()
	fixture.Dispatcher = &target.Dispatcher{
		Clock: clock.Clock{NowFunc: func() clock.Millis { return clock.MillisOf(time.Since(start)) }},
		Zone:  "z", Dial: fixture.network.dial,
		Snapshot: func(fleet.PoolID) *target.Snapshot { return fixture.snapshot.Load() },
		Observe: func(observation target.Observation) {
			fixture.mu.Lock()
			defer fixture.mu.Unlock()
			fixture.observations = append(fixture.observations, observation)
		},
	}
	t.Cleanup(fixture.close)
	return fixture
}

func (f *fixture) close() {
	f.Close()
	f.network.mu.Lock()
	for _, c := range f.network.targetEnds {
		_ = c.Close()
	}
	f.network.mu.Unlock()
	f.network.scriptsDone.Wait()
}

func (f *fixture) results() []target.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	results := make([]target.Result, 0, len(f.observations))
	for _, o := range f.observations {
		results = append(results, o.Result)
	}
	return results
}

// outcome is the result of one request for its caller.
type outcome struct {
	*httptest.ResponseRecorder
	err     error
	aborted bool // the dispatcher aborted the caller's connection
}

// sent reports whether the error says that the request may have run.
func (o outcome) sent() bool {
	var e *target.Error
	return errors.As(o.err, &e) && e.Sent
}

// call describes one request.
type call struct {
	idempotent bool
	body       io.Reader
	length     int64         // of the body, if httptest cannot derive it from its type
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
		ID: fleet.RequestID(fmt.Sprintf("r%d", f.lastID.Add(1))), Pool: "p", Idempotent: c.idempotent,
		Deadline: f.Clock.Now() + clock.MillisOf(c.deadline),
	})
	return o
}
