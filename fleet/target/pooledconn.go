package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	dialTimeout = time.Second
	// idleTimeout is short so that a request rarely meets an idle connection that has gone
	// silent. The keep-alive probes end such a connection within the same time.
	idleTimeout = 3 * time.Second
)

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

var dialer = &net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
}

// pooledConn is at most one connection to a target, with a transport of its own. A shared
// transport returns a connection to its idle list before the response is checked when the
// response has no body; here the connection is used again only after put.
type pooledConn struct {
	transport http.Transport
	addr      string
	seq       atomic.Uint64 // order in which the connections to the target were opened
	answered  clock.Millis  // last response; guarded by the target's lock

	mu      sync.Mutex
	current net.Conn
	closed  bool
}

func newPooledConn(addr string, dial DialFunc, next func() uint64) *pooledConn {
	p := &pooledConn{addr: addr}
	if dial == nil {
		dial = dialer.DialContext
	}
	p.seq.Store(next())
	p.transport = http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			p.seq.Store(next())
			nc, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return p.opened(nc)
		},
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return p
}

// opened registers a connection that was just opened, unless p was closed meanwhile.
func (p *pooledConn) opened(nc net.Conn) (net.Conn, error) {
	c := &conn{Conn: nc}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = nc.Close()
		return nil, eris.New("target: connection abandoned while it was opened")
	}
	p.current = c
	return c, nil
}

// close ends the connection; p is not used again.
func (p *pooledConn) close() {
	p.mu.Lock()
	p.closed = true
	c := p.current
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
	p.transport.CloseIdleConnections()
}

// take returns an idle connection, the one used last first, or a new one. The limit on
// requests in flight also bounds the connections: a new one is opened only when all open ones
// have a request in flight.
func (s *state) take(dial DialFunc) *pooledConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.idle); n > 0 {
		p := s.idle[n-1]
		s.idle[n-1] = nil
		s.idle = s.idle[:n-1]
		return p
	}
	return newPooledConn(s.instance.Address, dial, func() uint64 { return s.opened.Add(1) })
}

// put makes a connection available again, or closes it if it was abandoned or must not be
// reused.
func (s *state) put(p *pooledConn, reuse bool, now clock.Millis) {
	s.mu.Lock()
	p.answered = now
	reuse = reuse && s.views > 0 && p.seq.Load() > s.abandoned && p.addr == s.instance.Address
	if reuse {
		s.idle = append(s.idle, p)
	}
	s.mu.Unlock()
	if !reuse {
		p.close()
	}
}

// abandon stops the reuse of p, on which a request sent at a time went unanswered, and of all
// connections that were opened before p. It also closes the idle connections without a response
// since that request was sent: whatever lost the state of p can have lost theirs. Requests in
// flight on other connections keep waiting.
func (s *state) abandon(p *pooledConn, sent clock.Millis) {
	seq := p.seq.Load()
	s.mu.Lock()
	s.abandoned = max(s.abandoned, seq)
	s.generation++
	var old []*pooledConn
	kept := s.idle[:0]
	for _, c := range s.idle {
		if c.seq.Load() <= seq || c.answered <= sent {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(s.idle[len(kept):])
	s.idle = kept
	s.mu.Unlock()
	closeAll(old)
}

// adopt updates the instance's data. A changed address ends the idle connections.
func (s *state) adopt(in fleet.Instance, snapshot *Snapshot, shared bool) {
	s.mu.Lock()
	var old []*pooledConn
	if s.instance.Address != in.Address {
		old, s.idle = s.idle, nil
	}
	s.instance, s.part, s.shared = in, snapshot.part(in), shared
	s.limit = min(int(in.Slots), max(1, in.Connections/max(1, snapshot.Members)))
	s.mu.Unlock()
	closeAll(old)
}

// closeIdle ends the idle connections.
func (s *state) closeIdle() {
	s.mu.Lock()
	old := s.idle
	s.idle = nil
	s.mu.Unlock()
	closeAll(old)
}

func closeAll(conns []*pooledConn) {
	for _, c := range conns {
		c.close()
	}
}
