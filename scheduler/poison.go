package scheduler

import (
	"slices"
	"sync"

	"github.com/coltsfootlever/coltsfootlever/classifier"
)

const (
	// DefaultFailedWorkerLimit is the number of different workers on which a task fails
	// before it is held back.
	DefaultFailedWorkerLimit = 3
	// DefaultTrackedTasks is the number of failed tasks remembered.
	DefaultTrackedTasks = 4096
)

// PoisonTracker remembers tasks that failed and on which workers, and holds back
// those that failed on several. It forgets the oldest when it is full. It is
// safe for concurrent use.
type PoisonTracker struct {
	mu                sync.Mutex
	failedWorkerLimit int
	maxTracked        int
	failedWorkers     map[string][]string // workers by task
	order             []string            // tasks by first failure, with forgotten ones
}

// NewPoisonTracker returns a memory of at most the given number of suspects that
// holds back tasks that failed on strikes different workers.
func NewPoisonTracker(failedWorkerLimit, maxTracked int) *PoisonTracker {
	return &PoisonTracker{failedWorkerLimit: failedWorkerLimit, maxTracked: maxTracked, failedWorkers: make(map[string][]string)}
}

// Failed counts a failure of the task on the worker and reports whether the
// task is now held back.
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

// Held reports whether the task is held back.
func (p *PoisonTracker) IsHeldBack(task string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.failedWorkers[task]) >= p.failedWorkerLimit
}

// Forget clears the task of its failures, since it has succeeded or ended.
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

// forgetOldest forgets the oldest suspects until one more has room.
func (p *PoisonTracker) forgetOldest() {
	for len(p.failedWorkers) >= p.maxTracked && len(p.order) > 0 {
		delete(p.failedWorkers, p.order[0])
		p.order = p.order[1:]
	}
}

// CheckFits refuses a task with classifier.NeverFits when it takes more slots
// than the largest worker of its pool has. largest 0 means that it is unknown.
func CheckFits(t Task, largest int) error {
	if largest == 0 || t.Slots <= largest {
		return nil
	}
	return classifier.Refuse(classifier.NeverFits,
		"the task takes %d slots and the largest worker of pool %s has %d: ask for %d slots at most", t.Slots, t.Pool, largest, largest)
}
