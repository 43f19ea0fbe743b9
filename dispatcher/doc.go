// Package dispatcher spreads the worker calls of a pool's owner over other members.
//
// A dispatcher polls the workers that the owner assigns to it and sends them the owner's orders,
// under the fence of the owner lease. It decides nothing: the owner places tasks and records what
// the workers report. A dispatcher asks the owner for batches of assignments and orders, and each
// response grants it the right to call workers for [GrantLength], counted from when the request was
// sent. The owner gives a worker to another member only after the dispatcher has confirmed that it
// has stopped, or when its last grant has certainly expired.
package dispatcher
