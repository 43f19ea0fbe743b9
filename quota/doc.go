// Package quota divides the resource limit of each team among the pools. The sum of what the
// pools may use never exceeds the limit, even when responses are lost and the owners of pools
// change. The [Ledger] is kept by the fleet leader, the process that manages machines and team
// limits.
package quota
