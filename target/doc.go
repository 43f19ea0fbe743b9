// Package target speaks to targets: it chooses one for a request, sends the request there and
// passes the answer on, and decides what may be tried again.
package target
