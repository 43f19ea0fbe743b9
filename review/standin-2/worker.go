package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// run is one execution of a task, as its worker saw it.
type run struct {
	Worker string
	Life   int // of the worker
	Task   string
	Run    int
	Fence  uint64
	Start  time.Time
	End    time.Time // zero while it runs
	How    string
	Number int64     // of the end in the worker's list
	Acked  time.Time // when ackedUpto reached the end; zero if it has not, or if the lease lapsed between the two

	cpu, mem int64
	timer    *time.Timer
}

// Figures of the workers, as PROTOCOL.md and the settings name them.
const (
	endsPerAnswer = 500
	maxHoldWait   = 2000
	heartbeat     = 1500 * time.Millisecond
	stopTime      = 100 * time.Millisecond // at most stopMs
)

// needs returns what a task of a job asks for; a worker knows it from the platform.
type needs func(task string) (cpu, mem int64)

// worker is one worker of the only service. The spec of a task is the time that it works, in milliseconds.
type worker struct {
	id, service, zone, machine, rack string
	cpu, mem                         int64
	holdMax                          time.Duration // holdMaxMs
	store                            *store
	needs                            needs

	mu      sync.Mutex
	addr    string
	life    int
	born    time.Time
	up      bool
	server  *http.Server
	fence   uint64
	until   time.Time // end of the lease
	lapsed  time.Time // when the lease lapsed last
	active  map[string]*run
	highest map[string]int // by task, the highest run that was stopped or has ended
	ended   []*run         // that are not acknowledged
	ends    int64
	changed chan struct{}
	seq     int
	runs    []*run // of all lives
	quit    chan struct{}
}

// begin starts a life of the worker, at the same address as before.
func (w *worker) begin() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addr == "" {
		w.addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.addr = listener.Addr().String()
	w.life++
	w.born, w.up = time.Now(), true
	w.fence, w.ends, w.seq, w.until, w.lapsed = 0, 0, 0, time.Time{}, time.Time{}
	w.active, w.highest, w.ended = map[string]*run{}, map[string]int{}, nil
	w.changed, w.quit = make(chan struct{}), make(chan struct{})
	w.server = &http.Server{Handler: w}
	server, quit := w.server, w.quit
	go func() { _ = server.Serve(listener) }()
	go w.live(quit)
	return nil
}

// crash ends the life at once. Its entry stays until three heartbeats have been missed.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	close(w.quit)
	_ = w.server.Close()
	for _, r := range w.active {
		r.timer.Stop()
		r.End, r.How = time.Now(), "lost"
	}
	w.active = map[string]*run{}
}

// live writes the worker's entry every heartbeat and ends runs whose lease has expired.
func (w *worker) live(quit chan struct{}) {
	lapse := time.NewTicker(20 * time.Millisecond)
	defer lapse.Stop()
	var written time.Time
	for {
		if time.Since(written) >= heartbeat {
			written = time.Now()
			w.store.put("servers", w.id, w.entry())
		}
		select {
		case <-quit:
			return
		case <-lapse.C:
			w.lapse()
		}
	}
}

func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return map[string]any{
		"backend": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{"a", w.rack},
		"machine": w.machine, "clockMs": time.Since(w.born).Milliseconds(), "born": w.born.UnixMilli(), "seq": w.seq,
	}
}

func (w *worker) machineEntry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := "up"
	if !w.up {
		state = "down"
	}
	return map[string]any{
		"machine": w.machine, "pool": w.service, "state": state, "zone": w.zone, "labels": []string{"a", w.rack},
		"capacity": map[string]int64{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "id": w.id,
	}
}

// clock returns the worker's clock in milliseconds. The caller holds w.mu.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up && time.Now().After(w.until) {
		for _, r := range w.active {
			w.end(r, "lapsed")
		}
	}
}

// end ends a run. The caller holds w.mu.
func (w *worker) end(r *run, how string) {
	if w.active[r.Task] != r {
		return
	}
	r.timer.Stop()
	delete(w.active, r.Task)
	w.ends++
	r.End, r.How, r.Number = time.Now(), how, w.ends
	w.highest[r.Task] = max(w.highest[r.Task], r.Run)
	w.ended = append(w.ended, r)
	close(w.changed)
	w.changed = make(chan struct{})
}

// order is the body of a call to the worker; each kind uses some of the fields.
type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	UntilMs   int64  `json:"untilMs"`
	Fence     uint64 `json:"fence"`
	AckedUpto int64  `json:"ackedUpto"`
	WaitMs    int64  `json:"waitMs"`
}

// extend extends the lease to a time on the worker's clock. The caller holds w.mu.
func (w *worker) extend(untilMs int64) {
	if !w.until.IsZero() && time.Now().After(w.until) {
		w.lapsed = w.until
	}
	until := w.born.Add(time.Duration(untilMs) * time.Millisecond)
	if latest := time.Now().Add(w.holdMax); until.After(latest) {
		until = latest
	}
	if until.After(w.until) {
		w.until = until
	}
}

// ServeHTTP serves the calls of the system.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Citronknot-Target-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < w.fence {
		body := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "reason": "fence"}
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, body)
		return
	}
	w.fence = o.Fence
	w.mu.Unlock()
	switch r.URL.Path {
	case "/run-start":
		w.answer(rw, w.startRun(&o))
	case "/run-stop":
		w.answer(rw, w.stopRun(&o))
	case "/pace":
		w.answer(rw, "")
	case "/hold":
		w.hold(r.Context(), rw, &o)
	default:
		http.NotFound(rw, r)
	}
}

func (w *worker) answer(rw http.ResponseWriter, reason string) {
	w.mu.Lock()
	body := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
	w.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	writeJSON(rw, status, body)
}

// startRun starts a run and returns an empty text, or the reason why it does not.
func (w *worker) startRun(o *order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.active[o.Task]; r != nil && r.Run == o.Run {
		return ""
	}
	if o.UntilMs <= w.clock() {
		return "late"
	}
	w.extend(o.UntilMs)
	if r := w.active[o.Task]; o.Run <= w.highest[o.Task] || (r != nil && r.Run >= o.Run) {
		return "old"
	}
	cpu, mem := w.needs(o.Task)
	for _, r := range w.active {
		cpu, mem = cpu+r.cpu, mem+r.mem
	}
	if cpu > w.cpu || mem > w.mem {
		return "room"
	}
	var work int
	_, _ = fmt.Sscanf(o.Spec, "%d", &work)
	r := &run{Worker: w.id, Life: w.life, Task: o.Task, Run: o.Run, Fence: o.Fence, Start: time.Now()}
	r.cpu, r.mem = w.needs(o.Task)
	r.timer = time.AfterFunc(time.Duration(work)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(r, "done")
	})
	w.active[o.Task] = r
	w.runs = append(w.runs, r)
	return ""
}

// stopRun stops a run. What is being stopped ends after stopTime.
func (w *worker) stopRun(o *order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.active[o.Task]; r != nil && r.Run <= o.Run {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "stopped")
		})
	}
	return ""
}

// hold extends the lease, forgets acknowledged ends and lists what runs and what has ended, at most
// endsPerAnswer of the latter. Without an end it waits for one, as long as the call says.
func (w *worker) hold(ctx context.Context, rw http.ResponseWriter, o *order) {
	w.mu.Lock()
	if o.UntilMs > 0 {
		w.extend(o.UntilMs)
	}
	kept := w.ended[:0:0]
	for _, r := range w.ended {
		if r.Number <= o.AckedUpto {
			if !w.lapsed.After(r.End) {
				r.Acked = time.Now()
			}
			continue
		}
		kept = append(kept, r)
	}
	w.ended = kept
	changed, wait := w.changed, min(o.WaitMs, maxHoldWait)
	if len(w.ended) > 0 {
		wait = 0
	}
	w.mu.Unlock()
	if wait > 0 {
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
	w.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.active {
		running = append(running, []any{r.Task, r.Run, "", 50, r.cpu})
	}
	for _, r := range w.ended[:min(len(w.ended), endsPerAnswer)] {
		ended = append(ended, []any{r.Number, r.Task, r.Run, r.How, ""})
	}
	body := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, body)
}

// allRuns returns copies of the runs of all lives, by start.
func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]run, len(w.runs))
	for i, r := range w.runs {
		out[i] = *r
	}
	return out
}

// runsOf returns the runs of all workers by task, each in the order of their starts.
func runsOf(workers []*worker) map[string][]run {
	out := map[string][]run{}
	for _, w := range workers {
		for _, r := range w.allRuns() {
			out[r.Task] = append(out[r.Task], r)
		}
	}
	for _, runs := range out {
		sort.Slice(runs, func(i, k int) bool { return runs[i].Start.Before(runs[k].Start) })
	}
	return out
}
