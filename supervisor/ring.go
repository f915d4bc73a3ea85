package supervisor

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in, first-out queue in memory for messages between
// goroutines. It overwrites nothing: while it is full, Offer rejects the message
// and Put waits for space. The ring of stored decisions is recorder.Ring.
type Ring[T any] struct {
	messages  chan T
	fullCount atomic.Uint64
}

// NewRing returns a ring that holds up to capacity messages.
func NewRing[T any](capacity int) *Ring[T] {
	return &Ring[T]{messages: make(chan T, capacity)}
}

// Offer adds v if the ring is not full and reports whether it did. FullCount
// counts each rejected message.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.messages <- v:
		return true
	default:
		r.fullCount.Add(1)
		return false
	}
}

// Put adds v, and waits for space while the ring is full. If ctx ends first, it
// returns the error of ctx. FullCount counts each call that had to wait.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.messages <- v:
		return nil
	default:
		r.fullCount.Add(1)
	}
	select {
	case r.messages <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ReceiveChan returns the channel that messages are received from.
func (r *Ring[T]) ReceiveChan() <-chan T {
	return r.messages
}

// SendChan returns the channel that messages are sent to, for senders that wait
// on other channels at the same time. FullCount does not include their waits.
func (r *Ring[T]) SendChan() chan<- T {
	return r.messages
}

// FullCount returns the number of Offer and Put calls that found the ring full.
func (r *Ring[T]) FullCount() uint64 {
	return r.fullCount.Load()
}
