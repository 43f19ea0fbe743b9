package terminal

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/jessevdk/go-flags"

	"citronknot/fleet"
	"citronknot/note"
	"citronknot/operator"
)

// Exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
)

// usageError reports arguments or input that can't be used.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// noteFaults reports the faults of a release note with their places in its file.
type noteFaults struct{ faults []note.Fault }

func (e *noteFaults) Error() string { return (&note.DecodeError{Faults: e.faults}).Error() }

func exitCode(err error) int {
	var (
		parse       *flags.Error
		usage       *usageError
		faults      *noteFaults
		problem     *operator.Problem
		unreachable *operator.UnreachableError
	)
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &parse):
		if parse.Type == flags.ErrHelp {
			return exitDone
		}
		return exitUsage
	case errors.As(err, &usage), errors.As(err, &faults):
		return exitUsage
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &problem) && problem.Status == http.StatusConflict:
		return exitConflict
	case errors.As(err, &problem) && problem.Status < http.StatusInternalServerError:
		return exitUsage
	}
	return exitFailed
}

type wireError struct {
	Error         string      `json:"error"`
	Exit          int         `json:"exit"`
	Faults        []wireFault `json:"faults,omitempty"`
	Head          uint64      `json:"head,omitempty"`
	MaybeAccepted bool        `json:"maybe_accepted,omitempty"`
}

type wireFault struct {
	File     string `json:"file,omitempty"`
	Line     int    `json:"line,omitempty"`
	Column   int    `json:"column,omitempty"`
	Field    string `json:"field"`
	Value    string `json:"value"`
	Accepted string `json:"accepted"`
}

// report writes an error: one line for each fault, or one line for the whole.
func (a *app) report(err error) {
	var parse *flags.Error
	if err == nil {
		return
	}
	if errors.As(err, &parse) && parse.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(a.stdout, parse.Message)
		return
	}
	var (
		problem *operator.Problem
		unknown *operator.UnknownOutcomeError
		local   *noteFaults
		faults  []note.Fault
	)
	w := wireError{Error: err.Error(), Exit: exitCode(err), MaybeAccepted: errors.As(err, &unknown)}
	if errors.As(err, &problem) {
		faults, w.Head = problem.Faults, uint64(problem.Head)
	} else if errors.As(err, &local) {
		faults = local.faults
	}
	if a.Output == "json" {
		for _, f := range faults {
			w.Faults = append(w.Faults, wireFault{
				File: a.file, Line: f.Line, Column: f.Column, Field: f.Field, Value: f.Value, Accepted: f.Accepted,
			})
		}
		_ = json.NewEncoder(a.stderr).Encode(w)
		return
	}
	if len(faults) == 0 {
		_, _ = fmt.Fprintln(a.stderr, "citronknot:", err)
	}
	for _, f := range faults {
		_, _ = fmt.Fprintln(a.stderr, a.place(f)+f.Fault.String())
	}
}

// place is the file position of a fault in the form that editors follow.
func (a *app) place(f note.Fault) string {
	if f.Line == 0 || a.file == "" {
		return "citronknot: "
	}
	return fmt.Sprintf("%s:%d:%d: ", a.file, f.Line, f.Column)
}

// located adds the positions of the text to the faults of Merge.
func located(err error, positions note.Positions) error {
	var ne *fleet.NoteError
	if !errors.As(err, &ne) {
		return err
	}
	return &noteFaults{faults: positions.Locate(ne.Faults)}
}
