package supervisor

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue between two duties. What happens to a message that
// finds it full is the choice of the sender: Offer refuses, Put waits.
type Ring[T any] struct {
	c    chan T
	full atomic.Uint64
}

// NewRing returns a ring with room for n messages.
func NewRing[T any](n int) *Ring[T] {
	return &Ring[T]{c: make(chan T, n)}
}

// Offer adds v if there is room and says whether it did. A refusal is counted.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		r.full.Add(1)
		return false
	}
}

// Put adds v, waiting for room until ctx ends. A wait is counted.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.c <- v:
		return nil
	default:
		r.full.Add(1)
	}
	select {
	case r.c <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the receiving side.
func (r *Ring[T]) C() <-chan T {
	return r.c
}

// In returns the sending side for a sender that waits on other channels too.
// Waits there are not counted.
func (r *Ring[T]) In() chan<- T {
	return r.c
}

// Full returns how often a message found the ring full.
func (r *Ring[T]) Full() uint64 {
	return r.full.Load()
}
