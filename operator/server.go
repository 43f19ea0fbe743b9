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

// callBound bounds the work on one command or query: a refresh, an accept with its read-back
// and another refresh stay below it while the platform answers.
const callBound = 10 * time.Second

// Server serves the administration API.
type Server struct {
	Credential string // bearer credential of operators; must not be empty
	Config     func() *fleet.Config
	// Accept appends a checked release note to the log.
	Accept func(context.Context, fleet.ReleaseNote) (fleet.Version, error)
	// Refresh reads the log up to its head, so that a note is checked against the newest version.
	Refresh func(context.Context) error
	// Notes reads the accepted notes of the versions after from up to and including to.
	Notes func(ctx context.Context, from, to fleet.Version) ([]fleet.ReleaseNote, error)
	// Placement returns the pool and phase in force; nil means those of the configuration.
	Placement func(fleet.Instance) fleet.Placement
	// SetDrain takes an instance out of service or back into it; nil answers 501.
	SetDrain func(ctx context.Context, id fleet.InstanceID, drain bool) error
	// DeclareZoneLost frees the parts of teams' limits that the members of a zone hold. It fails
	// with *ZoneLiveError while members of the zone are heard. Nil answers 501.
	DeclareZoneLost func(ctx context.Context, zone fleet.ZoneID) error
	// Dump returns the state of the process, with secrets masked.
	Dump func() any
	// Ready reports whether the balancer should send requests here.
	Ready   func() bool
	Metrics http.Handler // nil answers 404
	Log     *slog.Logger
}

// Handler returns the handler of the operators' listener.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	if s.Metrics != nil {
		mux.Handle("GET /metrics", s.guard(s.Metrics))
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
		mux.Handle(pattern, s.guard(s.serve(h)))
	}
	return withProblems(mux)
}

// handler answers a command or a query.
type handler func(*http.Request) (any, error)

func (s *Server) serve(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callBound)
		defer cancel()
		answer, err := h(r.WithContext(ctx))
		if err == nil {
			writeJSON(w, http.StatusOK, contentJSON, answer)
			return
		}
		p := problemOf(err)
		if p.Status >= http.StatusInternalServerError {
			s.Log.Warn("operator: call failed", "method", r.Method, "path", r.URL.Path, "err", err)
		}
		writeProblem(w, p)
	})
}

// guard lets only holders of the credential through. Hashes are compared, so that the time
// taken tells nothing of the credential's length.
func (s *Server) guard(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.Credential))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(secret))
		if s.Credential == "" || !bearer || subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, &Problem{Status: http.StatusUnauthorized, Title: "unauthorized", Detail: "the credential is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// withProblems answers paths and methods that mux does not know with problem documents.
func withProblems(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, pattern := mux.Handler(r)
		if pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		probe := &statusProbe{header: http.Header{}}
		h.ServeHTTP(probe, r)
		if allow := probe.header.Get("Allow"); probe.status == http.StatusMethodNotAllowed {
			w.Header().Set("Allow", allow)
			writeProblem(w, &Problem{
				Status: probe.status, Title: "method not allowed", Detail: fmt.Sprintf("%s takes %s", r.URL.Path, allow),
			})
			return
		}
		writeProblem(w, notFound("path", r.URL.Path))
	})
}

// statusProbe records the status and header of the mux's own error answers.
type statusProbe struct {
	header http.Header
	status int
}

func (p *statusProbe) Header() http.Header            { return p.header }
func (p *statusProbe) WriteHeader(status int)         { p.status = status }
func (p *statusProbe) Write(text []byte) (int, error) { return len(text), nil }

func writeJSON(w http.ResponseWriter, status int, content string, v any) {
	w.Header().Set("Content-Type", content)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeProblem(w http.ResponseWriter, p *Problem) {
	writeJSON(w, p.Status, contentProblem, encodeProblem(p))
}
