// Package machine decides which machines move between pools and which are taken down for
// maintenance, and defines the orders and calls by which the platform's machine service
// carries this out. The decisions are made by [Planner], which does no input or output. It runs
// on the fleet leader, the process that manages machines and team limits.
package machine
