package fleet

import "sync/atomic"

// Current holds the newest configuration known to a process. The zero value holds an empty
// configuration of version 0.
type Current struct {
	config atomic.Pointer[Config]
}

var empty = &Config{}

// Load returns the newest configuration.
func (c *Current) Load() *Config {
	if p := c.config.Load(); p != nil {
		return p
	}
	return empty
}

// Advance publishes next if it is newer than what is held and reports whether it did. It is
// the one place that enforces that a configuration never reverts.
func (c *Current) Advance(next *Config) bool {
	for {
		old := c.config.Load()
		if next.Version == 0 || old != nil && next.Version <= old.Version {
			return false
		}
		if c.config.CompareAndSwap(old, next) {
			return true
		}
	}
}
