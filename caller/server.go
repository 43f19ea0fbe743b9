package caller

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"citronknot/clock"
	"citronknot/fleet"
)

// maxBody bounds the body of a request.
const maxBody = 64 << 20

// Server answers callers.
type Server struct {
	Clock  clock.Clock
	Config func() *fleet.Config
	// Fresh reports whether the configuration is recent enough to accept the keys of a team.
	// Nil means that it always is.
	Fresh func(fleet.Team) bool
	// Acquire waits for admission; see Admission.Acquire.
	Acquire func(context.Context, *Request) (release func(), err error)
	// Claim records that a request that is not idempotent is about to run. settle is told the
	// outcome. Nil means that nothing is recorded.
	Claim func(context.Context, *Request) (settle func(Outcome), err error)
	// Forward sends the request to a target and its answer to w. It writes nothing and returns
	// a *Problem if no answer of a target can be passed on.
	Forward func(w http.ResponseWriter, r *http.Request, q *Request) (Outcome, error)
	Log     *slog.Logger
}

// Handler returns the handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/queues/{queue}", s.serve)
	return mux
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	q, err := ReadHead(r, s.Config(), s.Clock.Now())
	if err != nil {
		s.refuse(w, "", err)
		return
	}
	if r.ContentLength > maxBody {
		s.refuse(w, q.ID, badField(http.StatusRequestEntityTooLarge, "Content-Length", "", "up to 64 MB"))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	if err := s.run(w, r, q); err != nil {
		s.refuse(w, q.ID, err)
	}
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, q *Request) error {
	release, err := s.Acquire(r.Context(), q)
	if err != nil {
		return err
	}
	defer release()
	if err := s.recheck(q); err != nil {
		return err
	}
	settle := func(Outcome) {}
	if s.Claim != nil && !q.Queue.Idempotent {
		if settle, err = s.Claim(r.Context(), q); err != nil {
			return err
		}
	}
	outcome := Unknown
	defer func() { settle(outcome) }()
	outcome, err = s.Forward(w, r, q)
	return err
}

// recheck looks at the key again after the wait: it may have been withdrawn meanwhile, or the
// configuration may be too old to tell.
func (s *Server) recheck(q *Request) error {
	if q.Key == "" {
		return nil
	}
	c := s.Config()
	if _, ok := c.Keys[q.Key]; !ok {
		return &Problem{Status: http.StatusForbidden, Title: "key withdrawn while waiting", Run: NotRun}
	}
	team := c.Teams[q.Team]
	if s.Fresh != nil && !s.Fresh(team) {
		return &Problem{
			Status: http.StatusServiceUnavailable, Title: "keys cannot be confirmed", Run: NotRun,
			Detail: "the configuration could not be confirmed as the newest; a key may have been withdrawn",
		}
	}
	return nil
}

func (s *Server) refuse(w http.ResponseWriter, id fleet.RequestID, err error) {
	var p *Problem
	if !errors.As(err, &p) {
		s.Log.Error("caller: request failed", "request_id", id, "err", err)
		p = &Problem{Status: http.StatusInternalServerError, Title: "internal error", Run: Unknown}
	}
	WriteProblem(w, id, p)
}
