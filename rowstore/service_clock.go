package rowstore

import (
	"sync"

	"citronknot/clock"
)

// ServiceClock estimates the table service's steady clock from the times in its responses. Members compare times
// on that clock, so that they learn how old a row is although they could not read it for a while. The clock
// must never be set back or forward; its rate may differ from the local one by serviceClockDrift.
//
// It is safe for concurrent use.
type ServiceClock struct {
	Clock clock.Clock

	mu       sync.Mutex
	known    bool
	time     clock.Millis // in the response with the closest bounds
	sent     clock.Mark   // just before its request was sent
	received clock.Mark   // when it arrived
}

// serviceClockDrift is the part of the elapsed time by which the bounds are extended, one in so many.
const serviceClockDrift = 40

// Observe records the time in a response that has just arrived. The request was sent at the given mark. A time
// of 0 is ignored.
func (s *ServiceClock) Observe(time clock.Millis, sent clock.Mark) {
	if time <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	received := s.Clock.Mark()
	if s.known {
		earliest, latest := s.bounds()
		inside := time <= latest && time+s.Clock.MaxElapsed(sent) >= earliest
		if inside && s.Clock.MaxElapsed(sent) > latest-earliest {
			return // it was on its way for longer than the bounds are apart
		}
	}
	s.known, s.time, s.sent, s.received = true, time, sent, received
}

// Bounds returns the earliest and the latest time that the service's clock may show now. ok is false if no
// response had a time.
func (s *ServiceClock) Bounds() (earliest, latest clock.Millis, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		return 0, 0, false
	}
	earliest, latest = s.bounds()
	return earliest, latest, true
}

func (s *ServiceClock) bounds() (earliest, latest clock.Millis) {
	since, sinceSent := s.Clock.MinElapsed(s.received), s.Clock.MaxElapsed(s.sent)
	const rounding clock.Millis = 1
	return s.time + since - since/serviceClockDrift - rounding, s.time + sinceSent + sinceSent/serviceClockDrift + rounding
}
