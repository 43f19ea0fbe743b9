package standin

import (
	"net"
	"net/http"
	"sync/atomic"
)

// Counters counts what a platform has served since it started. GET /counters returns it.
type Counters struct {
	Writes  int64 `json:"writes"`  // commits applied
	Reads   int64 `json:"reads"`   // queries served
	Lists   int64 `json:"lists"`   // requests for the instance list, including those answered with 304
	Objects int64 `json:"objects"` // requests to read or write an object
	Rows    int64 `json:"rows"`    // rows written or deleted by applied commits
	Refused int64 `json:"refused"` // commits refused because a version check failed
	Bytes   int64 `json:"bytes"`   // sent and received on the connections of [Platform.Listener]
}

// counts holds the counters that are not exported fields of Platform.
type counts struct {
	lists, objects, rows, refused, bytes atomic.Int64
}

// Counters returns a copy of the platform's counters.
func (p *Platform) Counters() Counters {
	c := &p.counts
	return Counters{
		Writes: p.Writes.Load(), Reads: p.Reads.Load(), Lists: c.lists.Load(), Objects: c.objects.Load(),
		Rows: c.rows.Load(), Refused: c.refused.Load(), Bytes: c.bytes.Load(),
	}
}

// Listener wraps l so that the bytes sent and received on its connections are counted.
func (p *Platform) Listener(l net.Listener) net.Listener {
	return countingListener{l, &p.counts.bytes}
}

// countingListener adds the bytes of its connections to bytes.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// countingConn adds the bytes that it reads and writes to bytes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (p *Platform) serveCounters(w http.ResponseWriter) { writeJSON(w, http.StatusOK, p.Counters()) }
