package operator

import (
	"errors"
	"fmt"
)

// UnreachableError reports that a call received no complete response.
type UnreachableError struct {
	URL            string
	OutcomeUnknown bool // the server may have received the call
	Err            error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("operator: no answer from %s: %v", e.URL, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports that a release note may have been accepted, and that retries
// did not determine whether it was.
type UnknownOutcomeError struct {
	Err error // error of the last attempt
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("operator: the release note may have been accepted; apply the same note again, or look for it in the history: %v", e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// maybeAccepted reports whether a note may have been accepted in an attempt that failed with err.
func maybeAccepted(err error) bool {
	var problem *Problem
	var unreachable *UnreachableError
	return errors.As(err, &problem) && problem.MaybeAccepted || errors.As(err, &unreachable) && unreachable.OutcomeUnknown
}

// outcomeKnown reports whether the result of an attempt determines whether the note was accepted,
// even if the outcome of earlier attempts is unknown.
func outcomeKnown(err error) bool {
	var problem *Problem
	return err == nil || errors.As(err, &problem) && problem.Status < 500
}
