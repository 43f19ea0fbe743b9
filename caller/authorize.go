package caller

import (
	"net/http"
	"strings"

	"citronknot/fleet"
)

// authorize returns the key under which a request on q runs: the one that came with it, or none
// on an open queue. It is the one place that ties work to the team of the key. It runs when a
// request arrives and again before it is sent to a target, each time against the configuration
// of that moment and without a cache, so that a withdrawal takes effect at once.
func authorize(c *fleet.Config, q fleet.Queue, hash fleet.KeyHash) (fleet.Key, error) {
	if hash == "" && q.Open {
		return fleet.Key{}, nil
	}
	if hash == "" {
		return fleet.Key{}, badKey("key missing")
	}
	k, ok := c.Keys[hash]
	if !ok {
		return fleet.Key{}, &Problem{
			Status: http.StatusForbidden, Title: "key unknown or withdrawn", Run: NotRun, Reason: "key",
			Field: HeaderAuthorization, Accepted: "a key that is granted",
		}
	}
	return k, nil
}

// bearerHash returns the hash of the key that came with r, or "" if none came.
func bearerHash(r *http.Request) (fleet.KeyHash, error) {
	values := r.Header.Values(HeaderAuthorization)
	if len(values) == 0 {
		return "", nil
	}
	secret, ok := strings.CutPrefix(values[0], "Bearer ")
	if !ok || secret == "" || strings.ContainsAny(secret, " \t") {
		return "", badKey("key malformed")
	}
	return fleet.HashKey(secret), nil
}

func badKey(title string) *Problem {
	return &Problem{
		Status: http.StatusUnauthorized, Title: title, Run: NotRun, Reason: "key",
		Field: HeaderAuthorization, Accepted: "Bearer and a key",
	}
}

// reauthorize checks a request again after its wait. Meanwhile its queue or key may have been
// withdrawn, the key may have been granted to another team, or the configuration may have
// become too old to tell.
func (s *Server) reauthorize(r *Request) error {
	c := s.Config()
	q, ok := c.Queues[r.Queue.ID]
	if !ok {
		return badField(http.StatusNotFound, "queue", string(r.Queue.ID), "the id of a queue")
	}
	k, err := authorize(c, q, r.Key)
	if err != nil {
		return err
	}
	if k.Team != r.Team {
		return &Problem{
			Status: http.StatusForbidden, Title: "key granted to another team while waiting", Run: NotRun, Reason: "key",
			Field: HeaderAuthorization, Accepted: "a key whose team stays the same",
		}
	}
	return s.confirm(c, r)
}

// confirm refuses a request with a key if the configuration cannot be confirmed as recent.
func (s *Server) confirm(c *fleet.Config, r *Request) error {
	if r.Key == "" || s.Fresh == nil || s.Fresh(c.Teams[r.Team]) {
		return nil
	}
	return &Problem{
		Status: http.StatusServiceUnavailable, Title: "keys cannot be confirmed", Run: NotRun, Reason: "stale",
		Detail: "the configuration could not be confirmed as the newest; a key may have been withdrawn",
	}
}
