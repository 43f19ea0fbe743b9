// Package schedule decides for one pool which task starts on which worker, which is stopped,
// and what a job's state is. It is a set of plain structs that take the time as an argument and
// do no input or output, so that tests, models and benchmarks drive the code that serves.
//
// A [Pool] is not safe for concurrent use; its owner holds a lock around it.
package schedule
