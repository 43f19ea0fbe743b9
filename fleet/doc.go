// Package fleet defines the ids, units and configuration of a fleet: pools of instances,
// queues that feed them, and teams with keys, shares and limits.
//
// All functions are pure. A [Config] is immutable once published; a [ReleaseNote] turns one
// version into the next through [Config.Merge], and [Current] hands the newest to readers.
package fleet
