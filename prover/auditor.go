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
	// auditor tells a checker what happens, causes before effects.
	auditor struct {
		*checker.Checker
		store *emulator.Store
		trace *trace

		mu   sync.Mutex
		seen int64 // last revision told

		jobs sync.Map // job by task, from the bodies of starts
	}

	// Work is the body of a job. The stand-in workers read the time it takes
	// and answer with the body itself.
	Work struct {
		Job         string `json:"job"`
		SleepMillis int    `json:"sleep-ms,omitempty"`
		Fail        bool   `json:"fail,omitempty"`
		Crash       bool   `json:"crash,omitempty"`
		Padding     string `json:"padding,omitempty"`
	}
)

// catchUp tells the checker of every change of the store so far, in order.
func (a *auditor) catchUp() {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	_, last, err := a.store.List(ctx, "\x00")
	if err != nil || last <= a.seen {
		return
	}
	err = a.store.Watch(ctx, "", a.seen, func(ev keeper.Event) {
		if ev.Revision > a.seen {
			a.seen = ev.Revision
			a.traceEvent(ev)
			a.Stored(ev, time.Now())
		}
		if ev.Revision >= last {
			stop()
		}
	})
	if a.seen < last {
		panic("the auditor missed changes of the store: " + err.Error())
	}
}

// traceEvent notes a change of a record under the last part of its key.
func (a *auditor) traceEvent(ev keeper.Event) {
	subject := ev.Key[strings.LastIndexByte(ev.Key, '/')+1:]
	a.trace.note(subject, "revision %d deleted %t %s", ev.Revision, ev.Deleted, ev.Value)
}

// expect notes the job that a start is for.
func (a *auditor) expect(s dispatcher.Start) {
	var w Work
	if json.Unmarshal(s.Body, &w) == nil {
		a.jobs.Store(s.Task, w.Job)
	}
}

// observe takes what a worker saw.
func (a *auditor) observe(x emulator.Execution) {
	a.catchUp()
	job, _ := a.jobs.Load(x.Order.Task)
	id, _ := job.(string)
	what := "starts"
	if !x.End.IsZero() {
		what = "ends " + string(x.Outcome)
	}
	for _, subject := range []string{x.Order.Name, x.Worker} {
		a.trace.note(subject, "%s %s task %s attempt %d of %s for %s", x.Worker, what, x.Order.Task, x.Order.Attempt, x.Order.Owner, x.Order.Team)
	}
	a.Execution(checker.Execution{
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
