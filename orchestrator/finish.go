package orchestrator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	minLoadPublishInterval = 500 * time.Millisecond // a quarter of the maximum age of the published job counts
	maxLoadPublishInterval = time.Second            // unchanged counts are published again after this time, so that entry nodes can tell how old they are
)

// loadPublication is the state of the published job counts.
type loadPublication struct {
	lastPublished  map[string]int
	lastEvacuated  []string // see Load.EvacuatedZones
	zonesChanged   bool     // a zone has been evacuated or restored since the last publication, so the limitations may have to change
	publishedAt    time.Time
	commitInFlight bool
}

// cancelJob ends a job at the request of its caller.
func (e *Engine) cancelJob(id string) {
	j := e.jobs[id]
	if j == nil || j.state.IsFinal() {
		return
	}
	e.endJob(j, modeler.Cancelled, "cancelled by its caller")
}

// endJob sets the final state of a job and stops its running tasks.
func (e *Engine) endJob(j *job, state modeler.State, reason string) {
	j.state, j.reason = state, reason
	e.markUnstored(j)
	e.log.Info("job has reached its final state, stopping its tasks", "job", j.ID, "state", state, "reason", reason, "active", j.activeTasks)
	j.forEachTask(func(t *task) {
		if t.reservedOn != nil {
			t.reservedOn.cancelReservation(t)
		}
		t.releaseKeptWorker()
		e.requestStop(t)
	})
	e.requestPlacement()
}

// completeJobIfDone removes what is finished of a job, and completes the job if all its
// tasks are done.
func (e *Engine) completeJobIfDone(j *job) {
	j.removeFinishedOccurrences()
	if !j.state.IsFinal() && j.isComplete() {
		e.endJob(j, modeler.Completed, "all tasks are done")
	}
}

// publishLoad publishes the number of pending jobs for the other entry nodes.
func (e *Engine) publishLoad(ctx context.Context, now time.Time) {
	l := &e.loadPublication
	since := now.Sub(l.publishedAt)
	if l.commitInFlight || since < minLoadPublishInterval {
		return
	}
	pending := e.countPendingJobs()
	for queue, n := range pending {
		meter.SetWaitingJobs(queue, n)
	}
	for queue := range l.lastPublished {
		if _, ok := pending[queue]; !ok {
			meter.SetWaitingJobs(queue, 0)
		}
	}
	evacuated := e.allZonesEvacuated()
	if since < maxLoadPublishInterval && !l.zonesChanged && maps.Equal(pending, l.lastPublished) && slices.Equal(evacuated, l.lastEvacuated) {
		return
	}
	limited, free := e.limitMemory(e.updateAdmissions(now))
	l.commitInFlight, l.publishedAt, l.zonesChanged = true, now, false
	txn := keeper.Txn{
		Expect: []keeper.Expectation{e.termCondition()},
		Put:    []keeper.Put{{Key: LoadKey, Value: encodeJSON(Load{Pending: pending, Limited: limited, FreeBytes: free, EvacuatedZones: evacuated})}},
	}
	e.runInBackground(func() {
		_, _, err := e.store.Commit(ctx, txn)
		e.runInEventLoop(ctx, func() {
			l.commitInFlight = false
			if err != nil {
				e.log.Warn("load record with the pending jobs not stored, trying again", "error", err)
				return
			}
			l.lastPublished, l.lastEvacuated = pending, evacuated
		})
	})
}

// countPendingJobs counts, by queue, the jobs of which no task has started.
func (e *Engine) countPendingJobs() map[string]int {
	pending := make(map[string]int)
	for _, j := range e.jobs {
		if !j.hasStarted && !j.state.IsFinal() {
			pending[j.Queue]++
		}
	}
	return pending
}
