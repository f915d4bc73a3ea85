package orchestrator

import (
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
}

// handleReportedEnd processes one ended run. It returns the job version that
// must be stored before the worker may drop the ended run from its list.
func (e *Engine) handleReportedEnd(w *worker, ended modeler.EndedTask) reportedEnd {
	delete(w.orphanedRuns, ended.Task)
	result := reportedEnd{number: ended.Number}
	j := e.jobs[ended.Task.Job]
	if j == nil {
		return result
	}
	t := j.findTask(ended.Task)
	if t == nil || t.phase == done {
		return result
	}
	if ended.Run < t.run && t.mayHaveRun() {
		e.handleEndOfEarlierRun(t, ended)
		result.job, result.jobVersion = j, j.version
		return result
	}
	if t.worker != nil && t.worker != w {
		e.log.Error("worker reported the end of a run whose task is placed on another worker", "task", ended.Task.String(), "run", ended.Run, "worker", w.ID, "placed", t.worker.ID)
	}
	e.log.Info("run ended", "task", t.id.String(), "run", ended.Run, "worker", w.ID, "how", ended.EndKind, "took", timeInPhase(t))
	if ended.EndKind == modeler.EndDone && t.phase == running && !t.phaseSince.IsZero() {
		e.recordTaskDuration(t, time.Since(t.phaseSince))
	}
	meter.CountEndedRun(string(ended.EndKind))
	t.run = max(t.run, ended.Run)
	if ended.Checkpoint != "" {
		t.checkpoint = ended.Checkpoint
	}
	e.updateTaskAfterEnd(t, ended)
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
func (e *Engine) updateTaskAfterEnd(t *task, ended modeler.EndedTask) {
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
		e.recordFailedRun(t, ended.Run)
	default:
		t.requeue()
	}
	e.completeJobIfDone(j)
}

// handleEndOfEarlierRun processes the end of a run after which the task has
// already been started again. This happens after a change of leader if the
// previous leader could not store the end.
func (e *Engine) handleEndOfEarlierRun(t *task, ended modeler.EndedTask) {
	e.log.Info("earlier run ended after its task was started again", "task", t.id.String(), "run", ended.Run, "how", ended.EndKind, "present", t.run)
	if ended.EndKind == modeler.EndFailed && !t.step.LongRunning {
		e.recordFailedRun(t, ended.Run)
	}
}

// recordFailedRun records that a run failed. Each run counts only once.
func (e *Engine) recordFailedRun(t *task, run int) {
	if slices.Contains(t.failedRuns, run) {
		return
	}
	t.failedRuns = append(t.failedRuns, run)
	e.markUnstored(t.step.occurrence.job)
	e.failJobAfterTooManyAttempts(t)
}

// failJobAfterTooManyAttempts fails the job of a task that has used up its
// attempts.
func (e *Engine) failJobAfterTooManyAttempts(t *task) {
	j := t.step.occurrence.job
	q := e.cfg.Manifest().QueueOf(&j.Job)
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
	e.markUnstored(j)
	e.completeJobIfDone(j)
}

// reconcileRuns compares the runs that a worker lists with the tasks assigned
// to it: it confirms or adopts listed runs, stops orphaned ones and requeues
// tasks whose run is missing.
func (e *Engine) reconcileRuns(w *worker, sentAt time.Time, report modeler.Report, firstPoll bool) {
	now := time.Now()
	listedRuns := make(map[modeler.TaskID]int, len(report.Running))
	for _, r := range report.Running {
		listedRuns[r.Task] = r.Run
		t := w.tasks[r.Task]
		if t == nil {
			t = e.adoptRun(w, r)
		}
		if t == nil || t.run != r.Run {
			e.stopOrphanedRun(w, r)
			continue
		}
		e.confirmRun(t, r, now)
	}
	for id := range w.orphanedRuns {
		if _, ok := listedRuns[id]; !ok {
			delete(w.orphanedRuns, id)
		}
	}
	for id, t := range w.tasks {
		if run, ok := listedRuns[id]; ok && run == t.run {
			continue
		}
		switch {
		case t.phase == adopted && firstPoll, (t.phase == running || t.phase == stopping) && t.phaseSince.Before(sentAt):
			e.log.Info("run not on its worker, its task is requeued", "task", id.String(), "run", t.run, "worker", w.ID, "phase", t.phase.String())
			e.requeueTask(t)
			e.requestPlacement()
		}
	}
}

// adoptRun takes over a run that the previous leader started without storing
// it. It returns nil if the run must not continue.
func (e *Engine) adoptRun(w *worker, r modeler.RunningTask) *task {
	j := e.jobs[r.Task.Job]
	if j == nil || j.state.IsFinal() {
		return nil
	}
	t := j.findTask(r.Task)
	if t == nil || t.phase != waiting && t.phase != adopted || r.Run <= t.run {
		return nil
	}
	t.requeue() // release the worker of an earlier run
	e.log.Info("run adopted: an earlier leader started it without storing it", "task", r.Task.String(), "run", r.Run, "worker", w.ID)
	t.run = r.Run
	t.assignTo(w, adopted)
	j.hasStarted = true
	if j.state == modeler.Queued {
		j.state = modeler.Running
	}
	e.markUnstored(j)
	return t
}

// confirmRun records that a worker lists the run of a task.
func (e *Engine) confirmRun(t *task, r modeler.RunningTask, now time.Time) {
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	t.startupDone, t.reportedLoad = r.Percent >= fullPace, r.Metric
	switch t.phase {
	case starting, outcomeUnknown, adopted:
		t.phase = running
		t.phaseSince = now
		if t.step.occurrence.job.state.IsFinal() {
			e.requestStop(t)
		}
	}
}

// stopOrphanedRun stops a run that belongs to no assigned task, for example
// because its job has ended.
func (e *Engine) stopOrphanedRun(w *worker, r modeler.RunningTask) {
	if o := w.orphanedRuns[r.Task]; o != nil && o.run == r.Run {
		return // its stop is repeated until it ends
	}
	o := &orphanedRun{run: r.Run}
	w.orphanedRuns[r.Task] = o
	e.log.Info("orphaned run without an assigned task is stopped", "task", r.Task.String(), "run", r.Run, "worker", w.ID)
	e.sendStop(w, r.Task, r.Run, &o.stop)
}
