package rowstore

import (
	"fmt"
	"slices"

	"citronknot/fleet"
)

// ConflictError reports the rows whose check failed. Nothing was written.
type ConflictError struct {
	Rows []Ref
	// Current holds the current rows of the checks, if the service returns them.
	Current []Row
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("rowstore: transaction conflict on %v", e.Rows)
}

// Changed reports whether the row of a check is among the current rows, with another version.
func (e *ConflictError) Changed(c Check) bool {
	return slices.ContainsFunc(e.Current, func(r Row) bool { return r.Ref == c.Ref && r.Version != c.Version })
}

// UnavailableError reports that the platform could not be reached or did not carry out a call.
type UnavailableError struct {
	Op             string
	OutcomeUnknown bool // the write may have taken effect; read back to find out
	Err            error
}

func (e *UnavailableError) Error() string {
	if e.OutcomeUnknown {
		return fmt.Sprintf("rowstore: %s: no answer, the write may have taken effect: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("rowstore: %s: unavailable: %v", e.Op, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// RowError reports a row of a transaction that the table service does not take. Nothing was sent.
type RowError struct {
	Ref                Ref
	Field              string // table, partition, key or value
	Bytes              int
	MinBytes, MaxBytes int // accepted
}

func (e *RowError) Error() string {
	return fmt.Sprintf("rowstore: row %.40s/%.40s/%.40s: %s of %d bytes is not accepted; accepted: %d to %d bytes",
		e.Ref.Table, e.Ref.Partition, e.Ref.Key, e.Field, e.Bytes, e.MinBytes, e.MaxBytes)
}

// CompactedError reports that the requested history is no longer kept: the whole table has to be
// read.
type CompactedError struct {
	Table string
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("rowstore: the history of table %s is no longer kept", e.Table)
}

// LeaseLostError reports that another member holds the owner lease on a partition.
type LeaseLostError struct {
	Partition string
	Holder    fleet.MemberID // empty if it is not known
}

func (e *LeaseLostError) Error() string {
	return fmt.Sprintf("rowstore: part %s is held by %q", e.Partition, e.Holder)
}

// LeaseExpiredError reports that an owner lease was not renewed in time.
type LeaseExpiredError struct {
	Partition string
}

func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("rowstore: the tenure of part %s was not renewed in time", e.Partition)
}
