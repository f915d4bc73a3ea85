package orchestrator

import (
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// inheritTime is how long a new leader stops nothing: a run that its predecessor
// has told to stop is listed until it has ended, at most the platform's stop
// time, and the looks after that show it.
const inheritTime = 1500 * time.Millisecond

// evacuate moves lasting tasks off a worker that is planned to go. Tasks that
// end by themselves are waited for.
func (e *Engine) evacuate(w *worker, now time.Time) {
	if now.Sub(e.began) < inheritTime {
		return
	}
	for _, t := range w.tasks {
		if !t.step.LongRunning || t.phase != running || t.step.absent(t) >= max(1, t.step.MayMiss) {
			continue
		}
		to := e.refuge(t, now)
		if to == nil {
			e.history(w.Pool).stuck = now
			continue
		}
		if to != t.promised {
			to.promise(t)
		}
		if !to.keptFor(t) {
			continue // smaller tasks end there and no new ones come
		}
		e.log.Info("task moves", "task", t.id.String(), "run", t.run, "worker", w.ID, "to", to.ID, "reason", w.cordoned,
			"absent", t.step.absent(t), "may-miss", t.step.MayMiss)
		e.stop(t)
		e.changed()
	}
}

// refuge finds the worker that a task goes to that has to leave its own: the one
// that keeps room for it already, or one with room now, or the one that will
// soonest have room. It is nil when there is none.
func (e *Engine) refuge(t *task, now time.Time) *worker {
	if w := t.promised; w != nil && w.isOpen(now) && t.step.others(w) >= 0 {
		return w
	}
	var best *worker
	for _, w := range e.fleet {
		if w == t.worker || w.Pool != t.worker.Pool || !w.isOpen(now) || t.step.others(w) < 0 {
			continue
		}
		if !t.step.Room().Fits(w.Capacity) || t.step.Label != "" && !slices.Contains(w.Labels, t.step.Label) {
			continue
		}
		if best == nil || e.isBetterRefuge(w, best, t.step.Room()) {
			best = w
		}
	}
	return best
}

// isBetterRefuge says whether a is the better refuge than b: not due for upkeep
// itself, with room now, and among those with room the fuller one.
func (e *Engine) isBetterRefuge(a, b *worker, room modeler.Resources) bool {
	if dueA, dueB := e.isDue(a.Instance), e.isDue(b.Instance); dueA != dueB {
		return dueB
	}
	freeA, freeB := a.free().Sub(a.promises()), b.free().Sub(b.promises())
	if fitsA, fitsB := room.Fits(freeA), room.Fits(freeB); fitsA != fitsB {
		return fitsA
	} else if fitsA {
		return freeA.CPU < freeB.CPU
	}
	return freeA.CPU > freeB.CPU
}

// keptFor says whether the worker has room now for a task that it keeps room
// for.
func (w *worker) keptFor(t *task) bool {
	return t.step.Room().Fits(w.free().Sub(w.promises()).Add(t.step.Room()))
}

// promise keeps room for a task that is about to come.
func (w *worker) promise(t *task) {
	if t.promised != nil {
		t.promised.unpromise(t)
	}
	t.promised = w
	w.promised = append(w.promised, t)
}

// unpromise gives the room up.
func (w *worker) unpromise(t *task) {
	t.promised = nil
	w.promised = slices.DeleteFunc(w.promised, func(other *task) bool { return other == t })
}

// promises sums up the room that is kept.
func (w *worker) promises() modeler.Resources {
	var sum modeler.Resources
	for _, t := range w.promised {
		sum = sum.Add(t.step.Room())
	}
	return sum
}
