package caller

import (
	"net/http"
	"strings"

	"citronknot/fleet"
)

// authorize returns the key under which a request on q runs: the key with the given hash, or the
// zero Key if an open queue was called without one. No other function maps a request to the team
// of its key. It runs when a request arrives and again before the request is sent to a target,
// each time against the current configuration and without a cache, so that withdrawing a key
// takes effect at once. The error is a *Problem.
func authorize(c *fleet.Config, q fleet.Queue, hash fleet.KeyHash) (fleet.Key, error) {
	if hash == "" && q.Open {
		return fleet.Key{}, nil
	}
	if hash == "" {
		return fleet.Key{}, keyProblem("key missing")
	}
	k, ok := c.Keys[hash]
	if !ok {
		return fleet.Key{}, &Problem{
			Status: http.StatusForbidden, Title: "key unknown or withdrawn", Outcome: NotRun, Reason: "key",
			Field: HeaderAuthorization, Accepted: "a key that is granted",
		}
	}
	return k, nil
}

// bearerHash returns the hash of the key in the Authorization header of r, or "" if the header is
// absent. The error is a *Problem.
func bearerHash(r *http.Request) (fleet.KeyHash, error) {
	values := r.Header.Values(HeaderAuthorization)
	if len(values) == 0 {
		return "", nil
	}
	secret, ok := strings.CutPrefix(values[0], "Bearer ")
	if !ok || secret == "" || strings.ContainsAny(secret, " \t") {
		return "", keyProblem("key malformed")
	}
	return fleet.HashKey(secret), nil
}

func keyProblem(title string) *Problem {
	return &Problem{
		Status: http.StatusUnauthorized, Title: title, Outcome: NotRun, Reason: "key",
		Field: HeaderAuthorization, Accepted: "Bearer and a key",
	}
}

// reauthorize checks a request again after it has waited for admission. Meanwhile its queue or
// key may have been withdrawn, the key may have been granted to another team, or the
// configuration may have become too old to check the key against. The error is a *Problem.
func (s *Server) reauthorize(r *Request) error {
	c := s.Config()
	q, ok := c.Queues[r.Queue.ID]
	if !ok {
		return invalidField(http.StatusNotFound, "queue", string(r.Queue.ID), "the id of a queue")
	}
	k, err := authorize(c, q, r.Key)
	if err != nil {
		return err
	}
	if k.Team != r.Team {
		return &Problem{
			Status: http.StatusForbidden, Title: "key granted to another team while waiting", Outcome: NotRun, Reason: "key",
			Field: HeaderAuthorization, Accepted: "a key whose team stays the same",
		}
	}
	return s.checkFresh(c, r)
}

// checkFresh refuses a request that has a key if the configuration cannot be confirmed as recent.
// The error is a *Problem.
func (s *Server) checkFresh(c *fleet.Config, r *Request) error {
	if r.Key == "" || s.ConfigFresh == nil || s.ConfigFresh(c.Teams[r.Team]) {
		return nil
	}
	return &Problem{
		Status: http.StatusServiceUnavailable, Title: "keys cannot be confirmed", Outcome: NotRun, Reason: "stale",
		Detail: "the configuration could not be confirmed as the newest; a key may have been withdrawn",
	}
}
