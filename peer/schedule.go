package peer

import (
	"maps"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// Period is the time in which a member sends its vector to Fanout random peers.
	Period clock.Millis = 1000
	// Fanout is the number of peers that get the vector in each period.
	Fanout = 3
	// EventFanout is the number of peers that get the vector at once on a change. Each receiver
	// passes the change on, so that 6 peers a hop reach 150 members in 3 hops and miss one
	// member in about 400, which the next periodic exchange or poll covers.
	EventFanout = 6
)

// Schedule decides which peers get the vector and when. It holds what each peer's last vector
// said. It is not safe for concurrent use.
type Schedule struct {
	seen map[fleet.MemberID]sighting
}

type sighting struct {
	vector Vector
	at     clock.Millis
}

// Saw records that a peer holds v at time now.
func (s *Schedule) Saw(peer fleet.MemberID, v Vector, now clock.Millis) {
	if s.seen == nil {
		s.seen = map[fleet.MemberID]sighting{}
	}
	v.Zones, v.Loads = maps.Clone(v.Zones), maps.Clone(v.Loads)
	s.seen[peer] = sighting{vector: v, at: now}
}

// OnChange returns the peers that get the vector own at once, at most [EventFanout]. A peer
// that was seen with the change is left out.
func (s *Schedule) OnChange(own Vector, peers []fleet.MemberID, intn func(int) int) []fleet.MemberID {
	return pick(peers, EventFanout, intn, func(id fleet.MemberID) bool {
		last, ok := s.seen[id]
		return !ok || !last.vector.Covers(own)
	})
}

// OnTick returns the n random peers that get the vector own in a periodic exchange. A peer
// that was seen with an equal vector within the last period is left out, unless the exchange
// has to confirm the configuration.
func (s *Schedule) OnTick(now clock.Millis, n int, own Vector, confirm bool, peers []fleet.MemberID, intn func(int) int) []fleet.MemberID {
	return pick(peers, n, intn, func(id fleet.MemberID) bool {
		last, ok := s.seen[id]
		return confirm || !ok || now-last.at >= Period || last.vector.Partial || !last.vector.Equal(own)
	})
}

// Keep forgets the peers that are not listed.
func (s *Schedule) Keep(peers []fleet.MemberID) {
	listed := make(map[fleet.MemberID]bool, len(peers))
	for _, id := range peers {
		listed[id] = true
	}
	maps.DeleteFunc(s.seen, func(id fleet.MemberID, _ sighting) bool { return !listed[id] })
}

// pick returns up to n random elements of peers that are wanted.
func pick(peers []fleet.MemberID, n int, intn func(int) int, wanted func(fleet.MemberID) bool) []fleet.MemberID {
	var out []fleet.MemberID
	for _, id := range peers {
		if wanted(id) {
			out = append(out, id)
		}
	}
	n = min(n, len(out))
	for i := range n {
		j := i + intn(len(out)-i)
		out[i], out[j] = out[j], out[i]
	}
	return out[:n]
}
