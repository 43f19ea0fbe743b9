package standin

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
	"citronknot/rowstore"
)

// Table returns a table service that calls p directly, without HTTP and without the faults of
// p. Tests that run under virtual time use it.
func (p *Platform) Table() *rowstore.Table {
	return &rowstore.Table{Transact: p.transact, Read: p.read}
}

func (p *Platform) transact(_ context.Context, t rowstore.Transaction) ([]fleet.Version, error) {
	in := rowstore.WireTransaction{}
	for _, c := range t.Checks {
		in.Checks = append(in.Checks, rowstore.WireCheck{Table: c.Table, Key: c.Key, Version: uint64(c.Version)})
	}
	for _, x := range t.Writes {
		in.Writes = append(in.Writes, rowstore.WireWrite{Table: x.Table, Key: x.Key, Value: x.Value, Delete: x.Delete})
	}
	out, status := p.Commit(in)
	if status == http.StatusConflict {
		e := &rowstore.ConflictError{}
		for _, r := range out.Conflicts {
			e.Rows = append(e.Rows, rowstore.Ref{Table: r.Table, Key: r.Key})
		}
		return nil, e
	}
	if status != http.StatusOK {
		return nil, &rowstore.UnavailableError{Op: "transaction", Err: eris.Errorf("status %d", status)}
	}
	versions := make([]fleet.Version, len(out.Versions))
	for i, v := range out.Versions {
		versions[i] = fleet.Version(v)
	}
	return versions, nil
}

func (p *Platform) read(_ context.Context, q rowstore.Query) ([]rowstore.Row, error) {
	in := rowstore.WireQuery{}
	for _, g := range q.Gets {
		in.Gets = append(in.Gets, rowstore.WireRef{Table: g.Table, Key: g.Key})
	}
	for _, s := range q.Scans {
		in.Scans = append(in.Scans, rowstore.WireScan{Table: s.Table, Prefix: s.Prefix})
	}
	var rows []rowstore.Row
	for _, r := range p.Query(in).Rows {
		rows = append(rows, rowstore.Row{Ref: rowstore.Ref{Table: r.Table, Key: r.Key}, Version: fleet.Version(r.Version), Value: r.Value})
	}
	return rows, nil
}
