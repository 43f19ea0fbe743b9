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

// Names of the headers of the requests and responses between a member and a target. The
// caller's Idempotency-Key is sent under another name, because the transport of net/http retries
// requests that carry that header.
const (
	HeaderRequestID      = "Citronknot-Request-Id"
	HeaderIdempotencyKey = "Citronknot-Idempotency-Key"
	HeaderTeam           = "Citronknot-Team"
	HeaderQueue          = "Citronknot-Queue"
	HeaderDeadline       = "Citronknot-Deadline" // remaining time in milliseconds
	HeaderRun            = "Citronknot-Run"      // whether the request ran: "ran" or "not_run"
)

// Request describes a request to be run by a target of Pool.
type Request struct {
	ID             fleet.RequestID
	Team           fleet.TeamID
	Queue          fleet.QueueID
	Pool           fleet.PoolID
	IdempotencyKey string       // empty if the caller gave none
	Idempotent     bool         // may run more than once, and so may be retried
	Deadline       clock.Millis // on the clock of the Dispatcher
}

// newRequest returns the HTTP request of one attempt. remaining is the time until the deadline.
// GetBody stays unset, so that the transport cannot send the body again by its own retries.
func newRequest(ctx context.Context, header http.Header, request *Request, addr string, remaining clock.Millis) *http.Request {
	httpRequest := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: addr, Path: "/"}, Host: addr,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
	}
	header[HeaderDeadline] = []string{strconv.FormatInt(int64(remaining), 10)}
	return httpRequest.WithContext(ctx)
}

// targetHeader returns the header of the request to a target, built from the caller's header.
func targetHeader(callerHeader http.Header, request *Request) http.Header {
	header := make(http.Header, len(callerHeader)+6)
	for k, v := range callerHeader {
		switch {
		case hopByHop(k):
			continue
		case k == "Authorization" || k == "Idempotency-Key" || k == "X-Idempotency-Key" || k == "Expect":
			continue
		case strings.HasPrefix(k, "Citronknot-"):
			continue
		}
		header[k] = v
	}
	removeConnectionHeaders(header, callerHeader)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps the transport from adding its own
	}
	values := [...]string{string(request.ID), string(request.Team), string(request.Queue), request.IdempotencyKey}
	header[HeaderRequestID] = values[0:1:1]
	header[HeaderTeam] = values[1:2:2]
	header[HeaderQueue] = values[2:3:3]
	if request.IdempotencyKey != "" {
		header[HeaderIdempotencyKey] = values[3:4:4]
	}
	return header
}

// copyHeader sets dst, the header of the response to the caller, from src, the header of the
// target's response.
func copyHeader(dst, src http.Header, request *Request) {
	for k, v := range src {
		if !hopByHop(k) {
			dst[k] = v
		}
	}
	removeConnectionHeaders(dst, src)
	values := [...]string{"ran", string(request.ID)}
	dst[HeaderRun] = values[0:1:1]
	dst[HeaderRequestID] = values[1:2:2]
}

// removeConnectionHeaders deletes the headers that the Connection header of source names.
// net/http removes a Connection header that contains close, so other names in it cannot be
// recognized here.
func removeConnectionHeaders(header, source http.Header) {
	for _, line := range source["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(header, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
}

// hopByHop reports whether a header applies to a single connection and must not be forwarded.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
