package orchestrator

import (
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// evacuate moves lasting tasks off a worker that is planned to go. Tasks that
// end by themselves are waited for.
func (e *Engine) evacuate(w *worker, now time.Time) {
	for _, t := range w.tasks {
		if !t.step.LongRunning || t.phase != running || t.step.absent(t) >= max(1, t.step.MayMiss) {
			continue
		}
		to := e.refuge(t, now)
		if to == nil {
			continue
		}
		e.log.Info("task moves", "task", t.id.String(), "run", t.run, "worker", w.ID, "to", to.ID, "reason", w.cordoned)
		to.promise(t)
		e.stop(t)
		e.changed()
	}
}

// refuge finds a worker with room for a task that has to leave its own, nil
// when there is none now.
func (e *Engine) refuge(t *task, now time.Time) *worker {
	var best *worker
	for _, w := range e.fleet {
		if w == t.worker || w.Pool != t.worker.Pool || !w.isOpen(now) || !w.takes(t.step) {
			continue
		}
		if best == nil || e.refugeOrder(w, best) {
			best = w
		}
	}
	return best
}

// refugeOrder says whether a is the better refuge: not due for upkeep itself,
// and with less room left.
func (e *Engine) refugeOrder(a, b *worker) bool {
	if dueA, dueB := e.isDue(a.Instance), e.isDue(b.Instance); dueA != dueB {
		return dueB
	}
	return a.free().CPU < b.free().CPU
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

// takes says whether a task of the step fits on the worker now.
func (w *worker) takes(s *step) bool {
	if !s.Room().Fits(w.free().Sub(w.promises())) || s.Spread > 0 && s.on(w) >= s.Spread {
		return false
	}
	return s.Label == "" || slices.Contains(w.Labels, s.Label)
}
