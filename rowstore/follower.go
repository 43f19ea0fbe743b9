package rowstore

import (
	"context"
	"errors"

	"citronknot/clock"
	"citronknot/fleet"
)

// Follower follows one table. It reads the table as a whole at first and whenever the history
// that it needs is gone, and otherwise what changed. It never takes a row back to an older
// version, whatever the service answers.
//
// Poll must not be called concurrently.
type Follower struct {
	Table *Table
	Name  string
	Row   func(Row) // a row is new or has changed
	Gone  func(Ref) // a row was removed

	synced bool
	after  fleet.Version
	held   map[Ref]fleet.Version
}

// Poll takes in the changes since the last call, and waits for one for at most wait. A first
// call does not wait. A page that is full is followed by the next one at once: with thousands of
// workers more rows change between two calls than one page holds.
func (f *Follower) Poll(ctx context.Context, wait clock.Millis) error {
	if !f.synced {
		return f.sync(ctx)
	}
	for range maxPages {
		full, err := f.page(ctx, wait)
		if err != nil || !full {
			return err
		}
		wait = 0
	}
	return nil
}

// Bounds of one Poll: the rows from which a page may be one of several, below the 500 that the
// service puts into one, and the pages of one call.
const (
	fullPage = 400
	maxPages = 20
)

// page takes in one page of changes and reports whether another one may be there already.
func (f *Follower) page(ctx context.Context, wait clock.Millis) (full bool, err error) {
	page, err := f.Table.Feed(ctx, f.Name, f.after, wait)
	var compacted *CompactedError
	if errors.As(err, &compacted) {
		f.synced = false
		return false, f.sync(ctx)
	}
	if err != nil {
		return false, err
	}
	for _, r := range page.Rows {
		f.take(r)
	}
	for _, ref := range page.Gone {
		f.remove(ref)
	}
	f.after = max(f.after, page.Newest)
	return len(page.Rows)+len(page.Gone) >= fullPage, nil
}

func (f *Follower) take(r Row) {
	if r.Version <= f.held[r.Ref] {
		return
	}
	f.held[r.Ref] = r.Version
	f.Row(r)
}

func (f *Follower) remove(ref Ref) {
	if _, ok := f.held[ref]; ok {
		delete(f.held, ref)
		f.Gone(ref)
	}
}

// sync reads the table as a whole.
func (f *Follower) sync(ctx context.Context) error {
	parts, newest, err := f.Table.Parts(ctx, f.Name)
	if err != nil {
		return err
	}
	if f.held == nil {
		f.held = map[Ref]fleet.Version{}
	}
	present := map[Ref]bool{}
	for _, part := range parts {
		rows, err := f.Table.Read(ctx, Query{Scans: []Scan{{Table: f.Name, Part: part}}})
		if err != nil {
			return err
		}
		for _, r := range rows {
			present[r.Ref] = true
			f.take(r)
		}
	}
	for ref, version := range f.held {
		if !present[ref] && version <= newest {
			f.remove(ref)
		}
	}
	f.after = max(f.after, newest)
	f.synced = true
	return nil
}
