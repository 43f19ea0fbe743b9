package target

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// errBlocked is returned for a write that would send a request a second time.
var errBlocked = errors.New("target: an earlier connection took bytes of this request")

// conn counts the bytes that it took, so that a request can be known not to have run.
type conn struct {
	net.Conn
	written atomic.Int64
	blocked atomic.Bool
}

func (c *conn) Write(b []byte) (int, error) {
	if c.blocked.Load() {
		return 0, errBlocked
	}
	// Counted before the write, because another goroutine may ask while it is under way. What
	// the kernel did not accept is subtracted afterwards.
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n - len(b)))
	return n, err
}

// usage records the connections that one attempt uses. The transport may use more than one
// when a connection turns out to be closed.
type usage struct {
	mu    sync.Mutex
	conns []usedConn
	space [1]usedConn // avoids an allocation in the usual case
}

type usedConn struct {
	conn *conn
	from int64 // bytes written before this attempt
}

// use records a connection before the request is written to it. A connection that follows one
// which took bytes is blocked, so that the transport's own repeats never send a request twice.
func (u *usage) use(nc net.Conn) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sentLocked() {
		c.blocked.Store(true)
	}
	if u.conns == nil {
		u.conns = u.space[:0]
	}
	u.conns = append(u.conns, usedConn{conn: c, from: c.written.Load()})
}

// sent reports whether any connection took a byte of the request. It is the one place that
// decides from the connections whether "not run" is true (I7).
func (u *usage) sent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sentLocked()
}

func (u *usage) sentLocked() bool {
	for _, c := range u.conns {
		if c.conn.written.Load() > c.from {
			return true
		}
	}
	return false
}
