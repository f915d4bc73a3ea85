package scheduler

import (
	"sync"
	"time"
)

const (
	// DefaultRetryRatio is the retries that each success adds to the budget.
	DefaultRetryRatio = 0.1
	// DefaultRetryFloor is the budget of a queue without any success, and the
	// retries it regains per minute.
	DefaultRetryFloor = 10.0
	// maxBudgetMultiple is the largest budget, as a multiple of the floor.
	maxBudgetMultiple = 10.0
)

type (
	// RetryBudgets bounds the retries of each queue by one budget, so that a failing
	// service is not flooded. It is safe for concurrent use.
	RetryBudgets struct {
		mu      sync.Mutex
		ratio   float64
		floor   float64
		budgets map[string]*budget
	}

	budget struct {
		tokens     float64
		refilledAt time.Time // of the last refill
	}
)

// NewRetryBudgets returns budgets in which each success adds ratio retries, with
// the given floor.
func NewRetryBudgets(ratio, floor float64) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, floor: floor, budgets: make(map[string]*budget)}
}

// Take spends one retry of the queue. It reports false when none is left.
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

// Succeeded counts a success of the queue.
func (r *RetryBudgets) RecordSuccess(queue string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(queue)
	b.tokens = min(maxBudgetMultiple*r.floor, b.tokens+r.ratio)
}

// RetriesLeft returns the retries that the queue may spend now.
func (r *RetryBudgets) RetriesLeft(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(r.budget(queue).tokens)
}

// budget returns the queue's budget, refilled up to the floor.
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
