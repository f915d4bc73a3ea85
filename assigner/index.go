package assigner

import (
	"cmp"
	"slices"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// Index finds the worker that ChooseWorker chooses for a request with resources
	// only, without looking at all workers. Its zero value is empty.
	Index struct {
		classes []indexClass // sorted by capacity
	}

	// indexClass contains the workers with the same CPU capacity, in the order in which
	// ChooseWorker prefers them.
	indexClass struct {
		capacity int64 // thousandths of a core
		entries  []indexEntry
	}

	// indexEntry is a worker and its free CPU when it was put into the index.
	indexEntry struct {
		free int64
		w    *Worker
	}
)

// Put adds a worker, or updates it after a change.
func (x *Index) Put(w *Worker) {
	entry := indexEntry{w.Free.CPU, w}
	if w.Capacity.CPU <= 0 {
		entry.free = 0 // all such workers cost the same, see freeCPUShare
	}
	if w.indexed && w.indexedCapacity == w.Capacity.CPU && w.indexedFree == entry.free {
		return
	}
	x.Remove(w)
	i, ok := x.findClass(w.Capacity.CPU)
	if !ok {
		x.classes = slices.Insert(x.classes, i, indexClass{capacity: w.Capacity.CPU})
	}
	c := &x.classes[i]
	at, _ := slices.BinarySearchFunc(c.entries, entry, compareEntries)
	c.entries = slices.Insert(c.entries, at, entry)
	w.indexed, w.indexedCapacity, w.indexedFree = true, w.Capacity.CPU, entry.free
}

// Remove removes a worker if it is in the index.
func (x *Index) Remove(w *Worker) {
	if !w.indexed {
		return
	}
	w.indexed = false
	i, _ := x.findClass(w.indexedCapacity)
	c := &x.classes[i]
	if at, ok := slices.BinarySearchFunc(c.entries, indexEntry{w.indexedFree, w}, compareEntries); ok {
		c.entries = slices.Delete(c.entries, at, at+1)
	}
	if len(c.entries) == 0 {
		x.classes = slices.Delete(x.classes, i, i+1)
	}
}

// Choose returns the best worker for a task with these needs, or nil if none has room.
func (x *Index) Choose(need modeler.Resources) *Worker {
	var best *Worker
	bestCost := 0.0
	for i := range x.classes {
		w := x.classes[i].first(need)
		if w == nil {
			continue
		}
		cost := freeCPUShare(w.Free, w.Capacity)
		if best == nil || cost < bestCost || cost == bestCost && w.Name < best.Name {
			best, bestCost = w, cost
		}
	}
	return best
}

// first returns the first worker that has room, or nil if none has.
func (c *indexClass) first(need modeler.Resources) *Worker {
	at := 0
	if c.capacity > 0 {
		at, _ = slices.BinarySearchFunc(c.entries, need.CPU, func(e indexEntry, cpu int64) int { return cmp.Compare(e.free, cpu) })
	}
	for _, e := range c.entries[at:] {
		if need.Fits(e.w.Free) {
			return e.w
		}
	}
	return nil
}

func (x *Index) findClass(capacity int64) (int, bool) {
	return slices.BinarySearchFunc(x.classes, capacity, func(c indexClass, capacity int64) int { return cmp.Compare(c.capacity, capacity) })
}

func compareEntries(a, b indexEntry) int {
	return cmp.Or(cmp.Compare(a.free, b.free), cmp.Compare(a.w.Name, b.w.Name))
}
