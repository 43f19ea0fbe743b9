// Package schedule is the scheduler of one worker pool. It decides which task starts on which
// worker, which task is stopped, and what the state of each job is. It consists of plain
// structs that take the time as an argument and do no input or output, so that tests, models
// and benchmarks run the same code as the server.
//
// A job consists of steps and a step of tasks; see package job. Each start of a task on a worker is
// a run, which has a number. The owner of the pool, a process that holds a lease on it, sends the
// orders that the pool returns, and polls the workers. The next owner adopts the runs that the
// workers still report.
//
// A [Pool] is not safe for concurrent use; its owner holds a lock around it.
package schedule
