//go:build review3

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as the pages describe it.
type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r *row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's store: linearizable, with one counter of versions and a steady
// clock. It serves each member at an address of its own, so that a path can be cut for one member.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	version uint64
	changed chan struct{}
	started time.Time
	denied  map[string]bool // members whose calls get no answer
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), started: time.Now(), denied: map[string]bool{}}
}

// serve opens an address for one member.
func (s *store) serve(member string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			denied := s.denied[member]
			s.mu.Unlock()
			if denied {
				<-r.Context().Done()
				return
			}
			s.handle(w, r)
		}))
	}()
	return listener.Addr().String()
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() + 1000 }

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: text}}, nil)
}

func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowID{table, part, key}].Value
}

// apply applies a transaction. The caller holds s.mu.
func (s *store) apply(writes, removes []row) {
	s.version++
	v := s.version
	for _, r := range writes {
		r.Ver = &v
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		r.Ver, r.Tombstone, r.Value = &v, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows    []row    `json:"rows"`
	Parts   []string `json:"parts,omitempty"`
	HasMore bool     `json:"hasMore"`
	Ver     uint64   `json:"ver"`
	NowMs   int64    `json:"nowMs"`
}

func answer(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) handle(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/rows-tx":
		var t struct {
			Expected, Writes, Remove []row
		}
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&t); err != nil {
			answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
		large := func(r row) bool { return len(r.Value) > 65536 }
		if len(t.Expected)+len(t.Writes)+len(t.Remove) > 100 || slices.ContainsFunc(t.Writes, large) {
			answer(w, http.StatusBadRequest, map[string]string{"error": "too large"})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		ok, current := true, []row{}
		for _, e := range t.Expected {
			existing, found := s.rows[e.id()]
			var want, have uint64
			if e.Ver != nil {
				want = *e.Ver
			}
			if found {
				current, have = append(current, existing), *existing.Ver
			}
			ok = ok && want == have
		}
		if !ok {
			answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: current, Ver: s.version, NowMs: s.now()})
			return
		}
		s.apply(t.Writes, t.Remove)
		answer(w, http.StatusOK, rowsAnswer{Rows: []row{}, Ver: s.version, NowMs: s.now()})
	case "/rows-get":
		limit, bytes := 500, 0
		if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
			limit = min(limit, n)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		var found []row
		for id, r := range s.rows {
			if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
				found = append(found, r)
			}
		}
		slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
		out := rowsAnswer{Rows: []row{}, Ver: s.version, NowMs: s.now()}
		for _, r := range found {
			bytes += len(r.Value) * 4 / 3
			if len(out.Rows) == limit || (len(out.Rows) > 0 && bytes > 1<<20) {
				out.HasMore = true
				break
			}
			out.Rows = append(out.Rows, r)
		}
		answer(w, http.StatusOK, out)
	case "/rows-parts":
		s.mu.Lock()
		defer s.mu.Unlock()
		out := rowsAnswer{Rows: []row{}, Ver: s.version, NowMs: s.now()}
		for id := range s.rows {
			if id.table == q.Get("table") && id.part > q.Get("after") || (id.table == q.Get("table") && q.Get("after") == "") {
				if !slices.Contains(out.Parts, id.part) {
					out.Parts = append(out.Parts, id.part)
				}
			}
		}
		slices.Sort(out.Parts)
		answer(w, http.StatusOK, out)
	case "/rows-feed":
		s.feed(w, r)
	default:
		answer(w, http.StatusNotFound, map[string]string{})
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for over := waitMs == 0; ; {
		s.mu.Lock()
		out := rowsAnswer{Rows: []row{}, Ver: s.version, NowMs: s.now()}
		i, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, v uint64) int { return int(*r.Ver) - int(v) })
		for ; i < len(s.history) && len(out.Rows) < 500; i++ {
			if s.history[i].Table == q.Get("table") {
				out.Rows = append(out.Rows, s.history[i])
				if len(out.Rows) == 500 {
					out.Ver = *s.history[i].Ver
				}
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Rows) > 0 || over {
			answer(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
