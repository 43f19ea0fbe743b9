package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store in its wire format.
type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     *string `json:"value,omitempty"` // base64
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

func (r *row) id() [3]string { return [3]string{r.Table, r.Part, r.Key} }

// Limits of the store, as PROTOCOL.md and the settings name them.
const (
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
	rowBytes     = 65536
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	maxFeedWait  = 30_000
	txTime       = 4 * time.Millisecond
)

// store is the platform's store. It never loses a row, its responses are linearizable, and it answers every
// call.
type store struct {
	start time.Time

	mu      sync.Mutex
	slow    time.Duration // added to the time of each answer
	rows    map[[3]string]row
	history []row // of all changes, oldest first
	ver     uint64
	changed chan struct{} // closed and replaced with each change
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[[3]string]row{}, changed: make(chan struct{})}
}

// setSlow makes each answer take so much longer.
func (s *store) setSlow(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = by
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	encoded := base64.StdEncoding.EncodeToString(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: &encoded}}, nil)
}

// drop removes a row as a worker's entry is removed.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[[3]string{table, "", key}]; ok {
		s.apply(nil, []row{{Table: table, Key: key}})
	}
}

// value returns the decoded value of a row, or nil if there is none.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[[3]string{table, part, key}]
	if !ok || r.Value == nil {
		return nil
	}
	text, _ := base64.StdEncoding.DecodeString(*r.Value)
	return text
}

// apply writes and removes rows under one new version. The caller holds s.mu.
func (s *store) apply(writes, removes []row) {
	s.ver++
	ver := s.ver
	for _, r := range writes {
		r.Ver, r.Tombstone = &ver, false
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		delete(s.rows, r.id())
		r.Ver, r.Tombstone, r.Value = &ver, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply is the body of a response about rows.
type reply struct {
	Rows    []row    `json:"rows"`
	Parts   []string `json:"parts,omitempty"`
	HasMore bool     `json:"hasMore"`
	Ver     uint64   `json:"ver"`
	NowMs   int64    `json:"nowMs"`
}

// newReply returns a reply as of now. The caller holds s.mu.
func (s *store) newReply() reply {
	return reply{Rows: []row{}, Ver: s.ver, NowMs: time.Since(s.start).Milliseconds() + 1}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// ServeHTTP serves the calls that the system makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	slow := s.slow
	s.mu.Unlock()
	time.Sleep(slow)
	switch r.URL.Path {
	case "/rows-tx":
		s.serveTx(w, r)
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

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
		Across   bool  `json:"across"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxBytes)).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	all := append(append(append([]row{}, tx.Expected...), tx.Writes...), tx.Remove...)
	valid := len(all) <= maxTxEntries
	for _, e := range all {
		valid = valid && (tx.Across || e.Part == all[0].Part)
		if e.Value != nil {
			text, err := base64.StdEncoding.DecodeString(*e.Value)
			valid = valid && err == nil && len(text) <= rowBytes
		}
	}
	if !valid {
		http.Error(w, "the transaction is not accepted", http.StatusBadRequest)
		return
	}
	for _, e := range append(append([]row{}, tx.Writes...), tx.Remove...) {
		if e.Table == "op" || e.Table == "servers" {
			http.Error(w, "not writable", http.StatusForbidden)
			return
		}
	}
	time.Sleep(txTime)
	s.mu.Lock()
	holds := true
	var current []row
	for _, e := range tx.Expected {
		var want, have uint64
		if e.Ver != nil {
			want = *e.Ver
		}
		if existing, ok := s.rows[e.id()]; ok {
			have = *existing.Ver
			current = append(current, existing)
		}
		holds = holds && want == have
	}
	status := http.StatusOK
	if holds {
		s.apply(tx.Writes, tx.Remove)
	} else {
		status = http.StatusPreconditionFailed
	}
	body := s.newReply()
	s.mu.Unlock()
	if !holds {
		body.Rows = current
	}
	writeJSON(w, status, body)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	body := s.newReply()
	for id, e := range s.rows {
		if id[0] == q.Get("table") && id[1] == q.Get("part") && id[2] >= q.Get("from") && (q.Get("to") == "" || id[2] < q.Get("to")) {
			body.Rows = append(body.Rows, e)
		}
	}
	s.mu.Unlock()
	sort.Slice(body.Rows, func(i, k int) bool { return body.Rows[i].Key < body.Rows[k].Key })
	size := 0
	for i, e := range body.Rows {
		if e.Value != nil {
			size += len(*e.Value)
		}
		if i >= limit || (i > 0 && size > maxPageBytes) {
			body.Rows, body.HasMore = body.Rows[:i], true
			break
		}
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	body := s.newReply()
	seen := map[string]bool{}
	for id := range s.rows {
		if id[0] == q.Get("table") && (!q.Has("after") || id[1] > q.Get("after")) {
			seen[id[1]] = true
		}
	}
	s.mu.Unlock()
	for part := range seen {
		body.Parts = append(body.Parts, part)
	}
	sort.Strings(body.Parts)
	if len(body.Parts) > 1000 {
		body.Parts, body.HasMore = body.Parts[:1000], true
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, maxFeedWait)) * time.Millisecond)
	defer timer.Stop()
	for over := wait <= 0; ; {
		s.mu.Lock()
		body := s.newReply()
		from := sort.Search(len(s.history), func(i int) bool { return *s.history[i].Ver > after })
		for _, e := range s.history[from:] {
			if e.Table == q.Get("table") {
				body.Rows = append(body.Rows, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(body.Rows) > 0 || over {
			writeJSON(w, http.StatusOK, body)
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

// cloud is the service for machines. It lists the machines of the workers; all stay where they are.
type cloud struct{ workers []*worker }

// ServeHTTP serves the list of machines. No order for a machine is due in a deployment with one service and
// without spare machines; one that comes is answered as for a machine that is not up.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/machines") {
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	machines := []map[string]any{}
	for _, v := range c.workers {
		machines = append(machines, v.machineEntry())
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": machines, "nextToken": nil})
}
