package deployment

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run is one execution of a task, as the worker saw it.
type Run struct {
	Worker string
	Task   string
	Run    int
	From   time.Time
	To     time.Time // zero while it runs
	How    string    // done, failed, stopped, lapsed; lost with a worker that crashed
	Noted  bool      // the end was acknowledged
}

// Worker is a stand-in for a worker. Tasks run for the milliseconds that their spec says
// ("200"), or fail after them ("200 fail"), or last ("lasts").
type Worker struct {
	ID      string
	Pool    string
	Zone    string
	Machine string
	CPU     int64
	MemMB   int64
	Slow    float64 // how much slower than true time its clock runs; 0.02 is 2%
	Store   *Store

	mu       sync.Mutex
	server   *http.Server
	addr     string
	born     time.Time
	fence    uint64
	until    int64 // end of the lease on its own clock
	running  map[string]*runEntry
	highest  map[string]int // highest run stopped or ended of a task
	ended    []endEntry
	number   int64
	changed  chan struct{}
	draining bool
	cut      bool
	seq      int
	stop     chan struct{}
	runs     []*Run
	late     time.Duration // orders are not answered and carried out this much later
}

type runEntry struct {
	task  string
	run   int
	lasts bool
	timer *time.Timer
	rec   *Run
}

type endEntry struct {
	n    int64
	rec  *Run
	task string
	run  int
	how  string
}

// Heartbeat is how often a worker writes its entry.
const Heartbeat = 300 * time.Millisecond

// Start begins to serve and to write the worker's entry.
func (w *Worker) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.addr = listener.Addr().String()
	w.born = time.Now()
	w.fence, w.until, w.number, w.seq = 0, 0, 0, 0
	w.running, w.highest, w.ended = map[string]*runEntry{}, map[string]int{}, nil
	w.changed, w.stop = make(chan struct{}), make(chan struct{})
	w.server = &http.Server{Handler: w}
	server, stop := w.server, w.stop
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.beat(stop)
	return nil
}

// Crash ends the worker and all that runs there, without a word.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.running {
		e.timer.Stop()
		w.close(e, "lost")
	}
	w.running = map[string]*runEntry{}
	close(w.stop)
	_ = w.server.Close()
}

// SetCut cuts the worker off: calls get no answer. What runs there goes on until its lease ends.
func (w *Worker) SetCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// SetLate lets orders go unanswered and be carried out later.
func (w *Worker) SetLate(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = d
}

// SetDraining announces that the worker is about to leave.
func (w *Worker) SetDraining() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
}

// Runs returns all runs so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Run, len(w.runs))
	for i, r := range w.runs {
		out[i] = *r
	}
	return out
}

func (w *Worker) beat(stop chan struct{}) {
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	for {
		w.register()
		w.expire()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func (w *Worker) register() {
	w.mu.Lock()
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{
		"backend": w.Pool, "addr": w.addr, "zone": w.Zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": w.CPU, "memMb": w.MemMB, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"machine": w.Machine, "born": w.born.UnixMilli(), "seq": w.seq,
	}
	cut := w.cut
	w.mu.Unlock()
	if !cut {
		w.Store.Put("servers", "", w.ID, entry)
	}
}

// clock is the worker's own clock.
func (w *Worker) clock() int64 {
	return int64(float64(time.Since(w.born).Milliseconds()) * (1 - w.Slow))
}

// expire kills what runs when the lease has ended.
func (w *Worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock() <= w.until {
		return
	}
	for _, e := range w.running {
		e.timer.Stop()
		w.end(e, "lapsed")
	}
}

func (w *Worker) close(e *runEntry, how string) {
	e.rec.To, e.rec.How = time.Now(), how
}

func (w *Worker) end(e *runEntry, how string) {
	if w.running[e.task] != e {
		return
	}
	delete(w.running, e.task)
	w.close(e, how)
	w.highest[e.task] = max(w.highest[e.task], e.run)
	w.number++
	w.ended = append(w.ended, endEntry{n: w.number, rec: e.rec, task: e.task, run: e.run, how: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

type orderBody struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	UntilMs   int64  `json:"untilMs"`
	Fence     uint64 `json:"fence"`
	AckedUpto int64  `json:"ackedUpto"`
	WaitMs    int64  `json:"waitMs"`
}

// ServeHTTP answers the workers' protocol.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b orderBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	cut, late := w.cut, w.late
	w.mu.Unlock()
	if cut {
		<-r.Context().Done()
		return
	}
	if id := r.Header.Get("X-Citronknot-Target-Instance"); id != "" && id != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if late > 0 && r.URL.Path != "/hold" {
		time.AfterFunc(late, func() { w.order(r.URL.Path, &b) })
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/hold" {
		w.hold(rw, r, &b)
		return
	}
	status, reason := w.order(r.URL.Path, &b)
	w.mu.Lock()
	clock := w.clock()
	w.mu.Unlock()
	body := map[string]any{"clockMs": clock}
	if reason != "" {
		body["reason"] = reason
	}
	reply(rw, status, body)
}

// order carries out a start, a stop or a pace.
func (w *Worker) order(path string, b *orderBody) (status int, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = b.Fence
	switch path {
	case "/run-start":
		return w.start(b)
	case "/run-stop":
		w.highest[b.Task] = max(w.highest[b.Task], b.Run)
		if e := w.running[b.Task]; e != nil && e.run <= b.Run {
			e.timer.Stop()
			w.end(e, "stopped")
		}
	}
	return http.StatusOK, ""
}

func (w *Worker) start(b *orderBody) (status int, reason string) {
	if e := w.running[b.Task]; e != nil && e.run == b.Run {
		return http.StatusOK, ""
	}
	if b.UntilMs <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.until = max(w.until, b.UntilMs)
	if b.Run <= w.highest[b.Task] {
		return http.StatusConflict, "old"
	}
	var ms int64
	var rest string
	lasts := strings.HasPrefix(b.Spec, "lasts")
	if !lasts {
		if _, err := fmt.Sscanf(b.Spec+" end", "%d %s", &ms, &rest); err != nil {
			return http.StatusBadRequest, ""
		}
	}
	rec := &Run{Worker: w.ID, Task: b.Task, Run: b.Run, From: time.Now()}
	w.runs = append(w.runs, rec)
	e := &runEntry{task: b.Task, run: b.Run, lasts: lasts, rec: rec}
	how := "done"
	if rest == "fail" {
		how = "failed"
	}
	wait := time.Duration(ms) * time.Millisecond
	if lasts {
		wait = time.Hour
	}
	e.timer = time.AfterFunc(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clock() > w.until {
			how = "lapsed"
		}
		w.end(e, how)
	})
	w.running[b.Task] = e
	return http.StatusOK, ""
}

// hold extends the lease and answers with the runs, after waiting for an end.
func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, b *orderBody) {
	w.mu.Lock()
	if b.Fence < w.fence {
		clock := w.clock()
		w.mu.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
		return
	}
	w.fence = b.Fence
	w.until = max(w.until, b.UntilMs)
	w.ended = slices.DeleteFunc(w.ended, func(e endEntry) bool {
		e.rec.Noted = e.rec.Noted || e.n <= b.AckedUpto
		return e.n <= b.AckedUpto
	})
	changed, waits := w.changed, b.WaitMs > 0 && len(w.ended) == 0
	w.mu.Unlock()
	if waits {
		timer := time.NewTimer(time.Duration(b.WaitMs) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	body := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
	running, ended := [][]any{}, [][]any{}
	for _, e := range w.running {
		percent := 50
		if e.lasts {
			percent = 100
		}
		running = append(running, []any{e.task, e.run, "", percent, 0})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	body["running"], body["ended"] = running, ended
	reply(rw, http.StatusOK, body)
}
