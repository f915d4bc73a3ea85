package orchestrator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/requester"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const settlePause = 100 * time.Millisecond // between attempts to learn what became of an order

// start orders a stored placement.
func (e *Engine) start(ctx context.Context, t *task) {
	w, now := t.worker, time.Now()
	o := modeler.StartOrder{
		Task: t.id, Run: t.run, Spec: t.step.occurrence.job.Spec, Checkpoint: t.checkpoint, FencingToken: e.term.Token,
		DeadlineMs: w.clock.ahead(now, e.cfg.RunLease), Ticket: t.ticket,
	}
	w.deadline = max(w.deadline, o.DeadlineMs)
	t.phase, t.since = starting, now
	info := w.Worker
	e.order(w, func(ctx context.Context) {
		clock, err := e.workers.Start(ctx, info, o)
		e.post(ctx, func() { e.started(ctx, w, t, o, clock, err) })
	})
}

// order queues a call to a worker. A full queue means that the worker does not
// answer; the lease then settles what becomes of its runs.
func (e *Engine) order(w *worker, fn func(ctx context.Context)) {
	if w.orders == nil || !w.orders.Offer(fn) {
		e.log.Warn("order dropped", "worker", w.ID)
	}
}

// started takes in the answer to a start.
func (e *Engine) started(ctx context.Context, w *worker, t *task, o modeler.StartOrder, clock int64, err error) {
	if t.worker != w || t.run != o.Run || t.phase != starting {
		return // the worker's list was faster, or the worker is lost
	}
	now := time.Now()
	meter.Start(orderOutcome(err), now.Sub(t.since))
	switch {
	case err == nil:
		e.log.Info("run started", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "clock", clock)
		t.phase, t.since = running, now
		if t.step.occurrence.job.state.IsFinal() {
			e.stop(t)
		}
	case errors.Is(err, modeler.ErrFenced):
		e.log.Warn("superseded", "worker", w.ID)
		e.term.Depose()
	case hasNotRun(err):
		e.log.Info("start refused", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "error", err)
		e.refused(w, t, now, err)
	default:
		e.log.Info("start in doubt", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "error", err)
		t.phase = doubtful
		w.doubted = true
		info := w.Worker
		e.spawn(func() { e.settle(ctx, info, w, t, o) })
	}
}

// orderOutcome names the outcome of a call to a worker.
func orderOutcome(err error) meter.Outcome {
	switch {
	case err == nil:
		return meter.OK
	case hasNotRun(err):
		return meter.Refused
	}
	return meter.Unknown
}

// hasNotRun says whether a failed order has certainly not been carried out.
func hasNotRun(err error) bool {
	var lost *requester.Error
	return !errors.As(err, &lost) || !lost.Sent
}

func (e *Engine) refused(w *worker, t *task, now time.Time, err error) {
	if errors.Is(err, modeler.ErrInvalidTicket) {
		t.step.allowed = nil
	} else if !errors.Is(err, modeler.ErrStaleRun) {
		w.suspect(now)
	}
	e.again(t)
	e.changed()
}

// settle finds out what became of an unanswered start: either the run is there,
// or it is stopped before it can begin.
func (e *Engine) settle(ctx context.Context, info modeler.Worker, w *worker, t *task, o modeler.StartOrder) {
	stopped := false
	for ctx.Err() == nil {
		report, err := e.workers.Hold(ctx, info, 0, e.term.Token, 0, 0)
		if err == nil {
			there := isRunning(report, o)
			if there || stopped {
				e.post(ctx, func() { e.settled(w, t, o, there && !stopped, report) })
				return
			}
		}
		if err := e.workers.Stop(ctx, info, o.Task, o.Run, o.FencingToken); err == nil {
			stopped = true
			continue
		}
		if supervisor.Pause(ctx, settlePause) != nil {
			return
		}
	}
}

func isRunning(report modeler.Report, o modeler.StartOrder) bool {
	for _, r := range report.Running {
		if r.Task == o.Task && r.Run == o.Run {
			return true
		}
	}
	return false
}

// settled ends the doubt about a start.
func (e *Engine) settled(w *worker, t *task, o modeler.StartOrder, there bool, report modeler.Report) {
	w.doubted = false
	if t.worker != w || t.run != o.Run || t.phase != doubtful {
		return
	}
	if there {
		e.log.Info("run started", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "clock", report.ClockMs, "settled", true)
		t.phase, t.since = running, time.Now()
		if t.step.occurrence.job.state.IsFinal() {
			e.stop(t)
		}
		return
	}
	for _, ended := range report.Ended {
		if ended.Task == o.Task && ended.Run == o.Run {
			return // the worker's list brings the end
		}
	}
	if isRunning(report, o) {
		t.phase, t.since = stopping, time.Now()
		return
	}
	e.log.Info("start prevented", "task", o.Task.String(), "run", o.Run, "worker", w.ID)
	e.again(t)
	e.changed()
}

// stop ends a task's run; the worker's lists tell when it has ended.
func (e *Engine) stop(t *task) {
	switch t.phase {
	case running:
		t.phase, t.since = stopping, time.Now()
		e.sendStop(t.worker, t.id, t.run)
	case placed:
		e.again(t) // nothing has been ordered yet
	}
}

func (e *Engine) sendStop(w *worker, id modeler.TaskID, run int) {
	info, token := w.Worker, e.term.Token
	e.order(w, func(ctx context.Context) {
		for ctx.Err() == nil {
			err := e.workers.Stop(ctx, info, id, run, token)
			if err == nil || hasNotRun(err) && !errors.Is(err, modeler.ErrUnhealthy) {
				return
			}
			if supervisor.Pause(ctx, settlePause) != nil {
				return
			}
		}
	})
}
