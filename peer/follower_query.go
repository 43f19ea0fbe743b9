package peer

import (
	"citronknot/clock"
	"citronknot/fleet"
)

// Age returns the time since the configuration was last confirmed to be the newest. ok is
// false if it never was.
func (f *Follower) Age() (age clock.Millis, ok bool) {
	f.update(func(s *Freshness) { age, ok = s.Age(f.held()) })
	return age, ok
}

// Statement returns what this member says of itself to its peers.
func (f *Follower) Statement() (s Statement) {
	f.update(func(fresh *Freshness) { s = fresh.Statement(f.held()) })
	return s
}

// NotesAfter returns up to limit applied notes that follow version v, or none if they are not
// kept any more.
func (f *Follower) NotesAfter(v fleet.Version, limit int) []fleet.ReleaseNote {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notes.after(v, limit)
}

// KeptNotes returns the number of release notes kept for peers.
func (f *Follower) KeptNotes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.notes.list)
}
