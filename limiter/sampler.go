package limiter

import (
	"sync"
	"time"
)

const sampleInterval = 5 * time.Second // between two log lines on events of one kind

// eventSampler decides which events of one kind are logged, so that a crowd of clients
// does not fill the log.
type eventSampler struct {
	mu     sync.Mutex
	count  int64
	lastAt time.Time
}

// add counts an event. It returns true if it should be logged, with the number of events
// since the last one that was.
func (s *eventSampler) add() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	now := time.Now()
	if now.Sub(s.lastAt) < sampleInterval {
		return 0, false
	}
	n := s.count
	s.count, s.lastAt = 0, now
	return n, true
}
