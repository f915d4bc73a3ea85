package scheduler

import (
	"container/heap"
	"time"
)

type (
	// teamHeap is a binary heap of teams ordered by pass (see poolQueue), ties
	// by name. It does not use container/heap, which would allocate memory on
	// each pop.
	teamHeap []*teamQueue

	// deadlineHeap orders waiting tasks by deadline. Removed tasks are only
	// marked as dropped, so that removal takes constant time. They leave the
	// heap when they reach its top or when more than half of its tasks are
	// dropped.
	deadlineHeap struct {
		nodes        deadlineNodes
		droppedCount int // dropped tasks that are still in nodes
	}

	deadlineNodes []*node
)

// minDroppedToCompact is the number of dropped tasks up to which the heap is
// not compacted.
const minDroppedToCompact = 64

func (h teamHeap) less(i, j int) bool {
	if h[i].pass != h[j].pass {
		return h[i].pass < h[j].pass
	}
	return h[i].team < h[j].team
}

func (h teamHeap) init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
}

// siftDown restores the heap order below index i.
func (h teamHeap) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}

func (h *teamHeap) pop() *teamQueue {
	old := *h
	first, last := old[0], len(old)-1
	old[0] = old[last]
	*h = old[:last]
	h.siftDown(0)
	return first
}

func (d *deadlineHeap) add(n *node) {
	if !n.item.Task.Deadline.IsZero() {
		heap.Push(&d.nodes, n)
	}
}

// nextExpired returns a task whose deadline is at or before now, or nil when
// there is none. The caller must pass the task to markDropped.
func (d *deadlineHeap) nextExpired(now time.Time) *node {
	for len(d.nodes) > 0 {
		n := d.nodes[0]
		if !n.dropped {
			if n.item.Task.Deadline.After(now) {
				return nil
			}
			return n
		}
		heap.Pop(&d.nodes)
		d.droppedCount--
	}
	return nil
}

func (d *deadlineHeap) markDropped(n *node) {
	n.dropped = true
	if n.item.Task.Deadline.IsZero() {
		return
	}
	d.droppedCount++
	if d.droppedCount > minDroppedToCompact && d.droppedCount > len(d.nodes)/2 {
		d.compact()
	}
}

// compact deletes the dropped tasks from the heap.
func (d *deadlineHeap) compact() {
	kept := d.nodes[:0]
	for _, n := range d.nodes {
		if !n.dropped {
			kept = append(kept, n)
		}
	}
	clear(d.nodes[len(kept):])
	d.nodes = kept
	d.droppedCount = 0
	heap.Init(&d.nodes)
}

// Len implements heap.Interface.
func (d deadlineNodes) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlineNodes) Less(i, j int) bool {
	return d[i].item.Task.Deadline.Before(d[j].item.Task.Deadline)
}

// Swap implements heap.Interface.
func (d deadlineNodes) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlineNodes) Push(x any) { *d = append(*d, x.(*node)) }

// Pop implements heap.Interface.
func (d *deadlineNodes) Pop() any {
	old := *d
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return n
}
