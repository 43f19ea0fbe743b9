// Package target communicates with targets: it selects one for a request, forwards the request
// on a connection of its own, checks and passes the response on, and decides what may be tried
// again.
//
// State is kept in shards by target, each under its own lock. Selection reads a view of the pool
// that is rebuilt only when the pool's snapshot changes.
package target
