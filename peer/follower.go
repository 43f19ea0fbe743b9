package peer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/platform"
)

// Follower brings the configuration of this process up to the log in the table service.
type Follower struct {
	Clock   clock.Clock
	Log     *platform.ConfigLog
	Current *fleet.Current
	Every   clock.Millis // between two looks; 0 means 1000
	Logger  *slog.Logger

	mu        sync.Mutex
	confirmed clock.Mark
	known     bool
}

const defaultEvery clock.Millis = 1000

// Refresh applies every accepted note that this process does not have yet.
func (f *Follower) Refresh(ctx context.Context) error {
	sent := f.Clock.Mark()
	head, err := f.Log.Head(ctx)
	if err != nil {
		return err
	}
	for f.Current.Load().Version < head.Version {
		from := f.Current.Load().Version
		notes, err := f.Log.Notes(ctx, from, min(head.Version, from+platform.MaxRows))
		if err != nil {
			return err
		}
		if err := f.apply(notes); err != nil {
			return err
		}
	}
	f.confirm(sent)
	return nil
}

func (f *Follower) apply(notes []fleet.ReleaseNote) error {
	for _, n := range notes {
		c := f.Current.Load()
		if n.Base != c.Version {
			continue // another refresh applied it
		}
		next, err := c.Merge(n)
		if err != nil {
			return err
		}
		if f.Current.Advance(next) {
			f.Logger.Info("peer: configuration applied", "version", next.Version, "note", n.ID)
		}
	}
	return nil
}

func (f *Follower) confirm(at clock.Mark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || at.Now > f.confirmed.Now {
		f.confirmed, f.known = at, true
	}
}

// Age returns the time since the configuration was last confirmed to be the newest. ok is
// false if it never was.
func (f *Follower) Age() (age clock.Millis, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock.AtLeast(f.confirmed), f.known
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
