package acceptor

import (
	"sync"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const maxOutcomes = 4096 // jobs, some 200 KB; callers ask most about jobs that ended lately

// outcomeCache remembers how jobs ended, which never changes. The older half goes
// when it is full.
type outcomeCache struct {
	mu            sync.Mutex
	recent, older map[string]modeler.State
}

func newOutcomeCache() *outcomeCache {
	return &outcomeCache{recent: make(map[string]modeler.State)}
}

// find returns the outcome of a job, empty when it is not remembered.
func (o *outcomeCache) find(id string) modeler.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.recent[id]; ok {
		return s
	}
	return o.older[id]
}

func (o *outcomeCache) add(id string, s modeler.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.recent) >= maxOutcomes/2 {
		o.older, o.recent = o.recent, make(map[string]modeler.State)
	}
	o.recent[id] = s
}
