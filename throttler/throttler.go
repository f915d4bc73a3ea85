package throttler

import (
	"sync"
	"time"
)

const (
	minTimeLimit     = 300 * time.Millisecond  // a responsive host answers within a few ms
	maxTimeLimit     = 2400 * time.Millisecond // two calls in a row fit into the lease of a task
	maxBackoff       = 3                       // minTimeLimit doubled this often is maxTimeLimit
	congestedBackoff = 2                       // a time limit doubled once suffices for a process that is short of processor time for a moment
	smoothing        = 1.0 / 8                 // of the response time, from RFC 6298
	deviationRate    = 1.0 / 4                 // of its deviation, from RFC 6298
	deviations       = 4                       // added to the response time, from RFC 6298

	lateShareRate  = 1.0 / 64               // weight of a call in the share of late calls
	highLateShare  = 0.2                    // more than that are not only some hosts that have failed
	lowLateShare   = 0.05                   // the time limit falls again below this
	backoffFallGap = 500 * time.Millisecond // between two reductions of the time limit

	initialLimit = 512 // calls in flight
	minLimit     = 8
	maxLimit     = 2048
	maxQueueTime = 0.1  // s; over a slow link, calls in flight queue for at most this long
	bytesPerCall = 1000 // of a start with its headers
	bytesPerMbit = 125_000
	lateFactor   = 0.7 // of the limit after a late call
)

// Throttler measures calls. Its methods may be called concurrently.
type Throttler struct {
	mu             sync.Mutex
	response       time.Duration // smoothed response time; 0 before the first call
	deviation      time.Duration // smoothed deviation of the response time
	lateShare      float64       // of the recent calls
	backoff        int           // number of times that the time limit is doubled
	backoffChanged time.Time
	limit          float64 // calls in flight
	highestLimit   float64
	limitReducedAt time.Time
}

// Option configures a Throttler.
type Option func(*Throttler)

// WithLink sets the bandwidth of the link in Mbit/s, 0 if it is not known. Over a slow
// link fewer calls may be in flight, so that others don't wait behind them.
func WithLink(mbps float64) Option {
	return func(t *Throttler) {
		if mbps > 0 {
			t.highestLimit = min(max(mbps*bytesPerMbit*maxQueueTime/bytesPerCall, minLimit), maxLimit)
		}
	}
}

// New returns a throttler that has seen no calls.
func New(opts ...Option) *Throttler {
	t := &Throttler{highestLimit: maxLimit}
	for _, opt := range opts {
		opt(t)
	}
	t.limit = min(initialLimit, t.highestLimit)
	return t
}

// TimeLimit returns how long a call may take before its response counts as lost.
func (t *Throttler) TimeLimit() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timeLimit()
}

func (t *Throttler) timeLimit() time.Duration {
	return min(max(t.response+deviations*t.deviation, minTimeLimit)<<t.backoff, maxTimeLimit)
}

// Limit returns how many calls may be in flight.
func (t *Throttler) Limit() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int(t.limit)
}

// IsCongested reports whether so many calls are late that those which can wait
// should wait.
func (t *Throttler) IsCongested() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.backoff >= congestedBackoff
}

// RecordResponse records a call that was answered after took.
func (t *Throttler) RecordResponse(now time.Time, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.response == 0 {
		t.response, t.deviation = took, took/2
	} else {
		t.deviation += time.Duration(deviationRate * float64((took-t.response).Abs()-t.deviation))
		t.response += time.Duration(smoothing * float64(took-t.response))
	}
	t.updateLateShare(now, 0)
	t.limit = min(t.limit+1/t.limit, t.highestLimit)
}

// RecordLate records a call that got no response within its time limit. Calls to
// some failed hosts have little effect as long as the others respond.
func (t *Throttler) RecordLate(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLateShare(now, 1)
	if t.lateShare > lowLateShare {
		t.reduceLimit(now)
	}
}

// updateLateShare adds a call to the share of late calls and adapts the time
// limit.
func (t *Throttler) updateLateShare(now time.Time, late float64) {
	t.lateShare += lateShareRate * (late - t.lateShare)
	since := now.Sub(t.backoffChanged)
	switch {
	case t.lateShare > highLateShare && t.backoff < maxBackoff && since >= t.timeLimit():
		t.backoff++
		t.backoffChanged = now
	case t.lateShare < lowLateShare && t.backoff > 0 && since >= backoffFallGap:
		t.backoff--
		t.backoffChanged = now
	}
}

// reduceLimit reduces the limit, but only once for the calls that were in flight
// together.
func (t *Throttler) reduceLimit(now time.Time) {
	if now.Sub(t.limitReducedAt) < t.timeLimit() {
		return
	}
	t.limitReducedAt = now
	t.limit = max(t.limit*lateFactor, minLimit)
}
