package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"

	"citronknot/fleet"
	"citronknot/note"
	"citronknot/platform"
)

// maxNote bounds the text of a release note: a note that adds 910 instances stays under 1 MB.
const maxNote = 4 << 20

// Server serves the administration API.
type Server struct {
	Credential string // bearer credential of operators; must not be empty
	Config     func() *fleet.Config
	// Accept appends a checked release note to the log.
	Accept func(context.Context, fleet.ReleaseNote) (fleet.Version, error)
	// Refresh reads the log up to its head, so that a note is checked against the newest version.
	Refresh func(context.Context) error
	// Dump returns the state of the process, with secrets masked.
	Dump func() any
	// Ready reports whether the balancer should send requests here.
	Ready   func() bool
	Metrics http.Handler
	Log     *slog.Logger
}

// Handler returns the handler of the operators' listener.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /metrics", s.guard(s.Metrics.ServeHTTP))
	mux.Handle("POST /v1/notes", s.guard(s.postNote))
	mux.Handle("GET /v1/status", s.guard(s.getStatus))
	mux.Handle("GET /debug/state", s.guard(s.getState))
	return mux
}

// guard lets only holders of the credential through. Hashes are compared, so that the time
// taken tells nothing of the credential's length.
func (s *Server) guard(next http.HandlerFunc) http.Handler {
	want := sha256.Sum256([]byte(s.Credential))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(secret))
		if s.Credential == "" || subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			writeError(w, http.StatusUnauthorized, wireError{Error: "operator: credential missing or wrong"})
			return
		}
		next(w, r)
	})
}

// postNote accepts a release note.
func (s *Server) postNote(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNote))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, wireError{Error: "operator: release note longer than 4 MB"})
		return
	}
	n, err := note.Decode(text)
	if err != nil {
		s.fail(w, err)
		return
	}
	if err := s.Refresh(r.Context()); err != nil {
		s.fail(w, err)
		return
	}
	if c := s.Config(); c.Version == n.Base {
		if _, err := c.Merge(n); err != nil {
			s.fail(w, err)
			return
		}
	}
	v, err := s.Accept(r.Context(), n)
	if err != nil {
		s.fail(w, err)
		return
	}
	s.Log.Info("operator: release note accepted", "note", n.ID, "version", v)
	writeJSON(w, http.StatusOK, wireAccepted{Version: uint64(v), Note: string(n.ID)})
}

func (s *Server) fail(w http.ResponseWriter, err error) {
	var faults *fleet.NoteError
	var stale *platform.StaleBaseError
	var down *platform.UnavailableError
	switch {
	case errors.As(err, &faults):
		out := wireError{Error: err.Error()}
		for _, f := range faults.Faults {
			out.Faults = append(out.Faults, wireFault{Field: f.Field, Value: f.Value, Accepted: f.Accepted})
		}
		writeError(w, http.StatusBadRequest, out)
	case errors.As(err, &stale):
		writeError(w, http.StatusConflict, wireError{Error: stale.Error(), Head: uint64(stale.Head.Version)})
	case errors.As(err, &down):
		writeError(w, http.StatusServiceUnavailable, wireError{Error: down.Error()})
	default:
		writeError(w, http.StatusBadRequest, wireError{Error: err.Error()})
	}
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	c := s.Config()
	writeJSON(w, http.StatusOK, wireStatus{
		Version: uint64(c.Version), Note: string(c.Note), Pools: len(c.Pools), Queues: len(c.Queues),
		Teams: len(c.Teams), Keys: len(c.Keys), Instances: len(c.Instances),
	})
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Dump())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, e wireError) { writeJSON(w, status, e) }
