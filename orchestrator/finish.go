package orchestrator

import (
	"context"
	"maps"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	loadInterval = 500 * time.Millisecond // a quarter of the age that a count of waiting jobs may have
	loadRepeat   = time.Second            // an unchanged load is published again, so that entries can tell its age
)

// loadPublisher remembers what has been published.
type loadPublisher struct {
	last    map[string]int
	at      time.Time
	writing bool
}

// cancelJob ends a job because a caller wants it.
func (e *Engine) cancelJob(id string) {
	j := e.jobs[id]
	if j == nil || j.state.IsFinal() {
		return
	}
	e.finish(j, modeler.Cancelled, "cancelled by its caller")
}

// finish gives a job its final state and stops what it has running.
func (e *Engine) finish(j *job, state modeler.State, reason string) {
	j.state, j.reason = state, reason
	e.change(j)
	e.log.Info("job decided", "job", j.ID, "state", state, "reason", reason, "active", j.active)
	j.tasks(func(t *task) {
		if t.promised != nil {
			t.promised.unpromise(t)
		}
		e.stop(t)
	})
	e.changed()
}

// settleJob ends a job whose tasks are all done.
func (e *Engine) settleJob(j *job) {
	if !j.state.IsFinal() && j.isComplete() {
		e.finish(j, modeler.Completed, "all tasks are done")
	}
}

// publishLoad tells the other entries how many jobs wait.
func (e *Engine) publishLoad(ctx context.Context, now time.Time) {
	l := &e.load
	since := now.Sub(l.at)
	if l.writing || since < loadInterval {
		return
	}
	pending := e.pending()
	for queue, n := range pending {
		meter.Waiting(queue, n)
	}
	for queue := range l.last {
		if _, ok := pending[queue]; !ok {
			meter.Waiting(queue, 0)
		}
	}
	if since < loadRepeat && maps.Equal(pending, l.last) {
		return
	}
	l.writing, l.at = true, now
	txn := keeper.Txn{
		Expect: []keeper.Expectation{e.condition()},
		Put:    []keeper.Put{{Key: LoadKey, Value: encode(Load{Pending: pending})}},
	}
	e.spawn(func() {
		_, _, err := e.store.Commit(ctx, txn)
		e.post(ctx, func() {
			l.writing = false
			if err != nil {
				e.log.Warn("load not published", "error", err)
				return
			}
			l.last = pending
		})
	})
}

// pending counts the jobs of which no task has started, by queue.
func (e *Engine) pending() map[string]int {
	pending := make(map[string]int)
	for _, j := range e.jobs {
		if !j.begun && !j.state.IsFinal() {
			pending[j.Queue]++
		}
	}
	return pending
}
