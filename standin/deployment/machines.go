package deployment

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Machines simulates the platform's machine service. A machine that moves to another pool or is
// taken down for maintenance loses its worker, and a new worker starts after Downtime.
type Machines struct {
	Downtime time.Duration // how long a move or a maintenance takes

	mu         sync.Mutex
	workers    map[string]*Worker // by machine; nil while a machine moves or is down
	pools      map[string]string  // by machine
	zones      map[string]string  // by machine
	states     map[string]string  // by machine: up, upkeep or moving
	maintained []string           // machines in the order in which their maintenance began
	downCount  int                // machines that are down for maintenance
	maxDown    int                // largest value of downCount so far
	orders     map[string]int     // by machine, the orders that were received
}

// Add adds the machine of a worker, in the state up.
func (m *Machines) Add(w *Worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.workers == nil {
		m.workers, m.pools, m.zones = map[string]*Worker{}, map[string]string{}, map[string]string{}
		m.states, m.orders = map[string]string{}, map[string]int{}
	}
	m.workers[w.Machine], m.pools[w.Machine], m.zones[w.Machine], m.states[w.Machine] = w, w.Pool, w.Zone, "up"
}

// Maintained returns the machines whose maintenance has begun, in order, and the largest number of
// machines that were down for maintenance at once.
func (m *Machines) Maintained() (ids []string, maxDown int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.maintained), m.maxDown
}

// Orders returns the number of orders for a machine that were received.
func (m *Machines) Orders(machine string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orders[machine]
}

// Workers returns the workers of all machines that are up.
func (m *Machines) Workers() []*Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*Worker
	for _, w := range m.workers {
		if w != nil {
			out = append(out, w)
		}
	}
	return out
}

// machineOrder is the body of a request to move a machine or to take it down.
type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
}

// ServeHTTP serves the protocol of the machine service: GET /machines, and the orders
// /machine-move and /machine-upkeep. An order for a machine that is not up gets 409.
func (m *Machines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/machines" {
		m.list(w)
		return
	}
	var order machineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.workers[order.Machine]
	m.orders[order.Machine]++
	switch {
	case m.states[order.Machine] == "":
		w.WriteHeader(http.StatusBadRequest)
		return
	case m.states[order.Machine] != "up":
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	case r.URL.Path == "/machine-upkeep" && slices.Contains(m.maintained, order.Machine):
		writeJSON(w, http.StatusOK, map[string]string{})
		return
	}
	m.takeDown(r.URL.Path, order, old)
	writeJSON(w, http.StatusOK, map[string]string{})
}

// takeDown ends the worker of a machine and starts its successor after m.Downtime. The caller holds
// m.mu.
func (m *Machines) takeDown(path string, order machineOrder, old *Worker) {
	maintenance := path == "/machine-upkeep"
	if maintenance {
		m.maintained = append(m.maintained, order.Machine)
		m.states[order.Machine] = "upkeep"
		m.downCount++
		m.maxDown = max(m.maxDown, m.downCount)
	} else {
		m.pools[order.Machine], m.states[order.Machine] = order.Pool, "moving"
	}
	old.Crash()
	old.Store.Remove("servers", "", old.ID)
	m.workers[order.Machine] = nil
	next := &Worker{
		ID: old.ID + "x", Pool: m.pools[order.Machine], Zone: old.Zone, Machine: old.Machine, CPU: old.CPU, MemMB: old.MemMB, ClockLag: old.ClockLag, Store: old.Store,
	}
	time.AfterFunc(m.Downtime, func() {
		err := next.Start()
		m.mu.Lock()
		defer m.mu.Unlock()
		if maintenance {
			m.downCount--
		}
		if err == nil {
			m.workers[order.Machine], m.states[order.Machine] = next, "up"
		}
	})
}

func (m *Machines) list(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []map[string]any{}
	for id, worker := range m.workers {
		entry := map[string]any{
			"machine": id, "pool": m.pools[id], "state": m.states[id], "zone": m.zones[id], "labels": []string{}, "id": nil,
			"capacity": map[string]int64{"cpu": 16000, "memMb": 32768, "gpu": 0},
		}
		if worker != nil {
			entry["id"] = worker.ID
		}
		out = append(out, entry)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": out, "nextToken": nil})
}

// Adviser simulates the platform's adviser, which says on which workers a step may run. It
// allows the workers listed in Allowed.
type Adviser struct {
	Allowed []string // IDs of the allowed workers
}

// ServeHTTP responds to one request for advice with a ticket for each allowed worker; the
// advice is valid for 2000 ms.
func (a *Adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	allowed := [][2]string{}
	for _, id := range in.Workers {
		if slices.Contains(a.Allowed, id) {
			allowed = append(allowed, [2]string{id, "ticket-" + id})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"good": allowed, "validMs": 2000})
}
