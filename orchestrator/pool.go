package orchestrator

import (
	"slices"
	"strings"

	"github.com/coltsfootlever/coltsfootlever/assigner"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// poolState is what the leader keeps of a pool, so that a placement pass needs not
	// look at all workers and tasks. Engine.assignPool and worker.take keep it up to
	// date.
	poolState struct {
		name    string
		idle    *instanceCores // of all pools
		workers []*worker      // that are registered in the pool, sorted by ID
		cpu     []int64        // in use by tasks that are not long-running, by customerState.number, in thousandths of a core

		index assigner.Index // of the workers that accept tasks without further requirements, as of the last poolView
		view  poolView       // of the last pass that needed it

		// State of a placement pass.
		viewedIn      *placementPass        // pass to which view belongs
		inTime        []*assigner.Candidate // occurrences that can meet their objective
		mayDefer      bool                  // some of them have not started
		hasCandidates bool                  // some step of the pool may start
		leastNeed     modeler.Resources     // of the steps that may start and are not long-running, each component by itself
		shares        customerShares        // of the pool; empty if only long-running steps may start
		awaitingStart int                   // placed tasks that await their start
	}

	// customerState is what the leader keeps of a customer.
	customerState struct {
		name   string
		number int               // counts the customers
		usage  modeler.Resources // of all tasks that are or may be running, see task.resourcesTowardCustomerLimit
	}
)

// poolState returns the state of a pool and adds it if it is missing.
func (e *Engine) poolState(name string) *poolState {
	p := e.pools[name]
	if p == nil {
		p = &poolState{name: name, idle: &e.instanceCores}
		e.pools[name] = p
	}
	return p
}

// customerState returns the state of a customer and adds it if it is missing.
func (e *Engine) customerState(name string) *customerState {
	c := e.customers[name]
	if c == nil {
		c = &customerState{name: name, number: len(e.customers)}
		e.customers[name] = c
	}
	return c
}

// assignPool moves a worker to the state of the pool that it is registered in. It
// must be called after each change of the worker's registration.
func (e *Engine) assignPool(w *worker) {
	e.instanceCores.known = false
	if w.pool != nil && w.pool.name == w.Pool {
		return
	}
	e.removeFromPool(w)
	w.pool = e.poolState(w.Pool)
	i, _ := w.pool.find(w)
	w.pool.workers = slices.Insert(w.pool.workers, i, w)
	w.pool.addTasksOf(w, 1)
}

// removeFromPool removes a worker from the state of its pool.
func (e *Engine) removeFromPool(w *worker) {
	if w.pool == nil {
		return
	}
	e.instanceCores.known = false
	w.pool.addTasksOf(w, -1)
	w.pool.index.Remove(&w.view.Worker)
	if i, ok := w.pool.find(w); ok {
		w.pool.workers = slices.Delete(w.pool.workers, i, i+1)
	}
}

// find returns the index in workers at which the worker is or would be inserted.
func (p *poolState) find(w *worker) (int, bool) {
	return slices.BinarySearchFunc(p.workers, w, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
}

// addTasksOf adds the CPU that the tasks of a worker use, for sign -1 it subtracts it.
func (p *poolState) addTasksOf(w *worker, sign int64) {
	for _, t := range w.tasks {
		if !t.step.LongRunning {
			p.addCPU(t.step.occurrence.job.customer, sign*t.step.ReservedResources().CPU)
		}
	}
}

// addCPU adds to the CPU that a customer uses.
func (p *poolState) addCPU(c *customerState, cpu int64) {
	if c.number >= len(p.cpu) {
		p.cpu = append(p.cpu, make([]int64, c.number+1-len(p.cpu))...)
	}
	p.cpu[c.number] += cpu
}
