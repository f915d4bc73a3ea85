package acceptor

import (
	"sync"
	"time"
)

// rateLimit allows a number of operations in each period.
type rateLimit struct {
	limit  int
	period time.Duration

	mu    sync.Mutex
	began time.Time // of the present period
	used  int
}

// allow reports whether one more operation is allowed at now.
func (l *rateLimit) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since := now.Sub(l.began); since < 0 || since >= l.period { // the clock may have been set back
		l.began, l.used = now, 0
	}
	l.used++
	return l.used <= l.limit
}
