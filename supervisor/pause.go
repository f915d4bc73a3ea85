package supervisor

import (
	"context"
	"time"
)

// Pause waits for the duration d and returns nil. When ctx ends first, it returns
// the error of ctx at once.
func Pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
