package emulator

import (
	"context"
	"sync"
	"time"
)

// condition wakes all goroutines that wait for it. It is guarded by the mutex of
// the struct that contains it.
type condition struct {
	ch chan struct{}
}

func newCondition() condition {
	return condition{ch: make(chan struct{})}
}

// broadcast wakes all goroutines that wait.
func (c *condition) broadcast() {
	close(c.ch)
	c.ch = make(chan struct{})
}

// wait releases mu until the next broadcast or the end of ctx. It reports whether
// ctx is still active.
func (c *condition) wait(ctx context.Context, mu *sync.Mutex) bool {
	current := c.ch
	mu.Unlock()
	defer mu.Lock()
	select {
	case <-current:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// sleep waits for d or the end of ctx. It reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
