//go:build review3

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerRun is one run on a worker, as the worker saw it.
type workerRun struct {
	task, how, spec string // how is empty while it runs
	run             int
	number          int64 // of its end
	timer           *time.Timer
}

// failTime is the time after which a task with the spec "fails" fails.
const failTime = 20 * time.Millisecond

// worker is a stand-in for a worker. The spec of a task is its duration in milliseconds, "lasts" or "fails".
type worker struct {
	id, pool, zone, machine, rack string
	cpu, mem                      int64

	w  *world
	mu sync.Mutex

	addr    string
	born    time.Time
	fence   uint64
	until   int64
	active  map[string]*workerRun
	highest map[string]int
	ended   []*workerRun
	last    int64
	changed chan struct{}
	seq     int
}

func (w *worker) listen() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("worker: %v", err)
	}
	server := &http.Server{Handler: w}
	w.mu.Lock()
	w.addr, w.born, w.seq = listener.Addr().String(), time.Now(), 0
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

func (w *worker) start() {
	w.active, w.highest, w.changed = map[string]*workerRun{}, map[string]int{}, make(chan struct{})
	w.listen()
	go func() {
		for {
			w.beat()
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// beat registers the worker each 1.5 s and ends all runs whose lease has expired.
func (w *worker) beat() {
	w.mu.Lock()
	if w.clock() > w.until {
		for _, r := range w.active {
			w.end(r, "lapsed")
		}
	}
	w.seq++
	due := w.seq%15 == 1
	w.mu.Unlock()
	if due {
		w.w.store.put("servers", w.id, map[string]any{
			"backend": w.pool, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int64{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{"a", w.rack},
			"machine": w.machine, "born": w.born.UnixMilli(), "seq": w.seq,
		})
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// end ends a run. The caller holds w.mu.
func (w *worker) end(r *workerRun, how string) {
	if w.active[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.active, r.task)
	w.last++
	r.how, r.number = how, w.last
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.ended = append(w.ended, r)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Task, Spec, CheckpointData string
		Run                        int
		UntilMs                    int64
		Fence                      uint64
		AckedUpto, WaitMs          int64
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		answer(rw, http.StatusBadRequest, map[string]any{"clockMs": w.clock()})
		return
	}
	if id := r.Header.Get("X-Citronknot-Target-Instance"); id != "" && id != w.id {
		answer(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock()})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	refuse := func(reason string) {
		answer(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
	}
	if in.Fence < w.fence {
		refuse("fence")
		return
	}
	w.fence = in.Fence
	switch r.URL.Path {
	case "/run-start":
		if e := w.active[in.Task]; e != nil && e.run == in.Run {
			break
		}
		until := min(in.UntilMs, w.clock()+6000)
		if until <= w.clock() {
			refuse("late")
			return
		}
		w.until = max(w.until, until)
		if in.Run <= w.highest[in.Task] {
			refuse("old")
			return
		}
		e := &workerRun{task: in.Task, run: in.Run, spec: in.Spec}
		w.active[in.Task] = e
		if in.Spec == "fails" {
			e.timer = time.AfterFunc(failTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.end(e, "failed")
			})
		}
		if ms, err := strconv.Atoi(in.Spec); err == nil {
			e.timer = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.end(e, "done")
			})
		}
	case "/run-stop":
		w.highest[in.Task] = max(w.highest[in.Task], in.Run)
		if e := w.active[in.Task]; e != nil && e.run <= in.Run {
			w.end(e, "stopped")
		}
	case "/hold":
		w.until = max(w.until, min(in.UntilMs, w.clock()+6000))
		keep := w.ended[:0:0]
		for _, e := range w.ended {
			if e.number > in.AckedUpto {
				keep = append(keep, e)
			}
		}
		w.ended = keep
		if in.WaitMs > 0 && len(w.ended) == 0 {
			changed := w.changed
			w.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond):
			case <-r.Context().Done():
			}
			w.mu.Lock()
		}
		running, ended := [][]any{}, [][]any{}
		for _, e := range w.active {
			percent := 50
			if strings.HasPrefix(e.spec, "lasts") {
				percent = 100
			}
			running = append(running, []any{e.task, e.run, "", percent, 0})
		}
		for i, e := range w.ended {
			if i == 500 {
				break
			}
			ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
		}
		answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
		return
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}
