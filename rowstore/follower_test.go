package rowstore_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// pagedTable is a table whose feed returns at most 500 rows a page.
type pagedTable struct {
	rows      []rowstore.Row
	compacted bool
}

func (p *pagedTable) table() *rowstore.Table {
	return &rowstore.Table{
		Partitions: func(context.Context, string) ([]string, fleet.Version, error) {
			return []string{""}, fleet.Version(len(p.rows)), nil
		},
		Read: func(context.Context, rowstore.Query) ([]rowstore.Row, error) {
			return p.rows, nil
		},
		Feed: func(_ context.Context, _ string, after fleet.Version, _ clock.Millis) (rowstore.FeedPage, error) {
			if p.compacted {
				return rowstore.FeedPage{}, &rowstore.CompactedError{Table: "t"}
			}
			page := rowstore.FeedPage{Newest: after}
			for _, r := range p.rows {
				if r.Version > after && len(page.Rows) < 500 {
					page.Rows = append(page.Rows, r)
					page.Newest = r.Version
				}
			}
			return page, nil
		},
	}
}

func (p *pagedTable) add(n int) {
	for range n {
		v := fleet.Version(len(p.rows) + 1)
		p.rows = append(p.rows, rowstore.Row{Ref: rowstore.Ref{Table: "t", Key: fmt.Sprint(v)}, Version: v})
	}
}

// Guards against a follower that reads only one page a call. With 3,000 workers it fell behind,
// and tasks were started on workers that had announced 3 s before that they leave.
func TestFollowerReadsAllPages(t *testing.T) {
	p := &pagedTable{}
	seen := 0
	f := &rowstore.Follower{Table: p.table(), Name: "t", Row: func(rowstore.Row) { seen++ }, Gone: func(rowstore.Ref) {}}
	must.NoError(t, f.Poll(t.Context(), 0))
	p.add(2100)
	must.NoError(t, f.Poll(t.Context(), 0))
	must.Eq(t, 2100, seen)
}

// Guards against a follower that goes back to older rows of a service that has dropped its
// history.
func TestFollowerIgnoresOlderRows(t *testing.T) {
	p := &pagedTable{}
	p.add(3)
	seen, gone := 0, 0
	f := &rowstore.Follower{Table: p.table(), Name: "t", Row: func(rowstore.Row) { seen++ }, Gone: func(rowstore.Ref) { gone++ }}
	must.NoError(t, f.Poll(t.Context(), 0))
	must.Eq(t, 3, seen)
	p.compacted = true
	must.NoError(t, f.Poll(t.Context(), 0))
	must.Eq(t, 3, seen, must.Sprint("rows with a known version are not reported again"))
	must.Eq(t, 0, gone)
}
