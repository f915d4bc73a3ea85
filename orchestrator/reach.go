package orchestrator

import "time"

const (
	reachShare = 0.5             // of the workers; fewer than this seldom fail together
	reachTime  = 2 * time.Second // in which an entry that keeps up has reached all that answer
	reachLeast = 8               // workers; of fewer, half may be one rack
)

// checkReach ends the term when most workers have not answered for a while. An
// entry with a small processor or a thin link takes more workers' answers for
// missing the more of them there are, and a cut entry reaches none. Others then
// lead, and this one waits before it tries again.
func (e *Engine) checkReach(now time.Time) {
	all, reached := 0, 0
	for _, i := range e.estate.instances {
		w := e.workerOn(i)
		if w == nil || !w.listed || w.late || i.plan != noPlan {
			continue // it may be on its way up or down
		}
		all++
		if w.reached {
			reached++
		}
	}
	if all < reachLeast || float64(reached) >= reachShare*float64(all) {
		e.outOfReach = time.Time{}
		return
	}
	if e.outOfReach.IsZero() {
		e.outOfReach = now
	}
	if now.Sub(e.outOfReach) >= reachTime {
		e.log.Warn("most workers do not answer, another entry shall lead", "workers", all, "reached", reached, "since", e.outOfReach)
		e.term.Resign()
	}
}
