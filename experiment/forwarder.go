package experiment

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"citronknot/fleet/target"
)

// forwarder is the baseline of the loopback measurement. It takes the targets in turn and
// makes no decision. It takes requests of known length only.
type forwarder struct {
	transport http.Transport
	urls      []string
	next      atomic.Uint64
}

func (f *forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := f.next.Add(1)
	// The transport sends header and body of a streamed request with two writes, which would
	// favour the entry process.
	body := make([]byte, max(0, r.ContentLength))
	if _, err := io.ReadFull(r.Body, body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out, err := http.NewRequestWithContext(r.Context(), http.MethodPost, f.urls[n%uint64(len(f.urls))], bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	out.Header = r.Header.Clone()
	out.Header.Set(target.HeaderRequestID, "request")
	resp, err := f.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	// io.Copy would allocate a buffer of 32 KB for each response.
	if answer := make([]byte, max(0, resp.ContentLength)); resp.ContentLength >= 0 {
		_, _ = io.ReadFull(resp.Body, answer)
		_, _ = w.Write(answer)
		return
	}
	_, _ = io.Copy(w, resp.Body)
}
