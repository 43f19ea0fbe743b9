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
	HeaderDeadline       = "Citronknot-Deadline"
	HeaderRun            = "Citronknot-Run"
	HeaderRequestID      = "Citronknot-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxIdempotencyKey bounds the length of an idempotency key.
const maxIdempotencyKey = 128

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

// ReadHead checks the head of r against c. It is the one place that ties work to the team of
// the key that came with it. It fails with *Problem.
func ReadHead(r *http.Request, c *fleet.Config, now clock.Millis) (*Request, error) {
	q, ok := c.Queues[fleet.QueueID(r.PathValue("queue"))]
	if !ok {
		return nil, badField(http.StatusNotFound, "queue", r.PathValue("queue"), "the id of a queue")
	}
	for _, name := range []string{"Authorization", HeaderIdempotencyKey, HeaderDeadline} {
		if len(r.Header.Values(name)) > 1 {
			return nil, badField(http.StatusBadRequest, name, "repeated", "one value")
		}
	}
	grant, err := grantOf(r, c, q)
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
		ID: NewRequestID(), Queue: q, Team: grant.Team, Key: grant.Hash, IdempotencyKey: key,
		Arrived: now, Deadline: now + wait,
	}, nil
}

func grantOf(r *http.Request, c *fleet.Config, q fleet.Queue) (fleet.Key, error) {
	text := r.Header.Get("Authorization")
	if text == "" && q.Open {
		return fleet.Key{}, nil
	}
	secret, ok := strings.CutPrefix(text, "Bearer ")
	if !ok || secret == "" || strings.ContainsAny(secret, " \t") {
		return fleet.Key{}, &Problem{
			Status: http.StatusUnauthorized, Title: "key missing or malformed", Run: NotRun,
			Field: "Authorization", Accepted: "Bearer and a key",
		}
	}
	k, ok := c.Keys[fleet.HashKey(secret)]
	if !ok {
		return fleet.Key{}, &Problem{
			Status: http.StatusForbidden, Title: "key unknown or withdrawn", Run: NotRun,
			Field: "Authorization", Accepted: "a key that is granted",
		}
	}
	return k, nil
}

func idempotencyKey(r *http.Request, q fleet.Queue) (string, error) {
	key := r.Header.Get(HeaderIdempotencyKey)
	accepted := fmt.Sprintf("1 to %d visible ASCII characters", maxIdempotencyKey)
	if key == "" && !q.Idempotent {
		return "", badField(http.StatusBadRequest, HeaderIdempotencyKey, "", accepted+" on a queue that is not idempotent")
	}
	if len(key) > maxIdempotencyKey {
		return "", badField(http.StatusBadRequest, HeaderIdempotencyKey, key[:16]+"...", accepted)
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return "", badField(http.StatusBadRequest, HeaderIdempotencyKey, key, accepted)
		}
	}
	return key, nil
}

func deadline(r *http.Request, q fleet.Queue) (clock.Millis, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return q.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || clock.Millis(ms) > q.MaxDeadline {
		return 0, badField(http.StatusBadRequest, HeaderDeadline, text, fmt.Sprintf("1 to %d milliseconds", q.MaxDeadline))
	}
	return clock.Millis(ms), nil
}
