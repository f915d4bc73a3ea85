package orchestrator

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// evacuate moves lasting tasks off a worker that is planned to go. Tasks that
// end by themselves are waited for.
func (e *Engine) evacuate(w *worker, now time.Time) {
	for _, t := range w.tasks {
		if t.step.LongRunning && t.phase == running && e.mayLeave(t, now) {
			e.log.Info("task moves", "task", t.id.String(), "run", t.run, "worker", w.ID, "reason", w.cordoned)
			t.leaving = true
			e.stop(t)
			e.changed()
		}
	}
}

// mayLeave says whether a lasting task may be stopped to run elsewhere: its
// step keeps enough tasks at work, and there is room for it.
func (e *Engine) mayLeave(t *task, now time.Time) bool {
	if t.step.absent(t) >= max(1, t.step.MayMiss) {
		return false
	}
	for _, w := range e.fleet {
		if w != t.worker && w.Pool == t.worker.Pool && w.isOpen(now) && w.takes(t.step) {
			return true
		}
	}
	return false
}

// takes says whether a task of the step fits on the worker now.
func (w *worker) takes(s *step) bool {
	if !s.Room().Fits(w.free()) || s.Spread > 0 && s.on(w) >= s.Spread {
		return false
	}
	return s.Label == "" || hasLabel(w.Worker, s.Label)
}

func hasLabel(w modeler.Worker, label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
