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
	// idleTimeout is short so that a request rarely uses an idle connection that has become
	// unresponsive. The keep-alive probes close such a connection within the same time.
	idleTimeout = 3 * time.Second
)

// DialFunc opens a connection to the target at addr. Its arguments are those of
// [net.Dialer.DialContext].
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

var dialer = &net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
}

// pooledConn is a transport that holds at most one connection to a target. A transport shared by
// several connections would return a connection to its idle list before a response without body
// is verified. Here the connection is used again only after putConn.
type pooledConn struct {
	transport    http.Transport
	addr         string
	seq          atomic.Uint64 // order in which the connections to the target were opened
	lastResponse clock.Millis  // last response; guarded by the target's lock

	mu      sync.Mutex
	current net.Conn
	closed  bool
}

func newPooledConn(addr string, dial DialFunc, nextSeq func() uint64) *pooledConn {
	pooled := &pooledConn{addr: addr}
	if dial == nil {
		dial = dialer.DialContext
	}
	pooled.seq.Store(nextSeq())
	pooled.transport = http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			pooled.seq.Store(nextSeq())
			netConn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return pooled.register(netConn)
		},
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return pooled
}

// register records a connection that was just opened and wraps it in a countingConn. It fails
// if p was closed while the connection was being opened.
func (p *pooledConn) register(netConn net.Conn) (net.Conn, error) {
	counting := &countingConn{Conn: netConn}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = netConn.Close()
		return nil, eris.New("target: connection abandoned while it was opened")
	}
	p.current = counting
	return counting, nil
}

// close closes the connection. p must not be used afterwards.
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

// takeConn returns the most recently used idle connection, or a new one if none is idle. The
// limit on requests in flight therefore also limits the connections: a new one is opened only
// when all open ones have a request in flight.
func (s *targetState) takeConn(dial DialFunc) *pooledConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.idle); n > 0 {
		pooled := s.idle[n-1]
		s.idle[n-1] = nil
		s.idle = s.idle[:n-1]
		return pooled
	}
	return newPooledConn(s.instance.Address, dial, func() uint64 { return s.connsOpened.Add(1) })
}

// putConn makes a connection available again. It closes the connection if reusable is false, if
// the connection was abandoned, if the target's address changed, or if no pool lists the target.
func (s *targetState) putConn(pooled *pooledConn, reusable bool, now clock.Millis) {
	s.mu.Lock()
	pooled.lastResponse = now
	reusable = reusable && s.viewCount > 0 && pooled.seq.Load() > s.abandonedSeq && pooled.addr == s.instance.Address
	if reusable {
		s.idle = append(s.idle, pooled)
	}
	s.mu.Unlock()
	if !reusable {
		pooled.close()
	}
}

// abandon prevents the reuse of pooled, on which a request sent at sentAt got no response, and
// of all connections opened before it. It also closes the idle connections that have had no
// response since sentAt, because the loss of connection state that made pooled unresponsive may
// have affected them too. Requests in flight on other connections keep waiting.
func (s *targetState) abandon(pooled *pooledConn, sentAt clock.Millis) {
	seq := pooled.seq.Load()
	s.mu.Lock()
	s.abandonedSeq = max(s.abandonedSeq, seq)
	s.generation++
	var closing []*pooledConn
	kept := s.idle[:0]
	for _, c := range s.idle {
		if c.seq.Load() <= seq || c.lastResponse <= sentAt {
			closing = append(closing, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(s.idle[len(kept):])
	s.idle = kept
	s.mu.Unlock()
	closeAll(closing)
}

// update replaces the data of the instance and the limits derived from it. It closes the idle
// connections if the address changed.
func (s *targetState) update(instance fleet.Instance, snapshot *Snapshot, noOwnSlots bool) {
	s.mu.Lock()
	var closing []*pooledConn
	if s.instance.Address != instance.Address {
		closing, s.idle = s.idle, nil
	}
	s.instance, s.ownSlots, s.noOwnSlots = instance, snapshot.ownSlots(instance), noOwnSlots
	s.maxInFlight = min(int(instance.Slots), max(1, instance.Connections/max(1, snapshot.Members)))
	s.mu.Unlock()
	closeAll(closing)
}

// closeIdle closes the idle connections.
func (s *targetState) closeIdle() {
	s.mu.Lock()
	closing := s.idle
	s.idle = nil
	s.mu.Unlock()
	closeAll(closing)
}

func closeAll(conns []*pooledConn) {
	for _, c := range conns {
		c.close()
	}
}
