package standin

import (
	"net"
	"net/http"
	"sync/atomic"
)

// Counters is what the platform has served. GET /counters returns it.
type Counters struct {
	Writes  int64 `json:"writes"`  // commits applied
	Reads   int64 `json:"reads"`   // queries answered
	Lists   int64 `json:"lists"`   // reads of the instance list
	Objects int64 `json:"objects"` // reads and writes of objects
	Rows    int64 `json:"rows"`    // rows written
	Refused int64 `json:"refused"` // commits with a failed check
	Bytes   int64 `json:"bytes"`   // sent and received on connections of [Platform.Listener]
}

// counts are the counters besides Writes and Reads.
type counts struct {
	lists, objects, rows, refused, bytes atomic.Int64
}

// Counters returns what the platform has served so far.
func (p *Platform) Counters() Counters {
	c := &p.counts
	return Counters{
		Writes: p.Writes.Load(), Reads: p.Reads.Load(), Lists: c.lists.Load(), Objects: c.objects.Load(),
		Rows: c.rows.Load(), Refused: c.refused.Load(), Bytes: c.bytes.Load(),
	}
}

// Listener counts the bytes of the connections that l accepts.
func (p *Platform) Listener(l net.Listener) net.Listener {
	return countingListener{l, &p.counts.bytes}
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

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

func (p *Platform) serveCounters(w http.ResponseWriter) { answer(w, http.StatusOK, p.Counters()) }
