package caller

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"citronknot/clock"
	"citronknot/fleet"
)

// Server answers callers.
type Server struct {
	Clock  clock.Clock
	Config func() *fleet.Config
	// Fresh reports whether the configuration is recent enough to accept the keys of a team.
	// Nil means that it always is.
	Fresh func(fleet.Team) bool
	// Acquire waits for admission; see Admission.Acquire.
	Acquire func(context.Context, *Request) (release func(Outcome), err error)
	// Claim records that a request that is not idempotent is about to run. settle is called once
	// with the outcome, and with the answer if it is complete and small. A *RecordedError has its
	// answer replayed. Nil means that nothing is recorded.
	Claim func(context.Context, *Request) (settle func(Outcome, *Answer), err error)
	// Forward sends the request to a target and its answer to w. It writes nothing and returns
	// a *Problem if no answer of a target can be passed on. It panics with http.ErrAbortHandler
	// if an answer breaks off.
	Forward func(w http.ResponseWriter, r *http.Request, q *Request) (Outcome, error)
	Log     *slog.Logger
	Metrics *Metrics // nil counts nothing
}

// Handler returns the handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/queues/{queue}", s.serve)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, idOf(w), badField(http.StatusNotFound, "path", r.URL.Path, "/v1/queues/ and the id of a queue"))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Set first, so that answers of the mux, such as redirects to a clean path, have them too.
		w.Header().Set(HeaderRequestID, string(NewRequestID()))
		w.Header().Set(HeaderRun, string(NotRun))
		mux.ServeHTTP(w, r)
	})
}

func idOf(w http.ResponseWriter) fleet.RequestID {
	return fleet.RequestID(w.Header().Get(HeaderRequestID))
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := idOf(w)
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		s.refuse(w, id, badField(http.StatusMethodNotAllowed, "method", r.Method, http.MethodPost))
		return
	}
	c := s.Config()
	q, err := ReadHead(r, c, id, s.Clock.Now())
	if err == nil {
		err = s.confirm(c, q)
	}
	if err != nil {
		s.refuse(w, id, err)
		return
	}
	body := &requestBody{
		source: http.MaxBytesReader(w, r.Body, maxBody), control: http.NewResponseController(w),
		clock: s.Clock, deadline: q.Deadline,
	}
	err = body.readEarly(r.ContentLength)
	if err == nil {
		err = s.run(w, r, q, body)
	}
	var recorded *RecordedError
	switch {
	case errors.As(err, &recorded):
		s.Metrics.count(Ran, "repeat")
		replay(w, id, &recorded.Answer)
	case err != nil:
		s.refuse(w, id, err)
	default:
		s.Metrics.count(Ran, "")
	}
}

// run admits, claims and forwards a request. A request that failed before it ran is admitted
// again, until admission sets it aside.
func (s *Server) run(w http.ResponseWriter, r *http.Request, q *Request, body *requestBody) error {
	a := attempt{server: s, request: q, body: body, outcome: NotRun}
	defer a.settleClaim()
	for {
		again, err := a.once(w, r)
		if !again {
			return err
		}
	}
}

// attempt is the progress of one request through run.
type attempt struct {
	server  *Server
	request *Request
	body    *requestBody
	settle  func(Outcome, *Answer) // nil until the claim is held
	outcome Outcome
	answer  *Answer
}

// settleClaim tells the holder of the claim how the request ended, also when a panic ended it.
func (a *attempt) settleClaim() {
	if a.settle != nil {
		a.settle(a.outcome, a.answer)
	}
}

// once sends the request to a target. again is true if it failed there before it ran and can
// be sent once more.
func (a *attempt) once(w http.ResponseWriter, r *http.Request) (again bool, err error) {
	release, err := a.server.Acquire(r.Context(), a.request)
	if err != nil {
		return false, err
	}
	// The slot is free before the claim is settled, because settling waits for the store.
	defer func() { release(a.outcome) }()
	if err := a.server.reauthorize(a.request); err != nil {
		return false, err
	}
	if err := a.claim(r.Context()); err != nil {
		return false, err
	}
	if a.settle != nil {
		c := &capture{ResponseWriter: w}
		if again, err = a.forward(c, r); err == nil && a.outcome == Ran {
			a.answer = c.whole()
		}
		return again, err
	}
	return a.forward(w, r)
}

func (a *attempt) claim(ctx context.Context) error {
	if a.server.Claim == nil || a.request.Queue.Idempotent || a.settle != nil {
		return nil
	}
	settle, err := a.server.Claim(ctx, a.request)
	if err != nil {
		return err
	}
	a.settle = settle
	return nil
}

func (a *attempt) forward(w http.ResponseWriter, r *http.Request) (again bool, err error) {
	out := r.WithContext(r.Context())
	out.Body = a.body.reader()
	if a.body.complete {
		out.ContentLength = int64(len(a.body.early))
		out.TransferEncoding = nil
	}
	// A response that Forward writes comes from a target; refuse replaces the header otherwise.
	w.Header().Set(HeaderRun, string(Ran))
	a.outcome = Unknown // holds if Forward panics
	returned := false
	defer func() {
		if !returned {
			a.server.Metrics.count(Unknown, "broken_off")
		}
	}()
	a.outcome, err = a.server.Forward(w, out, a.request)
	returned = true
	if err == nil {
		return false, nil
	}
	if p := a.body.problem.Load(); p != nil {
		blamed := *p
		blamed.Run = a.outcome
		return false, &blamed
	}
	var p *Problem
	if errors.As(err, &p) && a.outcome == NotRun && p.FailedStarts > 0 {
		a.server.Metrics.failedStarts(p.FailedStarts)
		a.request.FailedStarts += p.FailedStarts
		return a.body.repeatable(), err
	}
	return false, err
}

// refuse answers with citronknot's own response.
func (s *Server) refuse(w http.ResponseWriter, id fleet.RequestID, err error) {
	var p *Problem
	if !errors.As(err, &p) {
		s.Log.Error("caller: request failed", "request_id", id, "err", err)
		p = &Problem{Status: http.StatusInternalServerError, Title: "internal error", Run: Unknown, Reason: "internal"}
	}
	reason := p.Reason
	if reason == "" {
		reason = "target"
	}
	s.Metrics.count(p.Run, reason)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTime))
	WriteProblem(w, id, p)
}
