package scheduler

import (
	"slices"
	"sync"

	"github.com/coltsfootlever/coltsfootlever/classifier"
)

const (
	// DefaultFailedWorkerLimit is the number of different workers on which a
	// task must fail before it is given up, that is, not started again.
	DefaultFailedWorkerLimit = 3
	// DefaultTrackedTasks is the maximum number of failed tasks that are
	// tracked.
	DefaultTrackedTasks = 4096
)

// FailedTaskTracker records which tasks failed on which workers. A task that has
// failed on several workers is given up: it is not started again. When the
// tracker is full, it forgets the task whose first failure is oldest. It is safe
// for concurrent use.
type FailedTaskTracker struct {
	mu                sync.Mutex
	failedWorkerLimit int
	maxTracked        int
	failedWorkers     map[string][]string // workers on which a task failed, by task
	order             []string            // tasks in the order of their first failure; may include forgotten tasks
}

// NewFailedTaskTracker returns a tracker of at most maxTracked failed
// tasks. It gives up tasks that failed on failedWorkerLimit different workers.
func NewFailedTaskTracker(failedWorkerLimit, maxTracked int) *FailedTaskTracker {
	return &FailedTaskTracker{failedWorkerLimit: failedWorkerLimit, maxTracked: maxTracked, failedWorkers: make(map[string][]string)}
}

// RecordFailure records that the task failed on the worker, and reports whether
// the task is now given up.
func (p *FailedTaskTracker) RecordFailure(task, worker string) bool {
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

// IsGivenUp reports whether the task has failed on too many workers to be
// started again.
func (p *FailedTaskTracker) IsGivenUp(task string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.failedWorkers[task]) >= p.failedWorkerLimit
}

// Forget deletes the failures of the task, because it has succeeded or will not
// be tried again.
func (p *FailedTaskTracker) Forget(task string) {
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
func (p *FailedTaskTracker) forgetOldest() {
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
