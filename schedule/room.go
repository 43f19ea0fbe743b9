package schedule

import (
	"cmp"
	"slices"
)

// rooms keeps the workers of a pool in the order of their free processor time, then of their
// ids. A task finds the fullest worker that has room for it without a look at the fuller ones,
// and a pool that is full answers without a look at any.
type rooms []*worker

func compareRoom(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.room, b.room), cmp.Compare(a.ID, b.ID))
}

// from returns the workers that have at least cpu free, the fullest first.
func (r rooms) from(cpu int64) rooms {
	i, _ := slices.BinarySearchFunc(r, cpu, func(w *worker, cpu int64) int {
		if w.room < cpu {
			return -1
		}
		return 1
	})
	return r[i:]
}

func (r *rooms) add(w *worker) {
	w.room = w.free().CPU
	i, _ := slices.BinarySearchFunc(*r, w, compareRoom)
	*r = slices.Insert(*r, i, w)
}

// remove reports whether the worker was there.
func (r *rooms) remove(w *worker) bool {
	i, found := slices.BinarySearchFunc(*r, w, compareRoom)
	if found {
		*r = slices.Delete(*r, i, i+1)
	}
	return found
}

// update moves a worker whose free processor time may have changed. One that was removed stays
// out, although what ran on it is released later.
func (r *rooms) update(w *worker) {
	if w.room != w.free().CPU && r.remove(w) {
		r.add(w)
	}
}
