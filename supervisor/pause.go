package supervisor

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends, whose error it returns then.
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
