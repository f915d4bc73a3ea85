package orchestrator

import (
	"iter"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// waitingResources is what waiting tasks need.
	waitingResources struct {
		reserved   modeler.Resources // on their workers
		unreserved modeler.Resources // counts toward the customer's limit as well: CPU time that other tasks leave unused
	}

	// customerPool identifies a customer's tasks in a pool.
	customerPool struct{ customer, pool string }

	// queuePool identifies a queue and a pool that it sends tasks to. Jobs of a
	// removed queue may have been accepted for different pools.
	queuePool struct{ queue, pool string }

	// unreportedWorkers describes the workers of a pool that may be running tasks
	// whose placement the previous leader did not store.
	unreportedWorkers struct {
		capacity        modeler.Resources
		unknownCapacity bool                         // the capacity of at least one of them is unknown
		reserved        map[string]modeler.Resources // by the tasks that are known there, by customer
	}
)

// mayInheritUnstoredRuns reports whether any worker may be running tasks whose
// placement the previous leader did not store.
func (e *Engine) mayInheritUnstoredRuns(now time.Time) bool {
	return !e.handover.predecessorStoredAll && now.Before(e.inheritedLeaseExpiry())
}

// keepEndedJob keeps an inherited job whose outcome is stored as long as workers
// may be running tasks of it, because such runs count toward the customer's
// limit.
func (e *Engine) keepEndedJob(j *job) {
	if j.fromEarlierTerm && !j.isComplete() && e.mayInheritUnstoredRuns(time.Now()) {
		e.handover.endedJobs[j.ID] = j
	}
}

// findTaskOfEndedJob returns a task of a job that keepEndedJob has kept, or nil
// if there is no such task.
func (e *Engine) findTaskOfEndedJob(id modeler.TaskID) *task {
	j := e.handover.endedJobs[id.Job]
	if j == nil {
		return nil
	}
	return j.findTask(id)
}

// jobsWithUnstoredRuns returns the jobs of which workers may be running tasks
// whose placement the previous leader did not store.
func (e *Engine) jobsWithUnstoredRuns() iter.Seq[*job] {
	return func(yield func(*job) bool) {
		for _, jobs := range []map[string]*job{e.jobs, e.handover.endedJobs} {
			for _, j := range jobs {
				if j.fromEarlierTerm && !yield(j) {
					return
				}
			}
		}
	}
}

// addUnstoredUsage adds to the usage of customers with a limit what their
// inherited tasks that wait for workers to report may be using there. In each
// pool this is at most what the tasks need and what the workers have besides the
// customer's known tasks. Those of other customers may have ended, and their end
// not been stored.
func (p *placementPass) addUnstoredUsage() {
	e := p.engine
	if !e.mayInheritUnstoredRuns(p.now) {
		clear(e.handover.endedJobs)
		return
	}
	workers := make(map[string]*unreportedWorkers) // by pool
	for cp, waiting := range p.heldBackResources() {
		w := workers[cp.pool]
		if w == nil {
			w = e.unreportedWorkersOf(cp.pool, p.now)
			workers[cp.pool] = w
		}
		usage := w.roomFor(cp.customer, waiting.reserved).Add(waiting.unreserved)
		p.extraUsage[cp.customer] = p.extraUsage[cp.customer].Add(usage)
	}
}

// heldBackResources returns, for customers with a limit, what the waiting tasks
// of inherited jobs need in each pool in which they wait for workers to report.
func (p *placementPass) heldBackResources() map[customerPool]waitingResources {
	sums := make(map[customerPool]waitingResources)
	pools := make(map[queuePool][]string) // in which inherited tasks wait
	for j := range p.engine.jobsWithUnstoredRuns() {
		c := p.manifest.Customer(j.Customer)
		if c == nil || c.Limit == (modeler.Resources{}) {
			continue
		}
		q := j.settingsIn(p.manifest).queue
		qp := queuePool{queue: j.Queue}
		if q != nil {
			qp.pool = q.Pool
		}
		if _, ok := pools[qp]; !ok {
			pools[qp] = p.poolsThatWait(j.Queue, q)
		}
		if len(pools[qp]) == 0 {
			continue
		}
		waiting := p.waitingResourcesOf(j)
		for _, pool := range pools[qp] {
			sum := sums[customerPool{j.Customer, pool}]
			sum.reserved, sum.unreserved = sum.reserved.Add(waiting.reserved), sum.unreserved.Add(waiting.unreserved)
			sums[customerPool{j.Customer, pool}] = sum
		}
	}
	return sums
}

// poolsThatWait returns the pools of a queue in which inherited tasks wait for
// workers to report. q is nil if the queue has been removed and is not known.
func (p *placementPass) poolsThatWait(name string, q *modeler.Queue) []string {
	pools := p.engine.handover.inheritedPools[name]
	if q != nil {
		pools = p.engine.poolsOfQueue(q)
	}
	var waiting []string
	for _, pool := range pools {
		if p.mustWaitInPool(pool) {
			waiting = append(waiting, pool)
		}
	}
	return waiting
}

// waitingResourcesOf returns what the waiting tasks of a job need that the
// previous leader may have started.
func (p *placementPass) waitingResourcesOf(j *job) waitingResources {
	var sum waitingResources
	for _, o := range j.occurrences {
		if j.Repeat > 0 && p.engine.latestStartBefore(p.wallTime).Before(o.due) {
			continue
		}
		for _, s := range o.steps {
			sum.reserved = sum.reserved.Add(s.ReservedResources().Times(s.waitingTasks))
			sum.unreserved = sum.unreserved.Add(s.Need.Sub(s.ReservedResources()).Times(s.waitingTasks))
		}
	}
	return sum
}

// unreportedWorkersOf returns the workers of a pool for which inherited tasks
// wait, see Engine.mustWaitForWorkers.
func (e *Engine) unreportedWorkersOf(pool string, now time.Time) *unreportedWorkers {
	u := &unreportedWorkers{reserved: make(map[string]modeler.Resources), unknownCapacity: e.planner.api != nil && !e.planner.instancesListed}
	for _, w := range e.workersByID {
		if !e.mayHaveUnstoredRuns(w, now) || !w.mayBeInPool(pool, e) {
			continue
		}
		if w.Pool != "" {
			u.capacity = u.capacity.Add(w.Capacity)
		} else {
			u.addInstance(e.planner.instances[w.Instance])
		}
		for _, t := range w.tasks {
			customer := t.step.occurrence.job.Customer
			u.reserved[customer] = u.reserved[customer].Add(t.step.ReservedResources())
		}
	}
	if len(e.handover.unlistedWorkers) == 0 {
		return u
	}
	hasListedWorker := make(map[string]bool) // by instance
	for _, w := range e.workersByID {
		if w.listed {
			hasListedWorker[w.Instance] = true
		}
	}
	for id, name := range e.handover.unlistedWorkers {
		if w := e.workersByID[id]; w != nil && (w.Pool != "" || w.hasTasksOfPool(pool, e)) {
			continue // is among the others
		}
		if i := e.planner.instances[name]; i != nil && i.Pool == pool && i.isUpWith(id) && !hasListedWorker[name] {
			u.addInstance(i)
		}
	}
	return u
}

// addInstance adds the capacity of a worker that is known by its instance only.
func (u *unreportedWorkers) addInstance(i *instance) {
	if i == nil {
		u.unknownCapacity = true
		return
	}
	u.capacity = u.capacity.Add(i.Capacity)
}

// roomFor returns the part of the reserved resources for which the workers have
// room besides the tasks of the customer that are known there.
func (u *unreportedWorkers) roomFor(customer string, reserved modeler.Resources) modeler.Resources {
	if u.unknownCapacity {
		return reserved
	}
	return reserved.Min(u.capacity.Sub(u.reserved[customer])).Max(modeler.Resources{})
}
