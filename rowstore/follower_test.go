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

// paged is a table whose feed holds 500 rows a page.
type paged struct {
	rows      []rowstore.Row
	compacted bool
}

func (p *paged) table() *rowstore.Table {
	return &rowstore.Table{
		Parts: func(context.Context, string) ([]string, fleet.Version, error) {
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

func (p *paged) add(n int) {
	for range n {
		v := fleet.Version(len(p.rows) + 1)
		p.rows = append(p.rows, rowstore.Row{Ref: rowstore.Ref{Table: "t", Key: fmt.Sprint(v)}, Version: v})
	}
}

// With 3,000 workers a follower that read one page a call fell behind, and tasks were started
// on workers that had said 3 s before that they leave.
func TestFollowerReadsAllPages(t *testing.T) {
	p := &paged{}
	seen := 0
	f := &rowstore.Follower{Table: p.table(), Name: "t", Row: func(rowstore.Row) { seen++ }, Gone: func(rowstore.Ref) {}}
	must.NoError(t, f.Poll(t.Context(), 0))
	p.add(2100)
	must.NoError(t, f.Poll(t.Context(), 0))
	must.Eq(t, 2100, seen)
}

// A service that has dropped its history and shows old rows must not take the follower back.
func TestFollowerDoesNotGoBack(t *testing.T) {
	p := &paged{}
	p.add(3)
	seen, gone := 0, 0
	f := &rowstore.Follower{Table: p.table(), Name: "t", Row: func(rowstore.Row) { seen++ }, Gone: func(rowstore.Ref) { gone++ }}
	must.NoError(t, f.Poll(t.Context(), 0))
	must.Eq(t, 3, seen)
	p.compacted = true
	must.NoError(t, f.Poll(t.Context(), 0))
	must.Eq(t, 3, seen, must.Sprint("known rows are not told again"))
	must.Eq(t, 0, gone)
}
