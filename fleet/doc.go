// Package fleet defines the ids, units and configuration of a fleet: pools of instances,
// queues that feed them, and teams with keys, shares and limits. It also defines the
// assignment of instances to pools.
//
// The package does no input or output. A [Config] is immutable once published. [Config.Merge]
// applies a [ReleaseNote] to one version and returns the next; [Current] and [Assignments]
// hold the newest versions for concurrent readers.
package fleet
