package note

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"citronknot/fleet"
)

// Position is a position in the text of a note. Lines and columns start at 1, and a column counts
// bytes.
type Position struct {
	Line   int
	Column int
}

func (p Position) String() string { return fmt.Sprintf("line %d, column %d", p.Line, p.Column) }

// Fault is an invalid value, field or construct in the text of a note, with its position.
type Fault struct {
	Position
	fleet.Fault
}

func (f Fault) String() string { return f.Position.String() + ": " + f.Fault.String() }

// DecodeError reports the faults of the text of a note, in the order of detection. It holds at
// most 100 faults, so that the report on a long text stays short.
type DecodeError struct {
	Faults []Fault
}

// maxFaults is the maximum number of faults in a DecodeError.
const maxFaults = 100

func (e *DecodeError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "note: " + strings.Join(lines, "; ")
}

// Positions records where the fields of a decoded text begin.
type Positions struct {
	text    []byte
	offsets map[string]int
}

// Of returns the position of the value of a field, such as "added.teams[0].share". If the text
// lacks the field, Of returns the position of the innermost object or list around it.
func (p Positions) Of(field string) Position {
	for {
		if offset, ok := p.offsets[field]; ok {
			return positionOf(p.text, offset)
		}
		separator := strings.LastIndexAny(field, ".[")
		if separator < 0 {
			return positionOf(p.text, p.offsets[""])
		}
		field = field[:separator]
	}
}

// Locate adds their positions to faults of a note and returns them in the order of the text.
func (p Positions) Locate(faults []fleet.Fault) []Fault {
	located := make([]Fault, len(faults))
	for i, f := range faults {
		located[i] = Fault{Position: p.Of(f.Field), Fault: f}
	}
	slices.SortStableFunc(located, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return located
}

// positionOf converts a byte offset in text to a position.
func positionOf(text []byte, offset int) Position {
	textBefore := string(text[:min(offset, len(text))])
	return Position{Line: 1 + strings.Count(textBefore, "\n"), Column: len(textBefore) - strings.LastIndex(textBefore, "\n")}
}
