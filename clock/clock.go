// Package clock provides times in milliseconds and measures elapsed time so that leases stay
// safe for their holders and for other observers when the time of day jumps or a process is paused.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a time or a duration in milliseconds.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// MillisOf returns d in whole milliseconds, truncated toward zero.
func MillisOf(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock reads three clocks of the system, or test functions in their place. No lease, timeout or age
// depends on the wall clock, which may be set forward or back at any time. The zero value reads the
// system clocks.
type Clock struct {
	NowFunc  func() Millis // returns the monotonic time; nil reads the system clock
	BootFunc func() Millis // returns the time that counts suspensions; nil reads the system clock, or NowFunc if that is set
	WallFunc func() Millis // returns the time since the Unix epoch; nil reads the system clock
}

// processStart is the origin of the monotonic time of the system clock.
var processStart = time.Now()

// Now returns the monotonic time in milliseconds. Its origin is arbitrary. It stands still while the
// machine is suspended.
func (c Clock) Now() Millis {
	if c.NowFunc != nil {
		return c.NowFunc()
	}
	return MillisOf(time.Since(processStart))
}

// Boot returns the time in milliseconds since an arbitrary origin. Unlike Now, it counts the time in
// which the machine is suspended.
func (c Clock) Boot() Millis {
	if c.BootFunc != nil {
		return c.BootFunc()
	}
	var t unix.Timespec
	if c.NowFunc != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return c.Now()
	}
	return MillisOf(time.Duration(t.Nano()))
}

// Wall returns the time since the Unix epoch in milliseconds.
func (c Clock) Wall() Millis {
	if c.WallFunc != nil {
		return c.WallFunc()
	}
	return Millis(time.Now().UnixMilli())
}

// Mark is one instant as read on all clocks. Its wall time is for records that outlive the process.
type Mark struct {
	Now  Millis
	Boot Millis
	Wall Millis
}

// Before returns the instant that is d earlier.
func (m Mark) Before(d Millis) Mark { return Mark{Now: m.Now - d, Boot: m.Boot - d, Wall: m.Wall - d} }

// Mark returns the current readings of all clocks.
func (c Clock) Mark() Mark { return Mark{Now: c.Now(), Boot: c.Boot(), Wall: c.Wall()} }

// MaxElapsed returns the time since the given mark with suspensions of the machine, in
// milliseconds. A lease holder uses it, so that its lease also expires during a pause that the
// monotonic clock does not count.
func (c Clock) MaxElapsed(since Mark) Millis { return max(c.Now()-since.Now, c.Boot()-since.Boot) }

// MinElapsed returns the time since the given mark without suspensions of the machine, in
// milliseconds. A process that waits for the lease of another holder to expire uses it, since it
// does not notice a renewal while it is suspended.
func (c Clock) MinElapsed(since Mark) Millis { return min(c.Now()-since.Now, c.Boot()-since.Boot) }
