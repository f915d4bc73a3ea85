package emulator

import (
	"context"
	"sync"
	"time"
)

// signal wakes all who wait for it. The mutex of its owner guards it.
type signal struct {
	given chan struct{}
}

func newSignal() signal {
	return signal{given: make(chan struct{})}
}

func (s *signal) give() {
	close(s.given)
	s.given = make(chan struct{})
}

// wait releases mu until the signal is given or ctx ends, and reports whether
// ctx lives on.
func (s *signal) wait(ctx context.Context, mu *sync.Mutex) bool {
	given := s.given
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
