package fleet

// Lapses remembers for which zones the assignment is too old to route by. A zone that was never
// set counts as lapsed. It is not safe for concurrent use.
type Lapses struct {
	zones map[ZoneID]bool
}

// Set notes whether a zone has lapsed and reports whether that changes anything. The first note
// of a zone always does.
func (l *Lapses) Set(zone ZoneID, lapsed bool) (changed bool) {
	if was, known := l.zones[zone]; known && was == lapsed {
		return false
	}
	if l.zones == nil {
		l.zones = map[ZoneID]bool{}
	}
	l.zones[zone] = lapsed
	return true
}

// Lapsed reports whether a zone has lapsed.
func (l *Lapses) Lapsed(zone ZoneID) bool {
	lapsed, known := l.zones[zone]
	return lapsed || !known
}
