package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"citronknot/rowstore"
)

// Faults are the failures that a platform simulates. POST /faults sets them.
type Faults struct {
	Down             bool     `json:"down"`         // every request fails with 503 and has no effect
	LoseResponses    bool     `json:"lose"`         // commits take effect, but their responses are lost
	LoseCommits      bool     `json:"lose_before"`  // commits and their responses are lost; the commits take no effect
	CommitDelayMS    int64    `json:"late_ms"`      // responses to commits are lost, and the commits take effect this much later
	OneIn            int64    `json:"one_in"`       // LoseResponses, LoseCommits and CommitDelayMS affect one commit in this many; 0 means every commit
	WritesPerS       int      `json:"writes_per_s"` // commits beyond this rate get 429 and have no effect; 0 means no limit
	ReadsPerS        int      `json:"reads_per_s"`  // queries beyond this rate get 429; 0 means no limit
	DelayMS          int64    `json:"delay_ms"`     // added to every request
	PartitionedZones []string `json:"cut_zones"`    // requests from these zones are dropped without a response
	ListDelayMS      int64    `json:"freeze_ms"`    // the instance list shows changes this much later
}

// Platform is an in-memory replacement for the platform: it serves the table service, the
// object store and the instance list. The zero value is ready to use.
type Platform struct {
	mu             sync.Mutex
	rows           map[rowstore.WireRef]rowstore.WireRow
	lastVersion    uint64
	objects        map[string][]byte
	instances      map[string]rowstore.WireInstance
	pendingChanges []instanceChange // of instances, not in the list yet, in the order of time
	faults         Faults
	commitCalls    int64
	writeWindow    rateWindow
	readWindow     rateWindow

	// Reboot is called when a request asks for the reboot of an instance. If it is nil,
	// the request is accepted and has no effect.
	Reboot func(id string)

	Writes atomic.Int64 // commits applied
	Reads  atomic.Int64 // queries served

	counts counts
}

// SetFaults replaces the simulated failures.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// instanceChange is the new state of an instance and the time at which it was set.
type instanceChange struct {
	changedAt time.Time
	in        rowstore.WireInstance
}

// SetInstance adds an instance to the list or replaces it; an empty state removes it. The list
// shows the change after the delay [Faults].ListDelayMS.
func (p *Platform) SetInstance(in rowstore.WireInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingChanges = append(p.pendingChanges, instanceChange{time.Now(), in})
}

// applyPendingChanges applies the changes that are older than the delay of the instance list.
// The caller holds p.mu.
func (p *Platform) applyPendingChanges() {
	if p.instances == nil {
		p.instances = map[string]rowstore.WireInstance{}
	}
	lag := time.Duration(p.faults.ListDelayMS) * time.Millisecond
	for len(p.pendingChanges) > 0 && time.Since(p.pendingChanges[0].changedAt) >= lag {
		in := p.pendingChanges[0].in
		p.pendingChanges = p.pendingChanges[1:]
		if in.State == "" {
			delete(p.instances, in.ID)
		} else {
			p.instances[in.ID] = in
		}
	}
}

// rateWindow counts the requests in the current second of the Unix clock.
type rateWindow struct {
	second int64
	calls  int
}

// allow counts one request and reports whether it is within limit requests a second; a limit
// of 0 allows every request.
func (r *rateWindow) allow(limit int) bool {
	if now := time.Now().Unix(); now != r.second {
		r.second, r.calls = now, 0
	}
	r.calls++
	return limit == 0 || r.calls <= limit
}

// rateLimited counts one request and reports whether it exceeds its rate limit.
func (p *Platform) rateLimited(path string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch path {
	case "/v1/transactions":
		return !p.writeWindow.allow(p.faults.WritesPerS)
	case "/v1/reads":
		return !p.readWindow.allow(p.faults.ReadsPerS)
	}
	return false
}

// nextCommitFaults counts one commit and returns the faults that affect it.
func (p *Platform) nextCommitFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commitCalls++
	if p.faults.OneIn > 1 && p.commitCalls%p.faults.OneIn != 0 {
		return Faults{}
	}
	return p.faults
}

// Commit applies the transaction if each checked row has the expected version. It returns the
// versions of the written rows and status 200, the conflicting rows and status 409, or status
// 413 if the transaction writes more than [rowstore.MaxRows] rows.
func (p *Platform) Commit(transaction rowstore.WireTransaction) (rowstore.WireCommit, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out rowstore.WireCommit
	if len(transaction.Writes) > rowstore.MaxRows {
		return out, http.StatusRequestEntityTooLarge
	}
	for _, c := range transaction.Checks {
		ref := rowstore.WireRef{Table: c.Table, Key: c.Key}
		if p.rows[ref].Version != c.Version {
			out.Conflicts = append(out.Conflicts, ref)
		}
	}
	if len(out.Conflicts) > 0 {
		p.counts.refused.Add(1)
		return out, http.StatusConflict
	}
	if p.rows == nil {
		p.rows = map[rowstore.WireRef]rowstore.WireRow{}
	}
	for _, w := range transaction.Writes {
		// Versions never repeat, so that a row that was deleted and created again is not
		// mistaken for the deleted one.
		p.lastVersion++
		ref := rowstore.WireRef{Table: w.Table, Key: w.Key}
		if w.Delete {
			delete(p.rows, ref)
		} else {
			p.rows[ref] = rowstore.WireRow{Table: w.Table, Key: w.Key, Version: p.lastVersion, Value: w.Value}
		}
		out.Versions = append(out.Versions, p.lastVersion)
	}
	p.Writes.Add(1)
	p.counts.rows.Add(int64(len(transaction.Writes)))
	return out, http.StatusOK
}

// Query returns the rows named by the gets of q that exist, then the rows of each scan in the
// order of their keys.
func (p *Platform) Query(q rowstore.WireQuery) rowstore.WireRows {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Reads.Add(1)
	out := rowstore.WireRows{Rows: []rowstore.WireRow{}}
	for _, g := range q.Gets {
		if r, ok := p.rows[g]; ok {
			out.Rows = append(out.Rows, r)
		}
	}
	for _, s := range q.Scans {
		var found []rowstore.WireRow
		for ref, r := range p.rows {
			if ref.Table == s.Table && strings.HasPrefix(ref.Key, s.Prefix) {
				found = append(found, r)
			}
		}
		sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
		out.Rows = append(out.Rows, found...)
	}
	return out
}

// ServeHTTP serves the platform's protocol. POST /faults sets the faults, POST /instances
// changes an instance, and GET /counters returns the counters.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/faults":
		var f Faults
		if decodeJSON(w, r, &f) {
			p.SetFaults(f)
		}
		return
	case "/counters":
		p.serveCounters(w)
		return
	case "/instances":
		var in rowstore.WireInstance
		if decodeJSON(w, r, &in) {
			p.SetInstance(in)
		}
		return
	}
	if !p.reachable(r) {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	if p.rateLimited(r.URL.Path) {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	p.serve(w, r)
}

// reachable waits for the configured delay and reports whether the platform is up. It aborts
// the connection if the request comes from a zone that is cut off.
func (p *Platform) reachable(r *http.Request) bool {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	zone := r.Header.Get(rowstore.ZoneHeader)
	for _, cutZone := range f.PartitionedZones {
		if cutZone == zone {
			panic(http.ErrAbortHandler)
		}
	}
	return !f.Down
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/transactions":
		var t rowstore.WireTransaction
		if !decodeJSON(w, r, &t) {
			return
		}
		f := p.nextCommitFaults()
		if f.CommitDelayMS > 0 {
			time.AfterFunc(time.Duration(f.CommitDelayMS)*time.Millisecond, func() { p.Commit(t) })
		}
		if f.LoseCommits || f.CommitDelayMS > 0 {
			panic(http.ErrAbortHandler)
		}
		out, status := p.Commit(t)
		if f.LoseResponses {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, status, out)
	case r.URL.Path == "/v1/reads":
		var q rowstore.WireQuery
		if decodeJSON(w, r, &q) {
			writeJSON(w, http.StatusOK, p.Query(q))
		}
	case r.URL.Path == "/v1/instances":
		p.counts.lists.Add(1)
		p.serveList(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/instances/") && strings.HasSuffix(r.URL.Path, "/reboot"):
		id := strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/v1/instances/"), "/reboot")
		if p.Reboot != nil {
			p.Reboot(id)
		}
		w.WriteHeader(http.StatusAccepted)
	case strings.HasPrefix(r.URL.Path, "/v1/objects/"):
		p.counts.objects.Add(1)
		p.serveObject(w, r, strings.TrimPrefix(r.URL.Path, "/v1/objects/"))
	default:
		http.NotFound(w, r)
	}
}

// serveList responds with the instance list, or with 304 if the request's If-None-Match header
// has the entity tag of the current list.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list := p.instanceList()
	hash := fnv.New64a()
	_ = json.NewEncoder(hash).Encode(list)
	tag := fmt.Sprintf(`"%016x"`, hash.Sum64())
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// instanceList returns the visible instances in the order of their IDs.
func (p *Platform) instanceList() rowstore.WireInstances {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyPendingChanges()
	out := rowstore.WireInstances{Instances: []rowstore.WireInstance{}}
	for _, in := range p.instances {
		out.Instances = append(out.Instances, in)
	}
	sort.Slice(out.Instances, func(i, j int) bool { return out.Instances[i].ID < out.Instances[j].ID })
	return out
}

// serveObject stores an object on PUT and returns it on any other method.
func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request, key string) {
	if r.Method == http.MethodPut {
		content, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.objects == nil {
			p.objects = map[string][]byte{}
		}
		p.objects[key] = content
		return
	}
	p.mu.Lock()
	content, ok := p.objects[key]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(content)
}

// decodeJSON decodes the body of r into v. If that fails, it responds with 400 and returns false.
func decodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
