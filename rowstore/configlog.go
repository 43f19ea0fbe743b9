package rowstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
	"citronknot/note"
)

// ConfigLog is the log of accepted release notes in the table service.
type ConfigLog struct {
	Table *Table
}

var headRef = Ref{Table: "config", Key: "head"}

func noteRef(v fleet.Version) Ref {
	return Ref{Table: "config", Key: fmt.Sprintf("note/%012d", v)}
}

type wireHead struct {
	Version uint64 `json:"version"`
	Note    string `json:"note"`
	Attempt string `json:"attempt"`
}

// Head is the newest accepted version.
type Head struct {
	Version fleet.Version
	Note    fleet.NoteID
}

// StaleBaseError reports that a release note was written against a version that is not the
// newest any more.
type StaleBaseError struct {
	Base fleet.Version
	Head Head
}

func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("rowstore: release note is based on version %d, the newest is %d (note %q)", e.Base, e.Head.Version, e.Head.Note)
}

// Head reads the newest accepted version. A log without notes has version 0. It fails with
// *UnavailableError, or if the row can't be decoded.
func (l *ConfigLog) Head(ctx context.Context) (Head, error) {
	h, _, err := l.head(ctx)
	return Head{Version: fleet.Version(h.Version), Note: fleet.NoteID(h.Note)}, err
}

func (l *ConfigLog) head(ctx context.Context) (wireHead, fleet.Version, error) {
	var h wireHead
	row, ok, err := l.Table.Get(ctx, headRef)
	if err != nil || !ok {
		return h, 0, err
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, 0, eris.Wrap(err, "rowstore: config head")
	}
	return h, row.Version, nil
}

// Notes reads the accepted notes of the versions after from up to and including to. It fails
// with *UnavailableError, or if a note is missing or can't be decoded.
func (l *ConfigLog) Notes(ctx context.Context, from, to fleet.Version) ([]fleet.ReleaseNote, error) {
	q := Query{}
	for v := from + 1; v <= to; v++ {
		q.Gets = append(q.Gets, noteRef(v))
	}
	rows, err := l.Table.Read(ctx, q)
	if err != nil {
		return nil, err
	}
	if len(rows) != int(to-from) {
		return nil, eris.Errorf("rowstore: %d of the notes %d to %d exist", len(rows), from+1, to)
	}
	notes := make([]fleet.ReleaseNote, len(rows))
	for i, r := range rows {
		if notes[i], err = note.Decode(r.Value); err != nil {
			return nil, eris.Wrapf(err, "rowstore: note %s", r.Key)
		}
	}
	return notes, nil
}

// Accept appends n to the log and returns its version. It is one compare-and-set: of two racing
// notes with the same base one succeeds and the other gets *StaleBaseError. A note that was
// accepted before is accepted again with the same version. It also fails with *ConflictError or
// *UnavailableError.
func (l *ConfigLog) Accept(ctx context.Context, n fleet.ReleaseNote) (fleet.Version, error) {
	text, err := note.Encode(n)
	if err != nil {
		return 0, err
	}
	h, rowVersion, err := l.head(ctx)
	if err != nil {
		return 0, err
	}
	if fleet.Version(h.Version) != n.Base {
		return l.acceptResent(ctx, n, h)
	}
	next := n.Base + 1
	attempt := wireHead{Version: uint64(next), Note: string(n.ID), Attempt: fmt.Sprintf("%016x", rand.Uint64())}
	value, err := json.Marshal(attempt)
	if err != nil {
		return 0, eris.Wrap(err, "rowstore: config head")
	}
	_, err = l.Table.Transact(ctx, Transaction{
		Checks: []Check{{Ref: headRef, Version: rowVersion}},
		Writes: []Write{{Ref: headRef, Value: value}, {Ref: noteRef(next), Value: text}},
	})
	return l.confirmOutcome(ctx, n, next, err)
}

// confirmOutcome determines the outcome of a transaction that ended in a conflict or whose
// response was lost.
func (l *ConfigLog) confirmOutcome(ctx context.Context, n fleet.ReleaseNote, next fleet.Version, err error) (fleet.Version, error) {
	var conflict *ConflictError
	var unavailable *UnavailableError
	switch {
	case err == nil:
		return next, nil
	case errors.As(err, &conflict), errors.As(err, &unavailable) && unavailable.OutcomeUnknown:
		h, _, readErr := l.head(ctx)
		if readErr != nil {
			return 0, err
		}
		if fleet.Version(h.Version) == n.Base {
			return 0, err
		}
		v, readErr := l.acceptResent(ctx, n, h)
		var stale *StaleBaseError
		if readErr != nil && !errors.As(readErr, &stale) {
			return 0, err // the outcome of the transaction stays unknown
		}
		return v, readErr
	}
	return 0, err
}

// acceptResent handles a note whose base is not the newest version. It returns the note's
// version if exactly this note follows its base, and *StaleBaseError otherwise.
func (l *ConfigLog) acceptResent(ctx context.Context, n fleet.ReleaseNote, h wireHead) (fleet.Version, error) {
	stale := &StaleBaseError{Base: n.Base, Head: Head{Version: fleet.Version(h.Version), Note: fleet.NoteID(h.Note)}}
	next := n.Base + 1
	if n.Base >= fleet.Version(h.Version) {
		return 0, stale
	}
	row, ok, err := l.Table.Get(ctx, noteRef(next))
	if err != nil {
		return 0, err
	}
	text, err := note.Encode(n)
	if err != nil {
		return 0, err
	}
	if ok && sameJSON(row.Value, text) {
		return next, nil
	}
	return 0, stale
}

func sameJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	s, errS := json.Marshal(x)
	t, errT := json.Marshal(y)
	return errS == nil && errT == nil && string(s) == string(t)
}
