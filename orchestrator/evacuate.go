package orchestrator

import (
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// inheritTime is how long a new leader stops nothing: a run that its predecessor
// has told to stop is listed until it has ended, at most the platform's stop
// time, and the looks after that show it.
const evacuationDelayAfterTermStart = 1500 * time.Millisecond

// evacuate moves lasting tasks off a worker that is planned to go. Tasks that
// end by themselves are waited for.
func (e *Engine) evacuate(w *worker, now time.Time) {
	if now.Sub(e.termStart) < evacuationDelayAfterTermStart {
		return
	}
	for _, t := range w.tasks {
		if !t.step.LongRunning || t.phase != running {
			continue
		}
		to, obstacle := e.findMoveTarget(t, now)
		if obstacle != t.moveObstacle {
			t.moveObstacle = obstacle
			if obstacle != "" {
				e.log.Info("task cannot move", "task", t.id.String(), "worker", w.ID, "because", obstacle,
					"absent", t.step.countUnavailable(t), "may-miss", t.step.MaxAbsent)
			}
		}
		if obstacle != "" {
			continue
		}
		e.log.Info("task moves", "task", t.id.String(), "run", t.run, "worker", w.ID, "to", to.ID, "reason", w.cordonReason,
			"absent", t.step.countUnavailable(t), "may-miss", t.step.MaxAbsent)
		e.requestStop(t)
		e.requestPlacement()
	}
}

// moveTo returns the worker that a lasting task can move to now, or what keeps
// it from moving.
func (e *Engine) findMoveTarget(t *task, now time.Time) (to *worker, obstacle string) {
	if t.step.countUnavailable(t) >= max(1, t.step.MaxAbsent) {
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
		return nil, "no room yet" // smaller tasks end there and no new ones come
	}
	return to, ""
}

// refuge finds the worker that a task goes to that has to leave its own: one
// with room now, or the one that keeps room for it already, or the one that will
// soonest have room. It is nil when there is none.
func (e *Engine) chooseMoveTarget(t *task, now time.Time) *worker {
	reserved := t.reservedOn
	if reserved != nil && (!reserved.acceptsTasks(now) || t.step.countSameStepTasks(reserved) < 0) {
		reserved = nil
	}
	if reserved != nil && reserved.hasReservedRoom(t) {
		return reserved
	}
	best := e.bestMoveTarget(t, now)
	if reserved != nil && (best == nil || !t.step.ReservedResources().Fits(best.unreservedResources())) {
		return reserved
	}
	return best
}

// bestRefuge finds the best worker that could take a task besides its own.
func (e *Engine) bestMoveTarget(t *task, now time.Time) *worker {
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

// isBetterRefuge says whether a is the better refuge than b: not due for upkeep
// itself, with room now, and among those with room the fuller one.
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

// keptFor says whether the worker has room now for a task that it keeps room
// for.
func (w *worker) hasReservedRoom(t *task) bool {
	return t.step.ReservedResources().Fits(w.unreservedResources().Add(t.step.ReservedResources()))
}

// spare is the room that is neither in use nor promised.
func (w *worker) unreservedResources() modeler.Resources {
	return w.freeResources().Sub(w.reservedResources())
}

// promise keeps room for a task that is about to come.
func (w *worker) reserveFor(t *task) {
	if t.reservedOn != nil {
		t.reservedOn.cancelReservation(t)
	}
	t.reservedOn = w
	w.reservedFor = append(w.reservedFor, t)
}

// unpromise gives the room up.
func (w *worker) cancelReservation(t *task) {
	t.reservedOn = nil
	w.reservedFor = slices.DeleteFunc(w.reservedFor, func(other *task) bool { return other == t })
}

// promises sums up the room that is kept.
func (w *worker) reservedResources() modeler.Resources {
	var sum modeler.Resources
	for _, t := range w.reservedFor {
		sum = sum.Add(t.step.ReservedResources())
	}
	return sum
}
