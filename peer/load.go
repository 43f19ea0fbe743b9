package peer

import (
	"maps"

	"citronknot/clock"
	"citronknot/fleet"
)

// TeamLoad is the number of running and waiting requests of one team in one pool at one member.
type TeamLoad struct {
	Running int
	Waiting int
}

// PoolLoad is the load of one member on one pool.
type PoolLoad struct {
	InFlight    int
	Slots       fleet.Slots
	LongestWait clock.Millis // longest wait of the requests that are next in line for their teams
	Finished    uint64       // requests that ran and ended since the member started
	Refused     uint64       // requests refused since the member started, for lack of free capacity or time
	Teams       map[fleet.TeamID]TeamLoad
}

// Summary is the load of one member. It lists only pools with load.
type Summary struct {
	Member fleet.MemberID
	Zone   fleet.ZoneID
	Stamp  Stamp
	// Assignment is the assignment version by which the member routes in its own zone. The
	// member has used it since before it counted Targets, so that Targets includes all requests
	// that were routed by an older version.
	Assignment fleet.Version
	Age        clock.Millis // time since the member published it, without the time in transit
	Pools      map[fleet.PoolID]PoolLoad
	Targets    map[fleet.InstanceID]int // requests in flight on each target that has any
}

const (
	defaultSummaryExpiry clock.Millis = 3000
	// stampRetention is the time, in milliseconds, for which the stamp of an expired summary is
	// kept, so that a peer that lags cannot reintroduce the summary.
	stampRetention clock.Millis = 60_000
)

// Loads holds the newest load summary of each member. It is not safe for concurrent use.
type Loads struct {
	SummaryExpiry clock.Millis // time without a newer summary after which a summary expires; 0 means 3000

	stored map[fleet.MemberID]storedSummary
}

type storedSummary struct {
	summary    Summary
	receivedAt clock.Millis
}

// Put stores s, received at time now, if it is newer than the stored summary of its member, and
// reports whether it did. It stores summaries of at most maxMessageMembers members.
func (l *Loads) Put(s Summary, now clock.Millis) bool {
	if old, ok := l.stored[s.Member]; ok && !s.Stamp.Newer(old.summary.Stamp) {
		return false
	} else if !ok && len(l.stored) >= maxMessageMembers {
		return false
	}
	if l.stored == nil {
		l.stored = map[fleet.MemberID]storedSummary{}
	}
	l.stored[s.Member] = storedSummary{summary: s, receivedAt: now}
	return true
}

// Expire discards the pool loads of expired summaries. It keeps their stamps for stampRetention.
func (l *Loads) Expire(now clock.Millis) {
	for id, entry := range l.stored {
		switch {
		case now-entry.receivedAt > stampRetention:
			delete(l.stored, id)
		case now-entry.receivedAt > l.expiry():
			entry.summary.Pools = nil
			l.stored[id] = entry
		}
	}
}

func (l *Loads) expiry() clock.Millis {
	if l.SummaryExpiry > 0 {
		return l.SummaryExpiry
	}
	return defaultSummaryExpiry
}

// Stamps returns the stamp of the summary stored for each member, including expired ones.
func (l *Loads) Stamps() map[fleet.MemberID]Stamp {
	out := make(map[fleet.MemberID]Stamp, len(l.stored))
	for id, entry := range l.stored {
		out[id] = entry.summary.Stamp
	}
	return out
}

// Get returns the summary of a member, with Age advanced to time now. The result is false if
// there is no summary or it has expired.
func (l *Loads) Get(id fleet.MemberID, now clock.Millis) (Summary, bool) {
	entry, ok := l.stored[id]
	if !ok || now-entry.receivedAt > l.expiry() {
		return Summary{}, false
	}
	s := entry.summary
	s.Age += now - entry.receivedAt
	return s, true
}

// Live returns the summaries of all members that have not expired, in no particular order.
func (l *Loads) Live(now clock.Millis) []Summary {
	var out []Summary
	for id := range l.stored {
		if s, ok := l.Get(id, now); ok {
			s.Pools = maps.Clone(s.Pools)
			out = append(out, s)
		}
	}
	return out
}
