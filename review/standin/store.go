package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, as PROTOCOL.md describes it.
type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     *[]byte `json:"value,omitempty"`
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r *row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a sound platform store: it loses nothing, its answers are linearizable, and a transaction
// takes txMs.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	ver     uint64
	changed chan struct{}
	started time.Time
}

const (
	txTime      = 4 * time.Millisecond
	rowBytes    = 65536
	callBytes   = 1 << 20
	callEntries = 100
	pageRows    = 500
)

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row without a condition, as the operator and the workers do.
func (s *store) put(table, part, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Part: part, Key: key, Value: &text}}, nil)
}

func (s *store) remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Part: part, Key: key}})
}

func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowID{table, part, key}]
	if !ok || r.Value == nil {
		return nil
	}
	return *r.Value
}

func (s *store) apply(writes, removes []row) {
	s.ver++
	v := s.ver
	for _, r := range writes {
		r.Ver, r.Tombstone = &v, false
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: &v, Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-tx":
		s.serveTx(w, r)
	case "/rows-get":
		s.mu.Lock()
		var out []row
		for id, x := range s.rows {
			if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
				out = append(out, x)
			}
		}
		ver := s.ver
		s.mu.Unlock()
		sort.Slice(out, func(i, k int) bool { return out[i].Key < out[k].Key })
		limit := pageRows
		if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
			limit = n
		}
		more, size := false, 0
		for i := range out {
			if out[i].Value != nil {
				size += len(*out[i].Value)
			}
			if i >= limit || (size > callBytes && i > 0) {
				out, more = out[:i], true
				break
			}
		}
		if out == nil {
			out = []row{}
		}
		reply(w, 200, map[string]any{"rows": out, "hasMore": more, "ver": ver, "nowMs": s.now()})
	case "/rows-parts":
		s.mu.Lock()
		seen := map[string]bool{}
		for id := range s.rows {
			if id.table == q.Get("table") && (!q.Has("after") || id.part > q.Get("after")) {
				seen[id.part] = true
			}
		}
		ver := s.ver
		s.mu.Unlock()
		parts := make([]string, 0, len(seen))
		for p := range seen {
			parts = append(parts, p)
		}
		sort.Strings(parts)
		more := len(parts) > 1000
		if more {
			parts = parts[:1000]
		}
		reply(w, 200, map[string]any{"parts": parts, "hasMore": more, "ver": ver, "nowMs": s.now()})
	case "/rows-feed":
		s.serveFeed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Writes, Remove []row }
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, callBytes)).Decode(&tx); err != nil {
		reply(w, 400, map[string]any{})
		return
	}
	if len(tx.Expected)+len(tx.Writes)+len(tx.Remove) > callEntries {
		reply(w, 400, map[string]any{})
		return
	}
	for _, x := range append(append([]row{}, tx.Writes...), tx.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			reply(w, 403, map[string]any{})
			return
		}
		if x.Value != nil && len(*x.Value) > rowBytes {
			reply(w, 400, map[string]any{})
			return
		}
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, current := true, []row{}
	for _, e := range tx.Expected {
		x, found := s.rows[e.id()]
		var want, have uint64
		if e.Ver != nil {
			want = *e.Ver
		}
		if found {
			current = append(current, x)
			have = *x.Ver
		}
		ok = ok && want == have
	}
	if !ok {
		reply(w, 412, map[string]any{"rows": current, "ver": s.ver, "nowMs": s.now()})
		return
	}
	s.apply(tx.Writes, tx.Remove)
	reply(w, 200, map[string]any{"ver": s.ver, "nowMs": s.now()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timer.Stop()
	for last := waitMs <= 0; ; {
		s.mu.Lock()
		out, ver := []row{}, s.ver
		first := sort.Search(len(s.history), func(i int) bool { return *s.history[i].Ver > after })
		for _, x := range s.history[first:] {
			if x.Table != q.Get("table") {
				continue
			}
			if len(out) >= pageRows && *out[len(out)-1].Ver != *x.Ver {
				ver = *out[len(out)-1].Ver
				break
			}
			out = append(out, x)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out) > 0 || last {
			reply(w, 200, map[string]any{"rows": out, "ver": ver, "nowMs": s.now()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}
