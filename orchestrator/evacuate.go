package orchestrator

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// evacuationDelayAfterTermStart is how long a new leader moves no tasks. A run
// that the previous leader has stopped stays listed until it ends, which takes
// at most the platform's stop timeout; only polls after that time show which
// tasks are still running.
const evacuationDelayAfterTermStart = 1500 * time.Millisecond

// evacuateWorker moves long-running tasks off a worker whose instance is
// about to be moved or maintained, or whose zone is evacuated. Other tasks are left to finish.
func (e *Engine) evacuateWorker(w *worker, now time.Time) {
	if now.Sub(e.termStart) < evacuationDelayAfterTermStart {
		return
	}
	unavailable, tried := make(map[*step]int), 0
	for _, t := range w.tasks {
		if !t.step.LongRunning || t.phase != running {
			continue
		}
		s := t.step
		if _, ok := unavailable[s]; !ok {
			unavailable[s] = s.countUnavailable()
		}
		absent := unavailable[s]
		if !t.isAvailable() {
			absent--
		}
		if absent < s.maxAbsent() {
			tried++
		}
		if tried > maxTasksPerTurn {
			return // the order of the tasks changes with each round
		}
		to, obstacle := e.findMoveTarget(t, absent, now)
		if obstacle != t.moveObstacle {
			t.moveObstacle = obstacle
			if obstacle != "" {
				e.log.Info("task cannot move off its worker", "task", t.id.String(), "worker", w.ID, "because", obstacle,
					"absent", absent, "may-miss", s.MaxAbsent)
			}
		}
		if obstacle != "" {
			continue
		}
		e.log.Info("task moves to another worker, stopping its run", "task", t.id.String(), "run", t.run, "worker", w.ID, "to", to.ID, "reason", cmp.Or(w.cordonReason, "evacuation"),
			"absent", absent, "may-miss", s.MaxAbsent)
		e.requestStop(t)
		unavailable[s] = absent + 1
		e.requestPlacement()
	}
}

// maxAbsent returns how many tasks of the step may be unavailable while another one moves.
func (s *step) maxAbsent() int {
	return max(1, s.MaxAbsent)
}

// findMoveTarget returns the worker to which a long-running task can move now,
// or the obstacle that prevents the move. absent is the number of unavailable tasks of its
// step, not counting this one.
func (e *Engine) findMoveTarget(t *task, absent int, now time.Time) (to *worker, obstacle string) {
	if absent >= t.step.maxAbsent() {
		return nil, "others of its step are away"
	}
	to = e.chooseMoveTarget(t, now)
	if to == nil {
		e.poolHistoryOf(t.worker.Pool).lastNoRoom = now
		return nil, "no worker can take it"
	}
	if to != t.reservedOn {
		to.reserveFor(t)
	}
	if !to.hasReservedRoom(t) {
		e.poolHistoryOf(t.worker.Pool).lastNoRoom = now
		return nil, "no room yet" // other tasks on the target end in time, and no new ones are placed there
	}
	return to, ""
}

// chooseMoveTarget returns the worker to which a task should move. It prefers a
// worker with enough free resources now, then the worker that already has a
// reservation for the task, then the one likely to have room soonest. It
// returns nil if no worker is suitable.
func (e *Engine) chooseMoveTarget(t *task, now time.Time) *worker {
	reserved := t.reservedOn
	if reserved != nil && (!reserved.acceptsTasks(now) || t.step.countSameStepTasks(reserved) < 0) {
		reserved = nil
	}
	if reserved != nil && reserved.hasReservedRoom(t) {
		return reserved
	}
	best := e.bestMoveTargetIgnoringReservation(t, now)
	if reserved != nil && (best == nil || !t.step.ReservedResources().Fits(best.unreservedResources())) {
		return reserved
	}
	return best
}

// bestMoveTargetIgnoringReservation returns the best worker in the pool,
// other than the task's own, that can take the task now or later. It returns
// nil if there is none.
func (e *Engine) bestMoveTargetIgnoringReservation(t *task, now time.Time) *worker {
	var best *worker
	for _, w := range e.workersByID {
		if w == t.worker || w.Pool != t.worker.Pool || !w.acceptsTasks(now) || t.step.countSameStepTasks(w) < 0 {
			continue
		}
		if !t.step.ReservedResources().Fits(w.Capacity) || t.step.Label != "" && !slices.Contains(w.Labels, t.step.Label) {
			continue
		}
		if best == nil || e.isBetterMoveTarget(w, best, t.step.ReservedResources()) {
			best = w
		}
	}
	return best
}

// isBetterMoveTarget reports whether a is a better move target than b. Workers
// that are not due for maintenance come first, then workers with enough free
// resources now. Among those the fuller worker is better, among the others the
// emptier one.
func (e *Engine) isBetterMoveTarget(a, b *worker, room modeler.Resources) bool {
	if dueA, dueB := e.isMaintenanceDue(a.Instance), e.isMaintenanceDue(b.Instance); dueA != dueB {
		return dueB
	}
	freeA, freeB := a.unreservedResources(), b.unreservedResources()
	if fitsA, fitsB := room.Fits(freeA), room.Fits(freeB); fitsA != fitsB {
		return fitsA
	} else if fitsA {
		return freeA.CPU < freeB.CPU
	}
	return freeA.CPU > freeB.CPU
}

// hasReservedRoom reports whether the worker now has enough free resources for
// a task that it has a reservation for.
func (w *worker) hasReservedRoom(t *task) bool {
	return t.step.ReservedResources().Fits(w.unreservedResources().Add(t.step.ReservedResources()))
}

// unreservedResources returns the resources that are neither in use nor
// reserved.
func (w *worker) unreservedResources() modeler.Resources {
	return w.freeResources().Sub(w.reservedResources())
}

// reserveFor reserves resources on the worker for a task that is about to move
// there.
func (w *worker) reserveFor(t *task) {
	if t.reservedOn != nil {
		t.reservedOn.cancelReservation(t)
	}
	t.reservedOn = w
	w.reservedFor = append(w.reservedFor, t)
	w.view.upToDate, w.pool.idle.known = false, false
}

// cancelReservation releases the resources reserved for a task.
func (w *worker) cancelReservation(t *task) {
	t.reservedOn = nil
	w.view.upToDate, w.pool.idle.known = false, false
	w.reservedFor = slices.DeleteFunc(w.reservedFor, func(other *task) bool { return other == t })
}

// reservedResources returns the sum of all reserved resources.
func (w *worker) reservedResources() modeler.Resources {
	var sum modeler.Resources
	for _, t := range w.reservedFor {
		sum = sum.Add(t.step.ReservedResources())
	}
	return sum
}
