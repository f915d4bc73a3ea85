package emulator

import (
	"context"
	"sync"
	"time"
)

// condition wakes all who wait for it. The mutex of its owner guards it.
type condition struct {
	ch chan struct{}
}

func newCondition() condition {
	return condition{ch: make(chan struct{})}
}

func (s *condition) broadcast() {
	close(s.ch)
	s.ch = make(chan struct{})
}

// wait releases mu until the signal is given or ctx ends, and reports whether
// ctx lives on.
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

// sleep waits for d and reports whether ctx lives on.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
