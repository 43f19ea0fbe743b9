package rowstore

import (
	"context"

	"citronknot/clock"
	"citronknot/fleet"
)

// Ref names a row.
type Ref struct {
	Table     string
	Partition string // partition; changes within one partition cost the least; may be empty
	Key       string
}

// Check requires that a row has a version. Version 0 means that the row is absent.
type Check struct {
	Ref
	Version fleet.Version
}

// Write sets or deletes a row.
type Write struct {
	Ref
	Value  []byte // JSON
	Delete bool
}

// MaxRows is the number of writes that one transaction may carry.
const MaxRows = 100

// Transaction is applied as a whole if every check holds, and not at all otherwise.
type Transaction struct {
	Checks []Check
	Writes []Write
}

// MaxNameBytes is the longest name of a table, a partition or a key.
const MaxNameBytes = 200

// Check returns a *RowError for the first row that the table service would refuse, or nil. maxValueBytes is the
// largest value that it takes.
func (t *Transaction) Check(maxValueBytes int) error {
	for i := range t.Checks {
		if err := t.Checks[i].check(); err != nil {
			return err
		}
	}
	for i := range t.Writes {
		w := &t.Writes[i]
		if err := w.check(); err != nil {
			return err
		}
		if !w.Delete && (len(w.Value) == 0 || len(w.Value) > maxValueBytes) {
			return &RowError{Ref: w.Ref, Field: "value", Bytes: len(w.Value), MinBytes: 1, MaxBytes: maxValueBytes}
		}
	}
	return nil
}

// check returns a *RowError for the first part of the reference that is not accepted, or nil.
func (r *Ref) check() error {
	for _, name := range []struct {
		field, text string
		min         int
	}{{"table", r.Table, 1}, {"partition", r.Partition, 0}, {"key", r.Key, 1}} {
		if len(name.text) < name.min || len(name.text) > MaxNameBytes {
			return &RowError{Ref: *r, Field: name.field, Bytes: len(name.text), MinBytes: name.min, MaxBytes: MaxNameBytes}
		}
	}
	return nil
}

// Scan requests all rows of a table whose keys begin with a prefix.
type Scan struct {
	Table     string
	Partition string
	Prefix    string
}

// Query requests rows as of one moment.
type Query struct {
	Gets  []Ref
	Scans []Scan
}

// Row is a row with its version. A row that does not exist is left out of results.
type Row struct {
	Ref
	Version fleet.Version
	Value   []byte
}

// Table is the transactional table service.
type Table struct {
	// Transact commits t and returns the new version of each written row, in order. It fails
	// with *ConflictError or *UnavailableError.
	Transact func(ctx context.Context, t Transaction) ([]fleet.Version, error)
	// Read returns the rows that exist. It fails with *UnavailableError.
	Read func(ctx context.Context, q Query) ([]Row, error)
	// Partitions returns the partitions of a table that have rows, and the newest version. It is nil
	// if the service has no partitions.
	Partitions func(ctx context.Context, table string) (partitions []string, newest fleet.Version, err error)
	// Feed returns the rows of a table that changed after a version, and the version to continue
	// from. It waits for a change for at most wait. It fails with *CompactedError if the history
	// since that version is no longer kept. It is nil if the service has no feed.
	Feed func(ctx context.Context, table string, after fleet.Version, wait clock.Millis) (FeedPage, error)
	// ServiceTime returns the earliest and the latest time that the service's steady clock may show now. ok
	// is false if that is unknown. It is nil if the service has no such clock.
	ServiceTime func() (earliest, latest clock.Millis, ok bool)
}

// FeedPage holds the rows of a table that changed or were removed (Gone).
type FeedPage struct {
	Rows   []Row
	Gone   []Ref
	Newest fleet.Version
}

// Get returns one row; ok is false if it does not exist. It fails with *UnavailableError.
func (t *Table) Get(ctx context.Context, ref Ref) (row Row, ok bool, err error) {
	rows, err := t.Read(ctx, Query{Gets: []Ref{ref}})
	if err != nil || len(rows) == 0 {
		return Row{}, false, err
	}
	return rows[0], true, nil
}
