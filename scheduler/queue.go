package scheduler

import (
	"slices"
)

type (
	// class holds the waiting tasks of one team, one pool and one Class. Its
	// queues are served in turn.
	class struct {
		queues []*queue
		next   int // index of the queue to try first
	}

	// queue is a doubly linked list of waiting tasks in order of arrival.
	queue struct {
		name       string
		class      *class
		head, tail *node
		bypassed   int // number of tasks that started while the head did not fit
	}

	// node is one waiting task.
	node struct {
		item       Item
		queue      *queue // the queue that contains the node
		prev, next *node
		dropped    bool // no longer waiting, but still in the deadlineHeap
		atHead     bool // to be inserted at the head of the queue rather than at its end
	}
)

func (c *class) push(n *node) {
	i := slices.IndexFunc(c.queues, func(q *queue) bool { return q.name == n.item.Task.Queue })
	if i < 0 {
		i = len(c.queues)
		c.queues = append(c.queues, &queue{name: n.item.Task.Queue, class: c})
	}
	c.queues[i].push(n)
}

func (c *class) hasWaiting() bool {
	return len(c.queues) > 0
}

// candidate returns the first task that fits into freeSlots, beginning with the
// queue whose turn it is.
func (c *class) candidate(pq *poolQueue, freeSlots int) *node {
	for i := range c.queues {
		q := c.queues[(c.next+i)%len(c.queues)]
		if n := q.candidate(pq, freeSlots); n != nil {
			return n
		}
	}
	return nil
}

// advanceTurn gives the next turn to the queue after q, from which a task has
// been removed, and deletes q if it is empty.
func (c *class) advanceTurn(q *queue) {
	i := slices.Index(c.queues, q)
	if q.head != nil {
		c.next = (i + 1) % len(c.queues)
		return
	}
	c.queues = slices.Delete(c.queues, i, i+1)
	c.next = i
	if i >= len(c.queues) {
		c.next = 0
	}
}

func (q *queue) push(n *node) {
	if n.atHead && q.head != nil {
		q.pushFront(n)
		return
	}
	n.queue, n.prev = q, q.tail
	if q.tail == nil {
		q.head = n
	} else {
		q.tail.next = n
	}
	q.tail = n
}

func (q *queue) pushFront(n *node) {
	n.queue, n.next = q, q.head
	q.head.prev = n
	q.head = n
	q.bypassed = 0
}

// candidate returns the head if it fits into freeSlots. Otherwise it returns
// the first of the next maxLookAhead tasks that fits, unless the head has
// already been bypassed maxBypass times.
func (q *queue) candidate(pq *poolQueue, freeSlots int) *node {
	if q.head.item.Task.Slots <= freeSlots {
		return q.head
	}
	pq.skipped = append(pq.skipped, q)
	if q.bypassed >= maxBypass {
		return nil
	}
	n := q.head.next
	for i := 0; i < maxLookAhead && n != nil; i++ {
		if n.item.Task.Slots <= freeSlots {
			return n
		}
		n = n.next
	}
	return nil
}

func (q *queue) remove(n *node) {
	if n == q.head {
		q.head = n.next
		q.bypassed = 0
	} else {
		n.prev.next = n.next
	}
	if n == q.tail {
		q.tail = n.prev
	} else {
		n.next.prev = n.prev
	}
	n.prev, n.next = nil, nil
	n.queue.class.advanceTurn(q)
}
