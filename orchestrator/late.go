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

	// maxLongRunningWait is how long a long-running task waits for a start without a
	// response whose worker is gone. By the platform's documentation the task is lost 9 s
	// after its last run.
	maxLongRunningWait = 8500 * time.Millisecond
	maxTakeoverTime    = 3 * time.Second // from the crash of a leader to the start of the next term
)

type (
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
// start of it may still be carried out. Speculative tasks may run twice.
func (s *step) awaitsUnansweredStarts() bool {
	return !s.Speculative
}

// repeatsStarts reports whether a start without a response is sent again at once. The
// members of a gang end if one of them is missing for long, and each second without a
// long-running task is lost. Copies of a speculative task may run in parallel.
func (s *step) repeatsStarts() bool {
	return s.Gang || s.LongRunning || s.Speculative
}

// noteUnansweredStart notes that a worker may carry out a start of the task until a time.
func (e *Engine) noteUnansweredStart(t *task, worker string, run int, until, now time.Time) {
	if !t.step.awaitsUnansweredStarts() {
		return
	}
	if s := e.unanswered.add(worker, runID{t.id, run}, t, until, now); !s.isAwaited() {
		t.unanswered = append(t.unanswered, s)
	}
}

func (t *task) indexUnanswered(worker string, run int) int {
	return slices.IndexFunc(t.unanswered, func(s *unansweredStart) bool { return s.worker == worker && s.id.number == run })
}

// forgetUnansweredStart notes that a worker has carried out a start of the task at the time
// asOf, or can't do so any more. It reports whether the start had got no response.
func (e *Engine) forgetUnansweredStart(t *task, w *worker, run int, asOf time.Time) bool {
	i := t.indexUnanswered(w.ID, run)
	if i >= 0 && (!t.unanswered[i].repeated || asOf.After(t.unanswered[i].until)) {
		e.unanswered.remove(t.unanswered[i])
		t.unanswered = slices.Delete(t.unanswered, i, i+1)
	}
	return i >= 0
}

// noteBegun notes that the present run of a task has begun. The next leader must know it of
// long-running tasks, since it waits for starts that may still be carried out. One record
// tells it of all tasks of the job that start at the same time.
func (e *Engine) noteBegun(t *task) {
	j := t.step.occurrence.job
	j.markStarted()
	if t.step.LongRunning && j.tasksToStart == 0 {
		e.markUnstored(j)
	}
	if j.tasksToStart == maxTasksToStart/2 {
		e.requestPlacement() // of tasks that its turn has left out
	}
}

// noteRefusedRun notes that the present process of a worker begins neither this run of a
// task any more nor an earlier one: it has acknowledged a stop or listed the end.
func (e *Engine) noteRefusedRun(w *worker, id runID) {
	for _, s := range e.unanswered[w.ID] {
		if s.id.task == id.task && s.id.number <= id.number {
			s.refusedBy = w.StartTimeMs
		}
	}
}

// noteStartOfLostRun notes that the start of the task's present run, which is not on its
// worker, may still be carried out: the call is on its way, or a previous leader sent it.
// Late orders of that leader may also have extended the lease of a run that had begun.
func (e *Engine) noteStartOfLostRun(t *task, now time.Time) {
	switch {
	case t.phase == adopted && (!t.began || !t.step.LongRunning && !t.worker.polled && !t.worker.ended && !t.worker.replaced):
		until := e.termStart.Add(maxLateOrderTime)
		if !t.began && (t.worker.ended || t.worker.replaced) {
			until = e.endOfAdoptedStart(t)
		}
		e.noteUnansweredStart(t, t.worker.ID, t.run, until, now)
	case t.phase == starting && !t.permit.withdraw():
		e.noteUnansweredStart(t, t.worker.ID, t.run, now.Add(maxLateOrderTime), now)
	}
}

// awaitsLateStart reports whether the task must not start because an earlier start of it
// may still be carried out, or may have begun a run of which the leader doesn't know. A stop
// doesn't prevent that: the worker's next process doesn't know it.
//
// A long-running task may start on the worker itself, see confineToWorker.
func (e *Engine) awaitsLateStart(t *task, now time.Time) bool {
	t.confinedTo = nil
	if len(t.unanswered) == 0 {
		return false
	}
	if t.waitsSince.IsZero() {
		t.waitsSince = now
	}
	t.unanswered = slices.DeleteFunc(t.unanswered, func(s *unansweredStart) bool {
		over := e.isStartOver(t, s, now)
		if over && (!now.Before(s.until) || e.goneWorkers[s.worker].replaced) {
			e.unanswered.remove(s)
		}
		if over {
			e.log.Info("task waits no longer for a start without a response", "task", t.id.String(), "run", s.id.number, "worker", s.worker, "waited", now.Sub(t.waitsSince).Round(time.Millisecond).String(),
				"may-be-late-for", max(0, s.until.Sub(now)).Round(time.Millisecond).String())
		}
		return over
	})
	for _, s := range t.unanswered {
		if w := e.workersByID[s.worker]; !now.Before(s.until) && w != nil && w.reachable {
			e.pollForLateRuns(w, now)
		}
	}
	return len(t.unanswered) > 0 && !e.confineToWorker(t, now)
}

// confineToWorker lets a long-running task start on the worker that may still carry out
// earlier starts of it, and nowhere else, once the worker's present process refuses them. A
// later process can carry them out only after the run that begins now has ended. The worker
// is told to refuse them if it has not been yet. If it is leaving, the task may start
// anywhere. It reports false if the task must wait.
func (e *Engine) confineToWorker(t *task, now time.Time) bool {
	w := e.workersByID[t.unanswered[0].worker]
	if !t.mayBeConfined() || w == nil || !w.polled || !w.reachable {
		return false
	}
	refused := true
	for _, s := range t.unanswered {
		if s.worker != w.ID {
			return false
		}
		if s.refusedBy != w.StartTimeMs {
			refused = false
			e.refuseLateStart(w, s, now)
		}
	}
	if refused && !w.isLeaving() {
		t.confinedTo = w
	}
	return refused
}

// mayBeConfined reports whether the task may start on a worker that may still carry out an
// earlier start of it. The run of a task that ends might be done by then.
func (t *task) mayBeConfined() bool {
	return t.step.LongRunning && !t.step.Gang
}

// refuseLateStart makes the present process of a worker refuse a start without a response,
// whose run the worker has not listed.
func (e *Engine) refuseLateStart(w *worker, s *unansweredStart, now time.Time) {
	if now.Before(s.refuseAt) {
		return
	}
	s.refuseAt = now.Add(lateStartPollInterval)
	ctx, target, boot := e.callCtx, w.Worker, w.StartTimeMs
	e.runInBackground(func() {
		if e.workers.Stop(ctx, target, s.id.task, s.id.number, e.term.Token) != nil {
			return
		}
		report, err := e.workers.RenewAndPoll(ctx, target, 0, e.term.Token, 0, 0)
		if err != nil || report.StartTimeMs != boot || !isComplete(report) || lists(report, s.id) {
			return // the worker's own polls tell of a run
		}
		e.runInEventLoop(ctx, func() {
			s.refusedBy = boot
			e.log.Info("start without a response is refused by the worker's present process", "task", s.id.task.String(), "run", s.id.number, "worker", target.ID, "born", boot)
			e.requestPlacement()
		})
	})
}

// isLeaving reports whether the worker will take no more tasks, or none for long.
func (w *worker) isLeaving() bool {
	return w.Draining || w.evacuated || w.outOfUse || w.cordonReason != ""
}

// pollForLateRuns asks a worker that responds which of the starts that can't be carried out
// any more have begun a run. The worker's own polls tell of these.
func (e *Engine) pollForLateRuns(w *worker, now time.Time) {
	if now.Before(w.pollForLateRunsAt) {
		return
	}
	w.pollForLateRunsAt = now.Add(lateStartPollInterval)
	starts := slices.DeleteFunc(slices.Clone(e.unanswered[w.ID]), func(s *unansweredStart) bool { return now.Before(s.until) || !s.isAwaited() })
	ctx, target := e.callCtx, w.Worker
	e.runInBackground(func() {
		report, err := e.workers.RenewAndPoll(ctx, target, 0, e.term.Token, 0, 0)
		if err != nil || !isComplete(report) {
			return
		}
		e.runInEventLoop(ctx, func() {
			for _, s := range starts {
				if s.isAwaited() && !lists(report, s.id) {
					e.unanswered.remove(s)
					s.task.unanswered = slices.DeleteFunc(s.task.unanswered, func(other *unansweredStart) bool { return other == s })
					e.log.Info("start without a response was not carried out, its task may start", "task", s.id.task.String(), "run", s.id.number, "worker", w.ID, "born", report.StartTimeMs)
				}
			}
			e.requestPlacement()
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
// or the worker is gone. A long-running task doesn't wait for the return of a worker that
// is gone for as long as others.
func (e *Engine) isStartOver(t *task, s *unansweredStart, now time.Time) bool {
	if e.goneWorkers[s.worker].replaced {
		return true
	}
	if now.Before(s.until) {
		return t.step.LongRunning && !now.Before(t.waitsSince.Add(maxLongRunningWait)) && (e.isGone(s.worker) || e.isRefused(s))
	}
	return e.isGone(s.worker) || !now.Before(s.until.Add(e.longestLease()))
}

// isGone reports whether a worker has ended and the last instance list doesn't name it. A
// worker that only a stored late start names has ended if no list of the term does.
func (e *Engine) isGone(worker string) bool {
	p := &e.planner
	if _, gone := e.goneWorkers[worker]; !gone && (e.workersByID[worker] != nil || e.firstListAt.IsZero() || p.lastListAt.Sub(p.firstListAt) < maxInstanceListAge) {
		return false
	}
	return !p.hasInstanceWith(worker)
}

// isRefused reports whether the present process of a worker refuses a start.
func (e *Engine) isRefused(s *unansweredStart) bool {
	w := e.workersByID[s.worker]
	return w != nil && w.reachable && s.refusedBy == w.StartTimeMs
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
		starts = append(starts, LateStart{s.worker, s.id.number, s.until.UnixMilli()})
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
	latest := e.termStart.Add(maxLateOrderTime)
	j.forEachTask(func(t *task) {
		stored := t.unanswered
		t.unanswered = nil
		if t.phase == waiting && len(stored) > 0 {
			t.waitsSince = e.lastContactBeforeTerm()
		}
		for _, s := range stored {
			until := now.Add(s.until.Sub(wallTime) + maxClockDifference)
			if until.After(latest) {
				until = latest
			}
			if end, ok := e.endOfInheritedStart(t, s.id.number, s.worker, now); ok && t.phase == waiting && until.After(end) {
				until = end
			}
			e.noteUnansweredStart(t, s.worker, s.id.number, until, now)
		}
	})
}
