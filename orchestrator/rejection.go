package orchestrator

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	rejectedRetryInterval = 2 * time.Second // between attempts to store a job whose record the store rejects
	maxHeldUpEnds         = 300             // on one worker, which lists no more than 500 ends
)

// storeRejection tells that the store rejects a job's record as invalid.
type storeRejection struct {
	since   time.Time // of the first rejection since a record of the job was last stored; zero if there is none
	retryAt time.Time // the job is not stored before this time
}

// isRejected reports whether the store has rejected a transaction with the job since it
// was last stored.
func (j *job) isRejected() bool {
	return !j.rejection.since.IsZero()
}

// handleRejectedBatch handles a transaction that the store has rejected as invalid. Its
// jobs are stored one by one from now on, so that one that can't be stored doesn't hold
// up the others. Such a job goes on like in an outage of the store, but it fails if its
// ends, which aren't acknowledged, keep a worker from listing those of other jobs.
func (e *Engine) handleRejectedBatch(b *jobBatch, now time.Time, err error) {
	for _, j := range b.jobs {
		if !j.isRejected() {
			j.rejection.since = now
		}
	}
	if len(b.jobs) > 1 {
		e.log.Warn("transaction with several jobs rejected by the store, storing them one by one", "jobs", len(b.jobs), "error", err)
		return
	}
	j := b.jobs[0]
	j.rejection.retryAt = now.Add(rejectedRetryInterval)
	e.log.Error("record of a job rejected by the store, trying again", "job", j.ID, "queue", j.Queue, "customer", j.Customer, "bytes", b.valueBytes(), "active", j.activeTasks,
		"since", now.Sub(j.rejection.since).Round(time.Millisecond).String(), "error", err)
	if w := e.workerHeldUpBy(j); w != nil && !j.state.IsFinal() && e.lastJobStored.After(j.rejection.since) {
		e.endJob(j, modeler.Failed, "the store rejects its record, and worker "+w.ID+" can't report more ended runs")
	}
}

// valueBytes returns the size of all values that the transaction writes.
func (b *jobBatch) valueBytes() int {
	n := 0
	for _, p := range b.txn.Put {
		n += len(p.Value)
	}
	return n
}

// workerHeldUpBy returns a worker that soon can't list any more ends because one of the
// job has not been stored, or nil if there is none.
func (e *Engine) workerHeldUpBy(j *job) *worker {
	for _, w := range e.workersByID {
		if len(w.pendingEnds) >= maxHeldUpEnds && w.pendingEnds[0].job == j {
			return w
		}
	}
	return nil
}
