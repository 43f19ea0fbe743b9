package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment that workers keep, as in the settings.
const (
	holdMaxMs  = 10000
	workerCPU  = 16000 // thousandths of a core
	workerMem  = 32768 // MB
	stopMs     = 200
	endsAtOnce = 500 // PROTOCOL.md: the ends that are not taken note of are returned 500 at a time
	beat       = 1500 * time.Millisecond
)

// downTime is how long a worker is away that a task has crashed.
const downTime = 3 * time.Second

// zoneDelay is the way from one zone to another, which the sheet of the site gives.
const zoneDelay = 500 * time.Microsecond

// run is one run of a task on a worker.
type run struct {
	worker  string
	task    string
	run     int
	started time.Time
	ended   time.Time // zero while it runs
	how     string
	number  int64     // of its end
	noted   time.Time // when ackedUpto reached its end; zero if it has not
	lapsed  bool      // the worker's lease lapsed between its end and that
	needs   need
	timer   *time.Timer
}

type need struct{ cpu, mem int64 }

// worker is a sound worker that guards its capacity. A task's spec says how it runs: see duration.
type worker struct {
	id, pool, zone, machine, rack string
	cpu, mem                      int64
	w                             *world

	mu      sync.Mutex
	addr    string
	born    time.Time
	fence   uint64
	until   int64 // end of the lease on the worker's clock
	active  map[string]*run
	highest map[string]int // by task: highest run that was stopped or has ended here
	ended   []*run         // not taken note of
	all     []*run
	ends    int64
	seq     int
	changed chan struct{}
	free    need
	byJob   map[string]int // runs started, by job
	server  *http.Server
	down    chan struct{} // closed when this life ends
	failing bool          // all that it starts fails
}

// start begins a life of the worker, which knows nothing of an earlier one.
func (k *worker) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.addr, k.born = l.Addr().String(), time.Now()
	k.active, k.highest, k.changed = map[string]*run{}, map[string]int{}, make(chan struct{})
	k.fence, k.until, k.ended, k.ends, k.seq = 0, 0, nil, 0, 0
	if k.byJob == nil {
		k.byJob = map[string]int{}
	}
	k.free = need{k.cpu, k.mem}
	k.server, k.down = &http.Server{Handler: k}, make(chan struct{})
	server, down := k.server, k.down
	k.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go k.every(beat, down, k.register)
	go k.every(5*time.Millisecond, down, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.lapse()
	})
	return nil
}

// every calls f now and at each interval until down is closed.
func (k *worker) every(interval time.Duration, down chan struct{}, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-down:
			return
		case <-ticker.C:
		}
	}
}

// crash ends the worker and all that runs on it. Its entry in the store goes after three intervals of silence.
func (k *worker) crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.w.log("worker %s: crashes under %d runs", k.id, len(k.active))
	for _, r := range k.active {
		r.timer.Stop()
		r.ended, r.how = time.Now(), "lost"
	}
	k.active = map[string]*run{}
	close(k.down)
	_ = k.server.Close()
	down := k.down
	time.AfterFunc(3*beat, func() {
		k.mu.Lock()
		gone := k.down == down
		k.mu.Unlock()
		if gone {
			k.w.store.remove("servers", "", k.id)
		}
	})
}

func (k *worker) register() {
	k.mu.Lock()
	k.seq++
	entry := map[string]any{
		"backend": k.pool, "addr": k.addr, "zone": k.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": k.cpu, "memMb": k.mem, "gpu": 0}, "labels": []string{"a", k.rack},
		"machine": k.machine, "born": k.born.UnixMilli(), "seq": k.seq, "clockMs": k.clock(),
	}
	k.mu.Unlock()
	k.w.store.put("servers", "", k.id, entry)
}

func (k *worker) clock() int64 { return time.Since(k.born).Milliseconds() }

// lapse kills what runs if the lease has expired, and marks the ends that nobody has taken note of.
func (k *worker) lapse() {
	if k.clock() <= k.until {
		return
	}
	for _, r := range k.active {
		k.end(r, "lapsed")
	}
	for _, r := range k.ended {
		r.lapsed = true
	}
}

func (k *worker) end(r *run, how string) {
	if k.active[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(k.active, r.task)
	k.highest[r.task] = max(k.highest[r.task], r.run)
	k.ends++
	r.ended, r.how, r.number = time.Now(), how, k.ends
	k.ended = append(k.ended, r)
	k.free.cpu += r.needs.cpu
	k.free.mem += r.needs.mem
	close(k.changed)
	k.changed = make(chan struct{})
	k.w.log("worker %s: %s run %d ended %s (end %d)", k.id, r.task, r.run, how, r.number)
}

func (k *worker) extend(until int64) {
	k.lapse()
	k.until = max(k.until, min(until, k.clock()+holdMaxMs))
}

type order struct {
	Task, Spec     string
	Run            int
	Fence          uint64
	UntilMs        int64
	AckedUpto      int64
	WaitMs         int
	CheckpointData string
	Percent        int
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, 400, map[string]any{"clockMs": k.clock()})
		return
	}
	if id := r.Header.Get("X-Citronknot-Target-Instance"); id != "" && id != k.id {
		reply(w, 421, map[string]any{"clockMs": k.clock()})
		return
	}
	time.Sleep(2 * zoneDelay)
	k.mu.Lock()
	if o.Fence < k.fence {
		k.mu.Unlock()
		reply(w, 409, map[string]any{"clockMs": k.clock(), "reason": "fence"})
		return
	}
	k.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		status, reason := k.startRun(&o)
		k.mu.Unlock()
		body := map[string]any{"clockMs": k.clock()}
		if reason != "" {
			body["reason"] = reason
		}
		reply(w, status, body)
	case "/run-stop":
		if x := k.active[o.Task]; x != nil && x.run <= o.Run {
			k.end(x, "stopped")
		}
		k.highest[o.Task] = max(k.highest[o.Task], o.Run)
		k.mu.Unlock()
		reply(w, 200, map[string]any{"clockMs": k.clock()})
	case "/hold":
		k.hold(w, r, &o)
	default:
		k.mu.Unlock()
		reply(w, 200, map[string]any{"clockMs": k.clock()})
	}
}

func (k *worker) startRun(o *order) (int, string) {
	if x := k.active[o.Task]; x != nil && x.run == o.Run {
		return 200, ""
	}
	if o.UntilMs <= k.clock() {
		return 409, "late"
	}
	k.extend(o.UntilMs)
	if o.Run <= k.highest[o.Task] || k.active[o.Task] != nil {
		return 409, "old"
	}
	needs, lasts, d, how := k.w.taskOf(o.Task, o.Spec)
	if how == "once" {
		how = "done"
		if k.w.failsFirst(o.Task) {
			how = "failed"
		}
	}
	if k.failing {
		how = "failed"
	}
	if needs.cpu > k.free.cpu || needs.mem > k.free.mem {
		return 409, "room"
	}
	x := &run{worker: k.id, task: o.Task, run: o.Run, started: time.Now(), needs: needs}
	k.free.cpu -= needs.cpu
	k.free.mem -= needs.mem
	if lasts {
		d = time.Hour
	}
	x.timer = time.AfterFunc(d, func() {
		if how == "crash" {
			k.crash()
			time.AfterFunc(downTime, func() { _ = k.start() })
			return
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		k.lapse()
		k.end(x, how)
	})
	k.active[o.Task] = x
	k.all = append(k.all, x)
	id, _, _, _ := splitTask(o.Task)
	k.byJob[id]++
	k.w.log("worker %s: %s run %d started", k.id, o.Task, o.Run)
	return 200, ""
}

func (k *worker) hold(w http.ResponseWriter, r *http.Request, o *order) {
	if o.UntilMs > 0 {
		k.extend(o.UntilMs)
	}
	noted := 0
	for len(k.ended) > 0 && k.ended[0].number <= o.AckedUpto {
		k.ended[0].noted = time.Now()
		k.ended = k.ended[1:]
		noted++
	}
	if noted > 0 {
		k.w.log("worker %s: ends up to %d taken note of", k.id, o.AckedUpto)
	}
	timer := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	if o.WaitMs > 0 && len(k.ended) == 0 {
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
		k.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range k.active {
		running = append(running, []any{x.task, x.run, "", 100, 0})
	}
	for i, x := range k.ended {
		if i == endsAtOnce {
			break
		}
		ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
	}
	waiting := len(k.ended)
	body := map[string]any{"clockMs": k.clock(), "born": k.born.UnixMilli(), "running": running, "ended": ended}
	k.mu.Unlock()
	if waiting > endsAtOnce {
		k.w.log("worker %s: listed %d running and the first %d of %d ends (fence %d)", k.id, len(running), len(ended), waiting, o.Fence)
	}
	reply(w, 200, body)
}

// duration reads a task's spec: "ms=4000" is done after 4 s, "once:ms=4000" the same, but fails in its first run, "lasts" runs until it is stopped, "crash" crashes the worker. A spec with
// one such entry per step, separated by commas, gives each step its own.
func duration(spec string, step, index int) (time.Duration, bool, string) {
	parts := strings.Split(spec, ",")
	p := parts[min(step, len(parts)-1)]
	if p == "crash" {
		return 10 * time.Millisecond, false, "crash"
	}
	if p == "lasts" {
		return 0, true, "done"
	}
	var ms int
	how := "done"
	if rest, ok := strings.CutPrefix(p, "once:"); ok {
		p, how = rest, "once"
	}
	if _, err := fmt.Sscanf(p, "ms=%d", &ms); err != nil {
		return time.Second, false, "done"
	}
	return time.Duration(ms) * time.Millisecond, false, how
}

func splitTask(task string) (id string, occurrence, step, index int) {
	p := strings.Split(task, ".")
	occurrence, _ = strconv.Atoi(p[1])
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], occurrence, step, index
}
