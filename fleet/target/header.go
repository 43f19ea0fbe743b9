package target

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"citronknot/clock"
	"citronknot/fleet"
)

// Names of the headers of the targets' protocol. The caller's Idempotency-Key goes under
// another name, because net/http's transport repeats requests that carry that header.
const (
	HeaderRequestID      = "Citronknot-Request-Id"
	HeaderIdempotencyKey = "Citronknot-Idempotency-Key"
	HeaderTeam           = "Citronknot-Team"
	HeaderQueue          = "Citronknot-Queue"
	HeaderDeadline       = "Citronknot-Deadline"
	HeaderRun            = "Citronknot-Run"
)

// Request is what a target is asked to run.
type Request struct {
	ID             fleet.RequestID
	Team           fleet.TeamID
	Queue          fleet.QueueID
	Pool           fleet.PoolID
	IdempotencyKey string
	Idempotent     bool
	Deadline       clock.Millis
}

// newRequest returns the request of one attempt. GetBody stays unset, so that the transport
// cannot send the body again by itself.
func newRequest(ctx context.Context, h http.Header, q *Request, addr string, left clock.Millis) *http.Request {
	out := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: addr, Path: "/"}, Host: addr,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h,
	}
	h[HeaderDeadline] = []string{strconv.FormatInt(int64(left), 10)}
	return out.WithContext(ctx)
}

// outgoing returns the header of a request to a target, made of the caller's.
func outgoing(in http.Header, q *Request) http.Header {
	h := make(http.Header, len(in)+6)
	for k, v := range in {
		switch {
		case hopByHop(k):
			continue
		case k == "Authorization" || k == "Idempotency-Key" || k == "X-Idempotency-Key" || k == "Expect":
			continue
		case strings.HasPrefix(k, "Citronknot-"):
			continue
		}
		h[k] = v
	}
	removeNamed(h, in)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps the transport from adding its own
	}
	values := [...]string{string(q.ID), string(q.Team), string(q.Queue), q.IdempotencyKey}
	h[HeaderRequestID] = values[0:1:1]
	h[HeaderTeam] = values[1:2:2]
	h[HeaderQueue] = values[2:3:3]
	if q.IdempotencyKey != "" {
		h[HeaderIdempotencyKey] = values[3:4:4]
	}
	return h
}

// copyHeader sets the header of the response to the caller.
func copyHeader(h, from http.Header, q *Request) {
	for k, v := range from {
		if !hopByHop(k) {
			h[k] = v
		}
	}
	removeNamed(h, from)
	values := [...]string{"ran", string(q.ID)}
	h[HeaderRun] = values[0:1:1]
	h[HeaderRequestID] = values[1:2:2]
}

// removeNamed deletes the headers that the Connection header of from names. net/http drops a
// Connection header that contains close, so the other names beside close are not known here.
func removeNamed(h, from http.Header) {
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(h, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
}

// hopByHop reports whether a header concerns only one connection.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
