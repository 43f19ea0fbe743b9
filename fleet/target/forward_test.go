package target_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/fleet/target"
)

// A target that closes the connection at any point of a request must cause neither a second run
// of the request nor the outcome not_run for a request that may have run (invariants I7, I8).
func TestClosedConnections(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 32<<10)
	for _, c := range []struct {
		name       string
		idempotent bool
		body       []byte
		script     func(received *atomic.Int32) script
		received   int32
		completed  bool
		sent       bool
	}{
		{name: "after the request, without body", script: closeAfterRequest, received: 1, sent: true},
		{name: "after the request, with body", body: body, script: closeAfterRequest, received: 1, sent: true},
		{name: "after the request, idempotent", idempotent: true, script: closeAfterRequest, received: 2, completed: true},
		{name: "during the request", body: body, script: closeDuringRequest, received: 1, sent: true},
		{name: "during the request, idempotent", idempotent: true, body: body, script: closeDuringRequest, received: 2, completed: true},
		{name: "before the request", script: closeWhenIdle, received: 1, completed: true},
		{name: "before the request, with body", body: body, script: closeWhenIdle, received: 1, completed: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var received atomic.Int32
				f := newFixture(t, c.script(&received), c.script(&received))
				for range 4 { // counts for the retry budget and leaves an idle connection
					must.NoError(t, f.forward(call{header: http.Header{"Warm-Up": {"1"}}}).err)
				}
				synctest.Wait()
				o := f.forward(call{idempotent: c.idempotent, body: bytes.NewReader(c.body), header: http.Header{"Idempotency-Key": {"k"}}})
				test.Eq(t, c.completed, o.err == nil)
				test.Eq(t, c.sent, o.sent())
				test.Eq(t, c.received, received.Load())
			})
		})
	}
}

// faultOnce responds to all requests except the first one without the header Warm-Up, for which
// it calls fault and closes the connection.
func faultOnce(received *atomic.Int32, fault func(c *targetConn)) script {
	return func(_ int, c *targetConn) {
		for {
			buffered, err := c.reader.Peek(1)
			if err != nil || len(buffered) == 0 {
				return
			}
			buffered, _ = c.reader.Peek(c.reader.Buffered())
			warmUp := bytes.Contains(buffered, []byte("Warm-Up"))
			if !warmUp && received.Add(1) == 1 {
				fault(c)
				return
			}
			id, _, ok := c.request()
			if !ok {
				return
			}
			c.respond(id)
		}
	}
}

// closeAfterRequest closes the connection after it has read the request.
func closeAfterRequest(received *atomic.Int32) script {
	return faultOnce(received, func(c *targetConn) { _, _, _ = c.request() })
}

// closeDuringRequest closes the connection after it has read the first bytes of the request.
func closeDuringRequest(received *atomic.Int32) script {
	return faultOnce(received, func(c *targetConn) { _, _ = c.reader.Discard(c.reader.Buffered()) })
}

// closeWhenIdle closes each connection after the first response.
func closeWhenIdle(received *atomic.Int32) script {
	return func(_ int, c *targetConn) {
		id, r, ok := c.request()
		if !ok {
			return
		}
		if r.Header.Get("Warm-Up") == "" {
			received.Add(1)
		}
		c.respond(id)
	}
}

// The transport of net/http retries a request with an Idempotency-Key header when a reused
// connection breaks. The key must not reach it under that name.
func TestTransportDoesNotRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received atomic.Int32
		keys := make(chan string, 10)
		f := newFixture(t, func(n int, c *targetConn) {
			for {
				id, r, ok := c.request()
				if !ok {
					return
				}
				keys <- r.Header.Get("Idempotency-Key") + r.Header.Get("X-Idempotency-Key")
				if received.Add(1); n == 1 && received.Load() > 1 {
					return
				}
				c.respond(id)
			}
		})
		h := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
		must.NoError(t, f.forward(call{header: h}).err)
		test.True(t, f.forward(call{header: h}).sent())
		test.Eq(t, 2, received.Load())
		test.Eq(t, "", <-keys+<-keys)
	})
}

// A request that reached a target counts as not run only after a refusal by the guard, and only
// if the refusal carries the id of the request.
func TestGuardRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuseAs := func(id func(string) string) script {
			return func(_ int, c *targetConn) {
				for {
					requestID, _, ok := c.request()
					if !ok {
						return
					}
					c.refuse(id(requestID))
				}
			}
		}
		sameID := func(id string) string { return id }
		f := newFixture(t, refuseAs(sameID), respondToAll)
		for range 20 {
			must.NoError(t, f.forward(call{body: strings.NewReader("body")}).err)
		}
		test.SliceContains(t, f.results(), target.Refused)

		f = newFixture(t, refuseAs(sameID))
		o := f.forward(call{})
		must.Error(t, o.err)
		test.False(t, o.sent())

		f = newFixture(t, refuseAs(func(string) string { return "another" }), refuseAs(func(string) string { return "" }))
		for range 2 {
			o = f.forward(call{})
			must.Error(t, o.err)
			test.True(t, o.sent())
		}
		test.Eq(t, []target.Result{target.Mismatched, target.Mismatched}, f.results())
	})
}

// If the first attempt may have run, the outcome must stay unknown although the target of the
// retry refused the request.
func TestOutcomeAfterRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received atomic.Int32
		closeThenRefuse := func(_ int, c *targetConn) {
			id, _, ok := c.request()
			if ok && received.Add(1) > 1 {
				c.refuse(id)
			}
		}
		f := newFixture(t, closeThenRefuse, closeThenRefuse)
		o := f.forward(call{idempotent: true})
		test.Eq(t, 2, received.Load())
		test.True(t, o.sent())
	})
}

// An incomplete response, or one to another request, must not reach the caller as the response
// to its request, and its connection must not be used again (invariant I6).
func TestInvalidResponses(t *testing.T) {
	longBody := 1 << 20
	for _, c := range []struct {
		name    string
		respond func(c *targetConn, id string)
		result  target.Result
		aborted bool
	}{
		{"crossed", func(c *targetConn, _ string) { c.respond("another") }, target.Mismatched, false},
		{"crossed without body", func(c *targetConn, _ string) {
			c.write("HTTP/1.1 204 None\nCitronknot-Request-Id: another\n\n")
		}, target.Mismatched, false},
		{"without id", func(c *targetConn, _ string) { c.write("HTTP/1.1 200 OK\nContent-Length: 2\n\nok") }, target.Mismatched, false},
		{"without length", func(c *targetConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\n\nok", id)
			_ = c.Close()
		}, target.Mismatched, false},
		{"switched protocol", func(c *targetConn, id string) {
			c.write("HTTP/1.1 101 Switch\nCitronknot-Request-Id: %s\nConnection: upgrade\nUpgrade: x\n\n", id)
		}, target.Mismatched, false},
		{"not_run with 200", func(c *targetConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nCitronknot-Run: not_run\nContent-Length: 0\n\n", id)
		}, target.Mismatched, false},
		{"truncated", func(c *targetConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nContent-Length: 4\n\nok", id)
			_ = c.Close()
		}, target.Broken, false},
		{"truncated long", func(c *targetConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nContent-Length: %d\n\nok", id, longBody)
			_ = c.Close()
		}, target.Broken, true},
		{"truncated chunks", func(c *targetConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nTransfer-Encoding: chunked\n\n2\nok\n", id)
			_ = c.Close()
		}, target.Broken, true},
		{"stalled", func(c *targetConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nContent-Length: 4\n\nok", id)
		}, target.Unresponsive, false},
		{"stalled long", func(c *targetConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nContent-Length: %d\n\nok", id, longBody)
		}, target.Unresponsive, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var reused atomic.Int32
				f := newFixture(t, func(n int, conn *targetConn) {
					for k := 0; ; k++ {
						id, _, ok := conn.request()
						if !ok {
							return
						}
						if n > 1 {
							conn.respond(id)
							continue
						}
						if k > 0 {
							reused.Add(1)
						}
						c.respond(conn, id)
					}
				})
				o := f.forward(call{})
				test.Eq(t, c.aborted, o.aborted)
				if !c.aborted {
					test.True(t, o.sent())
					test.Eq(t, "", o.Body.String())
				}
				o = f.forward(call{})
				must.NoError(t, o.err)
				test.Eq(t, "ok", o.Body.String())
				test.Eq(t, 0, reused.Load())
				test.Eq(t, []target.Result{c.result, target.Completed}, f.results())
				test.MapEq(t, map[fleet.InstanceID]int{"a": 0}, f.InFlight()) // an abort must release the slot
			})
		})
	}
}

// A response that arrives after the deadline of its request must not be taken for the response
// to the next request.
func TestLateResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(n int, c *targetConn) {
			first, _, _ := c.request()
			if n == 1 {
				time.Sleep(3 * time.Second)
				c.respond(first)
				return
			}
			c.respond(first)
		})
		test.True(t, f.forward(call{deadline: 2 * time.Second}).sent())
		time.Sleep(2 * time.Second)
		o := f.forward(call{})
		must.NoError(t, o.err)
		test.Eq(t, "r2", o.Header().Get(target.HeaderRequestID))
		test.Eq(t, 2, f.network.dials("a:1"))
	})
}

// Interim responses must not be forwarded as the response, and hop-by-hop headers must not be
// forwarded in either direction.
func TestHeaderFiltering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := make(chan http.Header, 1)
		f := newFixture(t, func(_ int, c *targetConn) {
			id, r, ok := c.request()
			if !ok {
				return
			}
			received <- r.Header
			c.write("HTTP/1.1 103 Early\nLink: x\n\nHTTP/1.1 102 Wait\n\n")
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nConnection: x-hop, keep-alive\nX-Hop: 1\nX-End: 1\nKeep-Alive: 5\n", id)
			c.write("Transfer-Encoding: chunked\n\n2\nok\n0\n\n")
		})
		o := f.forward(call{header: http.Header{
			"Connection": {"X-Mine, keep-alive", "x-other"}, "X-Mine": {"1"}, "X-Other": {"1"}, "X-End": {"1"}, "Te": {"trailers"},
			"Authorization": {"Bearer secret"}, "Citronknot-Team": {"forged"}, "Upgrade": {"x"}, "Expect": {"100-continue"},
		}})
		must.NoError(t, o.err)
		test.Eq(t, "ok", o.Body.String())
		test.MapEq(t, http.Header{
			"X-End": {"1"}, target.HeaderRun: {"ran"}, target.HeaderRequestID: {"r1"},
		}, o.Header())
		h := <-received
		for _, name := range []string{"Connection", "X-Mine", "X-Other", "Te", "Authorization", "Upgrade", "Expect"} {
			test.Eq(t, "", h.Get(name), test.Sprint(name))
		}
		test.Eq(t, "1", h.Get("X-End"))
		test.Eq(t, "", h.Get(target.HeaderTeam))
	})
}

// failingBody fails after n reads, like a chunked body whose caller closed its connection.
type failingBody struct{ n int }

func (b *failingBody) Read(p []byte) (int, error) {
	if b.n == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	b.n--
	return copy(p, "part"), nil
}

// A request body that is cut off must not reach a target as a complete one.
func TestBrokenRequestBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var complete atomic.Int32
		f := newFixture(t, func(_ int, c *targetConn) {
			if id, _, ok := c.request(); ok {
				complete.Add(1)
				c.respond(id)
			}
		})
		for n, sent := range map[int]bool{1: false, 20 << 10: true} {
			o := f.forward(call{body: &failingBody{n: n}})
			must.Error(t, o.err)
			test.Eq(t, sent, o.sent())
		}
		test.Eq(t, 0, complete.Load())
	})
}

// eofThenErrorBody returns io.EOF with its last bytes and an error after that, like a request
// body that the server has closed.
type eofThenErrorBody struct{ n int }

func (b *eofThenErrorBody) Read(p []byte) (int, error) {
	switch n := min(b.n, len(p)); {
	case b.n == 0:
		return 0, http.ErrBodyReadAfterClose
	case n == b.n:
		b.n = 0
		return n, io.EOF
	default:
		b.n -= n
		return n, nil
	}
}

// The transport reads a streamed body once more after its end. An error of that read must not
// break the connection while the response arrives.
func TestReadAfterEOF(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(_ int, c *targetConn) {
			if id, _, ok := c.request(); ok {
				time.Sleep(time.Millisecond) // the transport has finished with the body
				c.respond(id)
			}
		})
		o := f.forward(call{body: &eofThenErrorBody{n: 100 << 10}, length: 100 << 10})
		must.NoError(t, o.err)
		test.Eq(t, "ok", o.Body.String())
	})
}

// A body over 64 KiB is sent only once, even if the request did not run. A shorter one is sent
// again unchanged.
func TestBodyReplay(t *testing.T) {
	for _, c := range []struct {
		size      int
		completed bool
	}{{1, true}, {4096, true}, {4097, true}, {64 << 10, true}, {64<<10 + 1, false}} {
		for _, unknownLength := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				var received atomic.Int32
				script := func(_ int, conn *targetConn) {
					r, err := http.ReadRequest(conn.reader)
					if err != nil {
						return
					}
					n, _ := io.Copy(io.Discard, r.Body)
					test.Eq(t, int64(c.size), n)
					if received.Add(1) == 1 {
						conn.refuse(r.Header.Get(target.HeaderRequestID))
					} else {
						conn.respond(r.Header.Get(target.HeaderRequestID))
					}
				}
				f := newFixture(t, script, script)
				var body io.Reader = strings.NewReader(strings.Repeat("x", c.size))
				if unknownLength {
					body = struct{ io.Reader }{body}
				}
				o := f.forward(call{body: body})
				test.Eq(t, c.completed, o.err == nil)
				test.False(t, o.sent())
			})
		}
	}
}

// A failed dial has sent nothing, so the request must be sent to another target.
func TestDialFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, respondToAll, respondToAll)
		delete(f.network.scripts, "a:1")
		for range 10 {
			must.NoError(t, f.forward(call{}).err)
		}
		test.SliceContains(t, f.results(), target.Broken)
		delete(f.network.scripts, "b:1")
		f.closeConns()
		o := f.forward(call{})
		must.Error(t, o.err)
		test.False(t, o.sent())
	})
}

func (f *fixture) closeConns() {
	f.network.mu.Lock()
	for _, c := range f.network.targetEnds {
		_ = c.Close()
	}
	f.network.mu.Unlock()
	synctest.Wait()
}

// A write that the kernel did not accept has sent nothing. The retry of net/http on another
// connection must succeed.
func TestFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received atomic.Int32
		f := newFixture(t, func(_ int, c *targetConn) {
			for {
				id, _, ok := c.request()
				if !ok {
					return
				}
				received.Add(1)
				c.respond(id)
			}
		})
		var failNext atomic.Bool
		f.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := f.network.dial(ctx, network, addr)
			return &failingConn{Conn: c, failNext: &failNext}, err
		}
		must.NoError(t, f.forward(call{}).err)
		failNext.Store(true)
		must.NoError(t, f.forward(call{}).err)
		test.Eq(t, 2, received.Load())
	})
}

// failingConn fails the next write if failNext is set.
type failingConn struct {
	net.Conn
	failNext *atomic.Bool
}

func (c *failingConn) Write(b []byte) (int, error) {
	if c.failNext.Swap(false) {
		_ = c.Close()
		return 0, errors.New("broken pipe")
	}
	return c.Conn.Write(b)
}
