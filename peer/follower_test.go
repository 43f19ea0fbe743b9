package peer_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/peer"
	"citronknot/rowstore"
	"citronknot/standin"
)

// Guards against a new process that reads every release note although a snapshot exists, and
// against one that does not start if the snapshot is unreadable or missing.
func TestFollowerStartsFromSnapshot(t *testing.T) {
	const versions = 350
	ctx := context.Background()
	platform := &standin.Platform{}
	log := &rowstore.ConfigLog{Table: platform.Table()}
	config := &fleet.Config{}
	var snapshot *fleet.Config
	for v := range fleet.Version(versions) {
		note := fleet.ReleaseNote{ID: fleet.NoteID(fmt.Sprint("n", v)), Base: v}
		note.Added.Pools = []fleet.Pool{{ID: fleet.PoolID(fmt.Sprint("p", v)), MaxAbsent: 1}}
		_, err := log.Accept(ctx, note)
		must.NoError(t, err)
		config, err = config.Merge(note)
		must.NoError(t, err)
		if config.Version == 300 {
			snapshot = config
		}
	}
	tests := []struct {
		name     string
		snapshot *fleet.Config
		err      error
		reads    int64 // reads of the newest version and of notes
	}{
		{"snapshot", snapshot, nil, 2},
		{"none", nil, nil, 5},
		{"unreadable", nil, errors.New("no answer"), 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := platform.Reads.Load()
			changed := 0
			f := &peer.Follower{
				ConfigLog: log, Current: &fleet.Current{}, Logger: slog.New(slog.DiscardHandler), Changed: func() { changed++ },
				Snapshot: func(context.Context) (*fleet.Config, error) { return tt.snapshot, tt.err },
			}
			must.NoError(t, f.Refresh(ctx))
			must.Eq(t, config, f.Current.Load())
			must.Eq(t, tt.reads, platform.Reads.Load()-before)
			must.Positive(t, changed)
			age, ok := f.Age()
			must.True(t, ok)
			must.Less(t, 3000, age)
		})
	}
}

// Guards against a snapshot that replaces a newer configuration.
func TestFollowerIgnoresOlderSnapshot(t *testing.T) {
	ctx := context.Background()
	log := &rowstore.ConfigLog{Table: (&standin.Platform{}).Table()}
	f := &peer.Follower{
		ConfigLog: log, Current: &fleet.Current{}, Logger: slog.New(slog.DiscardHandler),
		Snapshot: func(context.Context) (*fleet.Config, error) { return &fleet.Config{Version: 3}, nil },
	}
	f.Current.Advance(&fleet.Config{Version: 5})
	for v := range fleet.Version(5 + rowstore.MaxRows + 1) {
		_, err := log.Accept(ctx, fleet.ReleaseNote{ID: fleet.NoteID(fmt.Sprint("n", v)), Base: v})
		must.NoError(t, err)
	}
	must.NoError(t, f.Refresh(ctx))
	must.Eq(t, 5+rowstore.MaxRows+1, f.Current.Load().Version)
}
