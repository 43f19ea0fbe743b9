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

// Row is a row of the store in its wire format.
type Row struct {
	Table     string  `json:"table"`
	Partition string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Version   *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

type rowKey struct{ table, partition, key string }

func (r *Row) rowKey() rowKey { return rowKey{r.Table, r.Partition, r.Key} }

// StoreFaults are the failures that a Store simulates.
type StoreFaults struct {
	Down              bool          // every request gets 503 and has no effect
	LoseResponseEvery int           // one transaction in this many takes effect but gets no response; 0 means none
	CommitDelay       time.Duration // transactions that get no response take effect this much later
	Compacted         bool          // setting it drops the history of changes up to now
	Delay             time.Duration // added to every request
}

// Store simulates the platform's store in memory. The zero value is ready to use.
type Store struct {
	mu               sync.Mutex
	rows             map[rowKey]Row
	history          []Row
	version          uint64
	compactedThrough uint64 // the history up to this version is dropped
	faults           StoreFaults
	callCount        int
	writeCount       int
	changed          chan struct{}
}

// SetFaults replaces the simulated failures. If f.Compacted is set, it drops the history of
// changes, so that a feed from an older version gets 410.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.Compacted {
		s.compactedThrough = s.version
	}
}

// Calls returns the number of requests so far, and how many of them were transactions.
func (s *Store) Calls() (total, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount, s.writeCount
}

// Put writes a row with the JSON encoding of value, without a version check, as the operator or
// a worker does. It panics if value cannot be encoded.
func (s *Store) Put(table, partition, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // a test passed a value that JSON cannot encode
	}
	s.PutRaw(table, partition, key, text)
}

// PutRaw writes a row with the given bytes, which need not be JSON.
func (s *Store) PutRaw(table, partition, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Partition: partition, Key: key, Value: value}}, nil)
}

// Remove removes a row, without a version check.
func (s *Store) Remove(table, partition, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []Row{{Table: table, Partition: partition, Key: key}})
}

// Get returns the value of a row and whether the row exists.
func (s *Store) Get(table, partition, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, partition, key}]
	return r.Value, ok
}

// apply writes and removes rows under one new version, records the changes and wakes waiting
// feeds. The caller holds s.mu.
func (s *Store) apply(writes, removes []Row) {
	if s.rows == nil {
		s.rows = map[rowKey]Row{}
	}
	s.version++
	version := s.version
	for _, r := range writes {
		r.Version = &version
		s.rows[r.rowKey()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		delete(s.rows, r.rowKey())
		r.Version, r.Tombstone = &version, true
		s.history = append(s.history, r)
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// ServeHTTP serves the store's protocol: transactions, reads, partition lists and the feed of
// changes.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.callCount++
	f := s.faults
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Down {
		http.Error(w, `{"error":"down"}`, http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/rows-tx":
		s.serveTransaction(w, r, f)
	case "/rows-get":
		s.serveGet(w, r)
	case "/rows-parts":
		s.servePartitions(w, r)
	case "/rows-feed":
		s.serveFeed(w, r)
	default:
		http.NotFound(w, r)
	}
}

type transactionBody struct {
	Expected []Row `json:"expected"`
	Writes   []Row `json:"writes"`
	Remove   []Row `json:"remove"`
}

type rowsBody struct {
	Rows       []Row    `json:"rows"`
	Partitions []string `json:"parts,omitempty"`
	HasMore    bool     `json:"hasMore"`
	Version    uint64   `json:"ver"`
	NowMs      int64    `json:"nowMs"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Limits of a transaction, as the platform has them.
const (
	maxRowBytes   = 65536
	maxCallBytes  = 1 << 20
	maxCallFields = 100 // expected, written and removed rows
)

// serveTransaction applies a transaction. It refuses one beyond the limits with 400. Under the fault LoseResponseEvery it sends no response.
func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request, f StoreFaults) {
	var t transactionBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tooLarge := func(row Row) bool { return len(row.Value) > maxRowBytes }
	if len(t.Expected)+len(t.Writes)+len(t.Remove) > maxCallFields || slices.ContainsFunc(t.Writes, tooLarge) {
		http.Error(w, "the transaction is too large", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.writeCount++
	lose := f.LoseResponseEvery > 0 && s.writeCount%f.LoseResponseEvery == 0
	s.mu.Unlock()
	if lose && f.CommitDelay > 0 {
		time.AfterFunc(f.CommitDelay, func() { s.transact(&t) })
	} else if !lose {
		status, body := s.transact(&t)
		writeJSON(w, status, body)
		return
	} else {
		s.transact(&t)
	}
	<-r.Context().Done()
}

// transact applies the writes and removes if each expected row has the expected version, where
// no version means that the row is absent. Otherwise it returns 412 and the existing rows.
func (s *Store) transact(transaction *transactionBody) (int, rowsBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	matched := true
	var current []Row
	for _, e := range transaction.Expected {
		existing, found := s.rows[e.rowKey()]
		if found {
			current = append(current, existing)
		}
		var expected, actual uint64
		if e.Version != nil {
			expected = *e.Version
		}
		if found {
			actual = *existing.Version
		}
		matched = matched && expected == actual
	}
	if !matched {
		return http.StatusPreconditionFailed, rowsBody{Rows: current, Version: s.version}
	}
	s.apply(transaction.Writes, transaction.Remove)
	return http.StatusOK, rowsBody{Rows: []Row{}, Version: s.version}
}

// maxPageRows limits the rows of one response.
const maxPageRows = 500

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	body := rowsBody{Rows: []Row{}, Version: s.version}
	for id, row := range s.rows {
		if id.table == q.Get("table") && id.partition == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			body.Rows = append(body.Rows, row)
		}
	}
	slices.SortFunc(body.Rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	if len(body.Rows) > maxPageRows {
		body.Rows, body.HasMore = body.Rows[:maxPageRows], true
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *Store) servePartitions(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := rowsBody{Rows: []Row{}, Version: s.version}
	for id := range s.rows {
		if id.table == r.URL.Query().Get("table") && !slices.Contains(body.Partitions, id.partition) {
			body.Partitions = append(body.Partitions, id.partition)
		}
	}
	slices.Sort(body.Partitions)
	writeJSON(w, http.StatusOK, body)
}

// serveFeed responds with the changes after a version, once there are any or after waitMs. If
// the history since that version is dropped, it responds with 410.
func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.Atoi(q.Get("waitMs"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer deadline.Stop()
	for timedOut := waitMs == 0; ; {
		s.mu.Lock()
		if after < s.compactedThrough {
			s.mu.Unlock()
			http.Error(w, `{"error":"gone"}`, http.StatusGone)
			return
		}
		body := rowsBody{Rows: []Row{}, Version: s.version}
		for _, row := range s.history {
			if row.Table == q.Get("table") && *row.Version > after {
				body.Rows = append(body.Rows, row)
			}
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if len(body.Rows) > 0 || timedOut {
			writeJSON(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}
