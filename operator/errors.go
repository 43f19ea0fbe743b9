package operator

import (
	"errors"
	"fmt"
)

// UnreachableError reports that a call got no complete answer.
type UnreachableError struct {
	URL   string
	Maybe bool // the server may have received the call
	Err   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("operator: no answer from %s: %v", e.URL, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports that a release note may have been accepted, and that repeats
// did not settle it.
type UnknownOutcomeError struct {
	Err error // of the last attempt
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("operator: the release note may have been accepted; apply the same note again, or look for it in the history: %v", e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// maybeAccepted reports whether one attempt leaves open whether a note was accepted.
func maybeAccepted(err error) bool {
	var p *Problem
	var u *UnreachableError
	return errors.As(err, &p) && p.MaybeAccepted || errors.As(err, &u) && u.Maybe
}

// settled reports whether an attempt says what became of the note, whatever earlier attempts
// left open.
func settled(err error) bool {
	var p *Problem
	return err == nil || errors.As(err, &p) && p.Status < 500
}
