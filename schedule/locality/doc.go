// Package locality decides whether a task that would start far from its data or from the other tasks
// of its step starts there now or waits for a near place. It is pure: the caller supplies what it
// expects, and asks again in each scheduling pass.
package locality
