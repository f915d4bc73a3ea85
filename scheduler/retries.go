package scheduler

import (
	"sync"
	"time"
)

const (
	// DefaultRetryRatio is the number of retries that each success adds to the
	// budget.
	DefaultRetryRatio = 0.1
	// DefaultRetryFloor is the initial budget of a queue in retries. It is also
	// the number of retries added per minute while the budget is below it.
	DefaultRetryFloor = 10.0
	// maxBudgetMultiple is the largest budget, as a multiple of the floor.
	maxBudgetMultiple = 10.0
)

type (
	// RetryBudgets limits the retries of each queue by a token bucket, so that
	// retries do not overload a failing service. It is safe for concurrent use.
	RetryBudgets struct {
		mu      sync.Mutex
		ratio   float64 // retries added per success
		floor   float64 // the budget refills with time only while it is below this; above it only successes add to it
		budgets map[string]*budget
	}

	budget struct {
		tokens     float64   // retries left
		refilledAt time.Time // time of the last refill
	}
)

// NewRetryBudgets returns budgets to which each success adds ratio retries,
// with the given floor (see DefaultRetryFloor).
func NewRetryBudgets(ratio, floor float64) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, floor: floor, budgets: make(map[string]*budget)}
}

// TakeRetry takes one retry from the budget of the queue. It returns false when
// none is left.
func (r *RetryBudgets) TakeRetry(queue string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(queue)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// RecordSuccess adds to the budget of the queue for a task that succeeded.
func (r *RetryBudgets) RecordSuccess(queue string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(queue)
	b.tokens = min(maxBudgetMultiple*r.floor, b.tokens+r.ratio)
}

// RetriesLeft returns the number of retries that the queue may use now.
func (r *RetryBudgets) RetriesLeft(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(r.budget(queue).tokens)
}

// budget returns the queue's budget after refilling it for the time passed.
func (r *RetryBudgets) budget(queue string) *budget {
	now := time.Now()
	b, ok := r.budgets[queue]
	if !ok {
		b = &budget{tokens: r.floor, refilledAt: now}
		r.budgets[queue] = b
	}
	if b.tokens < r.floor {
		b.tokens = min(r.floor, b.tokens+r.floor*now.Sub(b.refilledAt).Minutes())
	}
	b.refilledAt = now
	return b
}
