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

// Follower brings the configuration of this process up to the log in the table service and
// knows how recently it was confirmed.
type Follower struct {
	Clock   clock.Clock
	Log     *rowstore.ConfigLog
	Current *fleet.Current
	Every   clock.Millis // between two reads of the head; 0 means 1000
	Logger  *slog.Logger
	// Snapshot returns a configuration that was accepted, or nil if there is none. It is asked
	// before more notes are read than one read returns. Nil means that all notes are read.
	Snapshot func(context.Context) (*fleet.Config, error)
	// Changed is called after the configuration advanced. Nil does nothing.
	Changed func()

	mu    sync.Mutex // guards fresh and notes, and orders the application of notes
	fresh Freshness
	notes notes
}

const defaultEvery clock.Millis = 1000

// Refresh applies every accepted note that this process does not have yet.
func (f *Follower) Refresh(ctx context.Context) error {
	sent := f.Clock.Mark()
	head, err := f.Log.Head(ctx)
	if err == nil && f.held()+rowstore.MaxRows < head.Version {
		f.skip(ctx)
	}
	for err == nil && f.held() < head.Version {
		from := f.held()
		var list []fleet.ReleaseNote
		list, err = f.Log.Notes(ctx, from, min(head.Version, from+rowstore.MaxRows))
		if err == nil {
			_, err = f.Apply(list)
		}
		if err == nil && f.held() == from {
			err = eris.Errorf("peer: the notes after version %d do not follow it", from)
		}
	}
	f.update(func(s *Freshness) {
		if err != nil {
			s.NotReached()
			return
		}
		s.Reached(sent, head.Version, f.held())
	})
	return err
}

// skip advances to the newest snapshot. Two years of release notes are 1.5 million rows, which
// a new process must not read. Without a snapshot the notes are read.
func (f *Follower) skip(ctx context.Context) {
	if f.Snapshot == nil {
		return
	}
	c, err := f.Snapshot(ctx)
	switch {
	case err != nil:
		if ctx.Err() == nil {
			f.Logger.Warn("peer: snapshot not read", "err", err)
		}
		return
	case c == nil:
		return
	}
	f.mu.Lock()
	advanced := f.Current.Advance(c)
	f.mu.Unlock()
	if !advanced {
		return
	}
	f.Logger.Info("peer: configuration taken from a snapshot", "version", c.Version, "note", c.Note)
	if f.Changed != nil {
		f.Changed()
	}
}

// Apply applies accepted notes that follow the configuration held, in version order, and
// returns how many it applied. A note with another base is left out. The notes come from the
// table service or from a member that applied them.
func (f *Follower) Apply(list []fleet.ReleaseNote) (applied int, err error) {
	f.mu.Lock()
	for _, n := range list {
		c := f.Current.Load()
		if n.Base != c.Version {
			continue
		}
		var next *fleet.Config
		if next, err = c.Merge(n); err != nil {
			break
		}
		if f.Current.Advance(next) {
			applied++
			f.notes.add(n)
			f.Logger.Info("peer: configuration applied", "version", next.Version, "note", n.ID)
		}
	}
	f.mu.Unlock()
	if applied > 0 && f.Changed != nil {
		f.Changed()
	}
	return applied, err
}

// Accept submits a release note to the table service and brings the configuration up to it.
// Members submit notes only through it, because their peers rely on knowing which submissions
// may yet take effect.
func (f *Follower) Accept(ctx context.Context, n fleet.ReleaseNote) (fleet.Version, error) {
	f.update(func(s *Freshness) { s.BeginAccept() })
	v, err := f.Log.Accept(ctx, n)
	var lost *rowstore.UnavailableError
	var maybe fleet.Version
	if errors.As(err, &lost) && lost.Maybe {
		maybe = n.Base + 1
	}
	if err == nil {
		// Applied before the submission ends, so that the configuration does not count as
		// outdated in between. A note that does not follow is left to Refresh.
		_, _ = f.Apply([]fleet.ReleaseNote{n})
	}
	f.update(func(s *Freshness) { s.EndAccept(v, maybe) })
	if err == nil && f.held() < v {
		err = f.Refresh(ctx)
	}
	return v, err
}

func (f *Follower) held() fleet.Version { return f.Current.Load().Version }

func (f *Follower) update(change func(*Freshness)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh.Clock = f.Clock
	change(&f.fresh)
}

// Run refreshes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	every := f.Every
	if every == 0 {
		every = defaultEvery
	}
	ticker := time.NewTicker(every.Duration())
	defer ticker.Stop()
	for {
		if err := f.Refresh(ctx); err != nil && ctx.Err() == nil {
			f.Logger.Warn("peer: refresh failed", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
