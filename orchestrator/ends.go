package orchestrator

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// handleReportedEnds processes the ended runs that a worker lists.
func (e *Engine) handleReportedEnds(w *worker, ended []modeler.EndedTask) {
	lastNumber := w.acknowledgedEnd
	if n := len(w.pendingEnds); n > 0 {
		lastNumber = w.pendingEnds[n-1].number
	}
	for _, end := range ended {
		if end.Number <= lastNumber {
			continue
		}
		lastNumber = end.Number
		w.pendingEnds = append(w.pendingEnds, e.handleReportedEnd(w, end))
		e.requestPlacement()
	}
	e.handling = nil
}

// handleReportedEnd processes one ended run. It returns the job version that
// must be stored before the worker may drop the ended run from its list.
func (e *Engine) handleReportedEnd(w *worker, ended modeler.EndedTask) reportedEnd {
	delete(w.orphanedRuns, runID{ended.Task, ended.Run})
	e.noteRefusedRun(w, runID{ended.Task, ended.Run})
	result := reportedEnd{number: ended.Number}
	t := e.findTask(ended.Task)
	if t == nil || t.phase == done {
		e.log.Info("end of a run that no task waits for", "task", ended.Task.String(), "run", ended.Run, "worker", w.ID, "born", w.StartTimeMs, "how", ended.EndKind, "task-done", t != nil)
		return result
	}
	j := t.step.occurrence.job
	e.handling = j
	j.markStarted() // also if no record tells of the run
	e.forgetUnansweredStart(t, w, ended.Run, time.Time{})
	if t.mayHaveRun() && (t.worker != w || ended.Run < t.run) {
		e.handleEndOfEarlierRun(w, t, ended)
		result.job, result.jobVersion = j, j.version
		return result
	}
	e.log.Info("run ended", "task", t.id.String(), "run", ended.Run, "worker", w.ID, "how", ended.EndKind, "took", timeInPhase(t))
	if ended.EndKind == modeler.EndDone && t.phase == running && !t.phaseSince.IsZero() {
		e.recordWorkerSpeed(t, time.Since(t.phaseSince), time.Now())
		e.recordTaskDuration(t, time.Since(t.phaseSince))
	}
	meter.CountEndedRun(string(ended.EndKind))
	if ended.Run >= t.run || t.checkpoint() == "" { // otherwise a later run has reported the known checkpoint or resumed from it
		t.setCheckpoint(ended.Checkpoint)
	}
	t.run = max(t.run, ended.Run)
	e.updateTaskAfterEnd(w, t, ended)
	result.job, result.jobVersion = j, j.version
	return result
}

// timeInPhase returns how long the task has been in its phase, for log lines.
// It is empty if unknown.
func timeInPhase(t *task) string {
	if t.phaseSince.IsZero() {
		return ""
	}
	return time.Since(t.phaseSince).Round(time.Millisecond).String()
}

// updateTaskAfterEnd marks the task done or requeues it, depending on how its
// run ended.
func (e *Engine) updateTaskAfterEnd(w *worker, t *task, ended modeler.EndedTask) {
	j, how := t.step.occurrence.job, ended.EndKind
	e.markUnstored(j)
	switch {
	case how == modeler.EndDone && !t.step.LongRunning && t.step.Gang:
		for _, member := range t.step.tasks {
			member.markDone()
		}
	case how == modeler.EndDone && !t.step.LongRunning:
		t.markDone()
	case how == modeler.EndFailed && !t.step.LongRunning:
		t.requeue()
		e.recordFailedRun(w, t, ended.Run)
	default:
		t.requeue()
	}
	e.completeJobIfDone(j)
}

// handleEndOfEarlierRun processes the end of a run after which the task has
// already been started again. This happens after a change of leader if the
// previous leader could not store the end, and when a worker responds again
// after its leases have expired. The run may have the number of the present one
// or a higher one if it ran on another worker.
func (e *Engine) handleEndOfEarlierRun(w *worker, t *task, ended modeler.EndedTask) {
	e.log.Info("earlier run ended after its task was started again", "task", t.id.String(), "run", ended.Run, "worker", w.ID, "how", ended.EndKind, "present", t.run, "placed", t.worker.ID)
	t.highestRun = max(t.highestRun, ended.Run)
	switch {
	case t.step.LongRunning:
	case ended.EndKind == modeler.EndDone:
		e.stopRunsOfDoneTask(t)
		e.updateTaskAfterEnd(w, t, ended)
	case ended.EndKind == modeler.EndFailed:
		e.recordFailedRun(w, t, ended.Run)
	}
}

// stopRunsOfDoneTask stops the run of a task, and of the other members of its
// gang, of which an earlier run is done. The runs count as orphaned, so that no
// task takes their room before they have ended.
func (e *Engine) stopRunsOfDoneTask(t *task) {
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.step.tasks
	}
	now := time.Now()
	for _, t := range tasks {
		switch t.phase {
		case starting, outcomeUnknown, running, stopping:
			e.stopOrphanedRun(t.worker, t, runID{t.id, t.run}, now)
		}
	}
}

// recordFailedRun records that a run failed. Each run counts only once, also if
// its end is reported again to the next leader.
func (e *Engine) recordFailedRun(w *worker, t *task, run int) {
	if slices.ContainsFunc(t.failedRuns, func(f failedRun) bool { return f.number == run && (f.worker == w.ID || f.worker == "") }) {
		return
	}
	t.failedRuns = append(t.failedRuns, failedRun{run, w.ID})
	e.markUnstored(t.step.occurrence.job)
	e.failJobAfterTooManyAttempts(t)
}

// failJobAfterTooManyAttempts fails the job of a task that has used up its
// attempts.
func (e *Engine) failJobAfterTooManyAttempts(t *task) {
	j := t.step.occurrence.job
	q := j.settingsIn(e.cfg.Manifest()).queue
	if q == nil || len(t.failedRuns) < q.MaxFailedRuns || j.state.IsFinal() {
		return
	}
	e.endJob(j, modeler.Failed, "task "+t.id.IDWithinJob()+" failed too often")
}

// requeueTask queues the task for another run after its last run has certainly
// ended or never started.
func (e *Engine) requeueTask(t *task) {
	j := t.step.occurrence.job
	t.requeue()
	j.markNotStarted()
	e.markUnstored(j)
	e.completeJobIfDone(j)
}

// reconcileRuns compares the runs that a worker lists with the tasks assigned
// to it: it confirms or adopts listed runs, stops orphaned ones and requeues
// tasks whose run is missing. firstReport says that this is the worker's first
// complete report in this term.
func (e *Engine) reconcileRuns(w *worker, sentAt time.Time, report modeler.Report, firstReport bool) {
	now := time.Now()
	listedRuns := make(map[runID]bool, len(report.Running))
	for _, r := range report.Running {
		listedRuns[runID{r.Task, r.Run}] = true
		t, awaited := e.findTask(r.Task), false
		if t != nil {
			t.step.occurrence.job.markStarted()
			awaited = e.forgetUnansweredStart(t, w, r.Run, sentAt) && !t.step.Gang && w.orphanedRuns[runID{r.Task, r.Run}] == nil
		}
		if t == nil || !t.isPlacedAs(w, r.Run) && !e.adoptRun(w, t, r.Run, awaited) {
			e.stopOrphanedRun(w, cmp.Or(t, e.findTaskOfEndedJob(r.Task)), runID{r.Task, r.Run}, now)
			continue
		}
		e.confirmRun(t, r, now)
	}
	if !isComplete(report) {
		return
	}
	for id, r := range w.orphanedRuns {
		if !listedRuns[id] && !r.stop.acknowledgedAt.IsZero() && !sentAt.Before(r.stop.acknowledgedAt) { // before that the run may still begin
			delete(w.orphanedRuns, id)
			e.noteRefusedRun(w, id)
		}
	}
	if firstReport {
		e.assessRestartBeforeTerm(w, listedRuns)
	}
	for id, t := range w.tasks {
		if listedRuns[runID{id, t.run}] {
			continue
		}
		switch {
		case t.phase == adopted && firstReport, (t.phase == running || t.phase == stopping) && t.phaseSince.Before(sentAt):
			e.log.Info("run not on its worker, its task is requeued", "task", id.String(), "run", t.run, "worker", w.ID, "phase", t.phase.String())
			e.noteStartOfLostRun(t, now)
			e.requeueTask(t)
			e.requestPlacement()
		}
	}
}

// adoptRun takes over a run that the previous leader started without storing
// it, or one whose start got no response and for which the task has waited. The record
// may name any worker, also this one, with an earlier run. It returns false if the run
// must not continue.
func (e *Engine) adoptRun(w *worker, t *task, run int, awaited bool) bool {
	t.highestRun = max(t.highestRun, run)
	j := t.step.occurrence.job
	if j.state.IsFinal() || t.phase != waiting && t.phase != adopted || run < t.run || run == t.run && !awaited {
		return false
	}
	t.requeue() // release the worker of an earlier run
	e.log.Info("run adopted: an earlier leader started it without storing it", "task", t.id.String(), "run", run, "worker", w.ID, "awaited", awaited)
	t.run, t.began = run, true
	t.assignTo(w, adopted)
	t.placedAt = time.Time{}
	e.unknownRunsFound = true
	e.markUnstored(j)
	t.placementVersion = j.version
	return true
}

// confirmRun records that a worker lists the run of a task.
func (e *Engine) confirmRun(t *task, r modeler.RunningTask, now time.Time) {
	t.setCheckpoint(r.Checkpoint)
	t.startupDone, t.reportedLoad = r.Percent >= fullPace, r.Metric
	t.dropAssumedCrash()
	switch t.phase {
	case starting, outcomeUnknown, adopted:
		if t.phase == outcomeUnknown {
			e.log.Info("run listed whose start got no response", "task", t.id.String(), "run", r.Run, "worker", t.worker.ID, "born", t.worker.StartTimeMs, "meant-for", t.placementBoot, "after", timeInPhase(t))
		}
		isKnown := t.phase == adopted && t.began
		t.setPhase(running)
		t.phaseSince = now
		if !isKnown {
			e.noteBegun(t)
		}
		e.stopIfUnwanted(t)
	}
	if t.phase == running {
		t.listedFor = now.Sub(t.phaseSince)
		e.forgetCrashes(t)
	}
}

// stopOrphanedRun stops a run that no task needs: its job has ended, its task is
// placed elsewhere, or an earlier run of the task is done. repeatStops repeats the
// stop. t is nil if the job is not known any more.
func (e *Engine) stopOrphanedRun(w *worker, t *task, id runID, now time.Time) {
	if w.orphanedRuns[id] != nil {
		return // its stop is repeated until it ends
	}
	r := &orphanedRun{task: t, since: now}
	w.orphanedRuns[id] = r
	e.workersWithOrphans[w] = true
	e.unknownRunsFound = true
	e.log.Info("orphaned run without an assigned task is stopped", "task", id.task.String(), "run", id.number, "worker", w.ID, "born", w.StartTimeMs)
	e.sendStop(w, id.task, id.number, &r.stop)
}

// tasksWithOrphanedRuns returns the tasks of which some worker may still run an
// orphaned run.
func (e *Engine) tasksWithOrphanedRuns() map[modeler.TaskID]bool {
	var tasks map[modeler.TaskID]bool // nil as long as there is none, which is usual
	for w := range e.orphanHolders() {
		if tasks == nil {
			tasks = make(map[modeler.TaskID]bool)
		}
		for id := range w.orphanedRuns {
			tasks[id.task] = true
		}
	}
	return tasks
}

// orphanHolders returns the workers that have orphaned runs.
func (e *Engine) orphanHolders() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for w := range e.workersWithOrphans {
			if len(w.orphanedRuns) == 0 {
				delete(e.workersWithOrphans, w)
			} else if !yield(w) {
				return
			}
		}
	}
}
