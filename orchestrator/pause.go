package orchestrator

import (
	"runtime"
	"time"
)

const (
	// placementInterval is the minimum time between two placement passes, so that one
	// pass serves the ends of several runs.
	placementInterval = 10 * time.Millisecond

	// placementShare is the maximum share of the processor that passes take. The
	// leader's calls to workers need the rest in a surge.
	placementShare = 0.1

	// New jobs wait for less time, because a job's first task should start within 50 ms,
	// in which its placement also waits for a flush and the store.
	newJobPlacementInterval = 5 * time.Millisecond
	newJobPlacementShare    = 0.2

	// maxPlacementPause limits the pause after a pass, which no job may prolong for the
	// others. A gang has to be placed in one pass.
	maxPlacementPause = 250 * time.Millisecond
)

// placementPacer determines when the next placement pass may run.
type placementPacer struct {
	due     bool // a pass should run
	newJobs bool // jobs have been loaded since the last pass
	endedAt time.Time
	cost    time.Duration // processor time that the last pass took
	passes  int64         // number of passes in this term
}

// next returns the earliest time of the next pass. processorShare is the number of
// cores that the process may use.
func (p *placementPacer) next(processorShare float64) time.Time {
	interval, share := placementInterval, placementShare
	if p.newJobs {
		interval, share = newJobPlacementInterval, newJobPlacementShare
	}
	return p.endedAt.Add(max(interval, min(time.Duration(float64(p.cost)/(share*processorShare)), maxPlacementPause)))
}

// placeIfDue runs a placement pass if one is due, and tells when the next one may run.
func (e *Engine) placeIfDue(now time.Time) {
	p := &e.placement
	if !p.due || now.Before(p.next(e.processorShare())) {
		return
	}
	p.due, p.newJobs = false, false
	p.cost = e.processorTimeOf(func() { e.runPlacement(now) })
	p.endedAt = time.Now()
}

// processorShare returns the number of cores that the process may use.
func (e *Engine) processorShare() float64 {
	if e.cfg.ProcessorShare > 0 {
		return e.cfg.ProcessorShare
	}
	return 1
}

// processorTimeOf returns the processor time that fn takes. Elapsed time would
// include that in which the process must wait for the processor, and a single such
// time would hold back the next pass for long.
func (e *Engine) processorTimeOf(fn func()) time.Duration {
	if e.cfg.ThreadTime == nil {
		began := time.Now()
		fn()
		return time.Since(began)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := e.cfg.ThreadTime()
	fn()
	return e.cfg.ThreadTime() - began
}
