package fleet

import (
	"fmt"
	"strings"
)

// Fault is the validation error of one field of a release note.
type Fault struct {
	Field    string // path of the field, such as added.teams[0].share
	Value    string
	Accepted string // description of the accepted values
}

func (f Fault) String() string {
	return fmt.Sprintf("%s: %q is not accepted; accepted: %s", f.Field, f.Value, f.Accepted)
}

// NoteError reports all faults of a release note. [Config.Merge] returns it.
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
