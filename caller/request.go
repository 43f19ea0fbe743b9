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

// Names of the headers in requests and responses of callers.
const (
	HeaderAuthorization  = "Authorization"
	HeaderDeadline       = "Citronknot-Deadline"
	HeaderRun            = "Citronknot-Run"
	HeaderRequestID      = "Citronknot-Request-Id"
	HeaderRepeat         = "Citronknot-Repeat" // "true" on a replayed response
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// maxIdempotencyKeyBytes limits the length of an idempotency key.
	maxIdempotencyKeyBytes = 128
	// maxHeadBytes limits the head of a request.
	maxHeadBytes = 16 << 10
	// MaxHeaderBytes is the value of http.Server.MaxHeaderBytes for the callers' listener. It
	// is above maxHeadBytes, so that a head that is slightly too large gets a response that
	// names the limit.
	MaxHeaderBytes = 64 << 10
)

// Request is the validated head of a caller's request, with its scheduling state.
type Request struct {
	ID             fleet.RequestID
	Queue          fleet.Queue
	Team           fleet.TeamID  // empty on an open queue without a key
	Key            fleet.KeyHash // hash of the key in the request
	IdempotencyKey string
	Arrived        clock.Millis
	Deadline       clock.Millis // on the clock of this process
	FailedStarts   int          // number of targets on which the request failed before it ran

	state requestState
}

// NewRequestID returns a random id of 24 hexadecimal digits.
func NewRequestID() fleet.RequestID {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return fleet.RequestID(hex.EncodeToString(b[:]))
}

// ReadHead validates the head of r against c and returns the request with the given id, which
// arrived at now. The error is a *Problem.
func ReadHead(r *http.Request, c *fleet.Config, id fleet.RequestID, now clock.Millis) (*Request, error) {
	if n := headSize(r); n > maxHeadBytes {
		return nil, invalidField(http.StatusRequestHeaderFieldsTooLarge, "request head", fmt.Sprintf("%d bytes", n), fmt.Sprintf("up to %d bytes", maxHeadBytes))
	}
	q, ok := c.Queues[fleet.QueueID(r.PathValue("queue"))]
	if !ok {
		return nil, invalidField(http.StatusNotFound, "queue", r.PathValue("queue"), "the id of a queue")
	}
	for _, name := range []string{HeaderAuthorization, HeaderIdempotencyKey, HeaderDeadline} {
		if len(r.Header.Values(name)) > 1 {
			return nil, invalidField(http.StatusBadRequest, name, "repeated", "one value")
		}
	}
	hash, err := bearerHash(r)
	if err != nil {
		return nil, err
	}
	callerKey, err := authorize(c, q, hash)
	if err != nil {
		return nil, err
	}
	idempotency, err := readIdempotencyKey(r, q)
	if err != nil {
		return nil, err
	}
	timeout, err := readDeadline(r, q)
	if err != nil {
		return nil, err
	}
	return &Request{
		ID: id, Queue: q, Team: callerKey.Team, Key: callerKey.Hash, IdempotencyKey: idempotency,
		Arrived: now, Deadline: now + timeout,
	}, nil
}

// headSize returns the approximate size of the head of r on the wire, in bytes.
func headSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func readIdempotencyKey(r *http.Request, q fleet.Queue) (string, error) {
	values := r.Header.Values(HeaderIdempotencyKey)
	if len(values) == 0 && q.Idempotent {
		return "", nil
	}
	accepted := fmt.Sprintf("1 to %d visible ASCII characters", maxIdempotencyKeyBytes)
	if len(values) == 0 {
		return "", invalidField(http.StatusBadRequest, HeaderIdempotencyKey, "", accepted+", required on a queue that is not idempotent")
	}
	key := values[0]
	visible := func(b rune) bool { return b > ' ' && b <= '~' }
	if key == "" || len(key) > maxIdempotencyKeyBytes || strings.ContainsFunc(key, func(b rune) bool { return !visible(b) }) {
		return "", invalidField(http.StatusBadRequest, HeaderIdempotencyKey, key, accepted)
	}
	return key, nil
}

func readDeadline(r *http.Request, q fleet.Queue) (clock.Millis, error) {
	values := r.Header.Values(HeaderDeadline)
	if len(values) == 0 {
		return q.DefaultDeadline, nil
	}
	ms, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil || ms < 1 || clock.Millis(ms) > q.MaxDeadline {
		return 0, invalidField(http.StatusBadRequest, HeaderDeadline, values[0], fmt.Sprintf("1 to %d milliseconds", q.MaxDeadline))
	}
	return clock.Millis(ms), nil
}
