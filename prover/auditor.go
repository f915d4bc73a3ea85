package prover

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/checker"
	"github.com/coltsfootlever/coltsfootlever/dispatcher"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

type (
	// auditor reports events to a checker, each cause before its effects.
	auditor struct {
		*checker.Checker
		store *emulator.Store
		trace *trace

		mu           sync.Mutex
		lastRevision int64 // last store revision reported

		jobByTask sync.Map // job ID by task ID, from the bodies of start orders
	}

	// JobBody is the body of a job. The emulated workers read from it how long
	// the task takes and how it ends, and answer with the body itself.
	JobBody struct {
		Job         string `json:"job"`
		SleepMillis int    `json:"sleep-ms,omitempty"`
		Fail        bool   `json:"fail,omitempty"`
		Crash       bool   `json:"crash,omitempty"`
		Padding     string `json:"padding,omitempty"`
	}
)

// reportStoreChanges reports all store changes not reported yet to the checker,
// in order.
func (a *auditor) reportStoreChanges() {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	_, last, err := a.store.List(ctx, "\x00")
	if err != nil || last <= a.lastRevision {
		return
	}
	err = a.store.Watch(ctx, "", a.lastRevision, func(ev keeper.Event) {
		if ev.Revision > a.lastRevision {
			a.lastRevision = ev.Revision
			a.traceStoreChange(ev)
			a.CheckStoreChange(ev, time.Now())
		}
		if ev.Revision >= last {
			stop()
		}
	})
	if a.lastRevision < last {
		panic("auditor did not receive all changes of the store: " + err.Error())
	}
}

// traceStoreChange adds a change of a record to the trace, under the last part
// of its key.
func (a *auditor) traceStoreChange(ev keeper.Event) {
	subject := ev.Key[strings.LastIndexByte(ev.Key, '/')+1:]
	a.trace.add(subject, "revision %d deleted %t %s", ev.Revision, ev.Deleted, ev.Value)
}

// recordJobOfTask stores which job the task of a start order belongs to.
func (a *auditor) recordJobOfTask(s dispatcher.Start) {
	var w JobBody
	if json.Unmarshal(s.Body, &w) == nil {
		a.jobByTask.Store(s.Task, w.Job)
	}
}

// reportExecution reports the start or end of an execution on a worker to the
// checker.
func (a *auditor) reportExecution(x emulator.Execution) {
	a.reportStoreChanges()
	job, _ := a.jobByTask.Load(x.Order.Task)
	id, _ := job.(string)
	what := "starts"
	if !x.End.IsZero() {
		what = "ends " + string(x.Outcome)
	}
	for _, subject := range []string{x.Order.Name, x.Worker} {
		a.trace.add(subject, "%s %s task %s attempt %d of %s for %s", x.Worker, what, x.Order.Task, x.Order.Attempt, x.Order.Owner, x.Order.Team)
	}
	a.CheckExecution(checker.Execution{
		Job:        id,
		Task:       x.Order.Task,
		Attempt:    x.Order.Attempt,
		Instance:   x.Worker,
		Owner:      x.Order.Owner,
		Team:       x.Order.Team,
		Queue:      x.Order.Queue,
		Name:       x.Order.Name,
		Idempotent: x.Order.Idempotent,
		Slots:      x.Order.Slots,
		Start:      x.Start,
		End:        x.End,
		Outcome:    string(x.Outcome),
	})
}
