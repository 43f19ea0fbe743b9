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

// Exit codes of commands.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
)

// usageError reports invalid arguments or input.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// noteFaultsError reports the faults of a release note with their positions in its file.
type noteFaultsError struct{ faults []note.Fault }

func (e *noteFaultsError) Error() string { return (&note.DecodeError{Faults: e.faults}).Error() }

// exitCode returns the exit code for the result of a command.
func exitCode(err error) int {
	var (
		parseErr    *flags.Error
		usage       *usageError
		faults      *noteFaultsError
		problem     *operator.Problem
		unreachable *operator.UnreachableError
	)
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &parseErr):
		if parseErr.Type == flags.ErrHelp {
			return exitOK
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

// wireError is the JSON form of an error, which is written to stderr with --output json.
type wireError struct {
	Error         string      `json:"error"`
	Exit          int         `json:"exit"`
	Faults        []wireFault `json:"faults,omitempty"`
	Head          uint64      `json:"head,omitempty"`
	MaybeAccepted bool        `json:"maybe_accepted,omitempty"`
}

// wireFault is the JSON form of a fault of a release note.
type wireFault struct {
	File     string `json:"file,omitempty"`
	Line     int    `json:"line,omitempty"`
	Column   int    `json:"column,omitempty"`
	Field    string `json:"field"`
	Value    string `json:"value"`
	Accepted string `json:"accepted"`
}

// report writes err to stderr, as JSON or as text with one line for each fault or one line in all.
// A request for help is no error: its text is written to stdout.
func (a *app) report(err error) {
	var parseErr *flags.Error
	if err == nil {
		return
	}
	if errors.As(err, &parseErr) && parseErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(a.stdout, parseErr.Message)
		return
	}
	var (
		problem     *operator.Problem
		unknown     *operator.UnknownOutcomeError
		localFaults *noteFaultsError
		faults      []note.Fault
	)
	report := wireError{Error: err.Error(), Exit: exitCode(err), MaybeAccepted: errors.As(err, &unknown)}
	if errors.As(err, &problem) {
		faults, report.Head = problem.Faults, uint64(problem.Head)
	} else if errors.As(err, &localFaults) {
		faults = localFaults.faults
	}
	if a.Output == "json" {
		for _, f := range faults {
			report.Faults = append(report.Faults, wireFault{
				File: a.noteFileName, Line: f.Line, Column: f.Column, Field: f.Field, Value: f.Value, Accepted: f.Accepted,
			})
		}
		_ = json.NewEncoder(a.stderr).Encode(report)
		return
	}
	if len(faults) == 0 {
		_, _ = fmt.Fprintln(a.stderr, "citronknot:", err)
	}
	for _, f := range faults {
		_, _ = fmt.Fprintln(a.stderr, a.positionPrefix(f)+f.Fault.String())
	}
}

// positionPrefix returns the position of a fault as FILE:LINE:COLUMN, a form that editors recognize.
func (a *app) positionPrefix(fault note.Fault) string {
	if fault.Line == 0 || a.noteFileName == "" {
		return "citronknot: "
	}
	return fmt.Sprintf("%s:%d:%d: ", a.noteFileName, fault.Line, fault.Column)
}

// withPositions adds the positions in the text to the faults that fleet.Config.Merge returned.
// Other errors are returned unchanged.
func withPositions(err error, positions note.Positions) error {
	var noteErr *fleet.NoteError
	if !errors.As(err, &noteErr) {
		return err
	}
	return &noteFaultsError{faults: positions.Locate(noteErr.Faults)}
}
