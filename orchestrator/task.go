package orchestrator

import "github.com/coltsfootlever/coltsfootlever/modeler"

// attach gives the task a worker and takes the room there.
func (t *task) attach(w *worker, p phase) {
	if t.phase == waiting {
		t.step.waiting--
	}
	t.phase, t.worker, t.atWork = p, w, false
	t.step.occurrence.job.active++
	w.tasks[t.id] = t
	w.used = w.used.Add(t.step.ReservedResources())
}

// detach frees what the task's run takes. The caller sets the next phase.
func (t *task) detach() {
	w := t.worker
	if w == nil {
		return
	}
	t.worker, t.atWork = nil, false
	t.step.occurrence.job.active--
	delete(w.tasks, t.id)
	w.used = w.used.Sub(t.step.ReservedResources())
}

// finish marks the task as done.
func (t *task) finish() {
	if t.phase == done {
		return
	}
	if t.phase == waiting {
		t.step.waiting--
	}
	t.detach()
	if t.promised != nil {
		t.promised.unpromise(t)
	}
	t.phase = done
	s := t.step
	s.done++
	if s.done == s.Count {
		s.occurrence.done++
	}
}

// requeue lets the task wait for another run.
func (t *task) requeue() {
	if t.phase == waiting || t.phase == done {
		return
	}
	t.detach()
	t.phase = waiting
	t.step.waiting++
	t.pace = fullPace
}

// need is what the task counts for against its customer's limit.
func (t *task) need() modeler.Resources {
	return t.step.Need
}
