// Package entry implements the process that runs on each entry instance, a machine that receives
// the requests of callers and forwards them to targets. It connects the packages that accept
// requests, forward them to targets, follow the configuration, exchange state with the other
// members and control the pools of a zone.
//
// The process runs on a platform that provides a table service, an object store and a list of
// instances, which package rowstore calls. Through the table service the members agree on:
//
//   - assignments: the pool of each instance of a zone. The member that holds the lease of the
//     zone plans them.
//   - portions: each team's limit of running requests is divided into one portion for each member,
//     within which the member starts requests without calling the table service.
//   - claims: a request that is not idempotent is recorded before it is sent, so that it runs at
//     most once.
//
// Comments refer to the invariants I1 to I11, which docs/PROOFS.md lists.
package entry
