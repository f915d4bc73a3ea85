package router

import (
	"context"
	"sync"
)

// inFlightTasks counts the tasks under way, until it is closed to new ones.
type inFlightTasks struct {
	mu     sync.Mutex
	count  int
	closed bool
	idle   chan struct{} // closed when no task is under way; nil while nobody waits
}

// begin counts a task. It reports false when no more are taken.
func (f *inFlightTasks) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.count++
	return true
}

// end counts the end of a task.
func (f *inFlightTasks) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// close takes no more tasks.
func (f *inFlightTasks) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

// wait returns when no task is under way, or when ctx ends.
func (f *inFlightTasks) wait(ctx context.Context) error {
	f.mu.Lock()
	if f.count == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
