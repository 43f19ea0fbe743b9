// Package target forwards requests to targets, the back ends that run them. It selects a target
// of the request's pool, sends the request on a connection that carries no other request at the
// same time, verifies the response and copies it to the caller, and decides whether a failed
// attempt may be retried.
//
// A target runs a limited number of requests at once, its slots. The slots are divided among
// the members, the processes that forward requests: each member has its own slots of a target
// and may borrow others while the target has free capacity. The members send each other
// summaries of the requests that they have in flight. The guard of a target is its admission
// check: a limiter in front of it that refuses a request when all slots are in use.
//
// The state of each target has its own lock. Selection reads a view of the pool that is rebuilt
// only when the pool's snapshot changes.
//
// The invariants I1 to I11, to which comments refer, are listed in docs/design.md.
package target
