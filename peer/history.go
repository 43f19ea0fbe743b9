package peer

import "citronknot/fleet"

// keptNotes bounds the release notes kept for peers: at 2,100 changes a day they reach back
// three hours, and at 1 KB a note they take 256 KB.
const keptNotes = 256

// notes keeps the newest applied release notes, without a gap.
type notes struct {
	list []fleet.ReleaseNote
}

// add appends the note that follows the newest one. A note after a gap replaces all.
func (h *notes) add(n fleet.ReleaseNote) {
	if len(h.list) > 0 && h.list[len(h.list)-1].Base+1 != n.Base {
		h.list = nil
	}
	h.list = append(h.list, n)
	if extra := len(h.list) - keptNotes; extra > 0 {
		clear(h.list[:extra])
		h.list = h.list[extra:]
	}
}

// after returns up to limit notes that follow version v, or none if v is too far back.
func (h *notes) after(v fleet.Version, limit int) []fleet.ReleaseNote {
	if len(h.list) == 0 || v < h.list[0].Base {
		return nil
	}
	skip := v - h.list[0].Base
	if skip >= fleet.Version(len(h.list)) {
		return nil
	}
	rest := h.list[skip:]
	return append([]fleet.ReleaseNote(nil), rest[:min(limit, len(rest))]...)
}
