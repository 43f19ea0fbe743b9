package peer

import (
	"maps"

	"citronknot/clock"
	"citronknot/fleet"
)

const (
	// Period is the time, in milliseconds, in which a member sends its vector to Fanout random
	// peers.
	Period clock.Millis = 1000
	// Fanout is the number of peers that receive the vector in each period.
	Fanout = 3
	// EventFanout is the number of peers that receive the vector immediately after a change.
	// Each receiver forwards the change. With 6 peers a hop it reaches 150 members in 3 hops and
	// misses about one member in 400, which receives it by the next periodic exchange or read of
	// the table service.
	EventFanout = 6
)

// Schedule selects the peers to which the vector is sent. It keeps the last known vector of each
// peer. It is not safe for concurrent use.
type Schedule struct {
	observations map[fleet.MemberID]observation
}

// observation is the last known vector of a peer and the time at which it was received.
type observation struct {
	vector     Vector
	receivedAt clock.Millis
}

// Observe records v as the last known vector of a peer at time now.
func (s *Schedule) Observe(peer fleet.MemberID, v Vector, now clock.Millis) {
	if s.observations == nil {
		s.observations = map[fleet.MemberID]observation{}
	}
	v.Zones, v.Loads = maps.Clone(v.Zones), maps.Clone(v.Loads)
	s.observations[peer] = observation{vector: v, receivedAt: now}
}

// OnChange returns the peers to which the vector own is sent immediately, at most [EventFanout].
// It omits peers whose last known vector includes the change. intn returns a random number below
// its argument.
func (s *Schedule) OnChange(own Vector, peers []fleet.MemberID, intn func(int) int) []fleet.MemberID {
	return pickRandom(peers, EventFanout, intn, func(id fleet.MemberID) bool {
		last, ok := s.observations[id]
		return !ok || !last.vector.Covers(own)
	})
}

// OnTick returns up to n random peers to which the vector own is sent in a periodic exchange. It
// omits peers whose last known vector is complete, equal to own and was received within the last
// period, unless confirmConfig is set because the exchange has to confirm the configuration.
// intn returns a random number below its argument.
func (s *Schedule) OnTick(now clock.Millis, n int, own Vector, confirmConfig bool, peers []fleet.MemberID, intn func(int) int) []fleet.MemberID {
	return pickRandom(peers, n, intn, func(id fleet.MemberID) bool {
		last, ok := s.observations[id]
		return confirmConfig || !ok || now-last.receivedAt >= Period || last.vector.Partial || !last.vector.Equal(own)
	})
}

// Retain removes the records of all peers that are not listed.
func (s *Schedule) Retain(peers []fleet.MemberID) {
	listed := make(map[fleet.MemberID]bool, len(peers))
	for _, id := range peers {
		listed[id] = true
	}
	maps.DeleteFunc(s.observations, func(id fleet.MemberID, _ observation) bool { return !listed[id] })
}

// pickRandom returns up to n random elements of peers that are eligible.
func pickRandom(peers []fleet.MemberID, n int, intn func(int) int, eligible func(fleet.MemberID) bool) []fleet.MemberID {
	var out []fleet.MemberID
	for _, id := range peers {
		if eligible(id) {
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
