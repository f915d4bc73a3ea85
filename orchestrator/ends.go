package orchestrator

import (
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const strayRepeat = 500 * time.Millisecond // a stop is answered in some ms and done within the platform's stop time

// noteEnds takes in the ends that a worker lists.
func (e *Engine) noteEnds(w *worker, ended []modeler.EndedTask) {
	last := w.seen
	if n := len(w.ends); n > 0 {
		last = w.ends[n-1].number
	}
	for _, end := range ended {
		if end.Number <= last {
			continue
		}
		last = end.Number
		w.ends = append(w.ends, e.noteEnd(w, end))
		e.changed()
	}
}

// noteEnd applies one end and returns the change that has to be stored before
// the worker may forget it.
func (e *Engine) noteEnd(w *worker, ended modeler.EndedTask) end {
	delete(w.strays, ended.Task)
	noted := end{number: ended.Number}
	j := e.jobs[ended.Task.Job]
	if j == nil {
		return noted
	}
	t := j.find(ended.Task)
	if t == nil || t.phase == done {
		return noted
	}
	if ended.Run < t.run && t.hasRun() {
		e.noteOldEnd(t, ended)
		noted.job, noted.version = j, j.version
		return noted
	}
	if t.worker != nil && t.worker != w {
		e.log.Error("end of a run on another worker", "task", ended.Task.String(), "run", ended.Run, "worker", w.ID, "placed", t.worker.ID)
	}
	e.log.Info("run ended", "task", t.id.String(), "run", ended.Run, "worker", w.ID, "how", ended.EndKind, "took", since(t))
	if ended.EndKind == modeler.EndDone && t.phase == running && !t.since.IsZero() {
		e.noteDuration(t, time.Since(t.since))
	}
	meter.RunEnded(string(ended.EndKind))
	t.run = max(t.run, ended.Run)
	if ended.Checkpoint != "" {
		t.checkpoint = ended.Checkpoint
	}
	e.applyEnd(t, ended)
	noted.job, noted.version = j, j.version
	return noted
}

func since(t *task) string {
	if t.since.IsZero() {
		return ""
	}
	return time.Since(t.since).Round(time.Millisecond).String()
}

func (e *Engine) applyEnd(t *task, ended modeler.EndedTask) {
	j, how := t.step.occurrence.job, ended.EndKind
	e.change(j)
	switch {
	case how == modeler.EndDone && !t.step.LongRunning && t.step.Gang:
		for _, member := range t.step.tasks {
			member.finish()
		}
	case how == modeler.EndDone && !t.step.LongRunning:
		t.finish()
	case how == modeler.EndFailed && !t.step.LongRunning:
		t.requeue()
		e.countFailure(t, ended.Run)
	default:
		t.requeue()
	}
	e.settleJob(j)
}

// noteOldEnd takes in the end of a run that another has followed already, as a
// successor finds it when its predecessor could not store it.
func (e *Engine) noteOldEnd(t *task, ended modeler.EndedTask) {
	e.log.Info("earlier run ended", "task", t.id.String(), "run", ended.Run, "how", ended.EndKind, "present", t.run)
	if ended.EndKind == modeler.EndFailed && !t.step.LongRunning {
		e.countFailure(t, ended.Run)
	}
}

// countFailure notes a failed run, each only once.
func (e *Engine) countFailure(t *task, run int) {
	if slices.Contains(t.failed, run) {
		return
	}
	t.failed = append(t.failed, run)
	e.change(t.step.occurrence.job)
	e.checkAttempts(t)
}

// checkAttempts fails the job of a task that has failed too often.
func (e *Engine) checkAttempts(t *task) {
	j := t.step.occurrence.job
	q := e.cfg.Manifest().Queue(j.Queue)
	if q == nil || len(t.failed) < q.MaxFailedRuns || j.state.IsFinal() {
		return
	}
	e.finish(j, modeler.Failed, "task "+t.id.NameWithinJob()+" failed too often")
}

// again lets the task run anew after its run has certainly ended or never
// began.
func (e *Engine) again(t *task) {
	j := t.step.occurrence.job
	t.requeue()
	e.change(j)
	e.settleJob(j)
}

// compare matches a worker's list of runs with the tasks placed there.
func (e *Engine) compare(w *worker, sent time.Time, report modeler.Report, first bool) {
	now := time.Now()
	present := make(map[modeler.TaskID]int, len(report.Running))
	for _, r := range report.Running {
		present[r.Task] = r.Run
		t := w.tasks[r.Task]
		if t == nil {
			t = e.adopt(w, r)
		}
		if t == nil || t.run != r.Run {
			e.stopStray(w, r, now)
			continue
		}
		e.confirm(t, r, now)
	}
	for id := range w.strays {
		if _, ok := present[id]; !ok {
			delete(w.strays, id)
		}
	}
	for id, t := range w.tasks {
		if run, ok := present[id]; ok && run == t.run {
			continue
		}
		switch {
		case t.phase == adopted && first, (t.phase == running || t.phase == stopping) && t.since.Before(sent):
			e.log.Info("run not there", "task", id.String(), "run", t.run, "worker", w.ID, "phase", t.phase.String())
			e.again(t)
			e.changed()
		}
	}
}

// adopt takes over a run that a predecessor has started without storing it. It
// returns nil when the task must not go on there.
func (e *Engine) adopt(w *worker, r modeler.RunningTask) *task {
	j := e.jobs[r.Task.Job]
	if j == nil || j.state.IsFinal() {
		return nil
	}
	t := j.find(r.Task)
	if t == nil || t.phase != waiting && t.phase != adopted || r.Run <= t.run {
		return nil
	}
	t.requeue() // from where an earlier run was
	e.log.Info("run adopted", "task", r.Task.String(), "run", r.Run, "worker", w.ID)
	t.run = r.Run
	t.attach(w, adopted)
	j.begun = true
	if j.state == modeler.Queued {
		j.state = modeler.Running
	}
	e.change(j)
	return t
}

// confirm notes that a run is there.
func (e *Engine) confirm(t *task, r modeler.RunningTask, now time.Time) {
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	t.atWork, t.load = r.Percent >= fullPace, r.Metric
	switch t.phase {
	case starting, doubtful, adopted:
		t.phase = running
		t.since = now
		if t.step.occurrence.job.state.IsFinal() {
			e.stop(t)
		}
	}
}

// stopStray stops a run that no task accounts for, such as one of a job that
// has ended.
func (e *Engine) stopStray(w *worker, r modeler.RunningTask, now time.Time) {
	if last, ok := w.strays[r.Task]; ok && now.Sub(last) < strayRepeat {
		return
	}
	w.strays[r.Task] = now
	e.log.Info("run without a task is stopped", "task", r.Task.String(), "run", r.Run, "worker", w.ID)
	e.sendStop(w, r.Task, r.Run)
}
