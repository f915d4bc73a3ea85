package orchestrator

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// assignTo assigns the task to a worker and takes up its resources there.
func (t *task) assignTo(w *worker, p phase) {
	t.setPhase(p)
	t.worker, t.startupDone, t.listedFor, t.waitsSince = w, false, 0, time.Time{}
	t.releaseKeptWorker()
	t.step.occurrence.job.activeTasks++
	w.tasks[t.id] = t
	if t.step.tasksOn == nil {
		t.step.tasksOn = make(map[*worker]int)
	}
	t.step.tasksOn[w]++
	t.step.assigned.add(t.id.Index)
	w.take(t.step, 1)
	w.view.addTask(t)
}

// setPhase sets the phase of the task, and counts it as waiting or to be started
// accordingly.
func (t *task) setPhase(p phase) {
	s, j := t.step, t.step.occurrence.job
	switch {
	case t.phase == waiting && p != waiting:
		s.waitingTasks--
		s.waiting.remove(t.id.Index)
	case t.phase != waiting && p == waiting:
		s.waitingTasks++
		s.waiting.add(t.id.Index)
	}
	if t.phase.isBeforeStart() {
		j.tasksToStart--
	}
	if p.isBeforeStart() {
		j.tasksToStart++
	}
	t.phase = p
}

// isBeforeStart reports whether the task has been placed and its start has no result yet.
func (p phase) isBeforeStart() bool {
	return p == placed || p == starting
}

// unassign frees the resources of the task on its worker. The caller sets the
// next phase.
func (t *task) unassign() {
	w := t.worker
	if w == nil {
		return
	}
	t.worker, t.startupDone = nil, false
	t.step.occurrence.job.activeTasks--
	delete(w.tasks, t.id)
	t.step.assigned.remove(t.id.Index)
	if n := t.step.tasksOn[w] - 1; n > 0 {
		t.step.tasksOn[w] = n
	} else {
		delete(t.step.tasksOn, w)
	}
	w.take(t.step, -1)
	w.view.removeTask(t)
}

// isPlacedAs reports whether the task is placed on a worker as the run with this
// number. The number alone does not identify a run, because leaders of two terms
// may use the same one on different workers.
func (t *task) isPlacedAs(w *worker, run int) bool {
	return t.worker == w && t.run == run
}

// hasBegun reports whether the present run of the task has certainly begun on its worker.
func (t *task) hasBegun() bool {
	return t.phase == running || t.phase == stopping || t.phase == adopted && t.began
}

// isListedAs reports whether the worker has listed the run of the task with this number,
// so that its start has been carried out.
func (t *task) isListedAs(w *worker, run int) bool {
	return t.isPlacedAs(w, run) && t.hasBegun()
}

// setCheckpoint sets the checkpoint from which the next run resumes, unless it is
// empty. The members of a gang share it, because they must all start with the
// same one and that of any member is valid for all.
func (t *task) setCheckpoint(checkpoint string) {
	switch {
	case checkpoint == "":
	case t.step.Gang:
		t.step.gangCheckpoint = checkpoint
	default:
		t.ownCheckpoint = checkpoint
	}
}

// checkpoint returns the checkpoint from which the next run resumes, empty if there is
// none.
func (t *task) checkpoint() string {
	if t.step.Gang {
		return t.step.gangCheckpoint
	}
	return t.ownCheckpoint
}

// markDone marks the task as done.
func (t *task) markDone() {
	if t.phase == done {
		return
	}
	t.unassign()
	t.releaseKeptWorker()
	if t.reservedOn != nil {
		t.reservedOn.cancelReservation(t)
	}
	t.setPhase(done)
	s := t.step
	s.finishedTasks++
	if s.finishedTasks == s.Count {
		s.occurrence.finishedSteps++
		if o := s.occurrence; o.isFinished() {
			o.job.justFinished = append(o.job.justFinished, o)
		}
	}
}

// requeue lets the task wait for another run.
func (t *task) requeue() {
	if t.phase == waiting || t.phase == done {
		return
	}
	t.unassign()
	t.setPhase(waiting)
	t.pacePercent = fullPace
}

// resourcesTowardCustomerLimit returns the resources that count toward the
// customer's limit while the task runs.
func (t *task) resourcesTowardCustomerLimit() modeler.Resources {
	return t.step.resourcesTowardCustomerLimit()
}

// resourcesTowardCustomerLimit returns the resources that count toward the
// customer's limit while a task of the step runs.
func (s *step) resourcesTowardCustomerLimit() modeler.Resources {
	return s.Need
}
