// Package hosted assembles the process that runs on the users' platform. A deployment has
// several such processes, called members. Every member accepts calls from callers. Each pool of
// workers has one owner among the members, and the other members forward calls on the pool to
// that owner. All durable state is in the platform's row store, so that any member can take over
// a pool when its owner stops or fails. One member is also the fleet leader, which gives orders
// to machines and divides the teams' limits over the pools.
package hosted
