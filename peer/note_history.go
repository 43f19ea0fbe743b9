package peer

import "citronknot/fleet"

// maxKeptNotes limits the release notes kept for peers. At 2,100 changes a day they cover three
// hours, and at 1 KB each they take 256 KB.
const maxKeptNotes = 256

// noteHistory holds the most recently applied release notes, for consecutive versions.
type noteHistory struct {
	notes []fleet.ReleaseNote
}

// add appends the note that follows the newest one. A note that does not follow it replaces all
// earlier notes.
func (h *noteHistory) add(n fleet.ReleaseNote) {
	if len(h.notes) > 0 && h.notes[len(h.notes)-1].Base+1 != n.Base {
		h.notes = nil
	}
	h.notes = append(h.notes, n)
	if excess := len(h.notes) - maxKeptNotes; excess > 0 {
		clear(h.notes[:excess])
		h.notes = h.notes[excess:]
	}
}

// notesAfter returns up to limit notes that follow version v, or nil if the notes after v are no
// longer kept or do not exist yet.
func (h *noteHistory) notesAfter(v fleet.Version, limit int) []fleet.ReleaseNote {
	if len(h.notes) == 0 || v < h.notes[0].Base {
		return nil
	}
	skip := v - h.notes[0].Base
	if skip >= fleet.Version(len(h.notes)) {
		return nil
	}
	rest := h.notes[skip:]
	return append([]fleet.ReleaseNote(nil), rest[:min(limit, len(rest))]...)
}
