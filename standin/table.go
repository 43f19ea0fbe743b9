package standin

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
	"citronknot/platform"
)

// Table returns the table service in process and without faults, for tests under virtual time.
func (p *Platform) Table() *platform.Table {
	return &platform.Table{Transact: p.transact, Read: p.read}
}

func (p *Platform) transact(_ context.Context, t platform.Transaction) ([]fleet.Version, error) {
	in := platform.WireTransaction{}
	for _, c := range t.Checks {
		in.Checks = append(in.Checks, platform.WireCheck{Table: c.Table, Key: c.Key, Version: uint64(c.Version)})
	}
	for _, x := range t.Writes {
		in.Writes = append(in.Writes, platform.WireWrite{Table: x.Table, Key: x.Key, Value: x.Value, Delete: x.Delete})
	}
	out, status := p.Commit(in)
	if status == http.StatusConflict {
		e := &platform.ConflictError{}
		for _, r := range out.Conflicts {
			e.Rows = append(e.Rows, platform.Ref{Table: r.Table, Key: r.Key})
		}
		return nil, e
	}
	if status != http.StatusOK {
		return nil, &platform.UnavailableError{Op: "transaction", Err: eris.Errorf("status %d", status)}
	}
	versions := make([]fleet.Version, len(out.Versions))
	for i, v := range out.Versions {
		versions[i] = fleet.Version(v)
	}
	return versions, nil
}

func (p *Platform) read(_ context.Context, q platform.Query) ([]platform.Row, error) {
	in := platform.WireQuery{}
	for _, g := range q.Gets {
		in.Gets = append(in.Gets, platform.WireRef{Table: g.Table, Key: g.Key})
	}
	for _, s := range q.Scans {
		in.Scans = append(in.Scans, platform.WireScan{Table: s.Table, Prefix: s.Prefix})
	}
	var rows []platform.Row
	for _, r := range p.Query(in).Rows {
		rows = append(rows, platform.Row{Ref: platform.Ref{Table: r.Table, Key: r.Key}, Version: fleet.Version(r.Version), Value: r.Value})
	}
	return rows, nil
}
