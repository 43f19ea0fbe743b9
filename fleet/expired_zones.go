package fleet

// ExpiredZones records for which zones the assignment has expired, that is, is too old to route by.
// A zone that was never set counts as expired. ExpiredZones is not safe for concurrent use.
type ExpiredZones struct {
	expired map[ZoneID]bool
}

// Set records whether the assignment of a zone has expired, and reports whether the recorded
// value changed. The first call for a zone always reports a change.
func (l *ExpiredZones) Set(zone ZoneID, expired bool) (changed bool) {
	if old, known := l.expired[zone]; known && old == expired {
		return false
	}
	if l.expired == nil {
		l.expired = map[ZoneID]bool{}
	}
	l.expired[zone] = expired
	return true
}

// Expired reports whether the assignment of a zone has expired.
func (l *ExpiredZones) Expired(zone ZoneID) bool {
	expired, known := l.expired[zone]
	return expired || !known
}
