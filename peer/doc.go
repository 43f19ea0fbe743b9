// Package peer synchronizes the members of a fleet, which are the entry instances registered in
// the table service. Each member exchanges its configuration, the assignments of instances to
// pools, and load summaries with the other members, its peers, and determines how recently its
// configuration was confirmed to be the newest.
//
// [Vector], [Schedule], [Loads] and [Freshness] hold state and make decisions without I/O.
// [Follower] reads the configuration log in the table service, [Syncer] exchanges state vectors
// with the peers, and [Server] and [Client] transport the messages over HTTP.
package peer
