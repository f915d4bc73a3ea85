package orchestrator

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	answeredKey      = fleetPrefix + "answered"
	answeredInterval = 200 * time.Millisecond // between two writes of the record

	maxEndDifferenceMs = 10   // between two calculations of the same WaitingTask.EndsMs, which read two clocks
	maxRecordedWaits   = 1000 // a task that is left out may wait longer
)

type (
	// AnsweredStarts is the record that tells the next leader which starts can't be carried
	// out late: all starts of the placements in progress records up to Revision had got a
	// response, except those of the tasks in Open. This stays true when the leader goes on,
	// because it starts a task again only once the next placement is stored, or the task is in
	// Open. So an outdated record only tells less.
	AnsweredStarts struct {
		Token    int64         `json:"token"`           // fencing token of the term that wrote it
		Revision int64         `json:"revision"`        // of the store
		Open     []OpenTasks   `json:"open,omitempty"`  // by job and step
		Waits    []WaitingTask `json:"waits,omitempty"` // by job, step, task, run and worker
	}

	// OpenTasks are the tasks of a step that may have a start without a response.
	OpenTasks struct {
		Job        string `json:"job"`
		Occurrence int    `json:"occurrence,omitempty"`
		Step       int    `json:"step,omitempty"`
		Tasks      []int  `json:"tasks"` // indexes
	}

	// WaitingTask is a task that waits because a start of it may still be carried out, or
	// whose inherited run the leader has neither found nor given up, so that it may have to.
	WaitingTask struct {
		Job        string `json:"job"`
		Occurrence int    `json:"occurrence,omitempty"`
		Step       int    `json:"step,omitempty"`
		Task       int    `json:"task,omitempty"` // index
		Run        int    `json:"run"`
		Worker     string `json:"worker"`
		EndsMs     int64  `json:"ends-ms"` // the start is not carried out later than this, in ms since the leadership was requested
	}

	// answeredState is the record of an earlier term and what is known of this term's record.
	answeredState struct {
		restored       AnsweredStarts
		restoredOpen   map[modeler.TaskID]bool      // of restored
		restoredEnds   map[modeler.TaskID]time.Time // of adopted tasks; when their starts can't be carried out any more
		stored         AnsweredStarts               // by this term
		storedOpen     map[modeler.TaskID]bool      // in Open, and not in Waits, of each record of this term that the store may have
		jobsRevision   int64                        // highest revision of a transaction with jobs that the store has acknowledged
		revision       int64                        // last known revision of the record
		doubtful       bool                         // a write got no response, so that the record may have another revision
		commitInFlight bool
		nextCommit     time.Time
	}
)

// restoreAnsweredStarts restores the record of the last term that began. A record of another
// term is not used: a version that doesn't write it may have led since.
func (e *Engine) restoreAnsweredStarts(records, terms []keeper.Record) {
	if len(records) == 0 || len(terms) == 0 {
		return
	}
	e.answered.revision = records[0].Revision
	var r AnsweredStarts
	if err := json.Unmarshal(records[0].Value, &r); err != nil {
		e.log.Error("record of answered starts cannot be read, starts of the previous leader count as late", "revision", records[0].Revision, "error", err)
		return
	}
	last := parseTermRecord(terms[0]).Token
	if r.Token == last {
		e.answered.restored, e.answered.restoredOpen, e.answered.restoredEnds = r, r.openTasks(), make(map[modeler.TaskID]time.Time)
	}
	e.log.Info("record of answered starts read", "of-term", r.Token, "last-term", last, "up-to", r.Revision, "steps-with-open-starts", len(r.Open), "used", r.Token == last)
}

// markAnsweredStarts notes of the inherited placements of a job whose starts can't be
// carried out late that they have begun, and of the others until when they can.
func (e *Engine) markAnsweredStarts(j *job) {
	if j.revision > e.answered.restored.Revision {
		return // some placements may be newer than the record
	}
	now := time.Now()
	j.forEachTask(func(t *task) {
		t.began = t.phase == adopted && (t.began || !e.answered.restoredOpen[t.id])
		if t.phase == adopted && !t.began {
			if end, ok := e.endOfInheritedStart(t, t.run, t.worker.ID, now); ok {
				e.answered.restoredEnds[t.id] = end
			}
		}
	})
}

// endOfAdoptedStart returns when the start of an adopted task can't be carried out any more.
func (e *Engine) endOfAdoptedStart(t *task) time.Time {
	end := e.termStart.Add(maxLateOrderTime)
	if restored, ok := e.answered.restoredEnds[t.id]; ok && restored.Before(end) {
		return restored
	}
	return end
}

// tasksWithoutEnd returns the tasks in Open without those in Waits: of the latter the next leader
// knows only the start that Waits has.
func (r *AnsweredStarts) tasksWithoutEnd() map[modeler.TaskID]bool {
	open := r.openTasks()
	for _, w := range r.Waits {
		delete(open, w.taskID())
	}
	return open
}

// openTasks returns the tasks in Open.
func (r *AnsweredStarts) openTasks() map[modeler.TaskID]bool {
	open := make(map[modeler.TaskID]bool)
	for _, o := range r.Open {
		for _, n := range o.Tasks {
			open[modeler.TaskID{Job: o.Job, Occurrence: o.Occurrence, Step: o.Step, Index: n}] = true
		}
	}
	return open
}

// endOfInheritedStart returns when a start in the record of a job can't be carried out any
// more of which the previous leader knew that. It is known without a comparison of wall
// clocks if this entry node has heard of the beginning of that term.
func (e *Engine) endOfInheritedStart(t *task, run int, worker string, now time.Time) (time.Time, bool) {
	r := &e.answered.restored
	age, ok := e.term.SinceSeen(r.Token)
	if !ok || t.step.occurrence.job.revision > r.Revision {
		return time.Time{}, false
	}
	i := slices.IndexFunc(r.Waits, func(w WaitingTask) bool { return w.taskID() == t.id && w.Run == run && w.Worker == worker })
	if i < 0 {
		return time.Time{}, false
	}
	return now.Add(time.Duration(r.Waits[i].EndsMs)*time.Millisecond - age), true
}

func (w *WaitingTask) taskID() modeler.TaskID {
	return modeler.TaskID{Job: w.Job, Occurrence: w.Occurrence, Step: w.Step, Index: w.Task}
}

// answeredStarts returns the present record.
func (e *Engine) answeredStarts(now time.Time) AnsweredStarts {
	r := AnsweredStarts{Token: e.term.Token, Revision: max(e.term.Token, e.answered.jobsRevision)}
	open := make(map[modeler.TaskID]bool)
	addWait := func(id modeler.TaskID, run int, worker string, until time.Time) {
		ends := e.term.Age() + until.Sub(now)
		r.Waits = append(r.Waits, WaitingTask{id.Job, id.Occurrence, id.Step, id.Index, run, worker, ends.Milliseconds() + 1})
	}
	for _, w := range e.workersByID {
		for id, t := range w.tasks {
			if !t.mayHaveOpenStart() {
				continue
			}
			open[id] = true
			if t.phase == adopted && !t.step.repeatsStarts() {
				addWait(id, t.run, w.ID, e.endOfAdoptedStart(t))
			}
		}
	}
	for _, starts := range e.unanswered {
		for _, s := range starts {
			open[s.id.task] = true
			if s.isAwaited() && s.task.phase == waiting {
				addWait(s.id.task, s.id.number, s.worker, s.until)
			}
		}
	}
	steps := make(map[modeler.TaskID][]int) // by the ID of the step's first task
	for id := range open {
		first := id
		first.Index = 0
		steps[first] = append(steps[first], id.Index)
	}
	for id, tasks := range steps {
		slices.Sort(tasks)
		r.Open = append(r.Open, OpenTasks{id.Job, id.Occurrence, id.Step, tasks})
	}
	slices.SortFunc(r.Open, func(a, b OpenTasks) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	slices.SortFunc(r.Waits, func(a, b WaitingTask) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run), cmp.Compare(a.Worker, b.Worker))
	})
	r.Waits = r.Waits[:min(len(r.Waits), maxRecordedWaits)]
	return r
}

// mayHaveOpenStart reports whether the start of the task's present run may be sent later, or
// has been sent and got no response.
func (t *task) mayHaveOpenStart() bool {
	switch t.phase {
	case placed, starting, outcomeUnknown:
		return true
	case adopted:
		return !t.began
	}
	return false
}

// tellsTheSame reports whether the next leader learns the same from both records.
func (r *AnsweredStarts) tellsTheSame(o *AnsweredStarts) bool {
	return r.Token == o.Token && r.Revision == o.Revision && slices.EqualFunc(r.Open, o.Open, func(a, b OpenTasks) bool {
		return a.Job == b.Job && a.Occurrence == b.Occurrence && a.Step == b.Step && slices.Equal(a.Tasks, b.Tasks)
	}) && slices.EqualFunc(r.Waits, o.Waits, func(a, b WaitingTask) bool {
		later := a.EndsMs - b.EndsMs
		b.EndsMs = a.EndsMs
		return a == b && later <= maxEndDifferenceMs
	})
}

// addAnsweredStarts adds the write of the record to a transaction. The condition on its
// revision keeps the store from replacing a later record if it executes the transaction late.
func (e *Engine) addAnsweredStarts(txn *keeper.Txn, r *AnsweredStarts) {
	open := r.tasksWithoutEnd()
	maps.DeleteFunc(e.answered.storedOpen, func(id modeler.TaskID, _ bool) bool { return !open[id] })
	txn.Expect = append(txn.Expect, keeper.Expectation{Key: answeredKey, Revision: e.answered.revision})
	txn.Put = append(txn.Put, keeper.Put{Key: answeredKey, Value: encodeJSON(r)})
}

// handleAnsweredStartsStored processes the result of a transaction with the record.
func (e *Engine) handleAnsweredStartsStored(r AnsweredStarts, revision int64, records []keeper.Record, err error) {
	a := &e.answered
	switch {
	case err == nil:
		a.stored, a.storedOpen, a.revision, a.doubtful = r, r.tasksWithoutEnd(), revision, false
	case errors.Is(err, keeper.ErrConflict):
		a.revision, a.doubtful = revisionOf(answeredKey, records), false
	default:
		a.doubtful = true
	}
}

// mayStartUnstored reports whether the next leader would not take the start of an earlier run
// of a placed task for that of the present one, whose placement is not stored.
func (e *Engine) mayStartUnstored(t *task) bool {
	return t.run == 1 || e.answered.storedOpen[t.id]
}

// storeAnsweredStarts stores the record if it is due and has changed.
func (e *Engine) storeAnsweredStarts(ctx context.Context, now time.Time) {
	a := &e.answered
	if a.commitInFlight || now.Before(a.nextCommit) {
		return
	}
	a.nextCommit = now.Add(e.answeredPause())
	r := e.answeredStarts(now)
	if r.tellsTheSame(&a.stored) {
		return
	}
	a.commitInFlight = true
	txn := keeper.Txn{Expect: []keeper.Expectation{e.termCondition()}}
	e.addAnsweredStarts(&txn, &r)
	e.runInBackground(func() {
		revision, records, err := e.store.Commit(ctx, txn)
		e.runInEventLoop(ctx, func() {
			a.commitInFlight = false
			e.handleAnsweredStartsStored(r, revision, records, err)
			if err != nil {
				e.log.Warn("record of answered starts not stored, trying again", "error", err)
				e.checkStillLeader(records, err)
			}
		})
	})
}

// answeredPause returns the time between two writes of the record. Over a slow connection
// the writes leave time for those of jobs.
func (e *Engine) answeredPause() time.Duration {
	if e.throttle.IsCongested() {
		return max(answeredInterval, pausePerListTime*e.commitTime)
	}
	return answeredInterval
}
