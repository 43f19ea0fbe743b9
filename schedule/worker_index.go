package schedule

import (
	"cmp"
	"math"
	"slices"
)

// workerIndex holds the workers of a pool sorted by free CPU, then by id. A search for the
// fullest worker that a task fits on skips the workers with less free CPU, and a search in a
// full pool examines no worker.
type workerIndex []*worker

// compareFreeCPU orders workers by indexed free CPU, then by id.
func compareFreeCPU(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.indexedFreeCPU, b.indexedFreeCPU), cmp.Compare(a.ID, b.ID))
}

// withFreeCPU returns the workers that have at least cpu millicores free, the fullest first.
func (x workerIndex) withFreeCPU(cpu int64) workerIndex {
	i, _ := slices.BinarySearchFunc(x, cpu, func(w *worker, cpu int64) int {
		if w.indexedFreeCPU < cpu {
			return -1
		}
		return 1
	})
	return x[i:]
}

// indexableCPU returns the free CPU by which the worker is sorted. Workers of evacuated zones take
// nothing, and have the most free CPU once they are empty, so that each search would examine them.
func (w *worker) indexableCPU() int64 {
	if w.evacuated {
		return math.MinInt64
	}
	return w.free().CPU
}

// add inserts a worker by its current free CPU.
func (x *workerIndex) add(w *worker) {
	w.indexedFreeCPU = w.indexableCPU()
	i, _ := slices.BinarySearchFunc(*x, w, compareFreeCPU)
	*x = slices.Insert(*x, i, w)
}

// remove deletes a worker and reports whether it was in the index.
func (x *workerIndex) remove(w *worker) bool {
	i, found := slices.BinarySearchFunc(*x, w, compareFreeCPU)
	if found {
		*x = slices.Delete(*x, i, i+1)
	}
	return found
}

// update moves a worker whose free CPU may have changed. A worker that was removed from the
// index is not added again, although its tasks are released later.
func (x *workerIndex) update(w *worker) {
	if w.indexedFreeCPU != w.indexableCPU() && x.remove(w) {
		x.add(w)
	}
}
