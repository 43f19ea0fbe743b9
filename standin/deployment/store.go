package deployment

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store as it is on the wire.
type Row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *Row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// StoreFaults are the failures that a Store can be told to show.
type StoreFaults struct {
	Down      bool          // every call gets 503 and does nothing
	LoseOneIn int           // one write call in so many is done but not answered; 0 means none
	LateFor   time.Duration // writes that are not answered are done this much later
	Compacted bool          // histories are gone
	Delay     time.Duration
}

// Store is a stand-in for the platform's store. The zero value is ready to use.
type Store struct {
	mu     sync.Mutex
	rows   map[rowKey]Row
	log    []Row
	ver    uint64
	floor  uint64 // history up to it is gone
	faults StoreFaults
	calls  int
	writes int
	wake   chan struct{}
}

// SetFaults replaces the failures shown.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Compacted {
		s.floor = s.ver
	}
}

// Calls returns the number of calls so far, and how many of them wrote.
func (s *Store) Calls() (all, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.writes
}

// Put writes a row as the operator or a worker does.
func (s *Store) Put(table, part, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // a test gave a value that has no JSON
	}
	s.PutRaw(table, part, key, text)
}

// PutRaw writes a row of any bytes.
func (s *Store) PutRaw(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Part: part, Key: key, Value: value}}, nil)
}

// Remove removes a row.
func (s *Store) Remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []Row{{Table: table, Part: part, Key: key}})
}

// Get returns the value of a row.
func (s *Store) Get(table, part, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, part, key}]
	return r.Value, ok
}

func (s *Store) apply(writes, removes []Row) {
	if s.rows == nil {
		s.rows = map[rowKey]Row{}
	}
	s.ver++
	ver := s.ver
	for _, r := range writes {
		r.Ver = &ver
		s.rows[r.id()] = r
		s.log = append(s.log, r)
	}
	for _, r := range removes {
		delete(s.rows, r.id())
		r.Ver, r.Tombstone = &ver, true
		s.log = append(s.log, r)
	}
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
}

// ServeHTTP answers the store's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Down {
		http.Error(w, `{"error":"down"}`, http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/rows-tx":
		s.serveTx(w, r, f)
	case "/rows-get":
		s.serveGet(w, r)
	case "/rows-parts":
		s.serveParts(w, r)
	case "/rows-feed":
		s.serveFeed(w, r)
	default:
		http.NotFound(w, r)
	}
}

type txBody struct {
	Expected []Row `json:"expected"`
	Writes   []Row `json:"writes"`
	Remove   []Row `json:"remove"`
}

type rowsBody struct {
	Rows    []Row    `json:"rows"`
	Parts   []string `json:"parts,omitempty"`
	HasMore bool     `json:"hasMore"`
	Ver     uint64   `json:"ver"`
	NowMs   int64    `json:"nowMs"`
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveTx(w http.ResponseWriter, r *http.Request, f StoreFaults) {
	var t txBody
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.writes++
	lose := f.LoseOneIn > 0 && s.writes%f.LoseOneIn == 0
	s.mu.Unlock()
	if lose && f.LateFor > 0 {
		time.AfterFunc(f.LateFor, func() { s.transact(&t) })
	} else if !lose {
		status, body := s.transact(&t)
		reply(w, status, body)
		return
	} else {
		s.transact(&t)
	}
	<-r.Context().Done()
}

func (s *Store) transact(t *txBody) (int, rowsBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	var current []Row
	for _, e := range t.Expected {
		have, found := s.rows[e.id()]
		if found {
			current = append(current, have)
		}
		var want, is uint64
		if e.Ver != nil {
			want = *e.Ver
		}
		if found {
			is = *have.Ver
		}
		ok = ok && want == is
	}
	if !ok {
		return http.StatusPreconditionFailed, rowsBody{Rows: current, Ver: s.ver}
	}
	s.apply(t.Writes, t.Remove)
	return http.StatusOK, rowsBody{Rows: []Row{}, Ver: s.ver}
}

// pageRows is how many rows one answer holds.
const pageRows = 500

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	body := rowsBody{Rows: []Row{}, Ver: s.ver}
	for id, row := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			body.Rows = append(body.Rows, row)
		}
	}
	slices.SortFunc(body.Rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	if len(body.Rows) > pageRows {
		body.Rows, body.HasMore = body.Rows[:pageRows], true
	}
	reply(w, http.StatusOK, body)
}

func (s *Store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := rowsBody{Rows: []Row{}, Ver: s.ver}
	for id := range s.rows {
		if id.table == r.URL.Query().Get("table") && !slices.Contains(body.Parts, id.part) {
			body.Parts = append(body.Parts, id.part)
		}
	}
	slices.Sort(body.Parts)
	reply(w, http.StatusOK, body)
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("waitMs"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for last := wait == 0; ; {
		s.mu.Lock()
		if after < s.floor {
			s.mu.Unlock()
			http.Error(w, `{"error":"gone"}`, http.StatusGone)
			return
		}
		body := rowsBody{Rows: []Row{}, Ver: s.ver}
		for _, row := range s.log {
			if row.Table == q.Get("table") && *row.Ver > after {
				body.Rows = append(body.Rows, row)
			}
		}
		if s.wake == nil {
			s.wake = make(chan struct{})
		}
		wake := s.wake
		s.mu.Unlock()
		if len(body.Rows) > 0 || last {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-wake:
		case <-deadline.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}
