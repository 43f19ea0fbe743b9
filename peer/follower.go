package peer

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/rowstore"
)

// Follower applies the configuration log of the table service to the configuration of this
// process and records how recently the configuration was confirmed to be the newest.
type Follower struct {
	Clock           clock.Clock
	ConfigLog       *rowstore.ConfigLog
	Current         *fleet.Current
	RefreshInterval clock.Millis // time between two reads of the newest version; 0 means 1000
	Logger          *slog.Logger
	// Snapshot returns an accepted configuration, or nil if there is none. It is called if more
	// notes are missing than one read returns. If Snapshot is nil, all notes are read.
	Snapshot func(context.Context) (*fleet.Config, error)
	// Changed is called after the configuration advanced. It may be nil.
	Changed func()

	mu        sync.Mutex // guards freshness and history, and serializes the application of notes
	freshness Freshness
	history   noteHistory
}

const defaultRefreshInterval clock.Millis = 1000

// Refresh applies every accepted note that this process has not applied yet. It returns the
// error of the read, or an error if the notes do not follow the applied version.
func (f *Follower) Refresh(ctx context.Context) error {
	sentAt := f.Clock.Mark()
	head, err := f.ConfigLog.Head(ctx)
	if err == nil && f.appliedVersion()+rowstore.MaxRows < head.Version {
		f.applySnapshot(ctx)
	}
	for err == nil && f.appliedVersion() < head.Version {
		base := f.appliedVersion()
		var notes []fleet.ReleaseNote
		notes, err = f.ConfigLog.Notes(ctx, base, min(head.Version, base+rowstore.MaxRows))
		if err == nil {
			_, err = f.Apply(notes)
		}
		if err == nil && f.appliedVersion() == base {
			err = eris.Errorf("peer: the release notes read after version %d do not start at that version", base)
		}
	}
	f.updateFreshness(func(s *Freshness) {
		if err != nil {
			s.RecordReadFailure()
			return
		}
		s.RecordRead(sentAt, head.Version, f.appliedVersion())
	})
	return err
}

// applySnapshot advances to the newest snapshot, so that a new process does not have to read all
// release notes: two years of them are 1.5 million rows. Without a snapshot the notes are read.
func (f *Follower) applySnapshot(ctx context.Context) {
	if f.Snapshot == nil {
		return
	}
	config, err := f.Snapshot(ctx)
	switch {
	case err != nil:
		if ctx.Err() == nil {
			f.Logger.Warn("peer: cannot read the configuration snapshot", "err", err)
		}
		return
	case config == nil:
		return
	}
	f.mu.Lock()
	advanced := f.Current.Advance(config)
	f.mu.Unlock()
	if !advanced {
		return
	}
	f.Logger.Info("peer: applied a configuration snapshot", "version", config.Version, "note", config.Note)
	if f.Changed != nil {
		f.Changed()
	}
}

// Apply applies accepted notes, in version order, that follow the applied configuration, and
// returns how many it applied. It skips a note with another base, and stops with an error at a
// note that cannot be merged. The notes come from the table service or from a member that has
// applied them.
func (f *Follower) Apply(notes []fleet.ReleaseNote) (applied int, err error) {
	f.mu.Lock()
	for _, n := range notes {
		current := f.Current.Load()
		if n.Base != current.Version {
			continue
		}
		var next *fleet.Config
		if next, err = current.Merge(n); err != nil {
			break
		}
		if f.Current.Advance(next) {
			applied++
			f.history.add(n)
			f.Logger.Info("peer: applied a release note", "version", next.Version, "note", n.ID)
		}
	}
	f.mu.Unlock()
	if applied > 0 && f.Changed != nil {
		f.Changed()
	}
	return applied, err
}

// Submit submits a release note to the table service and applies it. It returns the version of
// the note, or the error of the submission or of the refresh that follows it. Members submit
// notes only through Submit, because peers rely on the record of submissions that can still take
// effect.
func (f *Follower) Submit(ctx context.Context, n fleet.ReleaseNote) (fleet.Version, error) {
	f.updateFreshness(func(s *Freshness) { s.BeginSubmission() })
	v, err := f.ConfigLog.Accept(ctx, n)
	var unavailable *rowstore.UnavailableError
	var possibleVersion fleet.Version
	if errors.As(err, &unavailable) && unavailable.OutcomeUnknown {
		possibleVersion = n.Base + 1
	}
	if err == nil {
		// The note is applied before the submission ends, so that the configuration does not
		// count as outdated in between. A note that does not follow the applied version is left
		// to Refresh.
		_, _ = f.Apply([]fleet.ReleaseNote{n})
	}
	f.updateFreshness(func(s *Freshness) { s.EndSubmission(v, possibleVersion) })
	if err == nil && f.appliedVersion() < v {
		err = f.Refresh(ctx)
	}
	return v, err
}

func (f *Follower) appliedVersion() fleet.Version { return f.Current.Load().Version }

func (f *Follower) updateFreshness(change func(*Freshness)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freshness.Clock = f.Clock
	change(&f.freshness)
}

// Run calls Refresh at each RefreshInterval until ctx ends, and logs its errors.
func (f *Follower) Run(ctx context.Context) {
	interval := f.RefreshInterval
	if interval == 0 {
		interval = defaultRefreshInterval
	}
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		if err := f.Refresh(ctx); err != nil && ctx.Err() == nil {
			f.Logger.Warn("peer: cannot refresh the configuration", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
