// Package hosted assembles the process that runs on the users' platform. Every member serves
// callers; each pool has one owner among the members, to which the others pass its calls.
// What has to last is in the platform's store, so that any member can take a pool over.
package hosted
