package orchestrator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/pacer"
)

// paceWorker lets the tasks that fill leave enough to those that serve.
func (e *Engine) adjustFillerPace(w *worker, now time.Time) {
	var filling []*task
	view := pacer.Worker{Pace: w.fillerPace, Since: now.Sub(w.paceChangedAt)}
	for _, t := range w.tasks {
		switch {
		case t.step.UsesIdleCPU && t.phase == running:
			filling = append(filling, t)
		case t.step.LatencyTarget > 0 && t.phase == running:
			view.Serving = append(view.Serving, pacer.Serving{Tail: time.Duration(t.reportedLoad) * time.Millisecond, Target: t.step.LatencyTarget})
		}
	}
	if len(filling) == 0 {
		w.fillerPace = fullPace
		return
	}
	if pace := pacer.Next(view); pace != w.fillerPace {
		e.log.Info("pace changes", "worker", w.ID, "from", w.fillerPace, "to", pace, "filling", len(filling), "serving", len(view.Serving))
		w.fillerPace, w.paceChangedAt = pace, now
	}
	for _, t := range filling {
		if t.pacePercent != w.fillerPace {
			e.sendPaceCommand(w, t, w.fillerPace)
		}
	}
}

// sendPace orders the pace of one task. A pace that did not arrive is ordered
// again at the next look.
func (e *Engine) sendPaceCommand(w *worker, t *task, percent int) {
	info, id, run, token := w.Worker, t.id, t.run, e.term.Token
	t.pacePercent = percent
	e.queueCall(w, func(ctx context.Context) {
		err := e.workers.Pace(ctx, info, id, run, percent, token)
		if err == nil {
			return
		}
		e.runInEventLoop(ctx, func() {
			if errors.Is(err, modeler.ErrFenced) {
				e.term.Depose()
			}
			if t.run == run && t.pacePercent == percent {
				t.pacePercent = unknownPace
			}
		})
	})
}
