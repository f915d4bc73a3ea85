package emulator

import (
	"context"
	"sync"
	"time"
)

// condition wakes all goroutines that wait for it. The mutex of the struct that
// holds it guards it.
type condition struct {
	ch chan struct{}
}

func newCondition() condition {
	return condition{ch: make(chan struct{})}
}

// broadcast wakes all goroutines that wait.
func (s *condition) broadcast() {
	close(s.ch)
	s.ch = make(chan struct{})
}

// wait releases mu until the next broadcast or the end of ctx. It reports whether
// ctx is still active.
func (s *condition) wait(ctx context.Context, mu *sync.Mutex) bool {
	given := s.ch
	mu.Unlock()
	defer mu.Lock()
	select {
	case <-given:
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
