package rowstore

import (
	"context"
	"errors"

	"citronknot/clock"
	"citronknot/fleet"
)

// Follower follows one table. It reads the whole table at first and whenever the history that it
// needs is no longer kept, and otherwise only the changes. It never replaces a row by an older
// version, whatever the service returns.
//
// Poll must not be called concurrently.
type Follower struct {
	Table *Table
	Name  string
	Row   func(Row) // called for a row that is new or has changed
	Gone  func(Ref) // called for a row that was removed

	synced   bool
	position fleet.Version
	versions map[Ref]fleet.Version
}

// Poll applies the changes since the last call, and waits for one for at most wait. The first
// call does not wait. After a full page it reads the next one at once: with thousands of workers
// more rows change between two calls than one page holds. It fails with *UnavailableError.
func (f *Follower) Poll(ctx context.Context, wait clock.Millis) error {
	if !f.synced {
		return f.readAll(ctx)
	}
	for range maxPages {
		full, err := f.readPage(ctx, wait)
		if err != nil || !full {
			return err
		}
		wait = 0
	}
	return nil
}

// Bounds of one Poll: fullPage is the number of rows from which on another page may follow,
// below the 500 that the service puts into one, and maxPages the number of pages of one call.
const (
	fullPage = 400
	maxPages = 20
)

// readPage applies one page of changes and reports whether another one may be available already.
func (f *Follower) readPage(ctx context.Context, wait clock.Millis) (full bool, err error) {
	page, err := f.Table.Feed(ctx, f.Name, f.position, wait)
	var compacted *CompactedError
	if errors.As(err, &compacted) {
		f.synced = false
		return false, f.readAll(ctx)
	}
	if err != nil {
		return false, err
	}
	for _, r := range page.Rows {
		f.applyRow(r)
	}
	for _, ref := range page.Gone {
		f.removeRow(ref)
	}
	f.position = max(f.position, page.Newest)
	return len(page.Rows)+len(page.Gone) >= fullPage, nil
}

func (f *Follower) applyRow(r Row) {
	if r.Version <= f.versions[r.Ref] {
		return
	}
	f.versions[r.Ref] = r.Version
	f.Row(r)
}

func (f *Follower) removeRow(ref Ref) {
	if _, ok := f.versions[ref]; ok {
		delete(f.versions, ref)
		f.Gone(ref)
	}
}

// readAll reads the whole table.
func (f *Follower) readAll(ctx context.Context) error {
	partitions, newest, err := f.Table.Partitions(ctx, f.Name)
	if err != nil {
		return err
	}
	if f.versions == nil {
		f.versions = map[Ref]fleet.Version{}
	}
	present := map[Ref]bool{}
	for _, partition := range partitions {
		rows, err := f.Table.Read(ctx, Query{Scans: []Scan{{Table: f.Name, Partition: partition}}})
		if err != nil {
			return err
		}
		for _, r := range rows {
			present[r.Ref] = true
			f.applyRow(r)
		}
	}
	for ref, version := range f.versions {
		if !present[ref] && version <= newest {
			f.removeRow(ref)
		}
	}
	f.position = max(f.position, newest)
	f.synced = true
	return nil
}
