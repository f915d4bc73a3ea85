package limiter

type (
	// queue is a list of owners in the order in which they were added.
	queue[T any] struct {
		first, last *place[T]
	}

	// place is the place of an owner in a queue.
	place[T any] struct {
		prev, next *place[T]
		owner      T
		queued     bool
	}
)

// push adds p at the end of the queue. It moves a place that is in the queue.
func (q *queue[T]) push(p *place[T]) {
	q.remove(p)
	p.prev, p.queued = q.last, true
	if q.last == nil {
		q.first = p
	} else {
		q.last.next = p
	}
	q.last = p
}

// remove removes p. It does nothing if p is not in the queue.
func (q *queue[T]) remove(p *place[T]) {
	if !p.queued {
		return
	}
	if p.prev == nil {
		q.first = p.next
	} else {
		p.prev.next = p.next
	}
	if p.next == nil {
		q.last = p.prev
	} else {
		p.next.prev = p.prev
	}
	p.prev, p.next, p.queued = nil, nil, false
}
