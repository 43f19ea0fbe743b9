package deployment

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run is one execution of a task, as the worker recorded it.
type Run struct {
	Worker       string
	Task         string
	Run          int // number of the run within its task
	StartedAt    time.Time
	EndedAt      time.Time // zero while it runs
	EndReason    string    // done, failed, stopped, lapsed (the lease expired), lost (the worker crashed), broken or alone (of a gang)
	Acknowledged bool      // a poll has acknowledged the end
}

// Worker simulates a worker. The spec of a task says how it runs: "200" is done after 200 ms,
// "200 fail" fails after 200 ms, "200 crash" crashes the worker after 200 ms, and "lasts" is
// long-running: it runs for an hour unless it is stopped before. Those of gangs are made by [GangSpec].
type Worker struct {
	ID       string
	Pool     string
	Zone     string
	Machine  string
	Rack     string // empty means r1-1
	CPU      int64  // capacity, thousandths of a core
	MemMB    int64
	ClockLag float64       // fraction by which its clock runs slower than real time; 0.02 is 2%
	Downtime time.Duration // after which a worker that a task has crashed starts again; 0 means never
	Store    *Store
	Gangs    *Gangs // of the deployment; nil if it runs no gangs

	mu              sync.Mutex
	server          *http.Server
	addr            string
	incarnation     time.Time // start time
	fence           uint64    // highest fence received
	leaseEndMs      int64     // end of the lease by its own clock
	active          map[string]*activeRun
	highestRun      map[string]int // by task: highest number of a run that was stopped or has ended
	ended           []endedRun     // not acknowledged yet
	lastEndNumber   int64
	changed         chan struct{} // closed when a run ends
	draining        bool
	disconnected    bool
	registrationSeq int
	stopHeartbeat   chan struct{}
	runs            []*Run
	orderDelay      time.Duration // orders get no response and are carried out this much later
	crashed         bool          // Crash was called since the last start
}

// activeRun is a run in progress.
type activeRun struct {
	task        string
	run         int
	longRunning bool
	timer       *time.Timer // of runs that end by themselves
	record      *Run
}

// stopTimer keeps a run from ending by itself.
func (e *activeRun) stopTimer() {
	if e.timer != nil {
		e.timer.Stop()
	}
}

// endedRun is an ended run that polls report until they acknowledge its number.
type endedRun struct {
	number int64
	record *Run
	task   string
	run    int
	reason string
}

// Heartbeat is the interval at which a worker writes its registration to the table "servers" of the
// store.
const Heartbeat = 300 * time.Millisecond

// Start starts a new incarnation of the worker: it serves on a free loopback port and writes its
// registration every Heartbeat. It returns an error if it cannot listen.
func (w *Worker) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.addr = listener.Addr().String()
	w.incarnation = time.Now()
	w.fence, w.leaseEndMs, w.lastEndNumber, w.registrationSeq = 0, 0, 0, 0
	w.active, w.highestRun, w.ended = map[string]*activeRun{}, map[string]int{}, nil
	w.changed, w.stopHeartbeat = make(chan struct{}), make(chan struct{})
	w.crashed = false
	w.server = &http.Server{Handler: w}
	server, stop := w.server, w.stopHeartbeat
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.heartbeat(stop)
	return nil
}

// Crash ends the worker and its runs at once, without reporting them. It does nothing if the worker
// has crashed and not started again.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return
	}
	w.crashed = true
	for _, e := range w.active {
		e.stopTimer()
		w.recordEnd(e, "lost")
		w.leaveGang(e)
	}
	w.active = map[string]*activeRun{}
	close(w.stopHeartbeat)
	_ = w.server.Close()
}

// crashAndRestart crashes the worker if a run is still in progress, and starts it again after
// Downtime.
func (w *Worker) crashAndRestart(e *activeRun) {
	w.mu.Lock()
	current := w.active[e.task] == e
	w.mu.Unlock()
	if !current {
		return
	}
	w.Crash()
	if w.Downtime > 0 {
		time.AfterFunc(w.Downtime, func() { _ = w.Start() })
	}
}

// SetDisconnected sets whether the worker is disconnected: requests then get no response, and it writes
// no registration. Its runs continue until the lease expires.
func (w *Worker) SetDisconnected(disconnected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disconnected = disconnected
}

// SetOrderDelay makes orders get no response and be carried out after d; 0 ends that. Polls are not
// affected.
func (w *Worker) SetOrderDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orderDelay = d
}

// SetCapacity changes the CPU capacity, in thousandths of a core, that the worker's registration
// shows. Its runs continue, and it accepts starts beyond its capacity.
func (w *Worker) SetCapacity(cpu int64) {
	w.mu.Lock()
	w.CPU = cpu
	w.mu.Unlock()
}

// SetDraining makes the worker's registration show the state draining.
func (w *Worker) SetDraining() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
}

// Runs returns all runs so far in the order of their starts, also those of earlier incarnations.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Run, len(w.runs))
	for i, r := range w.runs {
		out[i] = *r
	}
	return out
}

// heartbeat writes the worker's registration and checks its lease every Heartbeat until stop is
// closed.
func (w *Worker) heartbeat(stop chan struct{}) {
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	for {
		w.writeRegistration()
		w.expireLease()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// writeRegistration writes the worker's registration to the store unless the worker is disconnected.
func (w *Worker) writeRegistration() {
	w.mu.Lock()
	w.registrationSeq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	registration := map[string]any{
		"backend": w.Pool, "addr": w.addr, "zone": w.Zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": w.CPU, "memMb": w.MemMB, "gpu": 0}, "labels": []string{"a", cmp.Or(w.Rack, "r1-1")},
		"machine": w.Machine, "born": w.incarnation.UnixMilli(), "seq": w.registrationSeq,
	}
	disconnected := w.disconnected
	w.mu.Unlock()
	if !disconnected {
		w.Store.Put("servers", "", w.ID, registration)
	}
}

// clockMs returns the milliseconds since the worker's start by its own clock.
func (w *Worker) clockMs() int64 {
	return int64(float64(time.Since(w.incarnation).Milliseconds()) * (1 - w.ClockLag))
}

// expireLease ends all runs if the lease has expired.
func (w *Worker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clockMs() <= w.leaseEndMs {
		return
	}
	for _, e := range w.active {
		e.stopTimer()
		w.endRun(e, "lapsed")
	}
}

// recordEnd records the time and the reason of a run's end.
func (w *Worker) recordEnd(e *activeRun, reason string) {
	e.record.EndedAt, e.record.EndReason = time.Now(), reason
}

// endRun ends a run that is still in progress and wakes waiting polls. The caller holds w.mu.
func (w *Worker) endRun(e *activeRun, reason string) {
	if w.active[e.task] != e {
		return
	}
	delete(w.active, e.task)
	w.recordEnd(e, reason)
	w.highestRun[e.task] = max(w.highestRun[e.task], e.run)
	w.lastEndNumber++
	w.ended = append(w.ended, endedRun{number: w.lastEndNumber, record: e.record, task: e.task, run: e.run, reason: reason})
	close(w.changed)
	w.changed = make(chan struct{})
	w.leaveGang(e)
}

// requestBody is the body of a poll or an order; each uses some of the fields.
type requestBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	LeaseEndMs   int64  `json:"untilMs"`
	Fence        uint64 `json:"fence"`
	AckedThrough int64  `json:"ackedUpto"`
	WaitMs       int64  `json:"waitMs"`
}

// ServeHTTP serves the workers' protocol: /hold is a poll, and all other paths are orders.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var req requestBody
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	disconnected, orderDelay := w.disconnected, w.orderDelay
	w.mu.Unlock()
	if disconnected {
		<-r.Context().Done()
		return
	}
	if id := r.Header.Get("X-Citronknot-Target-Instance"); id != "" && id != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if orderDelay > 0 && r.URL.Path != "/hold" {
		time.AfterFunc(orderDelay, func() { w.handleOrder(r.URL.Path, &req) })
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/hold" {
		w.servePoll(rw, r, &req)
		return
	}
	status, reason := w.handleOrder(r.URL.Path, &req)
	w.mu.Lock()
	clockMs := w.clockMs()
	w.mu.Unlock()
	body := map[string]any{"clockMs": clockMs}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(rw, status, body)
}

// handleOrder carries out an order to start or stop a run. It refuses an order with a lower fence
// than the highest one received. Any other order, such as /pace, has no effect here.
func (w *Worker) handleOrder(path string, req *requestBody) (status int, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if req.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = req.Fence
	switch path {
	case "/run-start":
		return w.startRun(req)
	case "/run-stop":
		w.highestRun[req.Task] = max(w.highestRun[req.Task], req.Run)
		if e := w.active[req.Task]; e != nil && e.run <= req.Run {
			e.stopTimer()
			w.endRun(e, "stopped")
		}
	}
	return http.StatusOK, ""
}

// startRun starts a run unless its lease has expired or the same or a later run of the task was
// stopped or has ended. It returns the status and, for 409, the reason.
func (w *Worker) startRun(req *requestBody) (status int, reason string) {
	if e := w.active[req.Task]; e != nil && e.run == req.Run {
		return http.StatusOK, ""
	}
	if req.LeaseEndMs <= w.clockMs() {
		return http.StatusConflict, "late"
	}
	w.leaseEndMs = max(w.leaseEndMs, req.LeaseEndMs)
	if req.Run <= w.highestRun[req.Task] {
		return http.StatusConflict, "old"
	}
	if s, ok := parseGangSpec(req.Spec); ok && w.Gangs != nil {
		e := w.addRun(req)
		w.Gangs.join(w, e, s)
		return http.StatusOK, ""
	}
	var durationMs int64
	var outcome string
	longRunning := strings.HasPrefix(req.Spec, "lasts")
	if !longRunning {
		if _, err := fmt.Sscanf(req.Spec+" end", "%d %s", &durationMs, &outcome); err != nil {
			return http.StatusBadRequest, ""
		}
	}
	e := w.addRun(req)
	e.longRunning = longRunning
	endReason := "done"
	if outcome == "fail" {
		endReason = "failed"
	}
	wait := time.Duration(durationMs) * time.Millisecond
	if longRunning {
		wait = time.Hour
	}
	e.timer = time.AfterFunc(wait, func() {
		if outcome == "crash" {
			w.crashAndRestart(e)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clockMs() > w.leaseEndMs {
			endReason = "lapsed"
		}
		w.endRun(e, endReason)
	})
	return http.StatusOK, ""
}

// addRun records a run that begins. The caller holds w.mu.
func (w *Worker) addRun(req *requestBody) *activeRun {
	e := &activeRun{task: req.Task, run: req.Run, record: &Run{Worker: w.ID, Task: req.Task, Run: req.Run, StartedAt: time.Now()}}
	w.runs = append(w.runs, e.record)
	w.active[req.Task] = e
	return e
}

// servePoll renews the lease, drops the ended runs that the poll acknowledges, and responds with
// the runs in progress and the ended ones. If none has ended, it waits up to WaitMs for an end.
func (w *Worker) servePoll(rw http.ResponseWriter, r *http.Request, req *requestBody) {
	w.mu.Lock()
	if req.Fence < w.fence {
		clock := w.clockMs()
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
		return
	}
	w.fence = req.Fence
	w.leaseEndMs = max(w.leaseEndMs, req.LeaseEndMs)
	w.ended = slices.DeleteFunc(w.ended, func(e endedRun) bool {
		e.record.Acknowledged = e.record.Acknowledged || e.number <= req.AckedThrough
		return e.number <= req.AckedThrough
	})
	changed, shouldWait := w.changed, req.WaitMs > 0 && len(w.ended) == 0
	w.mu.Unlock()
	if shouldWait {
		timer := time.NewTimer(time.Duration(req.WaitMs) * time.Millisecond)
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
	body := map[string]any{"clockMs": w.clockMs(), "born": w.incarnation.UnixMilli()}
	running, ended := [][]any{}, [][]any{}
	for _, e := range w.active {
		percent := 50
		if e.longRunning {
			percent = 100
		}
		running = append(running, []any{e.task, e.run, "", percent, 0})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.reason, ""})
	}
	body["running"], body["ended"] = running, ended
	writeJSON(rw, http.StatusOK, body)
}
