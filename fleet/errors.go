package fleet

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a release note.
type Fault struct {
	Field    string // path of the field, such as added.teams[0].share
	Value    string
	Accepted string // what is accepted there
}

func (f Fault) String() string {
	return fmt.Sprintf("%s: %q is not accepted; accepted: %s", f.Field, f.Value, f.Accepted)
}

// NoteError reports every fault of a release note.
type NoteError struct {
	Note   NoteID
	Faults []Fault
}

func (e *NoteError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return fmt.Sprintf("fleet: release note %q: %s", e.Note, strings.Join(lines, "; "))
}
