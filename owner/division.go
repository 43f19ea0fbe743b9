package owner

// The number of workers that one member polls and sends orders to. Under the highest demand a worker
// takes about 15 starts a second, and 1 start with its end takes about 0.3 ms of CPU time there.
const (
	workersPerOwnerCore      = 75  // at an owner, which places the tasks as well
	workersPerDispatcherCore = 125 // at a dispatcher
	minDispatcherWorkers     = 8
	maxDispatcherWorkers     = 64
	// usualDispatcherWorkers is what a dispatcher takes of which only the need is known so far.
	usualDispatcherWorkers = 24
)

// DispatcherCapacity returns the number of workers that a dispatcher may take. cpuCores is its CPU
// in cores, or 0 if that is unknown.
func DispatcherCapacity(cpuCores float64) int {
	if cpuCores == 0 {
		return maxDispatcherWorkers
	}
	return min(maxDispatcherWorkers, max(minDispatcherWorkers, int(cpuCores*workersPerDispatcherCore)))
}

// Divides reports whether an owner passes its workers to dispatchers. It begins to when it has more
// workers than it can serve itself, and stops at half of them, because a pool that grows and shrinks
// around one number would give each worker new connections again and again. cpuCores is the owner's
// CPU in cores, or 0 if that is unknown; such an owner serves all workers itself.
func Divides(workers int, cpuCores float64, divided bool) bool {
	limit := cpuCores * workersPerOwnerCore
	if cpuCores == 0 {
		return false
	}
	if divided {
		limit /= 2
	}
	return float64(workers) > limit
}

// DispatchersWanted returns how many more dispatchers the owner of a divided pool needs, if those
// that it has can take capacity workers.
func DispatchersWanted(workers, capacity int) int {
	return max(0, (workers-capacity+usualDispatcherWorkers-1)/usualDispatcherWorkers)
}
