package scheduler

import (
	"slices"
	"sync"

	"github.com/coltsfootlever/coltsfootlever/classifier"
)

const (
	// DefaultFailedWorkerLimit is the number of different workers on which a
	// task must fail before it is held back.
	DefaultFailedWorkerLimit = 3
	// DefaultTrackedTasks is the maximum number of failed tasks that are
	// tracked.
	DefaultTrackedTasks = 4096
)

// PoisonTracker records which tasks failed on which workers, and detects poison
// tasks: tasks that failed on several workers and are therefore held back. When
// it is full, it forgets the task whose first failure is oldest. It is safe for
// concurrent use.
type PoisonTracker struct {
	mu                sync.Mutex
	failedWorkerLimit int
	maxTracked        int
	failedWorkers     map[string][]string // workers on which a task failed, by task
	order             []string            // tasks in the order of their first failure; may include forgotten tasks
}

// NewPoisonTracker returns a tracker of at most maxTracked failed tasks. It
// holds back tasks that failed on failedWorkerLimit different workers.
func NewPoisonTracker(failedWorkerLimit, maxTracked int) *PoisonTracker {
	return &PoisonTracker{failedWorkerLimit: failedWorkerLimit, maxTracked: maxTracked, failedWorkers: make(map[string][]string)}
}

// RecordFailure records that the task failed on the worker, and reports whether
// the task is now held back.
func (p *PoisonTracker) RecordFailure(task, worker string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	workers, known := p.failedWorkers[task]
	if !known {
		p.forgetOldest()
		p.order = append(p.order, task)
	}
	if !slices.Contains(workers, worker) && len(workers) < p.failedWorkerLimit {
		workers = append(workers, worker)
	}
	p.failedWorkers[task] = workers
	return len(workers) >= p.failedWorkerLimit
}

// IsHeldBack reports whether the task is held back.
func (p *PoisonTracker) IsHeldBack(task string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.failedWorkers[task]) >= p.failedWorkerLimit
}

// Forget deletes the failures of the task, because it has succeeded or will not
// be tried again.
func (p *PoisonTracker) Forget(task string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failedWorkers, task)
	if len(p.order) > 2*p.maxTracked {
		p.order = slices.DeleteFunc(p.order, func(id string) bool {
			_, known := p.failedWorkers[id]
			return !known
		})
	}
}

// forgetOldest forgets the tasks that failed first until there is room for one
// more.
func (p *PoisonTracker) forgetOldest() {
	for len(p.failedWorkers) >= p.maxTracked && len(p.order) > 0 {
		delete(p.failedWorkers, p.order[0])
		p.order = p.order[1:]
	}
}

// CheckFits refuses a task with classifier.NeverFits if it needs more slots
// than the largest worker of its pool has. A largest of 0 means that the size
// is not known; the task is then accepted.
func CheckFits(t Task, largest int) error {
	if largest == 0 || t.Slots <= largest {
		return nil
	}
	return classifier.Refuse(classifier.NeverFits,
		"the task takes %d slots and the largest worker of pool %s has %d: ask for %d slots at most", t.Slots, t.Pool, largest, largest)
}
