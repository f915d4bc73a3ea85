package scheduler

import (
	"container/heap"
	"time"
)

type (
	// lineHeap orders teams by pass, ties by name. Its methods are direct
	// rather than through container/heap, which would allocate on each pop.
	lineHeap []*line

	// dueHeap orders waiting tasks by deadline. Dropped tasks stay until they
	// come up or outnumber the others, so that dropping costs constant time.
	dueHeap struct {
		nodes dueNodes
		dead  int
	}

	dueNodes []*node
)

// compactFrom is the number of dropped tasks below which the heap keeps them.
const compactFrom = 64

func (h lineHeap) less(i, j int) bool {
	if h[i].pass != h[j].pass {
		return h[i].pass < h[j].pass
	}
	return h[i].team < h[j].team
}

func (h lineHeap) init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h lineHeap) down(i int) {
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

func (h *lineHeap) pop() *line {
	old := *h
	first, last := old[0], len(old)-1
	old[0] = old[last]
	*h = old[:last]
	h.down(0)
	return first
}

func (d *dueHeap) add(n *node) {
	if !n.item.Task.Deadline.IsZero() {
		heap.Push(&d.nodes, n)
	}
}

// due returns the next task whose deadline is at or before now, or nil. The
// caller drops it.
func (d *dueHeap) due(now time.Time) *node {
	for len(d.nodes) > 0 {
		n := d.nodes[0]
		if !n.dropped {
			if n.item.Task.Deadline.After(now) {
				return nil
			}
			return n
		}
		heap.Pop(&d.nodes)
		d.dead--
	}
	return nil
}

func (d *dueHeap) drop(n *node) {
	n.dropped = true
	if n.item.Task.Deadline.IsZero() {
		return
	}
	d.dead++
	if d.dead > compactFrom && d.dead > len(d.nodes)/2 {
		d.compact()
	}
}

func (d *dueHeap) compact() {
	kept := d.nodes[:0]
	for _, n := range d.nodes {
		if !n.dropped {
			kept = append(kept, n)
		}
	}
	clear(d.nodes[len(kept):])
	d.nodes = kept
	d.dead = 0
	heap.Init(&d.nodes)
}

// Len implements heap.Interface.
func (d dueNodes) Len() int { return len(d) }

// Less implements heap.Interface.
func (d dueNodes) Less(i, j int) bool {
	return d[i].item.Task.Deadline.Before(d[j].item.Task.Deadline)
}

// Swap implements heap.Interface.
func (d dueNodes) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *dueNodes) Push(x any) { *d = append(*d, x.(*node)) }

// Pop implements heap.Interface.
func (d *dueNodes) Pop() any {
	old := *d
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return n
}
