package fleet

import "sync/atomic"

// Current holds the newest configuration that a process has received. The zero value holds an
// empty configuration of version 0. It is safe for concurrent use.
type Current struct {
	config atomic.Pointer[Config]
}

var emptyConfig = &Config{}

// Load returns the newest configuration. It never returns nil.
func (c *Current) Load() *Config {
	if p := c.config.Load(); p != nil {
		return p
	}
	return emptyConfig
}

// Advance publishes next if it is newer than the current configuration, and reports whether it
// did. Version 0 is never published. Only Advance enforces that the configuration never goes
// back to an older version.
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
