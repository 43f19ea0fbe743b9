package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// relayWait bounds a call to the store through another member, beyond what the call itself
// waits for.
const relayWait clock.Millis = 600

// relayed returns the store through another member, or nil if none is known. A member that the
// store turns away keeps its pools that way.
func (p *Process) relayed() *rowstore.Table {
	now := p.Clock.Now()
	p.mu.Lock()
	var addresses, failed []string
	for _, t := range p.tenures {
		h := t.Holder()
		switch {
		case h.Address == "" || h.Address == p.memberAddress():
		case now < p.avoid[h.Address]:
			failed = append(failed, h.Address)
		default:
			addresses = append(addresses, h.Address)
		}
	}
	p.mu.Unlock()
	if len(addresses) == 0 {
		addresses = failed
	}
	if len(addresses) == 0 {
		return nil
	}
	r := &relay{members: p.members, address: addresses[rand.IntN(len(addresses))], failed: p.avoidRelay}
	return &rowstore.Table{Transact: r.transact, Read: r.read, Parts: r.parts, Feed: r.feed}
}

// avoidFor is how long a member is not asked again after it could not reach the store.
const avoidFor clock.Millis = 2000

// avoidRelay notes that a member could not reach the store.
func (p *Process) avoidRelay(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoid[address] = p.Clock.Now() + avoidFor
}

// relay speaks to the store through one member.
type relay struct {
	members *memberClient
	address string
	failed  func(address string)
}

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part,omitempty"`
	Key     string `json:"key"`
	Version uint64 `json:"version,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Delete  bool   `json:"delete,omitempty"`
}

type wireScan struct {
	Table  string `json:"table"`
	Part   string `json:"part,omitempty"`
	Prefix string `json:"prefix,omitempty"`
}

// wireCall is a call to the store through a member.
type wireCall struct {
	Op     string     `json:"op"` // transact, read, parts or feed
	Checks []wireRow  `json:"checks,omitempty"`
	Writes []wireRow  `json:"writes,omitempty"`
	Gets   []wireRow  `json:"gets,omitempty"`
	Scans  []wireScan `json:"scans,omitempty"`
	Table  string     `json:"table,omitempty"`
	After  uint64     `json:"after,omitempty"`
	Wait   int64      `json:"wait_ms,omitempty"`
}

// wireOutcome answers a wireCall.
type wireOutcome struct {
	Versions  []uint64  `json:"versions,omitempty"`
	Rows      []wireRow `json:"rows,omitempty"`
	Gone      []wireRow `json:"gone,omitempty"`
	Parts     []string  `json:"parts,omitempty"`
	Newest    uint64    `json:"newest,omitempty"`
	Conflict  bool      `json:"conflict,omitempty"`
	Compacted bool      `json:"compacted,omitempty"`
	Failed    string    `json:"failed,omitempty"`
	Maybe     bool      `json:"maybe,omitempty"`
}

func encodeRef(r rowstore.Ref) wireRow { return wireRow{Table: r.Table, Part: r.Part, Key: r.Key} }

func (w *wireRow) ref() rowstore.Ref {
	return rowstore.Ref{Table: w.Table, Part: w.Part, Key: w.Key}
}

func encodeRows(rows []rowstore.Row) []wireRow {
	out := make([]wireRow, 0, len(rows))
	for _, r := range rows {
		w := encodeRef(r.Ref)
		w.Version, w.Value = uint64(r.Version), r.Value
		out = append(out, w)
	}
	return out
}

func decodeRows(rows []wireRow) []rowstore.Row {
	out := make([]rowstore.Row, 0, len(rows))
	for i := range rows {
		out = append(out, rowstore.Row{Ref: rows[i].ref(), Version: fleet.Version(rows[i].Version), Value: rows[i].Value})
	}
	return out
}

func (r *relay) call(ctx context.Context, c wireCall) (*wireOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, (relayWait + clock.Millis(c.Wait)).Duration())
	defer cancel()
	text, err := json.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "hosted: relay")
	}
	var out wireOutcome
	if err := r.members.callInto(ctx, http.MethodPost, "http://"+r.address+"/v1/store", text, &out); err != nil {
		r.failed(r.address)
		return nil, &rowstore.UnavailableError{Op: c.Op + " through " + r.address, Maybe: c.Op == "transact", Err: err}
	}
	if out.Failed != "" {
		r.failed(r.address)
	}
	return &out, out.err(c)
}

// err returns the error that the member met.
func (w *wireOutcome) err(c wireCall) error {
	switch {
	case w.Conflict:
		e := &rowstore.ConflictError{Current: decodeRows(w.Rows)}
		for i := range w.Rows {
			e.Rows = append(e.Rows, w.Rows[i].ref())
		}
		return e
	case w.Compacted:
		return &rowstore.CompactedError{Table: c.Table}
	case w.Failed != "":
		return &rowstore.UnavailableError{Op: c.Op, Maybe: w.Maybe, Err: eris.New(w.Failed)}
	}
	return nil
}

func (r *relay) transact(ctx context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
	c := wireCall{Op: "transact"}
	for _, k := range t.Checks {
		w := encodeRef(k.Ref)
		w.Version = uint64(k.Version)
		c.Checks = append(c.Checks, w)
	}
	for _, x := range t.Writes {
		w := encodeRef(x.Ref)
		w.Value, w.Delete = x.Value, x.Delete
		c.Writes = append(c.Writes, w)
	}
	out, err := r.call(ctx, c)
	if err != nil {
		return nil, err
	}
	versions := make([]fleet.Version, len(out.Versions))
	for i, v := range out.Versions {
		versions[i] = fleet.Version(v)
	}
	return versions, nil
}

func (r *relay) read(ctx context.Context, q rowstore.Query) ([]rowstore.Row, error) {
	c := wireCall{Op: "read"}
	for _, g := range q.Gets {
		c.Gets = append(c.Gets, encodeRef(g))
	}
	for _, s := range q.Scans {
		c.Scans = append(c.Scans, wireScan{Table: s.Table, Part: s.Part, Prefix: s.Prefix})
	}
	out, err := r.call(ctx, c)
	if err != nil {
		return nil, err
	}
	return decodeRows(out.Rows), nil
}

func (r *relay) parts(ctx context.Context, table string) ([]string, fleet.Version, error) {
	out, err := r.call(ctx, wireCall{Op: "parts", Table: table})
	if err != nil {
		return nil, 0, err
	}
	return out.Parts, fleet.Version(out.Newest), nil
}

func (r *relay) feed(ctx context.Context, table string, after fleet.Version, wait clock.Millis) (rowstore.FeedPage, error) {
	out, err := r.call(ctx, wireCall{Op: "feed", Table: table, After: uint64(after), Wait: int64(wait)})
	if err != nil {
		return rowstore.FeedPage{}, err
	}
	page := rowstore.FeedPage{Rows: decodeRows(out.Rows), Newest: fleet.Version(out.Newest)}
	for i := range out.Gone {
		page.Gone = append(page.Gone, out.Gone[i].ref())
	}
	return page, nil
}

// serveStore makes a call to the store for another member, by the direct way only.
func (p *Process) serveStore(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxStoreBytes))
	var c wireCall
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil {
		writeResult(w, http.StatusServiceUnavailable, wireResult{Reason: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), 2*time.Second)
	defer cancel()
	out, err := json.Marshal(storeCall(ctx, p.direct, c))
	if err != nil {
		writeResult(w, http.StatusGatewayTimeout, wireResult{Reason: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(out) // the member may have gone; it resolves the call as one without an answer
}

// maxStoreBytes bounds a call to the store between members: 1 MB of rows in base64 and names.
const maxStoreBytes = 2 << 20

// storeCall makes a call and puts its outcome or its error into the answer.
func storeCall(ctx context.Context, table *rowstore.Table, c wireCall) wireOutcome {
	var out wireOutcome
	var err error
	switch c.Op {
	case "transact":
		var versions []fleet.Version
		versions, err = table.Transact(ctx, c.transaction())
		for _, v := range versions {
			out.Versions = append(out.Versions, uint64(v))
		}
	case "read":
		var rows []rowstore.Row
		rows, err = table.Read(ctx, c.query())
		out.Rows = encodeRows(rows)
	case "parts":
		var newest fleet.Version
		out.Parts, newest, err = table.Parts(ctx, c.Table)
		out.Newest = uint64(newest)
	case "feed":
		var page rowstore.FeedPage
		page, err = table.Feed(ctx, c.Table, fleet.Version(c.After), clock.Millis(c.Wait))
		out.Rows, out.Newest = encodeRows(page.Rows), uint64(page.Newest)
		for _, ref := range page.Gone {
			out.Gone = append(out.Gone, encodeRef(ref))
		}
	default:
		err = eris.Errorf("hosted: unknown call %q", c.Op)
	}
	if err != nil {
		return failedOutcome(err)
	}
	return out
}

func failedOutcome(err error) wireOutcome {
	var conflict *rowstore.ConflictError
	var compacted *rowstore.CompactedError
	var lost *rowstore.UnavailableError
	switch {
	case errors.As(err, &conflict):
		return wireOutcome{Conflict: true, Rows: encodeRows(conflict.Current)}
	case errors.As(err, &compacted):
		return wireOutcome{Compacted: true}
	case errors.As(err, &lost):
		return wireOutcome{Failed: err.Error(), Maybe: lost.Maybe}
	}
	return wireOutcome{Failed: err.Error()}
}

func (c *wireCall) transaction() rowstore.Transaction {
	var t rowstore.Transaction
	for i := range c.Checks {
		t.Checks = append(t.Checks, rowstore.Check{Ref: c.Checks[i].ref(), Version: fleet.Version(c.Checks[i].Version)})
	}
	for i := range c.Writes {
		w := &c.Writes[i]
		t.Writes = append(t.Writes, rowstore.Write{Ref: w.ref(), Value: w.Value, Delete: w.Delete})
	}
	return t
}

func (c *wireCall) query() rowstore.Query {
	var q rowstore.Query
	for i := range c.Gets {
		q.Gets = append(q.Gets, c.Gets[i].ref())
	}
	for _, s := range c.Scans {
		q.Scans = append(q.Scans, rowstore.Scan{Table: s.Table, Part: s.Part, Prefix: s.Prefix})
	}
	return q
}
