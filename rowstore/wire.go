package rowstore

import (
	"encoding/json"
	"net/http"

	"citronknot/fleet"
)

// ZoneHeader carries the zone of the process that calls the platform.
const ZoneHeader = "Citronknot-Zone"

// WireTransaction is the body of POST /v1/transactions.
type WireTransaction struct {
	Checks []WireCheck `json:"checks,omitempty"`
	Writes []WireWrite `json:"writes"`
}

// WireCheck is a check of a transaction.
type WireCheck struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// WireWrite is a write of a transaction.
type WireWrite struct {
	Table  string          `json:"table"`
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// WireCommit is the response to a transaction: versions on 200, conflicts on 409.
type WireCommit struct {
	Versions  []uint64  `json:"versions,omitempty"`
	Conflicts []WireRef `json:"conflicts,omitempty"`
}

// WireRef names a row.
type WireRef struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// WireQuery is the body of POST /v1/reads.
type WireQuery struct {
	Gets  []WireRef  `json:"gets,omitempty"`
	Scans []WireScan `json:"scans,omitempty"`
}

// WireScan is a scan of a query.
type WireScan struct {
	Table  string `json:"table"`
	Prefix string `json:"prefix"`
}

// WireRows is the response to a query.
type WireRows struct {
	Rows []WireRow `json:"rows"`
}

// WireRow is a row in a response.
type WireRow struct {
	Table   string          `json:"table"`
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// WireInstance is an entry of GET /v1/instances.
type WireInstance struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// WireInstances is the response to GET /v1/instances.
type WireInstances struct {
	Instances []WireInstance `json:"instances"`
}

func encodeTransaction(t Transaction) WireTransaction {
	w := WireTransaction{}
	for _, c := range t.Checks {
		w.Checks = append(w.Checks, WireCheck{Table: c.Table, Key: c.Key, Version: uint64(c.Version)})
	}
	for _, x := range t.Writes {
		w.Writes = append(w.Writes, WireWrite{Table: x.Table, Key: x.Key, Value: x.Value, Delete: x.Delete})
	}
	return w
}

func encodeQuery(q Query) WireQuery {
	w := WireQuery{}
	for _, g := range q.Gets {
		w.Gets = append(w.Gets, WireRef{Table: g.Table, Key: g.Key})
	}
	for _, s := range q.Scans {
		w.Scans = append(w.Scans, WireScan{Table: s.Table, Prefix: s.Prefix})
	}
	return w
}

func decodeRows(w WireRows) []Row {
	rows := make([]Row, len(w.Rows))
	for i, r := range w.Rows {
		rows[i] = Row{Ref: Ref{Table: r.Table, Key: r.Key}, Version: fleet.Version(r.Version), Value: r.Value}
	}
	return rows
}

func decodeConflict(w WireCommit) *ConflictError {
	e := &ConflictError{}
	for _, r := range w.Conflicts {
		e.Rows = append(e.Rows, Ref{Table: r.Table, Key: r.Key})
	}
	return e
}

const contentJSON = "application/json"

// statusCommitted is the only response status of a transaction that says that it took effect.
const statusCommitted = http.StatusOK
