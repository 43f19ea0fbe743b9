package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"citronknot/fleet"
)

// callTimeout limits the processing of one command or query. A refresh, an accept with the
// read that verifies it and another refresh take less while the platform responds.
const callTimeout = 10 * time.Second

// Server serves the administration API.
type Server struct {
	Credential string               // bearer credential of operators; must not be empty
	Config     func() *fleet.Config // returns the configuration in force
	// Accept appends a checked release note to the log and returns the version that it creates.
	Accept func(context.Context, fleet.ReleaseNote) (fleet.Version, error)
	// Refresh reads and applies the log up to its head, so that a note is checked against the
	// newest version.
	Refresh func(context.Context) error
	// Notes reads the accepted notes of the versions greater than from, up to and including to.
	Notes func(ctx context.Context, from, to fleet.Version) ([]fleet.ReleaseNote, error)
	// Placement returns the pool and phase in force of an instance. If it is nil, the server
	// uses the pool of the configuration and the phase fleet.Serving.
	Placement func(fleet.Instance) fleet.Placement
	// SetDrain drains an instance or returns it to service. If it is nil, the server responds
	// with status 501.
	SetDrain func(ctx context.Context, id fleet.InstanceID, drain bool) error
	// DeclareZoneLost frees the portions of the teams' limits that the members of a zone hold.
	// It fails with *[ZoneLiveError] while members of the zone respond. If it is nil, the server
	// responds with status 501.
	DeclareZoneLost func(ctx context.Context, zone fleet.ZoneID) error
	// Dump returns the state of the process, with secrets masked.
	Dump func() any
	// Ready reports whether the load balancer should send requests to this process.
	Ready   func() bool
	Metrics http.Handler // serves GET /metrics; if nil, the status is 404
	Log     *slog.Logger
}

// Handler returns the HTTP handler of the administration API, which also serves the health and
// readiness checks, the metrics and the state of the process.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	if s.Metrics != nil {
		mux.Handle("GET /metrics", s.requireCredential(s.Metrics))
	}
	for pattern, h := range map[string]handler{
		"POST /v1/notes":                 s.postNote,
		"POST /v1/instances/{id}/drain":  s.postDrain(true),
		"POST /v1/zones/{id}/lost":       s.postZoneLost,
		"POST /v1/instances/{id}/return": s.postDrain(false),
		"GET /v1/notes":                  s.getNotes,
		"GET /v1/notes/{version}":        s.getNote,
		"GET /v1/config":                 s.getConfig,
		"GET /v1/status":                 s.getStatus,
		"GET /v1/pools":                  s.getPools,
		"GET /v1/teams":                  s.getTeams,
		"GET /v1/keys":                   s.getKeys,
		"GET /v1/instances":              s.getInstances,
		"GET /debug/state":               s.getState,
	} {
		mux.Handle(pattern, s.requireCredential(s.serve(h)))
	}
	return withProblems(mux)
}

// handler processes a command or a query and returns the response body to encode as JSON.
type handler func(*http.Request) (any, error)

// serve returns an HTTP handler that runs h with callTimeout and writes its result or problem.
func (s *Server) serve(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		response, err := h(r.WithContext(ctx))
		if err == nil {
			writeJSON(w, http.StatusOK, contentJSON, response)
			return
		}
		p := problemOf(err)
		if p.Status >= http.StatusInternalServerError {
			s.Log.Warn("operator: call failed", "method", r.Method, "path", r.URL.Path, "err", err)
		}
		writeProblem(w, p)
	})
}

// requireCredential passes requests on only if they carry the credential. It compares hashes,
// so that the time of the comparison does not reveal the length of the credential.
func (s *Server) requireCredential(next http.Handler) http.Handler {
	wantHash := sha256.Sum256([]byte(s.Credential))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		gotHash := sha256.Sum256([]byte(secret))
		if s.Credential == "" || !isBearer || subtle.ConstantTimeCompare(wantHash[:], gotHash[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, &Problem{Status: http.StatusUnauthorized, Title: "unauthorized", Detail: "the credential is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// withProblems returns a handler that passes requests to mux, and responds with a problem
// document to paths and methods that mux does not handle.
func withProblems(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, pattern := mux.Handler(r)
		if pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		recorder := &statusRecorder{header: http.Header{}}
		h.ServeHTTP(recorder, r)
		if allow := recorder.header.Get("Allow"); recorder.status == http.StatusMethodNotAllowed {
			w.Header().Set("Allow", allow)
			writeProblem(w, &Problem{
				Status: recorder.status, Title: "method not allowed", Detail: fmt.Sprintf("%s takes %s", r.URL.Path, allow),
			})
			return
		}
		writeProblem(w, notFound("path", r.URL.Path))
	})
}

// statusRecorder records the status and header of an error response that the mux writes itself.
type statusRecorder struct {
	header http.Header
	status int
}

func (p *statusRecorder) Header() http.Header            { return p.header }
func (p *statusRecorder) WriteHeader(status int)         { p.status = status }
func (p *statusRecorder) Write(text []byte) (int, error) { return len(text), nil }

func writeJSON(w http.ResponseWriter, status int, content string, v any) {
	w.Header().Set("Content-Type", content)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeProblem(w http.ResponseWriter, p *Problem) {
	writeJSON(w, p.Status, contentProblem, encodeProblem(p))
}
