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

// relayTimeout is the time limit for a call to the store through another member, in addition to the
// time for which the call itself may wait for a change.
const relayTimeout clock.Millis = 600

// relayTable returns a table that calls the store through another member, or nil if no other member
// is known: the one through which the latest such call succeeded, or else one chosen at random among
// the lease holders. A member that can't reach the store directly keeps its pools by such calls.
// Members that recently could not reach the store are used only if there are no others.
func (p *Process) relayTable() *rowstore.Table {
	now := p.Clock.Now()
	p.mu.Lock()
	if p.provenRelay != "" {
		address := p.provenRelay
		p.mu.Unlock()
		return p.relayThrough(address)
	}
	var addresses, avoided []string
	for _, lease := range p.ownerLeases {
		holder := lease.Holder()
		switch {
		case holder.Address == "" || holder.Address == p.memberAddress():
		case now < p.relayAvoidedUntil[holder.Address]:
			avoided = append(avoided, holder.Address)
		default:
			addresses = append(addresses, holder.Address)
		}
	}
	p.mu.Unlock()
	if len(addresses) == 0 {
		addresses = avoided
	}
	if len(addresses) == 0 {
		return nil
	}
	return p.relayThrough(addresses[rand.IntN(len(addresses))])
}

// relayThrough returns a table that calls the store through the member with the given address.
func (p *Process) relayThrough(address string) *rowstore.Table {
	relay := &storeRelay{members: p.members, address: address, onFailure: p.avoidRelay, onSuccess: p.preferRelay}
	return &rowstore.Table{Transact: relay.transact, Read: relay.read, Partitions: relay.partitions, Feed: relay.feed}
}

// relayAvoidTime is how long a member is not used as a relay after a call through it failed.
const relayAvoidTime clock.Millis = 2000

// avoidRelay records that a call to the store through a member failed.
func (p *Process) avoidRelay(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relayAvoidedUntil[address] = p.Clock.Now() + relayAvoidTime
	if p.provenRelay == address {
		p.provenRelay = ""
	}
}

// preferRelay records that a call to the store through a member got the store's response.
func (p *Process) preferRelay(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.provenRelay = address
}

// storeRelay makes calls to the store through one member.
type storeRelay struct {
	members   *memberClient
	address   string
	onFailure func(address string) // called if the member or its call to the store failed
	onSuccess func(address string) // called if the store responded
}

// wireRow is a row, the name of a row, a check or a write in a relayed call.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part,omitempty"`
	Key     string `json:"key"`
	Version uint64 `json:"version,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Delete  bool   `json:"delete,omitempty"`
}

// wireScan is a scan in a relayed call.
type wireScan struct {
	Table  string `json:"table"`
	Part   string `json:"part,omitempty"`
	Prefix string `json:"prefix,omitempty"`
}

// wireStoreCall is the body of a relayed call to the store.
type wireStoreCall struct {
	Op     string     `json:"op"` // transact, read, parts or feed
	Checks []wireRow  `json:"checks,omitempty"`
	Writes []wireRow  `json:"writes,omitempty"`
	Gets   []wireRow  `json:"gets,omitempty"`
	Scans  []wireScan `json:"scans,omitempty"`
	Table  string     `json:"table,omitempty"`
	After  uint64     `json:"after,omitempty"`
	Wait   int64      `json:"wait_ms,omitempty"`
}

// wireStoreResult is the body of the response to a wireStoreCall.
type wireStoreResult struct {
	Versions         []uint64  `json:"versions,omitempty"`
	Rows             []wireRow `json:"rows,omitempty"`
	Removed          []wireRow `json:"gone,omitempty"`
	Parts            []string  `json:"parts,omitempty"`
	Newest           uint64    `json:"newest,omitempty"`
	Conflict         bool      `json:"conflict,omitempty"`
	Compacted        bool      `json:"compacted,omitempty"`
	Failure          string    `json:"failed,omitempty"`
	MayHaveCommitted bool      `json:"maybe,omitempty"`
}

func encodeRef(r rowstore.Ref) wireRow { return wireRow{Table: r.Table, Part: r.Partition, Key: r.Key} }

func (w *wireRow) ref() rowstore.Ref {
	return rowstore.Ref{Table: w.Table, Partition: w.Part, Key: w.Key}
}

func encodeRows(rows []rowstore.Row) []wireRow {
	encoded := make([]wireRow, 0, len(rows))
	for _, storeRow := range rows {
		row := encodeRef(storeRow.Ref)
		row.Version, row.Value = uint64(storeRow.Version), storeRow.Value
		encoded = append(encoded, row)
	}
	return encoded
}

func decodeRows(rows []wireRow) []rowstore.Row {
	decoded := make([]rowstore.Row, 0, len(rows))
	for i := range rows {
		decoded = append(decoded, rowstore.Row{Ref: rows[i].ref(), Version: fleet.Version(rows[i].Version), Value: rows[i].Value})
	}
	return decoded
}

// call makes one relayed call. A transaction whose response is lost may have been committed.
func (r *storeRelay) call(ctx context.Context, call wireStoreCall) (*wireStoreResult, error) {
	ctx, cancel := context.WithTimeout(ctx, (relayTimeout + clock.Millis(call.Wait)).Duration())
	defer cancel()
	body, err := json.Marshal(call)
	if err != nil {
		return nil, eris.Wrap(err, "hosted: encode relayed call")
	}
	var result wireStoreResult
	if err := r.members.callInto(ctx, http.MethodPost, "http://"+r.address+"/v1/store", body, &result); err != nil {
		r.onFailure(r.address)
		return nil, &rowstore.UnavailableError{Op: call.Op + " through " + r.address, OutcomeUnknown: call.Op == "transact", Err: err}
	}
	if result.Failure != "" {
		r.onFailure(r.address)
	} else {
		r.onSuccess(r.address)
	}
	return &result, result.err(call)
}

// err returns the error that the relaying member got from the store, or nil.
func (w *wireStoreResult) err(call wireStoreCall) error {
	switch {
	case w.Conflict:
		conflict := &rowstore.ConflictError{Current: decodeRows(w.Rows)}
		for i := range w.Rows {
			conflict.Rows = append(conflict.Rows, w.Rows[i].ref())
		}
		return conflict
	case w.Compacted:
		return &rowstore.CompactedError{Table: call.Table}
	case w.Failure != "":
		return &rowstore.UnavailableError{Op: call.Op, OutcomeUnknown: w.MayHaveCommitted, Err: eris.New(w.Failure)}
	}
	return nil
}

func (r *storeRelay) transact(ctx context.Context, transaction rowstore.Transaction) ([]fleet.Version, error) {
	call := wireStoreCall{Op: "transact"}
	for _, check := range transaction.Checks {
		row := encodeRef(check.Ref)
		row.Version = uint64(check.Version)
		call.Checks = append(call.Checks, row)
	}
	for _, write := range transaction.Writes {
		row := encodeRef(write.Ref)
		row.Value, row.Delete = write.Value, write.Delete
		call.Writes = append(call.Writes, row)
	}
	result, err := r.call(ctx, call)
	if err != nil {
		return nil, err
	}
	versions := make([]fleet.Version, len(result.Versions))
	for i, v := range result.Versions {
		versions[i] = fleet.Version(v)
	}
	return versions, nil
}

func (r *storeRelay) read(ctx context.Context, query rowstore.Query) ([]rowstore.Row, error) {
	call := wireStoreCall{Op: "read"}
	for _, g := range query.Gets {
		call.Gets = append(call.Gets, encodeRef(g))
	}
	for _, s := range query.Scans {
		call.Scans = append(call.Scans, wireScan{Table: s.Table, Part: s.Partition, Prefix: s.Prefix})
	}
	result, err := r.call(ctx, call)
	if err != nil {
		return nil, err
	}
	return decodeRows(result.Rows), nil
}

func (r *storeRelay) partitions(ctx context.Context, table string) ([]string, fleet.Version, error) {
	result, err := r.call(ctx, wireStoreCall{Op: "parts", Table: table})
	if err != nil {
		return nil, 0, err
	}
	return result.Parts, fleet.Version(result.Newest), nil
}

// feed waits here before the call and not at the other member. Load: a third of the members can't reach the store
// and have their feeds relayed by the few lease holders; calls that wait would hold the holders' connections
// to the store.
func (r *storeRelay) feed(ctx context.Context, table string, after fleet.Version, wait clock.Millis) (rowstore.FeedPage, error) {
	sleep(ctx, wait)
	result, err := r.call(ctx, wireStoreCall{Op: "feed", Table: table, After: uint64(after)})
	if err != nil {
		return rowstore.FeedPage{}, err
	}
	page := rowstore.FeedPage{Rows: decodeRows(result.Rows), Newest: fleet.Version(result.Newest)}
	for i := range result.Removed {
		page.Gone = append(page.Gone, result.Removed[i].ref())
	}
	return page, nil
}

// serveStore makes a call to the store for another member. It calls the store directly and never
// through a further member, on connections of their own, so that relayed calls do not delay this
// member's commits.
func (p *Process) serveStore(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxStoreBytes))
	var call wireStoreCall
	if err == nil {
		err = json.Unmarshal(body, &call)
	}
	if err != nil {
		writeResponse(w, http.StatusServiceUnavailable, wireResponse{Reason: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), 2*time.Second)
	defer cancel()
	result, err := json.Marshal(runStoreCall(ctx, p.relayedTable, call))
	if err != nil {
		writeResponse(w, http.StatusGatewayTimeout, wireResponse{Reason: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(result) // an error means that the member has disconnected; it treats the outcome as unknown
}

// maxStoreBytes is the largest size of a relayed call to the store: 1 MB of rows in base64, and the
// names of the rows.
const maxStoreBytes = 2 << 20

// runStoreCall makes a call to the store and returns its result or its error as a response body.
func runStoreCall(ctx context.Context, table *rowstore.Table, call wireStoreCall) wireStoreResult {
	var result wireStoreResult
	var err error
	switch call.Op {
	case "transact":
		var versions []fleet.Version
		versions, err = table.Transact(ctx, call.transaction())
		for _, v := range versions {
			result.Versions = append(result.Versions, uint64(v))
		}
	case "read":
		var rows []rowstore.Row
		rows, err = table.Read(ctx, call.query())
		result.Rows = encodeRows(rows)
	case "parts":
		var newest fleet.Version
		result.Parts, newest, err = table.Partitions(ctx, call.Table)
		result.Newest = uint64(newest)
	case "feed":
		var page rowstore.FeedPage
		page, err = table.Feed(ctx, call.Table, fleet.Version(call.After), clock.Millis(call.Wait))
		result.Rows, result.Newest = encodeRows(page.Rows), uint64(page.Newest)
		for _, ref := range page.Gone {
			result.Removed = append(result.Removed, encodeRef(ref))
		}
	default:
		err = eris.Errorf("hosted: unknown call %q", call.Op)
	}
	if err != nil {
		return errorResult(err)
	}
	return result
}

// errorResult returns the response body for an error of the store.
func errorResult(err error) wireStoreResult {
	var conflict *rowstore.ConflictError
	var compacted *rowstore.CompactedError
	var unavailable *rowstore.UnavailableError
	switch {
	case errors.As(err, &conflict):
		return wireStoreResult{Conflict: true, Rows: encodeRows(conflict.Current)}
	case errors.As(err, &compacted):
		return wireStoreResult{Compacted: true}
	case errors.As(err, &unavailable):
		return wireStoreResult{Failure: err.Error(), MayHaveCommitted: unavailable.OutcomeUnknown}
	}
	return wireStoreResult{Failure: err.Error()}
}

func (c *wireStoreCall) transaction() rowstore.Transaction {
	var transaction rowstore.Transaction
	for i := range c.Checks {
		transaction.Checks = append(transaction.Checks, rowstore.Check{Ref: c.Checks[i].ref(), Version: fleet.Version(c.Checks[i].Version)})
	}
	for i := range c.Writes {
		w := &c.Writes[i]
		transaction.Writes = append(transaction.Writes, rowstore.Write{Ref: w.ref(), Value: w.Value, Delete: w.Delete})
	}
	return transaction
}

func (c *wireStoreCall) query() rowstore.Query {
	var query rowstore.Query
	for i := range c.Gets {
		query.Gets = append(query.Gets, c.Gets[i].ref())
	}
	for _, s := range c.Scans {
		query.Scans = append(query.Scans, rowstore.Scan{Table: s.Table, Partition: s.Part, Prefix: s.Prefix})
	}
	return query
}
