package orchestrator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	maxRepeatedStarts     = 5                      // of a run without a response; after that the run is stopped
	lateStartPollInterval = 500 * time.Millisecond // between polls whether a start that can't be carried out any more has begun a run
	lateRunCheckInterval  = 100 * time.Millisecond // between checks whether a run without a response may still begin
)

type (
	// unansweredStart is a start of a task of which it is not known whether its worker has
	// carried it out. A process that the worker starts later may do so too: it knows neither
	// a stop of the run nor a fencing token until the leader calls it, nor that an earlier
	// process has carried out another start of the task.
	unansweredStart struct {
		worker   string // ID
		run      int
		until    time.Time // the start is not carried out after this time
		repeated bool      // the start was sent again, so that the run's appearance tells of one of the calls only
		pollAt   time.Time // when the worker is asked next whether it runs what the start has begun
	}

	// goneWorker is a worker that has ended.
	goneWorker struct {
		since    time.Time // when it was found to have ended
		replaced bool      // another worker runs on its instance
	}

	// LateStart is the stored form of a start without a response, of a task that must not
	// start elsewhere before it can't be carried out any more.
	LateStart struct {
		Worker  string `json:"worker"`
		Run     int    `json:"run"`
		UntilMs int64  `json:"until"` // in ms of Unix time, by the clock of the entry node that wrote the record
	}
)

// awaitsUnansweredStarts reports whether a task of the step must not start while an earlier
// start of it may still be carried out. Speculative tasks may run twice. Long-running ones
// don't wait, because each second without them is lost.
func (s *step) awaitsUnansweredStarts() bool {
	return !s.LongRunning && !s.Speculative
}

// repeatsStarts reports whether a start without a response is sent again at once. The
// members of a gang end if one of them is missing for long.
func (s *step) repeatsStarts() bool {
	return s.Gang || !s.awaitsUnansweredStarts()
}

// noteUnansweredStart notes that a worker may carry out a start of the task until a time.
func (t *task) noteUnansweredStart(worker string, run int, until time.Time) {
	if !t.step.awaitsUnansweredStarts() {
		return
	}
	if i := t.indexUnanswered(worker, run); i >= 0 {
		t.unanswered[i].until = until
		return
	}
	t.unanswered = append(t.unanswered, unansweredStart{worker: worker, run: run, until: until})
}

func (t *task) indexUnanswered(worker string, run int) int {
	return slices.IndexFunc(t.unanswered, func(s unansweredStart) bool { return s.worker == worker && s.run == run })
}

// forgetUnansweredStart notes that a worker has carried out a start of the task, or can't
// do so any more. It reports whether the start had got no response.
func (t *task) forgetUnansweredStart(w *worker, run int) bool {
	i := t.indexUnanswered(w.ID, run)
	if i >= 0 && !t.unanswered[i].repeated {
		t.unanswered = slices.Delete(t.unanswered, i, i+1)
	}
	return i >= 0
}

// noteStartOfLostRun notes that the start of the task's present run, which is not on its
// worker, may still be carried out: the call is on its way, or a previous leader sent it.
// Late orders of that leader may also have extended the lease of a run that had begun.
func (e *Engine) noteStartOfLostRun(t *task, now time.Time) {
	switch {
	case t.phase == adopted && (!t.began || !t.worker.polled && !t.worker.ended && !t.worker.replaced):
		t.noteUnansweredStart(t.worker.ID, t.run, e.termStart.Add(maxLateOrderTime))
	case t.phase == starting && !t.permit.withdraw():
		t.noteUnansweredStart(t.worker.ID, t.run, now.Add(maxLateOrderTime))
	}
}

// awaitsLateStart reports whether the task must not start because an earlier start of it
// may still be carried out, or may have begun a run of which the leader doesn't know. A stop
// doesn't prevent that: the worker's next process doesn't know it.
func (e *Engine) awaitsLateStart(t *task, now time.Time) bool {
	if len(t.unanswered) == 0 {
		return false
	}
	t.unanswered = slices.DeleteFunc(t.unanswered, func(s unansweredStart) bool { return e.isStartOver(s, now) })
	for i := range t.unanswered {
		e.pollForLateRun(t, &t.unanswered[i], now)
	}
	return len(t.unanswered) > 0
}

// pollForLateRun asks a worker that responds whether a start that can't be carried out any
// more has begun a run. The worker's own polls tell of one.
func (e *Engine) pollForLateRun(t *task, s *unansweredStart, now time.Time) {
	w := e.workersByID[s.worker]
	if now.Before(s.until) || now.Before(s.pollAt) || w == nil || !w.reachable {
		return
	}
	s.pollAt = now.Add(lateStartPollInterval)
	ctx, target, id := e.callCtx, w.Worker, runID{t.id, s.run}
	e.runInBackground(func() {
		report, err := e.workers.RenewAndPoll(ctx, target, 0, e.term.Token, 0, 0)
		if err != nil || !isComplete(report) || lists(report, id) {
			return
		}
		e.runInEventLoop(ctx, func() {
			if i := t.indexUnanswered(w.ID, id.number); i >= 0 {
				t.unanswered = slices.Delete(t.unanswered, i, i+1)
				e.log.Info("start without a response was not carried out, its task may start", "task", id.task.String(), "run", id.number, "worker", w.ID, "born", report.StartTimeMs)
				e.requestPlacement()
			}
		})
	})
}

// lists reports whether the report lists a run or its end.
func lists(report modeler.Report, id runID) bool {
	return slices.ContainsFunc(report.Running, func(r modeler.RunningTask) bool { return runID{r.Task, r.Run} == id }) ||
		slices.ContainsFunc(report.Ended, func(r modeler.EndedTask) bool { return runID{r.Task, r.Run} == id })
}

// isStartOver reports whether a start without a response can't be carried out any more and
// no process runs what it has begun, although its worker doesn't tell: the lease has expired,
// or the worker is gone.
func (e *Engine) isStartOver(s unansweredStart, now time.Time) bool {
	g, gone := e.goneWorkers[s.worker]
	if g.replaced {
		return true
	}
	if now.Before(s.until) {
		return false
	}
	return gone && !e.planner.hasInstanceWith(s.worker) || !now.Before(s.until.Add(e.longestLease()))
}

// hasInstanceWith reports whether the last instance list names a worker.
func (p *instancePlanner) hasInstanceWith(worker string) bool {
	for _, i := range p.instances {
		if i.Worker == worker {
			return true
		}
	}
	return false
}

// lateStarts returns the stored form of the task's starts without a response.
func (t *task) lateStarts() []LateStart {
	var starts []LateStart
	for _, s := range t.unanswered {
		starts = append(starts, LateStart{s.worker, s.run, s.until.UnixMilli()})
	}
	return starts
}

// endOfLateRun returns when the lease of a run has certainly expired whose start was sent
// until sent and is carried out late, by a process that the leader doesn't reach.
func (e *Engine) endOfLateRun(sent time.Time) time.Time {
	return sent.Add(maxLateOrderTime + e.longestLease())
}

// noteGoneWorker notes that a worker has ended: none runs on its instance, or another one
// does. Only the latter proves that it won't return under its ID.
func (e *Engine) noteGoneWorker(id string, replaced bool, now time.Time) {
	maps.DeleteFunc(e.goneWorkers, func(_ string, g goneWorker) bool { return now.After(e.endOfLateRun(g.since)) })
	g, ok := e.goneWorkers[id]
	if !ok {
		g.since = now
	}
	g.replaced = g.replaced || replaced
	e.goneWorkers[id] = g
}

// handleUnlistedStart goes on with a start that got no response and whose run the worker
// doesn't list: the task waits for the run to begin, the start is sent again, or the run is
// stopped.
func (e *Engine) handleUnlistedStart(ctx context.Context, w *worker, t *task, o modeler.StartOrder, report modeler.Report) {
	if t.worker != w || t.run != o.Run || t.phase != outcomeUnknown {
		return // a poll has reported the run, or the task was requeued
	}
	switch {
	case !t.step.repeatsStarts() && e.awaitsRun(w, t, o, time.Now()) && report.StartTimeMs == w.StartTimeMs:
		w.hasUnknownStart = false
		e.log.Info("run may still begin whose start got no response, its task waits", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "born", w.StartTimeMs)
		e.checkAwaitedRun(ctx, w, t, o)
	case t.step.repeatsStarts() && e.mayRepeatStart(w, t, o, report):
		w.hasUnknownStart = false
		t.startsRepeated++
		if i := t.indexUnanswered(w.ID, o.Run); i >= 0 {
			t.unanswered[i].repeated = true
		}
		e.log.Info("start of a run without a response sent again", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "repeated", t.startsRepeated)
		e.sendStart(ctx, t, time.Now())
	default:
		e.stopUnlistedRun(ctx, w, t, o, report.StartTimeMs)
	}
}

// awaitsRun reports whether a task whose start got no response waits for its run to begin:
// the process for which the start was meant may still carry it out, and the run is wanted
// there. After the deadline in the start only a later process may.
func (e *Engine) awaitsRun(w *worker, t *task, o modeler.StartOrder, now time.Time) bool {
	wanted := !t.step.occurrence.job.state.IsFinal() && !t.isGangWithdrawn()
	usable := w.listed && !w.evacuated && !w.outOfUse && !w.Draining && w.cordonReason == ""
	return wanted && usable && t.placementBoot == w.StartTimeMs && now.Before(w.clockSample.localTimeOf(o.DeadlineMs))
}

// checkAwaitedRun stops a run whose start got no response as soon as it is not awaited any
// more. The polls of the worker tell if it has begun.
func (e *Engine) checkAwaitedRun(ctx context.Context, w *worker, t *task, o modeler.StartOrder) {
	e.runInBackground(func() {
		if supervisor.Pause(ctx, lateRunCheckInterval) != nil {
			return
		}
		e.runInEventLoop(ctx, func() {
			switch {
			case t.worker != w || t.run != o.Run || t.phase != outcomeUnknown:
			case w.failedPolls > 0 || e.awaitsRun(w, t, o, time.Now()):
				e.checkAwaitedRun(ctx, w, t, o)
			default:
				e.stopUnlistedRun(ctx, w, t, o, w.StartTimeMs)
			}
		})
	})
}

// mayRepeatStart reports whether a start without a response may be sent again to the same
// process of its worker, which doesn't list the run or its end. Under the same number the
// process carries out only one of the calls.
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

// adoptLateStarts converts the times of the starts without a response in the record of a job
// to the clock of this entry node. No start of a previous leader is carried out later than
// those that it sent at the end of its term.
func (e *Engine) adoptLateStarts(j *job) {
	now, wallTime := time.Now(), e.cfg.WallClock()
	j.forEachTask(func(t *task) {
		for i := range t.unanswered {
			s := &t.unanswered[i]
			s.until = now.Add(s.until.Sub(wallTime) + maxClockDifference)
			if latest := e.termStart.Add(maxLateOrderTime); s.until.After(latest) {
				s.until = latest
			}
		}
	})
}
