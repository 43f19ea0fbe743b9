// Package pool decides which pool each instance serves and when it is maintained, and carries
// the decisions out for one zone while this process holds the zone's lease.
package pool
