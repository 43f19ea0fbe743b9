package deployment

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Machines is a stand-in for the platform's service for machines. A machine that moves or is
// taken down loses its worker, and a new one begins after Time.
type Machines struct {
	Time time.Duration

	mu       sync.Mutex
	machines map[string]*Worker // nil while a machine moves or is down
	pools    map[string]string
	states   map[string]string
	upkept   []string // machines in the order of their upkeep
	down     int
	most     int // machines that were down for upkeep at once
}

// Add adds the machine of a worker.
func (m *Machines) Add(w *Worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.machines == nil {
		m.machines, m.pools, m.states = map[string]*Worker{}, map[string]string{}, map[string]string{}
	}
	m.machines[w.Machine], m.pools[w.Machine], m.states[w.Machine] = w, w.Pool, "up"
}

// Upkept returns the machines whose upkeep has begun, in order, and how many were down at once
// at most.
func (m *Machines) Upkept() (ids []string, most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.upkept), m.most
}

// Workers returns the workers that run now.
func (m *Machines) Workers() []*Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*Worker
	for _, w := range m.machines {
		if w != nil {
			out = append(out, w)
		}
	}
	return out
}

type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
}

// ServeHTTP answers the service's protocol.
func (m *Machines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/machines" {
		m.list(w)
		return
	}
	var o machineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.machines[o.Machine]
	switch {
	case m.states[o.Machine] == "":
		w.WriteHeader(http.StatusBadRequest)
		return
	case m.states[o.Machine] != "up":
		reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	case r.URL.Path == "/machine-upkeep" && slices.Contains(m.upkept, o.Machine):
		reply(w, http.StatusOK, map[string]string{})
		return
	}
	m.leave(r.URL.Path, o, old)
	reply(w, http.StatusOK, map[string]string{})
}

// leave ends a machine's worker and lets the next one begin later. m is locked.
func (m *Machines) leave(path string, o machineOrder, old *Worker) {
	upkeep := path == "/machine-upkeep"
	if upkeep {
		m.upkept = append(m.upkept, o.Machine)
		m.states[o.Machine] = "upkeep"
		m.down++
		m.most = max(m.most, m.down)
	} else {
		m.pools[o.Machine], m.states[o.Machine] = o.Pool, "moving"
	}
	old.Crash()
	old.Store.Remove("servers", "", old.ID)
	m.machines[o.Machine] = nil
	next := &Worker{
		ID: old.ID + "x", Pool: m.pools[o.Machine], Zone: old.Zone, Machine: old.Machine, CPU: old.CPU, MemMB: old.MemMB, Slow: old.Slow, Store: old.Store,
	}
	time.AfterFunc(m.Time, func() {
		err := next.Start()
		m.mu.Lock()
		defer m.mu.Unlock()
		if upkeep {
			m.down--
		}
		if err == nil {
			m.machines[o.Machine], m.states[o.Machine] = next, "up"
		}
	})
}

func (m *Machines) list(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []map[string]any{}
	for id, x := range m.machines {
		entry := map[string]any{
			"machine": id, "pool": m.pools[id], "state": m.states[id], "zone": "z1", "labels": []string{}, "id": nil,
			"capacity": map[string]int64{"cpu": 16000, "memMb": 32768, "gpu": 0},
		}
		if x != nil {
			entry["id"] = x.ID
		}
		out = append(out, entry)
	}
	reply(w, http.StatusOK, map[string]any{"machines": out, "nextToken": nil})
}

// Adviser is a stand-in for the adviser: it allows the workers of Good.
type Adviser struct {
	Good []string
}

// ServeHTTP answers one call for advice.
func (a *Adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	good := [][2]string{}
	for _, id := range in.Workers {
		if slices.Contains(a.Good, id) {
			good = append(good, [2]string{id, "ticket-" + id})
		}
	}
	reply(w, http.StatusOK, map[string]any{"good": good, "validMs": 2000})
}
