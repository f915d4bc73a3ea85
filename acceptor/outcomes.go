package acceptor

import (
	"sync"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const maxOutcomes = 4096 // jobs, about 200 KB; callers ask most often about jobs that ended recently

type (
	// outcome is how a job of a customer ended.
	outcome struct {
		state    modeler.State
		customer string // see orchestrator.JobView
	}

	// outcomeCache caches how jobs ended, which never changes. When it is full, it
	// drops the older half.
	outcomeCache struct {
		mu            sync.Mutex
		recent, older map[string]outcome
	}
)

func newOutcomeCache() *outcomeCache {
	return &outcomeCache{recent: make(map[string]outcome)}
}

// find returns the outcome of a job, or false when the cache does not have it.
func (o *outcomeCache) find(id string) (found outcome, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if found, ok = o.recent[id]; !ok {
		found, ok = o.older[id]
	}
	return found, ok
}

// add caches the outcome of a job.
func (o *outcomeCache) add(id string, ended outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.recent) >= maxOutcomes/2 {
		o.older, o.recent = o.recent, make(map[string]outcome)
	}
	o.recent[id] = ended
}
