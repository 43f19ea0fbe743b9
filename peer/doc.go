// Package peer speaks to the other entry instances: it keeps configuration, assignments and
// load summaries in step, and knows how recently the configuration was confirmed.
//
// [Vector], [Schedule], [Loads] and [Freshness] are the decisions, without I/O. [Follower]
// reads the table service, [Syncer] exchanges vectors with the other members, and [Server] and
// [Client] carry the messages.
package peer
