package peer

import (
	"maps"

	"citronknot/clock"
	"citronknot/fleet"
)

// TeamLoad is what one team has at one member in one pool.
type TeamLoad struct {
	Running int
	Waiting int
}

// PoolLoad is the load of one member on one pool.
type PoolLoad struct {
	InFlight int
	Slots    fleet.Slots
	Oldest   clock.Millis // longest wait among the requests that are next in their team
	Finished uint64       // requests that ended after they ran, since the member started
	Refused  uint64       // requests refused for lack of room or time, since the member started
	Teams    map[fleet.TeamID]TeamLoad
}

// Summary is the load of one member. It lists only pools with load.
type Summary struct {
	Member fleet.MemberID
	Zone   fleet.ZoneID
	Stamp  Stamp
	// Assignment is the version that the member routes by in its own zone. It held it before it
	// counted Targets, so that a request that was routed by an older version is counted.
	Assignment fleet.Version
	Age        clock.Millis // since the member made it, without the time in transit
	Pools      map[fleet.PoolID]PoolLoad
	Targets    map[fleet.InstanceID]int // requests in flight on each target that has any
}

const (
	defaultSilence clock.Millis = 3000
	// stampLife is the time for which the stamp of a dropped summary is remembered, so that a
	// peer that lags does not bring the summary back.
	stampLife clock.Millis = 60_000
)

// Loads holds the latest load summary of each member. It is not safe for concurrent use.
type Loads struct {
	Silence clock.Millis // without news after which a member's summary is dropped; 0 means 3000

	held map[fleet.MemberID]heldLoad
}

type heldLoad struct {
	summary Summary
	at      clock.Millis
}

// Put stores s if it is newer than what is known of its member, and reports whether it did.
func (l *Loads) Put(s Summary, now clock.Millis) bool {
	if old, ok := l.held[s.Member]; ok && !s.Stamp.Newer(old.summary.Stamp) {
		return false
	} else if !ok && len(l.held) >= maxIDs {
		return false
	}
	if l.held == nil {
		l.held = map[fleet.MemberID]heldLoad{}
	}
	l.held[s.Member] = heldLoad{summary: s, at: now}
	return true
}

// Expire drops the summaries of members without news.
func (l *Loads) Expire(now clock.Millis) {
	for id, h := range l.held {
		switch {
		case now-h.at > stampLife:
			delete(l.held, id)
		case now-h.at > l.silence():
			h.summary.Pools = nil
			l.held[id] = h
		}
	}
}

func (l *Loads) silence() clock.Millis {
	if l.Silence > 0 {
		return l.Silence
	}
	return defaultSilence
}

// Stamps returns the stamp of each known summary.
func (l *Loads) Stamps() map[fleet.MemberID]Stamp {
	out := make(map[fleet.MemberID]Stamp, len(l.held))
	for id, h := range l.held {
		out[id] = h.summary.Stamp
	}
	return out
}

// Get returns the summary of a member with its age.
func (l *Loads) Get(id fleet.MemberID, now clock.Millis) (Summary, bool) {
	h, ok := l.held[id]
	if !ok || now-h.at > l.silence() {
		return Summary{}, false
	}
	s := h.summary
	s.Age += now - h.at
	return s, true
}

// Live returns the summaries of all members with news.
func (l *Loads) Live(now clock.Millis) []Summary {
	var out []Summary
	for id := range l.held {
		if s, ok := l.Get(id, now); ok {
			s.Pools = maps.Clone(s.Pools)
			out = append(out, s)
		}
	}
	return out
}
