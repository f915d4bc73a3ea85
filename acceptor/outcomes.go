package acceptor

import (
	"sync"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const maxOutcomes = 4096 // jobs, some 200 KB; callers ask most about jobs that ended lately

// outcomes remembers how jobs ended, which never changes. The older half goes
// when it is full.
type outcomes struct {
	mu           sync.Mutex
	young, older map[string]modeler.State
}

func newOutcomes() *outcomes {
	return &outcomes{young: make(map[string]modeler.State)}
}

// find returns the outcome of a job, empty when it is not remembered.
func (o *outcomes) find(id string) modeler.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.young[id]; ok {
		return s
	}
	return o.older[id]
}

func (o *outcomes) add(id string, s modeler.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.young) >= maxOutcomes/2 {
		o.older, o.young = o.young, make(map[string]modeler.State)
	}
	o.young[id] = s
}
