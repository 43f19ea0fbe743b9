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

// Faults are the failures that a platform can be told to show.
type Faults struct {
	Down       bool     `json:"down"`         // every call fails with 503 and has no effect
	Lose       bool     `json:"lose"`         // commits take effect, but their answers are lost
	LoseBefore bool     `json:"lose_before"`  // commits are lost before they take effect
	LateMS     int64    `json:"late_ms"`      // commits take effect this much after their answers were lost
	OneIn      int64    `json:"one_in"`       // the three above hit one commit in this many; 0 means each
	WritesPerS int      `json:"writes_per_s"` // more commits a second get 429 and have no effect; 0 means no limit
	ReadsPerS  int      `json:"reads_per_s"`  // the same for queries
	DelayMS    int64    `json:"delay_ms"`     // added to every call
	CutZones   []string `json:"cut_zones"`    // calls from these zones are dropped
	FreezeMS   int64    `json:"freeze_ms"`    // the instance list lags by this much
}

// Platform is a stand-in for the platform. The zero value is ready to use.
type Platform struct {
	mu        sync.Mutex
	rows      map[rowstore.WireRef]rowstore.WireRow
	last      uint64
	objects   map[string][]byte
	instances map[string]rowstore.WireInstance
	changes   []change // of instances, not in the list yet
	faults    Faults
	commits   int64
	writeRate rate
	readRate  rate

	// Reboot is called when an instance is to be rebooted; nil does nothing.
	Reboot func(id string)

	Writes atomic.Int64 // commits applied
	Reads  atomic.Int64 // queries answered

	counts counts
}

// SetFaults replaces the failures shown.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// change is a change of an instance and when it happened.
type change struct {
	at time.Time
	in rowstore.WireInstance
}

// SetInstance changes the state of an instance in the list; an empty state removes it.
func (p *Platform) SetInstance(in rowstore.WireInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, change{time.Now(), in})
}

// publish takes the changes that are older than the lag into the list. p is locked.
func (p *Platform) publish() {
	if p.instances == nil {
		p.instances = map[string]rowstore.WireInstance{}
	}
	lag := time.Duration(p.faults.FreezeMS) * time.Millisecond
	for len(p.changes) > 0 && time.Since(p.changes[0].at) >= lag {
		in := p.changes[0].in
		p.changes = p.changes[1:]
		if in.State == "" {
			delete(p.instances, in.ID)
		} else {
			p.instances[in.ID] = in
		}
	}
}

// rate counts the calls of one second.
type rate struct {
	second int64
	calls  int
}

// take reports whether one more call fits under limit.
func (r *rate) take(limit int) bool {
	if now := time.Now().Unix(); now != r.second {
		r.second, r.calls = now, 0
	}
	r.calls++
	return limit == 0 || r.calls <= limit
}

// limited reports whether a call exceeds the rate limits.
func (p *Platform) limited(path string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch path {
	case "/v1/transactions":
		return !p.writeRate.take(p.faults.WritesPerS)
	case "/v1/reads":
		return !p.readRate.take(p.faults.ReadsPerS)
	}
	return false
}

// losses returns the faults that hit the next commit.
func (p *Platform) losses() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commits++
	if p.faults.OneIn > 1 && p.commits%p.faults.OneIn != 0 {
		return Faults{}
	}
	return p.faults
}

// Commit applies t if its checks hold.
func (p *Platform) Commit(t rowstore.WireTransaction) (rowstore.WireCommit, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out rowstore.WireCommit
	if len(t.Writes) > rowstore.MaxRows {
		return out, http.StatusRequestEntityTooLarge
	}
	for _, c := range t.Checks {
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
	for _, w := range t.Writes {
		// Versions never repeat, so that a row that was deleted and made anew is not
		// mistaken for the old one.
		p.last++
		ref := rowstore.WireRef{Table: w.Table, Key: w.Key}
		if w.Delete {
			delete(p.rows, ref)
		} else {
			p.rows[ref] = rowstore.WireRow{Table: w.Table, Key: w.Key, Version: p.last, Value: w.Value}
		}
		out.Versions = append(out.Versions, p.last)
	}
	p.Writes.Add(1)
	p.counts.rows.Add(int64(len(t.Writes)))
	return out, http.StatusOK
}

// Query returns the rows that q asks for.
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

// ServeHTTP serves the platform's protocol, POST /faults and /instances to steer it, and
// GET /counters to watch it.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/faults":
		var f Faults
		if decode(w, r, &f) {
			p.SetFaults(f)
		}
		return
	case "/counters":
		p.serveCounters(w)
		return
	case "/instances":
		var in rowstore.WireInstance
		if decode(w, r, &in) {
			p.SetInstance(in)
		}
		return
	}
	if !p.reachable(r) {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	if p.limited(r.URL.Path) {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	p.serve(w, r)
}

// reachable waits and reports whether the platform answers a call.
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
	for _, z := range f.CutZones {
		if z == zone {
			panic(http.ErrAbortHandler)
		}
	}
	return !f.Down
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/transactions":
		var t rowstore.WireTransaction
		if !decode(w, r, &t) {
			return
		}
		f := p.losses()
		if f.LateMS > 0 {
			time.AfterFunc(time.Duration(f.LateMS)*time.Millisecond, func() { p.Commit(t) })
		}
		if f.LoseBefore || f.LateMS > 0 {
			panic(http.ErrAbortHandler)
		}
		out, status := p.Commit(t)
		if f.Lose {
			panic(http.ErrAbortHandler)
		}
		answer(w, status, out)
	case r.URL.Path == "/v1/reads":
		var q rowstore.WireQuery
		if decode(w, r, &q) {
			answer(w, http.StatusOK, p.Query(q))
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
		p.object(w, r, strings.TrimPrefix(r.URL.Path, "/v1/objects/"))
	default:
		http.NotFound(w, r)
	}
}

// serveList answers with the list, or with 304 if the caller holds it.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list := p.list()
	hash := fnv.New64a()
	_ = json.NewEncoder(hash).Encode(list)
	tag := fmt.Sprintf(`"%016x"`, hash.Sum64())
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	answer(w, http.StatusOK, list)
}

func (p *Platform) list() rowstore.WireInstances {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publish()
	out := rowstore.WireInstances{Instances: []rowstore.WireInstance{}}
	for _, in := range p.instances {
		out.Instances = append(out.Instances, in)
	}
	sort.Slice(out.Instances, func(i, j int) bool { return out.Instances[i].ID < out.Instances[j].ID })
	return out
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request, name string) {
	if r.Method == http.MethodPut {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.objects == nil {
			p.objects = map[string][]byte{}
		}
		p.objects[name] = text
		return
	}
	p.mu.Lock()
	text, ok := p.objects[name]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(text)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
