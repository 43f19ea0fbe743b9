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

// Problem is an answer of the administration API that is not a success.
type Problem struct {
	Status        int
	Title         string
	Detail        string
	Faults        []note.Fault  // what is wrong with the input; line 0 means no position in a text
	Head          fleet.Version // with a conflict: the newest version
	MaybeAccepted bool          // the command may have been carried out
}

func (p *Problem) Error() string {
	return fmt.Sprintf("operator: status %d: %s: %s", p.Status, p.Title, p.Detail)
}

// invalid returns the problem of one field of the input that is not part of a note's text.
func invalid(field, value, accepted string) *Problem {
	f := fleet.Fault{Field: field, Value: value, Accepted: accepted}
	return &Problem{Status: http.StatusBadRequest, Title: "invalid input", Detail: f.String(), Faults: []note.Fault{{Fault: f}}}
}

func notFound(what, id string) *Problem {
	return &Problem{Status: http.StatusNotFound, Title: "not found", Detail: fmt.Sprintf("%s %q does not exist", what, id)}
}

// problemOf returns the answer to a command or query that failed with err.
func problemOf(err error) *Problem {
	var (
		problem  *Problem
		decode   *note.DecodeError
		stale    *rowstore.StaleBaseError
		conflict *rowstore.ConflictError
		down     *rowstore.UnavailableError
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
	case errors.As(err, &down):
		return &Problem{Status: http.StatusServiceUnavailable, Title: "platform unavailable", Detail: down.Error(), MaybeAccepted: down.Maybe}
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return &Problem{Status: http.StatusServiceUnavailable, Title: "time is up", Detail: err.Error()}
	}
	return &Problem{Status: http.StatusInternalServerError, Title: "internal error", Detail: err.Error()}
}

// problemOfNote is problemOf for a command that sends a release note.
func problemOfNote(n fleet.ReleaseNote, positions note.Positions, err error) *Problem {
	var faults *fleet.NoteError
	if errors.As(err, &faults) {
		return &Problem{
			Status: http.StatusBadRequest, Title: "invalid release note", Detail: faults.Error(), Faults: positions.Locate(faults.Faults),
		}
	}
	p := problemOf(err)
	switch {
	case p.MaybeAccepted:
		return unknownOutcome(n, p.Detail)
	case p.Status == http.StatusServiceUnavailable:
		p.Detail = "the release note was not accepted: " + p.Detail
	}
	return p
}

// problemOfDrain is problemOf for a drain or a return, which can be repeated safely.
func problemOfDrain(err error) *Problem {
	p := problemOf(err)
	if p.MaybeAccepted {
		p.Title = "outcome unknown"
		p.Detail = "the command may have been carried out; send it again, or look at the phase in GET /v1/instances (" + p.Detail + ")"
	}
	return p
}

func conflictAt(base, head fleet.Version, newest fleet.NoteID) *Problem {
	return &Problem{
		Status: http.StatusConflict, Title: "conflict", Head: head,
		Detail: fmt.Sprintf("the release note is written against version %d, but the newest is %d (note %q); "+
			"read what changed since and write the note against version %d", base, head, newest, head),
	}
}

func unknownOutcome(n fleet.ReleaseNote, cause string) *Problem {
	return &Problem{
		Status: http.StatusServiceUnavailable, Title: "outcome unknown", MaybeAccepted: true,
		Detail: fmt.Sprintf("the release note may have been accepted as version %d; send the same note again, which is answered "+
			"in the same way if it was, or compare GET /v1/notes/%d with it (%s)", n.Base+1, n.Base+1, cause),
	}
}
