package note

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"citronknot/fleet"
)

// Position is a place in the text of a note. Line and column count from 1; the column counts
// bytes.
type Position struct {
	Line   int
	Column int
}

func (p Position) String() string { return fmt.Sprintf("line %d, column %d", p.Line, p.Column) }

// Fault is one thing wrong with the text of a note.
type Fault struct {
	Position
	fleet.Fault
}

func (f Fault) String() string { return f.Position.String() + ": " + f.Fault.String() }

// DecodeError reports the faults of the text of a note, in the order of the text. It holds at
// most 100, so that the report of a long text stays short.
type DecodeError struct {
	Faults []Fault
}

const maxFaults = 100

func (e *DecodeError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "note: " + strings.Join(lines, "; ")
}

// Positions finds the fields of a decoded text.
type Positions struct {
	text    []byte
	offsets map[string]int
}

// Of returns the position of a field, or of the innermost object or list around it that the
// text has.
func (p Positions) Of(field string) Position {
	for {
		if at, ok := p.offsets[field]; ok {
			return positionOf(p.text, at)
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return positionOf(p.text, p.offsets[""])
		}
		field = field[:cut]
	}
}

// Locate returns faults of a note with their positions, in the order of the text.
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

func positionOf(text []byte, offset int) Position {
	before := string(text[:min(offset, len(text))])
	return Position{Line: 1 + strings.Count(before, "\n"), Column: len(before) - strings.LastIndex(before, "\n")}
}
