package rowstore

import "fmt"

// ConflictError reports the rows whose check failed. Nothing was written.
type ConflictError struct {
	Rows []Ref
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("rowstore: transaction conflict on %v", e.Rows)
}

// UnavailableError reports that the platform did not answer.
type UnavailableError struct {
	Op    string
	Maybe bool // the write may have taken effect; read back to find out
	Err   error
}

func (e *UnavailableError) Error() string {
	if e.Maybe {
		return fmt.Sprintf("rowstore: %s: no answer, the write may have taken effect: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("rowstore: %s: unavailable: %v", e.Op, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }
