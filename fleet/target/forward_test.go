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

// A connection that the target closes at any point must neither repeat a request nor call one
// that may have run "not run" (I7, I8).
func TestClosedConnections(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 32<<10)
	for _, c := range []struct {
		name       string
		idempotent bool
		body       []byte
		script     func(arrived *atomic.Int32) script
		arrived    int32
		answered   bool
		sent       bool
	}{
		{name: "after the request, without body", script: closeAfter, arrived: 1, sent: true},
		{name: "after the request, with body", body: body, script: closeAfter, arrived: 1, sent: true},
		{name: "after the request, idempotent", idempotent: true, script: closeAfter, arrived: 2, answered: true},
		{name: "during the request", body: body, script: closeDuring, arrived: 1, sent: true},
		{name: "during the request, idempotent", idempotent: true, body: body, script: closeDuring, arrived: 2, answered: true},
		{name: "before the request", script: closeBefore, arrived: 1, answered: true},
		{name: "before the request, with body", body: body, script: closeBefore, arrived: 1, answered: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var arrived atomic.Int32
				f := newFixture(t, c.script(&arrived), c.script(&arrived))
				for range 4 { // budget for retries, and an idle connection
					must.NoError(t, f.forward(call{header: http.Header{"Warm-Up": {"1"}}}).err)
				}
				synctest.Wait()
				o := f.forward(call{idempotent: c.idempotent, body: bytes.NewReader(c.body), header: http.Header{"Idempotency-Key": {"k"}}})
				test.Eq(t, c.answered, o.err == nil)
				test.Eq(t, c.sent, o.sent())
				test.Eq(t, c.arrived, arrived.Load())
			})
		})
	}
}

// faulty answers warm-up requests, calls fault for the first other request and answers the rest.
func faulty(arrived *atomic.Int32, fault func(c *peerConn)) script {
	return func(_ int, c *peerConn) {
		for {
			head, err := c.r.Peek(1)
			if err != nil || len(head) == 0 {
				return
			}
			head, _ = c.r.Peek(c.r.Buffered())
			warm := bytes.Contains(head, []byte("Warm-Up"))
			if !warm && arrived.Add(1) == 1 {
				fault(c)
				return
			}
			id, _, ok := c.request()
			if !ok {
				return
			}
			c.answer(id)
		}
	}
}

func closeAfter(arrived *atomic.Int32) script {
	return faulty(arrived, func(c *peerConn) { _, _, _ = c.request() })
}

func closeDuring(arrived *atomic.Int32) script {
	return faulty(arrived, func(c *peerConn) { _, _ = c.r.Discard(c.r.Buffered()) })
}

// closeBefore closes each connection as soon as it is idle.
func closeBefore(arrived *atomic.Int32) script {
	return func(_ int, c *peerConn) {
		id, r, ok := c.request()
		if !ok {
			return
		}
		if r.Header.Get("Warm-Up") == "" {
			arrived.Add(1)
		}
		c.answer(id)
	}
}

// net/http's transport repeats a request that carries an idempotency key under its usual name
// when a used connection breaks.
func TestTransportDoesNotRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var arrived atomic.Int32
		named := make(chan string, 10)
		f := newFixture(t, func(n int, c *peerConn) {
			for {
				id, r, ok := c.request()
				if !ok {
					return
				}
				named <- r.Header.Get("Idempotency-Key") + r.Header.Get("X-Idempotency-Key")
				if arrived.Add(1); n == 1 && arrived.Load() > 1 {
					return
				}
				c.answer(id)
			}
		})
		h := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
		must.NoError(t, f.forward(call{header: h}).err)
		test.True(t, f.forward(call{header: h}).sent())
		test.Eq(t, 2, arrived.Load())
		test.Eq(t, "", <-named+<-named)
	})
}

// The target's refusal is the only response after which a request that reached a target counts
// as not run, and only if it names the request.
func TestGuardRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := func(id func(string) string) script {
			return func(_ int, c *peerConn) {
				for {
					got, _, ok := c.request()
					if !ok {
						return
					}
					c.refuse(id(got))
				}
			}
		}
		own := func(id string) string { return id }
		f := newFixture(t, refuse(own), serve)
		for range 20 {
			must.NoError(t, f.forward(call{body: strings.NewReader("body")}).err)
		}
		test.SliceContains(t, f.results(), target.Refused)

		f = newFixture(t, refuse(own))
		o := f.forward(call{})
		must.Error(t, o.err)
		test.False(t, o.sent())

		f = newFixture(t, refuse(func(string) string { return "another" }), refuse(func(string) string { return "" }))
		for range 2 {
			o = f.forward(call{})
			must.Error(t, o.err)
			test.True(t, o.sent())
		}
		test.Eq(t, []target.Result{target.Mismatched, target.Mismatched}, f.results())
	})
}

// After a retry, the outcome must stay unknown although the last target refused the request.
func TestOutcomeAfterRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var arrived atomic.Int32
		both := func(_ int, c *peerConn) {
			id, _, ok := c.request()
			if ok && arrived.Add(1) > 1 {
				c.refuse(id)
			}
		}
		f := newFixture(t, both, both)
		o := f.forward(call{idempotent: true})
		test.Eq(t, 2, arrived.Load())
		test.True(t, o.sent())
	})
}

// A response that is not the complete response to the request must not reach the caller as one,
// and its connection must not be used again (I6).
func TestBadResponses(t *testing.T) {
	long := 1 << 20
	for _, c := range []struct {
		name    string
		respond func(c *peerConn, id string)
		result  target.Result
		aborted bool
	}{
		{"crossed", func(c *peerConn, _ string) { c.answer("another") }, target.Mismatched, false},
		{"crossed without body", func(c *peerConn, _ string) {
			c.write("HTTP/1.1 204 None\nCitronknot-Request-Id: another\n\n")
		}, target.Mismatched, false},
		{"without id", func(c *peerConn, _ string) { c.write("HTTP/1.1 200 OK\nContent-Length: 2\n\nok") }, target.Mismatched, false},
		{"without length", func(c *peerConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\n\nok", id)
			_ = c.Close()
		}, target.Mismatched, false},
		{"switched protocol", func(c *peerConn, id string) {
			c.write("HTTP/1.1 101 Switch\nCitronknot-Request-Id: %s\nConnection: upgrade\nUpgrade: x\n\n", id)
		}, target.Mismatched, false},
		{"not_run with 200", func(c *peerConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nCitronknot-Run: not_run\nContent-Length: 0\n\n", id)
		}, target.Mismatched, false},
		{"truncated", func(c *peerConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nContent-Length: 4\n\nok", id)
			_ = c.Close()
		}, target.Broken, false},
		{"truncated long", func(c *peerConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nContent-Length: %d\n\nok", id, long)
			_ = c.Close()
		}, target.Broken, true},
		{"truncated chunks", func(c *peerConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nTransfer-Encoding: chunked\n\n2\nok\n", id)
			_ = c.Close()
		}, target.Broken, true},
		{"stalled", func(c *peerConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nContent-Length: 4\n\nok", id)
		}, target.Silent, false},
		{"stalled long", func(c *peerConn, id string) {
			c.write("HTTP/1.1 200 OK\nCitronknot-Request-Id: %s\nContent-Length: %d\n\nok", id, long)
		}, target.Silent, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var reused atomic.Int32
				f := newFixture(t, func(n int, pc *peerConn) {
					for k := 0; ; k++ {
						id, _, ok := pc.request()
						if !ok {
							return
						}
						if n > 1 {
							pc.answer(id)
							continue
						}
						if k > 0 {
							reused.Add(1)
						}
						c.respond(pc, id)
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
				test.Eq(t, []target.Result{c.result, target.Answered}, f.results())
				test.MapEq(t, map[fleet.InstanceID]int{"a": 0}, f.InFlight()) // an abort must not keep the slot
			})
		})
	}
}

// A response that comes after its request was given up must not answer the next request.
func TestLateResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(n int, c *peerConn) {
			first, _, _ := c.request()
			if n == 1 {
				time.Sleep(3 * time.Second)
				c.answer(first)
				return
			}
			c.answer(first)
		})
		test.True(t, f.forward(call{deadline: 2 * time.Second}).sent())
		time.Sleep(2 * time.Second)
		o := f.forward(call{})
		must.NoError(t, o.err)
		test.Eq(t, "r2", o.Header().Get(target.HeaderRequestID))
		test.Eq(t, 2, f.net.dials("a:1"))
	})
}

// Interim responses are not the response, and headers of one connection end there.
func TestHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan http.Header, 1)
		f := newFixture(t, func(_ int, c *peerConn) {
			id, r, ok := c.request()
			if !ok {
				return
			}
			got <- r.Header
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
		h := <-got
		for _, name := range []string{"Connection", "X-Mine", "X-Other", "Te", "Authorization", "Upgrade", "Expect"} {
			test.Eq(t, "", h.Get(name), test.Sprint(name))
		}
		test.Eq(t, "1", h.Get("X-End"))
		test.Eq(t, "", h.Get(target.HeaderTeam))
	})
}

// brokenBody fails like a chunked body whose caller left.
type brokenBody struct{ n int }

func (b *brokenBody) Read(p []byte) (int, error) {
	if b.n == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	b.n--
	return copy(p, "part"), nil
}

// A request body that breaks off must not reach a target as a complete one.
func TestBrokenRequestBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var complete atomic.Int32
		f := newFixture(t, func(_ int, c *peerConn) {
			if id, _, ok := c.request(); ok {
				complete.Add(1)
				c.answer(id)
			}
		})
		for n, sent := range map[int]bool{1: false, 20 << 10: true} {
			o := f.forward(call{body: &brokenBody{n: n}})
			must.Error(t, o.err)
			test.Eq(t, sent, o.sent())
		}
		test.Eq(t, 0, complete.Load())
	})
}

// endingBody returns its end with its last bytes and an error after that, like the body of a
// request whose server has closed it.
type endingBody struct{ n int }

func (b *endingBody) Read(p []byte) (int, error) {
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

// The transport reads a streamed body once more after its end. What that read returns must not
// break the connection while the response arrives.
func TestReadAfterEndOfBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(_ int, c *peerConn) {
			if id, _, ok := c.request(); ok {
				time.Sleep(time.Millisecond) // the transport has finished with the body
				c.answer(id)
			}
		})
		o := f.forward(call{body: &endingBody{n: 100 << 10}, length: 100 << 10})
		must.NoError(t, o.err)
		test.Eq(t, "ok", o.Body.String())
	})
}

// A body over 64 KB is sent once even if the request did not run; a shorter one is sent again
// unchanged.
func TestBodyReplay(t *testing.T) {
	for _, c := range []struct {
		size     int
		answered bool
	}{{1, true}, {4096, true}, {4097, true}, {64 << 10, true}, {64<<10 + 1, false}} {
		for _, hidden := range []bool{false, true} { // of unknown length
			synctest.Test(t, func(t *testing.T) {
				var arrived atomic.Int32
				script := func(_ int, pc *peerConn) {
					r, err := http.ReadRequest(pc.r)
					if err != nil {
						return
					}
					n, _ := io.Copy(io.Discard, r.Body)
					test.Eq(t, int64(c.size), n)
					if arrived.Add(1) == 1 {
						pc.refuse(r.Header.Get(target.HeaderRequestID))
					} else {
						pc.answer(r.Header.Get(target.HeaderRequestID))
					}
				}
				f := newFixture(t, script, script)
				var body io.Reader = strings.NewReader(strings.Repeat("x", c.size))
				if hidden {
					body = struct{ io.Reader }{body}
				}
				o := f.forward(call{body: body})
				test.Eq(t, c.answered, o.err == nil)
				test.False(t, o.sent())
			})
		}
	}
}

// Dials that fail have sent nothing: the request goes to another target.
func TestDialRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, serve, serve)
		delete(f.net.scripts, "a:1")
		for range 10 {
			must.NoError(t, f.forward(call{}).err)
		}
		test.SliceContains(t, f.results(), target.Broken)
		delete(f.net.scripts, "b:1")
		f.closeConns()
		o := f.forward(call{})
		must.Error(t, o.err)
		test.False(t, o.sent())
	})
}

func (f *fixture) closeConns() {
	f.net.mu.Lock()
	for _, c := range f.net.ends {
		_ = c.Close()
	}
	f.net.mu.Unlock()
	synctest.Wait()
}

// A write that the kernel did not accept has sent nothing, and net/http repeats it by itself.
func TestRefusedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var arrived atomic.Int32
		f := newFixture(t, func(_ int, c *peerConn) {
			for {
				id, _, ok := c.request()
				if !ok {
					return
				}
				arrived.Add(1)
				c.answer(id)
			}
		})
		var broken atomic.Bool
		f.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := f.net.dial(ctx, network, addr)
			return &refusingConn{Conn: c, broken: &broken}, err
		}
		must.NoError(t, f.forward(call{}).err)
		broken.Store(true)
		must.NoError(t, f.forward(call{}).err)
		test.Eq(t, 2, arrived.Load())
	})
}

// refusingConn refuses one write while broken is set.
type refusingConn struct {
	net.Conn
	broken *atomic.Bool
}

func (c *refusingConn) Write(b []byte) (int, error) {
	if c.broken.Swap(false) {
		_ = c.Close()
		return 0, errors.New("broken pipe")
	}
	return c.Conn.Write(b)
}
