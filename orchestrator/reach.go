package orchestrator

import "time"

const (
	minReachableShare       = 0.5             // of the workers; it is rare that more than half fail together
	maxUnreachableTime      = 2 * time.Second // an entry node that keeps up reaches all responsive workers within this time
	minWorkersForReachCheck = 8               // with fewer workers, half of them may be in one failed rack
)

// resignIfMostUnreachable ends the term if most workers have not responded for
// maxUnreachableTime. An entry node with little CPU or network bandwidth misses
// more worker responses the more workers there are, and a disconnected one
// reaches none. Another entry node should then lead; the elector makes this one
// wait before it runs for leadership again.
func (e *Engine) resignIfMostUnreachable(now time.Time) {
	all, reached := 0, 0
	for _, i := range e.planner.instances {
		w := e.currentWorkerOn(i)
		if w == nil || !w.listed || w.registeredInTerm || i.plan != noPlan {
			continue // the worker may be starting or stopping
		}
		all++
		if w.reachable {
			reached++
		}
	}
	if all < minWorkersForReachCheck || float64(reached) >= minReachableShare*float64(all) {
		e.mostUnreachableSince = time.Time{}
		return
	}
	if e.mostUnreachableSince.IsZero() {
		e.mostUnreachableSince = now
	}
	if now.Sub(e.mostUnreachableSince) >= maxUnreachableTime {
		e.log.Warn("most workers do not respond, resigning so that another entry can lead", "workers", all, "reached", reached, "since", e.mostUnreachableSince)
		e.term.Resign()
	}
}
