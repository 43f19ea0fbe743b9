package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"citronknot/fleet"
	"citronknot/note"
	"citronknot/rowstore"
)

// Problem is an error response of the administration API.
type Problem struct {
	Status        int // HTTP status code
	Title         string
	Detail        string
	Faults        []note.Fault  // faults of the input; line 0 means that a fault has no position in a text
	Head          fleet.Version // newest version; set for a conflict
	MaybeAccepted bool          // the command may have been carried out
}

func (p *Problem) Error() string {
	return fmt.Sprintf("operator: status %d: %s: %s", p.Status, p.Title, p.Detail)
}

// invalid returns the problem for a fault of one field of the input that is not part of a
// note's text.
func invalid(field, value, accepted string) *Problem {
	fault := fleet.Fault{Field: field, Value: value, Accepted: accepted}
	return &Problem{Status: http.StatusBadRequest, Title: "invalid input", Detail: fault.String(), Faults: []note.Fault{{Fault: fault}}}
}

func notFound(kind, id string) *Problem {
	return &Problem{Status: http.StatusNotFound, Title: "not found", Detail: fmt.Sprintf("%s %q does not exist", kind, id)}
}

// problemOf returns the response to a command or query that failed with err.
func problemOf(err error) *Problem {
	var (
		problem     *Problem
		decode      *note.DecodeError
		stale       *rowstore.StaleBaseError
		conflict    *rowstore.ConflictError
		unavailable *rowstore.UnavailableError
	)
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &decode):
		return &Problem{
			Status: http.StatusBadRequest, Title: "invalid release note", Detail: decode.Error(), Faults: decode.Faults,
		}
	case errors.As(err, &stale):
		return conflictAt(stale.Base, stale.Head.Version, stale.Head.Note)
	case errors.As(err, &conflict):
		return &Problem{
			Status: http.StatusConflict, Title: "conflict",
			Detail: "another operator changed the same state at the same time; nothing of this command was written",
		}
	case errors.As(err, &unavailable):
		return &Problem{Status: http.StatusServiceUnavailable, Title: "platform unavailable", Detail: unavailable.Error(), MaybeAccepted: unavailable.OutcomeUnknown}
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return &Problem{Status: http.StatusServiceUnavailable, Title: "time is up", Detail: err.Error()}
	}
	return &Problem{Status: http.StatusInternalServerError, Title: "internal error", Detail: err.Error()}
}

// problemOfNote is like problemOf, but for a command that sends a release note. Faults of the
// note get their positions in its text.
func problemOfNote(releaseNote fleet.ReleaseNote, positions note.Positions, err error) *Problem {
	var noteErr *fleet.NoteError
	if errors.As(err, &noteErr) {
		return &Problem{
			Status: http.StatusBadRequest, Title: "invalid release note", Detail: noteErr.Error(), Faults: positions.Locate(noteErr.Faults),
		}
	}
	problem := problemOf(err)
	switch {
	case problem.MaybeAccepted:
		return unknownOutcome(releaseNote, problem.Detail)
	case problem.Status == http.StatusServiceUnavailable:
		problem.Detail = "the release note was not accepted: " + problem.Detail
	}
	return problem
}

// problemOfCommand is like problemOf, but for a drain, a return or the loss of a zone. These
// commands can be repeated safely.
func problemOfCommand(err error) *Problem {
	problem := problemOf(err)
	if problem.MaybeAccepted {
		problem.Title = "outcome unknown"
		problem.Detail = "the command may have been carried out; send it again, or look at the phase in GET /v1/instances (" + problem.Detail + ")"
	}
	return problem
}

// conflictAt returns the problem for a release note whose base is not the newest version.
func conflictAt(base, head fleet.Version, newest fleet.NoteID) *Problem {
	return &Problem{
		Status: http.StatusConflict, Title: "conflict", Head: head,
		Detail: fmt.Sprintf("the release note is written against version %d, but the newest is %d (note %q); "+
			"read what changed since and write the note against version %d", base, head, newest, head),
	}
}

// unknownOutcome returns the problem for a release note that may have been accepted.
func unknownOutcome(releaseNote fleet.ReleaseNote, cause string) *Problem {
	return &Problem{
		Status: http.StatusServiceUnavailable, Title: "outcome unknown", MaybeAccepted: true,
		Detail: fmt.Sprintf("the release note may have been accepted as version %d; send the same note again, which is answered "+
			"in the same way if it was, or compare GET /v1/notes/%d with it (%s)", releaseNote.Base+1, releaseNote.Base+1, cause),
	}
}
