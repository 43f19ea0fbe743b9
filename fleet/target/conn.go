package target

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// errBlocked is returned by a write that would send a request for the second time.
var errBlocked = errors.New("target: an earlier connection took bytes of this request")

// countingConn counts the bytes that were written to it. A request of which no byte was written
// cannot have run.
type countingConn struct {
	net.Conn
	written atomic.Int64
	blocked atomic.Bool
}

func (c *countingConn) Write(b []byte) (int, error) {
	if c.blocked.Load() {
		return 0, errBlocked
	}
	// The bytes are counted before the write, because another goroutine may read the count
	// during the write. Bytes that the kernel did not accept are subtracted afterwards.
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n - len(b)))
	return n, err
}

// usage records the connections that one attempt uses. The transport uses another connection
// when it finds the first one closed.
type usage struct {
	mu          sync.Mutex
	conns       []usedConn
	inlineConns [1]usedConn // holds the only connection in the usual case without an allocation
}

type usedConn struct {
	conn          *countingConn
	writtenBefore int64 // in bytes, by earlier attempts
}

// addConn records a connection before the request is written to it. If an earlier connection
// accepted bytes of the request, writes to this one are blocked, so that the transport cannot
// send a request twice by its own retries.
func (u *usage) addConn(netConn net.Conn) {
	counting, ok := netConn.(*countingConn)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sentLocked() {
		counting.blocked.Store(true)
	}
	if u.conns == nil {
		u.conns = u.inlineConns[:0]
	}
	u.conns = append(u.conns, usedConn{conn: counting, writtenBefore: counting.written.Load()})
}

// sent reports whether any connection accepted a byte of the request. No other code decides
// from the connections that a request was not run (invariant I7).
func (u *usage) sent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sentLocked()
}

func (u *usage) sentLocked() bool {
	for _, c := range u.conns {
		if c.conn.written.Load() > c.writtenBefore {
			return true
		}
	}
	return false
}
