package caller

// indexedHeap is a binary heap whose items store their position, so that any item can be removed
// in O(log n).
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int // where an item stores its position plus one; 0 means not in the heap
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

func (h *indexedHeap[T]) push(x T) {
	h.items = append(h.items, x)
	*h.index(x) = len(h.items)
	h.up(len(h.items) - 1)
}

// remove removes x and reports whether it was in the heap.
func (h *indexedHeap[T]) remove(x T) bool {
	at := *h.index(x) - 1
	if at < 0 {
		return false
	}
	last := len(h.items) - 1
	h.swap(at, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(x) = 0
	if at < last {
		h.fixAt(at)
	}
	return true
}

// fix restores the heap order after the sort key of x changed. It does nothing if x is not in the
// heap.
func (h *indexedHeap[T]) fix(x T) {
	if at := *h.index(x) - 1; at >= 0 {
		h.fixAt(at)
	}
}

// rebuild restores the heap order after any number of sort keys changed.
func (h *indexedHeap[T]) rebuild() {
	for i := len(h.items)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *indexedHeap[T]) fixAt(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i + 1
	*h.index(h.items[j]) = j + 1
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) bool {
	moved := false
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return moved
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return moved
		}
		h.swap(i, child)
		i = child
		moved = true
	}
}
