package orchestrator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

const (
	termKey     = fleetPrefix + "term"     // stores the TermRecord of the last term that began
	handoverKey = fleetPrefix + "handover" // stores the TermRecord of the last term that ended with all state stored

	maxStoreWaitBeforeStart = 100 * time.Millisecond // a write usually takes a few ms; after this time a start no longer waits for it
	handoverTimeout         = 300 * time.Millisecond // for the last write of a term
)

type (
	// TermRecord identifies a term by its fencing token.
	TermRecord struct {
		Token int64 `json:"token"`
	}

	// handoverState is what the leader knows about the previous term's handover and
	// has recorded for the next term.
	//
	// If the store is slow or unavailable, a leader may start a task before the
	// placement is stored. It does so only after it has stored its term record. If
	// the previous term ended without a handover record, the new leader therefore
	// starts no inherited task in a pool until each worker of the pool has reported
	// its runs or all its leases have certainly expired.
	handoverState struct {
		predecessorStoredAll bool              // the previous leader stored all its state
		termRecorded         bool              // the term record is stored, so the next leader can see that this term began
		blockingWorkers      map[string]string // by pool, the ID of the worker that inherited tasks wait for; empty if none
	}
)

// restoreHandover determines from the records of earlier terms whether the
// previous leader stored all its state.
func (e *Engine) restoreHandover(terms, handovers []keeper.Record) {
	e.handover.predecessorStoredAll = len(terms) == 0 || len(handovers) > 0 && parseFencingToken(terms[0]) == parseFencingToken(handovers[0])
}

// parseFencingToken returns the fencing token in a record. For an unreadable
// record it returns a value that matches no other record.
func parseFencingToken(r keeper.Record) int64 {
	var t TermRecord
	if err := json.Unmarshal(r.Value, &t); err != nil {
		return -r.Revision
	}
	return t.Token
}

// storeTermRecord stores the term record, which tells the next leader that this
// term began.
func (e *Engine) storeTermRecord(ctx context.Context) {
	txn := keeper.Txn{
		Expect: []keeper.Expectation{e.termCondition()},
		Put:    []keeper.Put{{Key: termKey, Value: encodeJSON(TermRecord{e.term.Token})}},
	}
	e.runInBackground(func() {
		_, _, err := e.store.Commit(ctx, txn)
		e.runInEventLoop(ctx, func() {
			e.handover.termRecorded = err == nil
			if err != nil {
				e.log.Warn("term record not stored, starts wait until their placement is stored", "error", err)
			}
		})
	})
}

// storeHandoverRecord stores the handover record, which tells the next leader
// that all state is stored.
func (e *Engine) storeHandoverRecord(ctx context.Context) {
	if len(e.unstoredJobs) > 0 || e.commitsInFlight > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, _, err := e.store.Commit(ctx, keeper.Txn{
		Expect: []keeper.Expectation{e.termCondition()},
		Put:    []keeper.Put{{Key: handoverKey, Value: encodeJSON(TermRecord{e.term.Token})}},
	})
	e.log.Info("handover record of the term sent to the store", "error", err)
}

// maySendStart reports whether a placed task may be started: its placement is
// stored, or the store has taken too long to store it.
func (e *Engine) maySendStart(t *task, now time.Time) bool {
	if t.step.occurrence.job.storedVersion >= t.placementVersion {
		return true
	}
	return e.handover.termRecorded && now.Sub(t.phaseSince) >= maxStoreWaitBeforeStart && e.term.MayExtend()
}

// mustWaitForWorkers reports whether inherited tasks of a pool must wait
// because a worker that may be running some of them has not reported yet.
func (e *Engine) mustWaitForWorkers(pool string, now time.Time) bool {
	w := e.findBlockingWorker(pool, now)
	id := ""
	if w != nil {
		id = w.ID
	}
	if previousID, ok := e.handover.blockingWorkers[pool]; id != previousID {
		e.handover.blockingWorkers[pool] = id
		if id == "" {
			e.log.Info("inherited tasks of the pool may start", "pool", pool, "last-worker", previousID)
		} else if !ok || previousID == "" {
			e.log.Info("inherited tasks of the pool wait until a worker has reported its runs", "pool", pool, "worker", id, "until", e.leaseExpiry(w))
		}
	}
	return w != nil
}

// findBlockingWorker returns a worker of the pool that may be running tasks
// whose placement the previous leader did not store. It returns nil if there is
// none.
func (e *Engine) findBlockingWorker(pool string, now time.Time) *worker {
	if e.handover.predecessorStoredAll {
		return nil
	}
	for _, w := range e.workersByID {
		if w.polled || w.registeredInTerm || e.unresponsive.fromEarlierTerm[w.ID] || !now.Before(e.leaseExpiry(w)) {
			e.logWorkerNotAwaited(w)
			continue
		}
		if w.Pool == pool && w.listed || w.Pool == "" && w.hasTasksOfPool(pool, e) {
			return w
		}
	}
	return nil
}

// logWorkerNotAwaited logs, once for each worker, why inherited tasks don't wait
// for a worker that has not reported its runs.
func (e *Engine) logWorkerNotAwaited(w *worker) {
	if w.polled || w.notAwaitedLogged {
		return
	}
	w.notAwaitedLogged = true
	e.log.Info("inherited tasks do not wait for a worker that has not reported", "worker", w.ID, "pool", w.Pool,
		"registered-in-term", w.registeredInTerm, "recorded-unresponsive", e.unresponsive.fromEarlierTerm[w.ID], "leases-until", e.leaseExpiry(w))
}

// hasTasksOfPool reports whether any task assigned to the worker belongs to a
// pool. It is used for unlisted workers, whose pool is unknown.
func (w *worker) hasTasksOfPool(pool string, e *Engine) bool {
	m := e.cfg.Manifest()
	for _, t := range w.tasks {
		if q := m.QueueOf(&t.step.occurrence.job.Job); q != nil && q.Pool == pool {
			return true
		}
	}
	return false
}
