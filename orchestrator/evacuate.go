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
		if !t.step.LongRunning || t.phase != running {
			continue
		}
		to, obstacle := e.moveTo(t, now)
		if obstacle != t.obstacle {
			t.obstacle = obstacle
			if obstacle != "" {
				e.log.Info("task cannot move", "task", t.id.String(), "worker", w.ID, "because", obstacle,
					"absent", t.step.absent(t), "may-miss", t.step.MaxAbsent)
			}
		}
		if obstacle != "" {
			continue
		}
		e.log.Info("task moves", "task", t.id.String(), "run", t.run, "worker", w.ID, "to", to.ID, "reason", w.cordoned,
			"absent", t.step.absent(t), "may-miss", t.step.MaxAbsent)
		e.stop(t)
		e.changed()
	}
}

// moveTo returns the worker that a lasting task can move to now, or what keeps
// it from moving.
func (e *Engine) moveTo(t *task, now time.Time) (to *worker, obstacle string) {
	if t.step.absent(t) >= max(1, t.step.MaxAbsent) {
		return nil, "others of its step are away"
	}
	to = e.refuge(t, now)
	if to == nil {
		e.history(t.worker.Pool).stuck = now
		return nil, "no worker can take it"
	}
	if to != t.promised {
		to.promise(t)
	}
	if !to.keptFor(t) {
		e.history(t.worker.Pool).stuck = now
		return nil, "no room yet" // smaller tasks end there and no new ones come
	}
	return to, ""
}

// refuge finds the worker that a task goes to that has to leave its own: one
// with room now, or the one that keeps room for it already, or the one that will
// soonest have room. It is nil when there is none.
func (e *Engine) refuge(t *task, now time.Time) *worker {
	kept := t.promised
	if kept != nil && (!kept.isOpen(now) || t.step.others(kept) < 0) {
		kept = nil
	}
	if kept != nil && kept.keptFor(t) {
		return kept
	}
	best := e.bestRefuge(t, now)
	if kept != nil && (best == nil || !t.step.ReservedResources().Fits(best.spare())) {
		return kept
	}
	return best
}

// bestRefuge finds the best worker that could take a task besides its own.
func (e *Engine) bestRefuge(t *task, now time.Time) *worker {
	var best *worker
	for _, w := range e.fleet {
		if w == t.worker || w.Pool != t.worker.Pool || !w.isOpen(now) || t.step.others(w) < 0 {
			continue
		}
		if !t.step.ReservedResources().Fits(w.Capacity) || t.step.Label != "" && !slices.Contains(w.Labels, t.step.Label) {
			continue
		}
		if best == nil || e.isBetterRefuge(w, best, t.step.ReservedResources()) {
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
	freeA, freeB := a.spare(), b.spare()
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
	return t.step.ReservedResources().Fits(w.spare().Add(t.step.ReservedResources()))
}

// spare is the room that is neither in use nor promised.
func (w *worker) spare() modeler.Resources {
	return w.free().Sub(w.promises())
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
		sum = sum.Add(t.step.ReservedResources())
	}
	return sum
}
