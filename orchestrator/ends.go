package orchestrator

import (
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const orphanStopRetryInterval = 500 * time.Millisecond // a stop is answered in some ms and done within the platform's stop time

// noteEnds takes in the ends that a worker lists.
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

// noteEnd applies one end and returns the change that has to be stored before
// the worker may forget it.
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
		e.log.Error("end of a run on another worker", "task", ended.Task.String(), "run", ended.Run, "worker", w.ID, "placed", t.worker.ID)
	}
	e.log.Info("run ended", "task", t.id.String(), "run", ended.Run, "worker", w.ID, "how", ended.EndKind, "took", timeInPhase(t))
	if ended.EndKind == modeler.EndDone && t.phase == running && !t.phaseSince.IsZero() {
		e.recordTaskDuration(t, time.Since(t.phaseSince))
	}
	meter.RunEnded(string(ended.EndKind))
	t.run = max(t.run, ended.Run)
	if ended.Checkpoint != "" {
		t.checkpoint = ended.Checkpoint
	}
	e.updateTaskAfterEnd(t, ended)
	result.job, result.jobVersion = j, j.version
	return result
}

func timeInPhase(t *task) string {
	if t.phaseSince.IsZero() {
		return ""
	}
	return time.Since(t.phaseSince).Round(time.Millisecond).String()
}

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

// noteOldEnd takes in the end of a run that another has followed already, as a
// successor finds it when its predecessor could not store it.
func (e *Engine) handleEndOfEarlierRun(t *task, ended modeler.EndedTask) {
	e.log.Info("earlier run ended", "task", t.id.String(), "run", ended.Run, "how", ended.EndKind, "present", t.run)
	if ended.EndKind == modeler.EndFailed && !t.step.LongRunning {
		e.recordFailedRun(t, ended.Run)
	}
}

// countFailure notes a failed run, each only once.
func (e *Engine) recordFailedRun(t *task, run int) {
	if slices.Contains(t.failedRuns, run) {
		return
	}
	t.failedRuns = append(t.failedRuns, run)
	e.markUnstored(t.step.occurrence.job)
	e.failJobAfterTooManyAttempts(t)
}

// checkAttempts fails the job of a task that has failed too often.
func (e *Engine) failJobAfterTooManyAttempts(t *task) {
	j := t.step.occurrence.job
	q := e.cfg.Manifest().Queue(j.Queue)
	if q == nil || len(t.failedRuns) < q.MaxFailedRuns || j.state.IsFinal() {
		return
	}
	e.endJob(j, modeler.Failed, "task "+t.id.NameWithinJob()+" failed too often")
}

// again lets the task run anew after its run has certainly ended or never
// began.
func (e *Engine) requeueTask(t *task) {
	j := t.step.occurrence.job
	t.requeue()
	e.markUnstored(j)
	e.completeJobIfDone(j)
}

// compare matches a worker's list of runs with the tasks placed there.
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
			e.stopOrphanedRun(w, r, now)
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
			e.log.Info("run not there", "task", id.String(), "run", t.run, "worker", w.ID, "phase", t.phase.String())
			e.requeueTask(t)
			e.requestPlacement()
		}
	}
}

// adopt takes over a run that a predecessor has started without storing it. It
// returns nil when the task must not go on there.
func (e *Engine) adoptRun(w *worker, r modeler.RunningTask) *task {
	j := e.jobs[r.Task.Job]
	if j == nil || j.state.IsFinal() {
		return nil
	}
	t := j.findTask(r.Task)
	if t == nil || t.phase != waiting && t.phase != adopted || r.Run <= t.run {
		return nil
	}
	t.requeue() // from where an earlier run was
	e.log.Info("run adopted", "task", r.Task.String(), "run", r.Run, "worker", w.ID)
	t.run = r.Run
	t.assignTo(w, adopted)
	j.hasStarted = true
	if j.state == modeler.Queued {
		j.state = modeler.Running
	}
	e.markUnstored(j)
	return t
}

// confirm notes that a run is there.
func (e *Engine) confirmRun(t *task, r modeler.RunningTask, now time.Time) {
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	t.startupDone, t.reportedLoad = r.Percent >= fullPace, r.Metric
	switch t.phase {
	case starting, doubtful, adopted:
		t.phase = running
		t.phaseSince = now
		if t.step.occurrence.job.state.IsFinal() {
			e.requestStop(t)
		}
	}
}

// stopStray stops a run that no task accounts for, such as one of a job that
// has ended.
func (e *Engine) stopOrphanedRun(w *worker, r modeler.RunningTask, now time.Time) {
	if last, ok := w.orphanedRuns[r.Task]; ok && now.Sub(last) < orphanStopRetryInterval {
		return
	}
	w.orphanedRuns[r.Task] = now
	e.log.Info("run without a task is stopped", "task", r.Task.String(), "run", r.Run, "worker", w.ID)
	e.queueStop(w, r.Task, r.Run)
}
