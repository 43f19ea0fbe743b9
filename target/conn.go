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
	// Counted before the write: a write that fails may still have sent some bytes.
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// attempt watches the connections that one attempt uses. The transport may use more than one
// when a connection turns out to be closed.
type attempt struct {
	mu    sync.Mutex
	conns []*conn
	from  []int64
}

// use notes a connection before the request is written to it. A connection that follows one
// which took bytes is blocked, so that the transport's own repeats never send a request twice.
func (a *attempt) use(nc net.Conn) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sentLocked() {
		c.blocked.Store(true)
	}
	a.conns = append(a.conns, c)
	a.from = append(a.from, c.written.Load())
}

// sent reports whether any connection took a byte of the request. It is the one place that
// decides whether "not run" is true.
func (a *attempt) sent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sentLocked()
}

func (a *attempt) sentLocked() bool {
	for i, c := range a.conns {
		if c.written.Load() > a.from[i] {
			return true
		}
	}
	return false
}
