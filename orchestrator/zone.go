package orchestrator

import (
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/evacuator"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const withheldLogInterval = time.Second // between two log lines on withheld starts of a worker

type (
	// zoneState is what the event loop has last seen of the evacuated zones.
	zoneState struct {
		zones         evacuator.Zones
		at            time.Duration // time of zones, by elector.Term.Now
		evacuated     []string      // names of the evacuated zones
		outdated      bool          // no start may be sent, because the operator's records may be out of date
		nextMoveRound time.Time     // when long-running tasks are next moved off evacuated workers
	}

	// gangStarts tells for one placement of a gang whether any of its starts has been
	// sent. Either the rest follows or all are withdrawn. The callers of several workers
	// send the starts, so mu guards it.
	gangStarts struct {
		run       int // run number of all members
		mu        sync.Mutex
		sent      bool
		withdrawn bool
	}

	// withheldStarts describes the starts of a worker that were withdrawn or held back
	// because of evacuations, and have not been logged.
	withheldStarts struct {
		count    int
		task     modeler.TaskID // of the last one
		reason   error          // for which the last one was withheld
		loggedAt time.Time      // when the last line was written
	}
)

// canEvacuate reports whether zones can be evacuated.
func (e *Engine) canEvacuate() bool {
	return e.cfg.Evacuations != nil && e.cfg.EvacuationTime > 0
}

// zones returns what this entry node knows of evacuated zones at present.
func (e *Engine) zones() evacuator.Zones {
	if !e.canEvacuate() {
		return evacuator.Zones{}
	}
	zones, asOf := e.cfg.Evacuations()
	return evacuator.Zones{Evacuations: zones, AsOf: asOf, Bound: e.cfg.EvacuationTime}
}

// updateZones applies changes of the evacuated zones to the workers and withdraws
// starts that they forbid.
func (e *Engine) updateZones() {
	if !e.canEvacuate() {
		return
	}
	z, at := e.zones(), e.term.Now()
	e.zoneState.zones, e.zoneState.at = z, at
	if outdated := !z.IsCurrent(at); outdated != e.zoneState.outdated {
		e.zoneState.outdated = outdated
		if outdated {
			e.log.Warn("no starts are sent: the operator's records may be out of date", "age", z.Age(at).String())
		} else {
			e.log.Info("starts are sent again: the operator's records are up to date", "age", z.Age(at).String())
		}
		e.requestPlacement()
	}
	changed := !slices.Equal(e.zoneState.evacuated, z.Evacuated())
	if changed {
		e.zoneState.evacuated = z.Evacuated()
		e.log.Info("evacuated zones have changed", "evacuated", e.zoneState.evacuated, "age", z.Age(at).String())
	}
	if !changed && !e.anyWorkerOutOfUse && len(z.Evacuations) == 0 {
		return
	}
	e.anyWorkerOutOfUse = false
	for _, w := range e.workersByID {
		e.updateZoneOf(w, z, at)
	}
	if changed {
		e.withdrawStartsInEvacuatedZones()
		e.cancelMovesInRestoredZones()
		e.loadPublication.zonesChanged = true
		e.requestPlacement()
	}
}

// updateZoneOf updates whether the zone of a worker is in use.
func (e *Engine) updateZoneOf(w *worker, z evacuator.Zones, at time.Duration) {
	w.evacuated = z.IsEvacuated(w.Zone)
	outOfUse := !z.Accepts(w.Zone, w.Instance, at)
	if w.outOfUse && !outOfUse {
		e.requestPlacement()
	}
	w.outOfUse = outOfUse
	e.anyWorkerOutOfUse = e.anyWorkerOutOfUse || outOfUse
}

// isInUse reports whether the zone of an instance is in use and the instance has
// returned to use after a restore.
func (e *Engine) isInUse(i *instance) bool {
	s := &e.zoneState
	return len(s.zones.Evacuations) == 0 || s.zones.Accepts(i.Zone, i.Name, s.at)
}

// withdrawStartsInEvacuatedZones requeues the placed tasks of evacuated workers, and
// gangs of which no start has been sent. checkZone withdraws other starts that wait in
// the workers' queues.
func (e *Engine) withdrawStartsInEvacuatedZones() {
	for _, w := range e.workersByID {
		if !w.evacuated {
			continue
		}
		for _, t := range w.tasks {
			switch {
			case t.phase != placed && t.phase != starting:
			case t.step.Gang && !e.mayFinishGang(t):
				e.withdrawGang(t.step, evacuator.ErrEvacuated)
			case t.step.Gang:
			case t.phase == placed:
				e.noteWithheld(t, evacuator.ErrEvacuated)
				e.requeueTask(t)
			}
		}
	}
}

// moveTasksOffEvacuatedZones moves long-running tasks off the workers of evacuated
// zones, as before maintenance. The others end by themselves.
func (e *Engine) moveTasksOffEvacuatedZones(now time.Time) {
	if !e.anyWorkerOutOfUse || e.zoneState.outdated || now.Before(e.zoneState.nextMoveRound) {
		return // a task that is stopped while no start may be sent would be absent
	}
	e.zoneState.nextMoveRound = now.Add(planRoundInterval)
	for _, w := range e.workersByID {
		if w.evacuated && w.longRunningTasks() > 0 {
			e.evacuateWorker(w, now)
		}
	}
}

// cancelMovesInRestoredZones cancels the reservations for running tasks that no longer
// have to move. They would keep room free on another worker for as long as the tasks run.
func (e *Engine) cancelMovesInRestoredZones() {
	for _, w := range e.workersByID {
		if w.evacuated || w.cordonReason != "" {
			continue
		}
		for _, t := range w.tasks {
			if t.phase == running && t.reservedOn != nil {
				t.reservedOn.cancelReservation(t)
			}
		}
	}
}

// longRunningTasks returns the number of long-running tasks on the worker.
func (w *worker) longRunningTasks() int {
	n := 0
	for _, t := range w.tasks {
		if t.step.LongRunning {
			n++
		}
	}
	return n
}

// checkZone returns an error if a start may not be sent because of evacuations, and
// else limits the lease in its order so that the worker refuses a start that arrives too
// late. It also limits the time of the call, because the lease says nothing to a worker
// that has restarted since its last report: its clock has another origin. The caller must
// hold the mutex of the gang.
func (e *Engine) checkZone(s *queuedStart) error {
	if !e.canEvacuate() {
		return nil
	}
	if s.gang != nil && s.gang.withdrawn {
		return evacuator.ErrEvacuated
	}
	now, at := time.Now(), e.term.Now() // in this order, so that a pause of the process makes the lease end earlier
	latest, err := e.zones().StartBy(s.zone, s.gang != nil && s.gang.sent, at)
	if err != nil {
		if s.gang != nil && errors.Is(err, evacuator.ErrEvacuated) {
			s.gang.withdrawn = true
		}
		return err
	}
	s.order.DeadlineMs = min(s.order.DeadlineMs, s.clock.workerTimeAfter(now, latest-at))
	s.sendBy = now.Add(latest - at)
	return nil
}

// gangStartsOf returns the state of the starts of a gang's present placement, or nil
// if the step is no gang.
func (t *task) gangStartsOf() *gangStarts {
	if !t.step.Gang {
		return nil
	}
	if g := t.step.gangStarts; g == nil || g.run != t.run {
		t.step.gangStarts = &gangStarts{run: t.run}
	}
	return t.step.gangStarts
}

// mayFinishGang reports whether the start of a gang's member may be sent to an
// evacuated worker because others of the gang have been sent.
func (e *Engine) mayFinishGang(t *task) bool {
	g := t.gangStartsOf()
	if g == nil || !t.worker.reachable || t.worker.recorded {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, err := e.zones().StartBy(t.worker.Zone, g.sent, e.term.Now())
	return !g.withdrawn && !errors.Is(err, evacuator.ErrEvacuated)
}

// isGangWithdrawn reports whether the task belongs to a gang whose present placement
// has been withdrawn.
func (t *task) isGangWithdrawn() bool {
	g := t.step.gangStarts
	if g == nil || g.run != t.run {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.withdrawn
}

// withdrawGang withdraws the starts of all members of a gang, and stops those that
// have been sent.
func (e *Engine) withdrawGang(s *step, reason error) {
	for _, t := range s.tasks {
		if t.phase != placed && t.phase != starting {
			continue
		}
		g := t.gangStartsOf()
		g.mu.Lock()
		g.withdrawn = true
		g.mu.Unlock()
		e.noteWithheld(t, reason)
	}
	for _, t := range s.tasks {
		if t.isGangWithdrawn() {
			e.requestStop(t)
		}
	}
	e.requestPlacement()
}

// stopIfUnwanted stops the run of a task that has just been found running if its job
// has ended or its gang has been withdrawn.
func (e *Engine) stopIfUnwanted(t *task) {
	if t.step.occurrence.job.state.IsFinal() || t.isGangWithdrawn() {
		e.requestStop(t)
	}
}

// noteWithheld counts a start that is withdrawn or held back because of evacuations,
// once for each placement.
func (e *Engine) noteWithheld(t *task, reason error) {
	if t.withheldRun == t.run {
		return
	}
	t.withheldRun = t.run
	w := t.worker
	meter.CountWithheldStart(w.Zone)
	w.withheld.count++
	w.withheld.task, w.withheld.reason = t.id, reason
}

// logWithheldStarts logs the starts of a worker that have been withheld, in at most one
// line per second.
func (e *Engine) logWithheldStarts(w *worker, now time.Time) {
	s := &w.withheld
	if s.count == 0 || now.Sub(s.loggedAt) < withheldLogInterval {
		return
	}
	e.log.Info("starts withheld", "worker", w.ID, "zone", w.Zone, "starts", s.count, "last-task", s.task.String(), "reason", s.reason)
	*s = withheldStarts{loggedAt: now}
}

// allZonesEvacuated returns the names of the evacuated zones if no other zone has a worker
// or an instance, so that nothing can start. Otherwise it returns nil.
func (e *Engine) allZonesEvacuated() []string {
	z := e.zones()
	evacuated := z.Evacuated()
	if len(evacuated) == 0 {
		return nil
	}
	found := false
	for _, w := range e.workersByID {
		if w.listed && !z.IsEvacuated(w.Zone) {
			return nil
		}
		found = found || w.listed
	}
	for _, i := range e.planner.instances {
		if !z.IsEvacuated(i.Zone) {
			return nil
		}
		found = true
	}
	if !found {
		return nil
	}
	return evacuated
}
