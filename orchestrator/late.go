package orchestrator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const maxRepeatedStarts = 5 // of a run without a response; after that the run is stopped

// unansweredStart is a start of a task of which it is not known whether its worker has
// carried it out. A process that the worker starts later may do so too: it knows neither
// a stop of the run nor a fencing token until the leader calls it.
type unansweredStart struct {
	worker   string // ID
	run      int
	until    time.Time // a run that it starts is over by then, unless the leader extends its lease
	repeated bool      // the start was sent again, so that the run's appearance tells of one of the calls only
}

// endOfLateRun returns when the lease of a run has certainly expired whose start was sent
// until sent and is carried out late, by a process that the leader doesn't reach.
func (e *Engine) endOfLateRun(sent time.Time) time.Time {
	return sent.Add(maxLateOrderTime + e.longestLease())
}

// noteUnansweredStart notes that a worker may carry out a start of the task, see
// endOfLateRun for until.
func (t *task) noteUnansweredStart(w *worker, run int, until time.Time) {
	s := unansweredStart{worker: w.ID, run: run, until: until}
	if i := t.indexUnanswered(w, run); i >= 0 {
		s.repeated = t.unanswered[i].repeated
		t.unanswered[i] = s
		return
	}
	t.unanswered = append(t.unanswered, s)
}

func (t *task) indexUnanswered(w *worker, run int) int {
	return slices.IndexFunc(t.unanswered, func(s unansweredStart) bool { return s.worker == w.ID && s.run == run })
}

// noteRunSeen notes that a worker has listed a run of the task or its end: it has carried
// out the start.
func (t *task) noteRunSeen(w *worker, run int) {
	if i := t.indexUnanswered(w, run); i >= 0 && !t.unanswered[i].repeated {
		t.unanswered = slices.Delete(t.unanswered, i, i+1)
	}
}

// noteStartPrevented notes that the present process of a worker won't carry out a start of
// the task, because it has acknowledged a stop of the run.
func (t *task) noteStartPrevented(w *worker, run int) {
	if i := t.indexUnanswered(w, run); i >= 0 {
		t.unanswered = slices.Delete(t.unanswered, i, i+1)
	}
}

// noteStartOfLostRun notes that a worker which does not respond may still carry out the
// start of the task's present run: the call is on its way, or a previous leader sent it.
func (e *Engine) noteStartOfLostRun(t *task, now time.Time) {
	switch {
	case e.isGone(t.worker.ID):
	case t.phase == adopted && !t.worker.polled:
		t.noteUnansweredStart(t.worker, t.run, e.endOfLateRun(e.termStart))
	case t.phase == starting && !t.permit.withdraw():
		t.noteUnansweredStart(t.worker, t.run, e.endOfLateRun(now))
	}
}

// awaitsLateStart reports whether the task must not start because a worker that does not
// respond, or whose present process has not been told otherwise, may carry out an earlier
// start of it. Long-running tasks don't wait, because each second without them is lost.
func (e *Engine) awaitsLateStart(t *task, now time.Time) bool {
	if len(t.unanswered) == 0 || t.step.LongRunning {
		return false
	}
	t.unanswered = slices.DeleteFunc(t.unanswered, func(s unansweredStart) bool {
		return !now.Before(s.until) || e.isGone(s.worker)
	})
	return len(t.unanswered) > 0
}

// noteGoneWorker notes that a worker has ended for certain: another one runs on its
// instance, or none does.
func (e *Engine) noteGoneWorker(id string, now time.Time) {
	maps.DeleteFunc(e.goneWorkers, func(_ string, since time.Time) bool { return now.After(e.endOfLateRun(since)) })
	if _, ok := e.goneWorkers[id]; !ok {
		e.goneWorkers[id] = now
	}
}

func (e *Engine) isGone(worker string) bool {
	_, ok := e.goneWorkers[worker]
	return ok
}

// repeatOrStopStart sends a start again that got no response and whose run the worker
// doesn't list. Under the same number the worker carries out only one of the calls, also
// if a process that it starts later receives them. If the start can't be sent again, the
// run is stopped instead.
func (e *Engine) repeatOrStopStart(ctx context.Context, w *worker, t *task, o modeler.StartOrder, report modeler.Report) {
	if t.worker != w || t.run != o.Run || t.phase != outcomeUnknown {
		return // a poll has reported the run, or the task was requeued
	}
	if !e.mayRepeatStart(w, t, o, report) {
		e.stopUnlistedRun(ctx, w, t, o, report.StartTimeMs)
		return
	}
	w.hasUnknownStart = false
	t.startsRepeated++
	if i := t.indexUnanswered(w, o.Run); i >= 0 {
		t.unanswered[i].repeated = true
	}
	e.log.Info("start of a run without a response sent again", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "repeated", t.startsRepeated)
	e.sendStart(ctx, t, time.Now())
}

// mayRepeatStart reports whether a start without a response may be sent again to the same
// process of its worker, which doesn't list the run or its end.
func (e *Engine) mayRepeatStart(w *worker, t *task, o modeler.StartOrder, report modeler.Report) bool {
	wanted := !e.shuttingDown && !t.step.occurrence.job.state.IsFinal() && !t.isGangWithdrawn()
	usable := w.listed && w.hasKnownCapacity() && w.mayBeUsed() && !w.outOfUse && !w.Draining && w.cordonReason == "" && !e.zoneState.outdated && e.term.MayExtend()
	ended := slices.ContainsFunc(report.Ended, func(r modeler.EndedTask) bool { return r.Task == o.Task && r.Run == o.Run })
	return wanted && usable && !ended && isComplete(report) && report.StartTimeMs == w.StartTimeMs && t.placementBoot == w.StartTimeMs && t.startsRepeated < maxRepeatedStarts
}

// stopUnlistedRun stops a run that the worker's process which started at boot doesn't
// list, so that it can no longer begin there, and resolves its start again.
func (e *Engine) stopUnlistedRun(ctx context.Context, w *worker, t *task, o modeler.StartOrder, boot int64) {
	target := w.Worker
	e.runInBackground(func() {
		if e.workers.Stop(ctx, target, o.Task, o.Run, o.FencingToken) != nil {
			if boot = 0; supervisor.Pause(ctx, callRetryInterval) != nil {
				return
			}
		}
		e.runInEventLoop(ctx, func() { e.resolveUnknownStart(ctx, w, t, o, boot) })
	})
}
