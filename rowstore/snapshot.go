package rowstore

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
	"citronknot/note"
)

// SnapshotEvery is the number of versions after which a new snapshot is written. A new
// process reads at most about this many notes, which is one read at the row limit.
const SnapshotEvery fleet.Version = MaxRows

var snapshotRef = Ref{Table: "config", Key: "snapshot"}

// Snapshots stores whole configurations in the object store, so that a new process does not read
// every release note.
type Snapshots struct {
	Table   *Table
	Objects *Objects
}

type wireSnapshot struct {
	Version uint64 `json:"version"`
	Object  string `json:"object"`
}

// Load returns the configuration of the newest snapshot, or nil if there is none. It fails with
// *UnavailableError, or if the object is missing, can't be decoded or has another version.
func (s *Snapshots) Load(ctx context.Context) (*fleet.Config, error) {
	w, _, err := s.newest(ctx)
	if err != nil || w.Version == 0 {
		return nil, err
	}
	text, ok, err := s.Objects.Get(ctx, w.Object)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, eris.Errorf("rowstore: snapshot object %q does not exist", w.Object)
	}
	c, err := note.DecodeConfig(text)
	if err != nil {
		return nil, err
	}
	if uint64(c.Version) != w.Version {
		return nil, eris.Errorf("rowstore: snapshot object %q has version %d instead of %d", w.Object, c.Version, w.Version)
	}
	return c, nil
}

// Save writes a snapshot of c if the newest is SnapshotEvery versions behind. The holder of the
// fleet lease calls it with its fence. The object is written before the row that names it, under
// a unique name, so that a reader never finds a partial snapshot. It reports whether the row was
// written. It fails with *ConflictError or *UnavailableError, or if c can't be encoded.
func (s *Snapshots) Save(ctx context.Context, c *fleet.Config, fence Check) (bool, error) {
	w, version, err := s.newest(ctx)
	if err != nil || c.Version < fleet.Version(w.Version)+SnapshotEvery {
		return false, err
	}
	text, err := note.EncodeConfig(c)
	if err != nil {
		return false, err
	}
	next := wireSnapshot{Version: uint64(c.Version), Object: fmt.Sprintf("config-%012d-%s", c.Version, newAttemptID())}
	if err := s.Objects.Put(ctx, next.Object, text); err != nil {
		return false, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(err, "rowstore: snapshot")
	}
	_, err = s.Table.Transact(ctx, Transaction{
		Checks: []Check{fence, {Ref: snapshotRef, Version: version}},
		Writes: []Write{{Ref: snapshotRef, Value: value}},
	})
	return err == nil, err
}

func (s *Snapshots) newest(ctx context.Context) (wireSnapshot, fleet.Version, error) {
	var newest wireSnapshot
	row, ok, err := s.Table.Get(ctx, snapshotRef)
	if err != nil || !ok {
		return newest, 0, err
	}
	if err := json.Unmarshal(row.Value, &newest); err != nil {
		return newest, 0, eris.Wrap(err, "rowstore: snapshot")
	}
	return newest, row.Version, nil
}
