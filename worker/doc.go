// Package worker talks to the workers of a pool. A [Session] polls one worker, which renews the
// lease of its runs and reads their state, sends it orders, and computes when the lease of a
// worker that does not respond has expired, so that nothing runs there any more. Calls carry the
// fence of the pool's owner lease: a worker refuses a fence lower than the highest that it has
// accepted, which keeps a former owner from giving orders.
package worker
