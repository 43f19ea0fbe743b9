package caller

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"citronknot/clock"
	"citronknot/fleet"
)

// Names of the headers of the callers' protocol.
const (
	HeaderAuthorization  = "Authorization"
	HeaderDeadline       = "Citronknot-Deadline"
	HeaderRun            = "Citronknot-Run"
	HeaderRequestID      = "Citronknot-Request-Id"
	HeaderRepeat         = "Citronknot-Repeat" // "true" on a recorded answer
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// maxIdempotencyKey bounds the length of an idempotency key.
	maxIdempotencyKey = 128
	// maxHead bounds the head of a request.
	maxHead = 16 << 10
	// MaxHeaderBytes is for the http.Server of the callers' listener. It is above what is
	// accepted, so that a head that is somewhat too large gets an answer that says so.
	MaxHeaderBytes = 64 << 10
)

// Request is the accepted head of a caller's request.
type Request struct {
	ID             fleet.RequestID
	Queue          fleet.Queue
	Team           fleet.TeamID  // empty on an open queue without a key
	Key            fleet.KeyHash // the key that came with the request
	IdempotencyKey string
	Arrived        clock.Millis
	Deadline       clock.Millis // on the clock of this process
	FailedStarts   int          // targets on which the request failed before it ran

	ticket ticket
}

// NewRequestID returns a random id.
func NewRequestID() fleet.RequestID {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return fleet.RequestID(hex.EncodeToString(b[:]))
}

// ReadHead checks the head of r against c and returns the request with the given id. It fails
// with *Problem.
func ReadHead(r *http.Request, c *fleet.Config, id fleet.RequestID, now clock.Millis) (*Request, error) {
	if n := headSize(r); n > maxHead {
		return nil, badField(http.StatusRequestHeaderFieldsTooLarge, "request head", fmt.Sprintf("%d bytes", n), fmt.Sprintf("up to %d bytes", maxHead))
	}
	q, ok := c.Queues[fleet.QueueID(r.PathValue("queue"))]
	if !ok {
		return nil, badField(http.StatusNotFound, "queue", r.PathValue("queue"), "the id of a queue")
	}
	for _, name := range []string{HeaderAuthorization, HeaderIdempotencyKey, HeaderDeadline} {
		if len(r.Header.Values(name)) > 1 {
			return nil, badField(http.StatusBadRequest, name, "repeated", "one value")
		}
	}
	hash, err := bearerHash(r)
	if err != nil {
		return nil, err
	}
	grant, err := authorize(c, q, hash)
	if err != nil {
		return nil, err
	}
	key, err := idempotencyKey(r, q)
	if err != nil {
		return nil, err
	}
	wait, err := deadline(r, q)
	if err != nil {
		return nil, err
	}
	return &Request{
		ID: id, Queue: q, Team: grant.Team, Key: grant.Hash, IdempotencyKey: key,
		Arrived: now, Deadline: now + wait,
	}, nil
}

// headSize returns about the size of the head of r on the wire.
func headSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func idempotencyKey(r *http.Request, q fleet.Queue) (string, error) {
	values := r.Header.Values(HeaderIdempotencyKey)
	if len(values) == 0 && q.Idempotent {
		return "", nil
	}
	accepted := fmt.Sprintf("1 to %d visible ASCII characters", maxIdempotencyKey)
	if len(values) == 0 {
		return "", badField(http.StatusBadRequest, HeaderIdempotencyKey, "", accepted+", required on a queue that is not idempotent")
	}
	key := values[0]
	visible := func(b rune) bool { return b > ' ' && b <= '~' }
	if key == "" || len(key) > maxIdempotencyKey || strings.ContainsFunc(key, func(b rune) bool { return !visible(b) }) {
		return "", badField(http.StatusBadRequest, HeaderIdempotencyKey, key, accepted)
	}
	return key, nil
}

func deadline(r *http.Request, q fleet.Queue) (clock.Millis, error) {
	values := r.Header.Values(HeaderDeadline)
	if len(values) == 0 {
		return q.DefaultDeadline, nil
	}
	ms, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil || ms < 1 || clock.Millis(ms) > q.MaxDeadline {
		return 0, badField(http.StatusBadRequest, HeaderDeadline, values[0], fmt.Sprintf("1 to %d milliseconds", q.MaxDeadline))
	}
	return clock.Millis(ms), nil
}
