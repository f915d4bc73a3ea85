package scheduler

import (
	"slices"
	"sync"

	"github.com/coltsfootlever/coltsfootlever/classifier"
)

const (
	// DefaultStrikes is the number of different workers on which a task fails
	// before it is held back.
	DefaultStrikes = 3
	// DefaultSuspects is the number of failed tasks remembered.
	DefaultSuspects = 4096
)

// Poison remembers tasks that failed and on which workers, and holds back
// those that failed on several. It forgets the oldest when it is full. It is
// safe for concurrent use.
type Poison struct {
	mu       sync.Mutex
	strikes  int
	most     int
	suspects map[string][]string // workers by task
	order    []string            // tasks by first failure, with forgotten ones
}

// NewPoison returns a memory of at most the given number of suspects that
// holds back tasks that failed on strikes different workers.
func NewPoison(strikes, suspects int) *Poison {
	return &Poison{strikes: strikes, most: suspects, suspects: make(map[string][]string)}
}

// Failed counts a failure of the task on the worker and reports whether the
// task is now held back.
func (p *Poison) RecordFailure(task, worker string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	workers, known := p.suspects[task]
	if !known {
		p.makeRoom()
		p.order = append(p.order, task)
	}
	if !slices.Contains(workers, worker) && len(workers) < p.strikes {
		workers = append(workers, worker)
	}
	p.suspects[task] = workers
	return len(workers) >= p.strikes
}

// Held reports whether the task is held back.
func (p *Poison) IsHeldBack(task string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.suspects[task]) >= p.strikes
}

// Forget clears the task of its failures, since it has succeeded or ended.
func (p *Poison) Forget(task string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.suspects, task)
	if len(p.order) > 2*p.most {
		p.order = slices.DeleteFunc(p.order, func(id string) bool {
			_, known := p.suspects[id]
			return !known
		})
	}
}

// makeRoom forgets the oldest suspects until one more has room.
func (p *Poison) makeRoom() {
	for len(p.suspects) >= p.most && len(p.order) > 0 {
		delete(p.suspects, p.order[0])
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
