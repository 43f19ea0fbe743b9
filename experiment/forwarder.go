package experiment

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"citronknot/fleet/target"
)

// forwarder is the baseline of the loopback measurement. It forwards requests to the targets in
// turn, without admission or target selection, and supports only requests of known length.
type forwarder struct {
	transport    http.Transport
	urls         []string
	requestCount atomic.Uint64
}

func (f *forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	count := f.requestCount.Add(1)
	// The body is read first because the transport sends header and body of a streamed request with
	// two writes, which would favour the entry process in the comparison.
	body := make([]byte, max(0, r.ContentLength))
	if _, err := io.ReadFull(r.Body, body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	outgoing, err := http.NewRequestWithContext(r.Context(), http.MethodPost, f.urls[count%uint64(len(f.urls))], bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	outgoing.Header = r.Header.Clone()
	outgoing.Header.Set(target.HeaderRequestID, "request")
	resp, err := f.transport.RoundTrip(outgoing)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	// A buffer of the exact size is used because io.Copy would allocate 32 KB for each response.
	if responseBody := make([]byte, max(0, resp.ContentLength)); resp.ContentLength >= 0 {
		_, _ = io.ReadFull(resp.Body, responseBody)
		_, _ = w.Write(responseBody)
		return
	}
	_, _ = io.Copy(w, resp.Body)
}
