package orchestrator

import "time"

const maxInstanceListAge = 2 * time.Second // a change of an instance appears in the instance list within this time

// markEndedWorkers requeues the tasks of unresponsive workers that, according to
// the instance list requested at requestedAt, have ended. The list proves it by
// showing an instance without the worker, or by lacking the instance like all lists
// of maxInstanceListAge before it, because a list may miss an instance for that long.
// listed contains the instances in the list.
func (e *Engine) markEndedWorkers(listed map[string]bool, requestedAt time.Time) {
	for _, w := range e.workersByID {
		if w.Instance == "" || w.reachable || w.ended || requestedAt.Sub(w.unreachableSince) < maxInstanceListAge {
			continue
		}
		i := e.planner.instances[w.Instance]
		if i != nil && (!listed[i.Name] || i.Worker == w.ID) || i == nil && requestedAt.Sub(e.planner.firstListAt) < maxInstanceListAge {
			continue
		}
		w.ended, w.lostAt = true, e.term.Now()
		e.noteGoneWorker(w.ID, i != nil && i.Worker != "" && i.Worker != w.ID, time.Now())
		e.log.Info("worker has ended according to the instance list", "worker", w.ID, "instance", w.Instance, "pool", w.Pool, "tasks", len(w.tasks))
		e.requeueTasksOf(w, "worker has ended")
	}
}
