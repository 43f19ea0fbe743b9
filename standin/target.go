package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one execution of a request, as the target saw it.
type Run struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Team           string `json:"team"`
	Queue          string `json:"queue"`
	StartMS        int64  `json:"start_ms"` // since the Unix epoch
	EndMS          int64  `json:"end_ms"`   // 0 while it runs
	Cut            bool   `json:"cut"`      // the caller's side ended it
}

// TargetFaults are the failures that a target can be told to show.
type TargetFaults struct {
	FailAll  bool  `json:"fail_all"`  // answers 500 at once
	Silent   bool  `json:"silent"`    // takes requests and never answers on connections open now
	Crossed  bool  `json:"crossed"`   // answers with another request's id
	Truncate bool  `json:"truncate"`  // ends answers early
	DelayMS  int64 `json:"delay_ms"`  // added to each run
	Drain    bool  `json:"drain"`     // the guard refuses all new requests
	RebootMS int64 `json:"reboot_ms"` // refuses everything for this long

	from time.Time // when the failures began
}

// Target is a stand-in for a target.
type Target struct {
	Slots int           // requests at once; the guard refuses more
	Work  time.Duration // time of a run; the request header Work-Ms overrides it

	mu       sync.Mutex
	running  int
	runs     []*Run
	faults   TargetFaults
	rebootAt time.Time
}

// SetFaults replaces the failures shown.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.from = time.Now()
	t.faults = f
	if f.RebootMS > 0 {
		t.rebootAt = time.Now().Add(time.Duration(f.RebootMS) * time.Millisecond)
	}
}

// Runs returns what ran here, in the order of the starts.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Run, len(t.runs))
	for i, r := range t.runs {
		out[i] = *r
	}
	return out
}

// ServeHTTP runs requests, and serves POST /faults and GET /runs to steer and watch it.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/faults":
		var f TargetFaults
		if decode(w, r, &f) {
			t.SetFaults(f)
		}
		return
	case "/runs":
		answer(w, http.StatusOK, t.Runs())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run, f, ok := t.begin(r)
	if !ok {
		w.Header().Set("Citronknot-Run", "not_run")
		http.Error(w, "guard: no slot", http.StatusServiceUnavailable)
		return
	}
	cut := !wait(r, t.duration(r, f))
	t.end(run, cut)
	t.respond(w, r, f, run, body)
}

// begin takes a slot, or reports that the guard refuses the request.
func (t *Target) begin(r *http.Request) (*Run, TargetFaults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.Slots || t.faults.Drain || time.Now().Before(t.rebootAt) {
		return nil, t.faults, false
	}
	t.running++
	run := &Run{
		RequestID:      r.Header.Get("Citronknot-Request-Id"),
		IdempotencyKey: r.Header.Get("Citronknot-Idempotency-Key"),
		Team:           r.Header.Get("Citronknot-Team"),
		Queue:          r.Header.Get("Citronknot-Queue"),
		StartMS:        time.Now().UnixMilli(),
	}
	t.runs = append(t.runs, run)
	return run, t.faults, true
}

func (t *Target) end(run *Run, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	run.EndMS = time.Now().UnixMilli()
	run.Cut = cut
}

func (t *Target) duration(r *http.Request, f TargetFaults) time.Duration {
	d := t.Work
	if ms, err := strconv.Atoi(r.Header.Get("Work-Ms")); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if f.FailAll {
		return 0
	}
	return d + time.Duration(f.DelayMS)*time.Millisecond
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, f TargetFaults, run *Run, body []byte) {
	id := run.RequestID
	switch {
	case f.Silent && opened(r.Context()).Before(f.from):
		<-r.Context().Done()
		return
	case f.Crossed:
		id = "crossed-" + id
	}
	w.Header().Set("Citronknot-Request-Id", id)
	if f.FailAll {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	text := append([]byte("ran "+run.RequestID+"\n"), body...)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if f.Truncate {
		_, _ = w.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(text)
}

type openedKey struct{}

// ConnContext records when a connection was opened. A server of a target needs it as its
// ConnContext, so that silent connections can be told from new ones.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

func opened(ctx context.Context) time.Time {
	t, _ := ctx.Value(openedKey{}).(time.Time)
	return t
}

// wait reports whether d passed before the request was cancelled.
func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
