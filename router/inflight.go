package router

import (
	"context"
	"sync"
)

// inflight counts the tasks under way, until it is closed to new ones.
type inflight struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{} // closed when no task is under way; nil while nobody waits
}

// begin counts a task. It reports false when no more are taken.
func (f *inflight) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.n++
	return true
}

// end counts the end of a task.
func (f *inflight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// close takes no more tasks.
func (f *inflight) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

// wait returns when no task is under way, or when ctx ends.
func (f *inflight) wait(ctx context.Context) error {
	f.mu.Lock()
	if f.n == 0 {
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
