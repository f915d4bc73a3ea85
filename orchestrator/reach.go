package orchestrator

import "time"

const (
	minReachableShare       = 0.5             // of the workers; fewer than this seldom fail together
	maxUnreachableTime      = 2 * time.Second // in which an entry that keeps up has reached all that answer
	minWorkersForReachCheck = 8               // workers; of fewer, half may be one rack
)

// checkReach ends the term when most workers have not answered for a while. An
// entry with a small processor or a thin link takes more workers' answers for
// missing the more of them there are, and a cut entry reaches none. Others then
// lead, and this one waits before it tries again.
func (e *Engine) resignIfMostUnreachable(now time.Time) {
	all, reached := 0, 0
	for _, i := range e.planner.instances {
		w := e.currentWorkerOn(i)
		if w == nil || !w.listed || w.registeredInTerm || i.plan != noPlan {
			continue // it may be on its way up or down
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
		e.log.Warn("most workers do not answer, another entry shall lead", "workers", all, "reached", reached, "since", e.mostUnreachableSince)
		e.term.Resign()
	}
}
