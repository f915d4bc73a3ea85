package orchestrator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/pacer"
)

// adjustFillerPace slows down the tasks on a worker that use idle CPU
// (fillers), so that tasks with a latency target get enough CPU.
func (e *Engine) adjustFillerPace(w *worker, now time.Time) {
	var filling []*task
	view := pacer.Worker{PacePercent: w.idleCPUPacePercent, SinceLastChange: now.Sub(w.paceChangedAt)}
	for _, t := range w.tasks {
		switch {
		case t.step.UsesIdleCPU && t.phase == running:
			filling = append(filling, t)
		case t.step.LatencyTarget > 0 && t.phase == running:
			view.LatencyTasks = append(view.LatencyTasks, pacer.LatencyTask{TailLatency: time.Duration(t.reportedLoad) * time.Millisecond, TargetLatency: t.step.LatencyTarget})
		}
	}
	if len(filling) == 0 {
		w.idleCPUPacePercent = fullPace
		return
	}
	if pace := pacer.NextPace(view); pace != w.idleCPUPacePercent {
		e.log.Info("pace changes for the tasks that use idle CPU", "worker", w.ID, "from", w.idleCPUPacePercent, "to", pace, "filling", len(filling), "serving", len(view.LatencyTasks))
		w.idleCPUPacePercent, w.paceChangedAt = pace, now
	}
	for _, t := range filling {
		if t.pacePercent != w.idleCPUPacePercent {
			e.sendPaceCommand(w, t, w.idleCPUPacePercent)
		}
	}
}

// sendPaceCommand sends the pace of a task to its worker. If the call fails,
// the pace is sent again after the next poll.
func (e *Engine) sendPaceCommand(w *worker, t *task, percent int) {
	info, id, run, token := w.Worker, t.id, t.run, e.term.Token
	queued := e.queueCall(w, func(ctx context.Context) {
		err := e.workers.SetPace(ctx, info, id, run, percent, token)
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
	if queued {
		t.pacePercent = percent
	}
}
