package acceptor

import (
	"sync"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const maxOutcomes = 4096 // jobs, about 200 KB; callers ask most often about jobs that ended recently

// outcomeCache caches how jobs ended, which never changes. When it is full, it
// drops the older half.
type outcomeCache struct {
	mu            sync.Mutex
	recent, older map[string]modeler.State
}

func newOutcomeCache() *outcomeCache {
	return &outcomeCache{recent: make(map[string]modeler.State)}
}

// find returns the outcome of a job, or "" when the cache does not have it.
func (o *outcomeCache) find(id string) modeler.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.recent[id]; ok {
		return s
	}
	return o.older[id]
}

// add caches the outcome of a job.
func (o *outcomeCache) add(id string, s modeler.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.recent) >= maxOutcomes/2 {
		o.older, o.recent = o.recent, make(map[string]modeler.State)
	}
	o.recent[id] = s
}
