package router

import (
	"context"
	"sync"
)

// inFlightTasks counts the tasks that have begun and not ended. After close, it
// refuses new tasks.
type inFlightTasks struct {
	mu     sync.Mutex
	count  int
	closed bool
	idle   chan struct{} // closed when the count becomes zero; nil while nothing waits for that
}

// beginTask counts a new task. It reports false, and counts none, after close.
func (f *inFlightTasks) beginTask() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.count++
	return true
}

// end removes a task from the count.
func (f *inFlightTasks) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// close makes beginTask refuse new tasks.
func (f *inFlightTasks) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

// wait blocks until no task is in flight or ctx ends.
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
