// Package clock provides time in milliseconds and elapsed times that stay safe for lease
// holders and lease observers when clocks jump or a process is paused.
package clock

import "time"

// Millis is a time or a duration in milliseconds.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Of returns d in milliseconds, rounded down.
func Of(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock reads a monotonic and a wall clock. The zero value reads the system clocks.
type Clock struct {
	NowFunc  func() Millis // monotonic; nil reads the system clock
	WallFunc func() Millis // since the Unix epoch; nil reads the system clock
}

var start = time.Now()

// Now returns the monotonic time.
func (c Clock) Now() Millis {
	if c.NowFunc != nil {
		return c.NowFunc()
	}
	return Of(time.Since(start))
}

// Wall returns the time since the Unix epoch.
func (c Clock) Wall() Millis {
	if c.WallFunc != nil {
		return c.WallFunc()
	}
	return Millis(time.Now().UnixMilli())
}

// Mark is an instant read on both clocks.
type Mark struct {
	Now  Millis
	Wall Millis
}

// Mark reads both clocks.
func (c Clock) Mark() Mark { return Mark{Now: c.Now(), Wall: c.Wall()} }

// AtLeast returns the larger of the elapsed monotonic and wall times since m. A lease holder
// uses it: a pause that the monotonic clock does not count still ends the lease.
func (c Clock) AtLeast(m Mark) Millis { return max(c.Now()-m.Now, c.Wall()-m.Wall) }

// AtMost returns the smaller of the elapsed monotonic and wall times since m. An observer of
// somebody else's lease uses it: a wall clock that jumps forward does not shorten the wait.
func (c Clock) AtMost(m Mark) Millis { return min(c.Now()-m.Now, c.Wall()-m.Wall) }
