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

// Server is the HTTP server for callers' requests. It reads and authorizes a request, waits for
// its admission, claims it if it is not idempotent, and forwards it to a target.
type Server struct {
	Clock  clock.Clock
	Config func() *fleet.Config
	// ConfigFresh reports whether the configuration is recent enough to accept the keys of a team.
	// Nil means that it always is.
	ConfigFresh func(fleet.Team) bool
	// Acquire waits for admission; see Admission.Acquire.
	Acquire func(context.Context, *Request) (release func(Outcome), err error)
	// Claim records that a request that is not idempotent is about to run. The Server calls
	// settle once with the outcome, and with the response if it is complete and small enough to
	// record. If the error is a *RecordedError, the Server replays its response. Nil means that
	// nothing is recorded.
	Claim func(context.Context, *Request) (settle func(Outcome, *Response), err error)
	// Forward sends the request to a target and writes the target's response to w. If it has no
	// response of a target to pass on, it writes nothing and returns a *Problem. It panics with
	// http.ErrAbortHandler if the response ends early.
	Forward func(w http.ResponseWriter, r *http.Request, request *Request) (Outcome, error)
	Log     *slog.Logger
	Metrics *Metrics // nil counts nothing
}

// Handler returns the handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/queues/{queue}", s.serve)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, requestID(w), invalidField(http.StatusNotFound, "path", r.URL.Path, "/v1/queues/ and the id of a queue"))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Both headers are set first, so that responses of the mux also have them, such as
		// redirects to a cleaned path.
		w.Header().Set(HeaderRequestID, string(NewRequestID()))
		w.Header().Set(HeaderRun, string(NotRun))
		mux.ServeHTTP(w, r)
	})
}

func requestID(w http.ResponseWriter) fleet.RequestID {
	return fleet.RequestID(w.Header().Get(HeaderRequestID))
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := requestID(w)
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		s.refuse(w, id, invalidField(http.StatusMethodNotAllowed, "method", r.Method, http.MethodPost))
		return
	}
	c := s.Config()
	request, err := ReadHead(r, c, id, s.Clock.Now())
	if err == nil {
		err = s.checkFresh(c, request)
	}
	if err != nil {
		s.refuse(w, id, err)
		return
	}
	body := &requestBody{
		source: http.MaxBytesReader(w, r.Body, maxBodyBytes), controller: http.NewResponseController(w),
		clock: s.Clock, deadline: request.Deadline,
	}
	err = body.readEarly(r.ContentLength)
	if err == nil {
		err = s.run(w, r, request, body)
	}
	var recorded *RecordedError
	switch {
	case errors.As(err, &recorded):
		s.Metrics.count(Ran, "repeat")
		replay(w, id, &recorded.Response)
	case err != nil:
		s.refuse(w, id, err)
	default:
		s.Metrics.count(Ran, "")
	}
}

// run admits, claims and forwards a request. A request that failed on a target before it ran is
// admitted again, until admission refuses it after maxFailedStarts failures.
func (s *Server) run(w http.ResponseWriter, r *http.Request, request *Request, body *requestBody) error {
	a := attempt{server: s, request: request, body: body, outcome: NotRun}
	defer a.settleClaim()
	for {
		retry, err := a.try(w, r)
		if !retry {
			return err
		}
	}
}

// attempt is the state of one request in run.
type attempt struct {
	server   *Server
	request  *Request
	body     *requestBody
	settle   func(Outcome, *Response) // nil until the claim is held
	outcome  Outcome
	response *Response
}

// settleClaim reports the outcome of the request to the store of claims. It is also called after
// a panic.
func (a *attempt) settleClaim() {
	if a.settle != nil {
		a.settle(a.outcome, a.response)
	}
}

// try sends the request to one target after admission. retry is true if the request failed there
// before it ran and can be sent again.
func (a *attempt) try(w http.ResponseWriter, r *http.Request) (retry bool, err error) {
	release, err := a.server.Acquire(r.Context(), a.request)
	if err != nil {
		return false, err
	}
	// The slot is released before the claim is settled, because settling waits for the store.
	defer func() { release(a.outcome) }()
	if err := a.server.reauthorize(a.request); err != nil {
		return false, err
	}
	if err := a.claim(r.Context()); err != nil {
		return false, err
	}
	if a.settle != nil {
		recorder := &responseRecorder{ResponseWriter: w}
		if retry, err = a.forward(recorder, r); err == nil && a.outcome == Ran {
			a.response = recorder.complete()
		}
		return retry, err
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

func (a *attempt) forward(w http.ResponseWriter, r *http.Request) (retry bool, err error) {
	out := r.WithContext(r.Context())
	out.Body = a.body.reader()
	if a.body.complete {
		out.ContentLength = int64(len(a.body.early))
		out.TransferEncoding = nil
	}
	// A response that Forward writes comes from a target, so the request ran. Otherwise refuse
	// replaces this header.
	w.Header().Set(HeaderRun, string(Ran))
	a.outcome = Unknown // remains if Forward panics
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
		bodyProblem := *p
		bodyProblem.Outcome = a.outcome
		return false, &bodyProblem
	}
	var p *Problem
	if errors.As(err, &p) && a.outcome == NotRun && p.FailedStarts > 0 {
		a.server.Metrics.addFailedStarts(p.FailedStarts)
		a.request.FailedStarts += p.FailedStarts
		return a.body.repeatable(), err
	}
	return false, err
}

// refuse writes an error response of citronknot itself. An err that is not a *Problem is logged
// and reported as status 500 with the outcome unknown.
func (s *Server) refuse(w http.ResponseWriter, id fleet.RequestID, err error) {
	var p *Problem
	if !errors.As(err, &p) {
		s.Log.Error("caller: request failed", "request_id", id, "err", err)
		p = &Problem{Status: http.StatusInternalServerError, Title: "internal error", Outcome: Unknown, Reason: "internal"}
	}
	reason := p.Reason
	if reason == "" {
		reason = "target"
	}
	s.Metrics.count(p.Outcome, reason)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyReadTimeout))
	WriteProblem(w, id, p)
}
