package peer

import (
	"citronknot/clock"
	"citronknot/fleet"
)

// Age returns the time since the configuration was last confirmed to be the newest, in
// milliseconds. ok is false if it was never confirmed or if a newer version is known to be
// accepted.
func (f *Follower) Age() (age clock.Millis, ok bool) {
	f.updateFreshness(func(s *Freshness) { age, ok = s.Age(f.appliedVersion()) })
	return age, ok
}

// Status returns the configuration status that this member reports to its peers.
func (f *Follower) Status() (s ConfigStatus) {
	f.updateFreshness(func(freshness *Freshness) { s = freshness.Status(f.appliedVersion()) })
	return s
}

// NotesAfter returns up to limit applied notes that follow version v, or nil if they are no
// longer kept.
func (f *Follower) NotesAfter(v fleet.Version, limit int) []fleet.ReleaseNote {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history.notesAfter(v, limit)
}

// KeptNotes returns the number of release notes kept for peers.
func (f *Follower) KeptNotes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.history.notes)
}
