// Package clock provides times in milliseconds and measures elapsed time so that leases stay
// safe for their holders and for other observers when a clock jumps or a process is paused.
package clock

import "time"

// Millis is a time or a duration in milliseconds.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// MillisOf returns d in whole milliseconds, truncated toward zero.
func MillisOf(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock reads a monotonic clock and a wall clock. The zero value reads the system clocks.
type Clock struct {
	NowFunc  func() Millis // returns the monotonic time; nil reads the system clock
	WallFunc func() Millis // returns the time since the Unix epoch; nil reads the system clock
}

// processStart is the origin of the monotonic time of the system clock.
var processStart = time.Now()

// Now returns the monotonic time in milliseconds. Its origin is arbitrary.
func (c Clock) Now() Millis {
	if c.NowFunc != nil {
		return c.NowFunc()
	}
	return MillisOf(time.Since(processStart))
}

// Wall returns the time since the Unix epoch in milliseconds.
func (c Clock) Wall() Millis {
	if c.WallFunc != nil {
		return c.WallFunc()
	}
	return Millis(time.Now().UnixMilli())
}

// Mark is one instant as read on the monotonic clock (Now) and on the wall clock (Wall).
type Mark struct {
	Now  Millis
	Wall Millis
}

// Mark returns the current readings of both clocks.
func (c Clock) Mark() Mark { return Mark{Now: c.Now(), Wall: c.Wall()} }

// MaxElapsed returns the larger of the monotonic and the wall time elapsed since the given mark, in
// milliseconds. A lease holder uses it, so that its lease also expires during a pause that the
// monotonic clock does not count.
func (c Clock) MaxElapsed(since Mark) Millis { return max(c.Now()-since.Now, c.Wall()-since.Wall) }

// MinElapsed returns the smaller of the monotonic and the wall time elapsed since the given mark, in
// milliseconds. A process that waits for the lease of another holder to expire uses it, so that
// a wall clock that jumps forward does not shorten the wait.
func (c Clock) MinElapsed(since Mark) Millis { return min(c.Now()-since.Now, c.Wall()-since.Wall) }
