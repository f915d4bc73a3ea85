package orchestrator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

const (
	termKey     = fleetPrefix + "term"     // TermRecord of the last term that began
	handoverKey = fleetPrefix + "handover" // TermRecord of the last term that stored all it knew

	maxStoreWaitBeforeStart = 100 * time.Millisecond // a write takes some ms; after this a start does not wait for it any more
	handoverTimeout         = 300 * time.Millisecond // for the last write of a term
)

type (
	// TermRecord names a term by its token.
	TermRecord struct {
		Token int64 `json:"token"`
	}

	// handover is what a term knows of its predecessor and tells its successor.
	//
	// A leader may order a start that is not stored yet when the store is slow
	// or away. It records its term before it ever does so. A successor of a term
	// that has not handed over therefore starts nothing that the predecessor
	// knew of until every worker of the pool has told what it runs, or has
	// certainly nothing any more.
	handoverState struct {
		predecessorStoredAll bool              // the predecessor stored all it knew
		termRecorded         bool              // the successor can see that this term began
		blockingWorkers      map[string]string // by pool, the worker that its inherited tasks wait for
	}
)

// restoreHandover takes in what earlier terms have recorded.
func (e *Engine) restoreHandover(terms, handovers []keeper.Record) {
	e.handover.predecessorStoredAll = len(terms) == 0 || len(handovers) > 0 && readToken(terms[0]) == readToken(handovers[0])
}

// readToken returns the token of a record; one that cannot be read is like none
// of another record.
func readToken(r keeper.Record) int64 {
	var t TermRecord
	if err := json.Unmarshal(r.Value, &t); err != nil {
		return -r.Revision
	}
	return t.Token
}

// recordTerm tells successors that the term has begun.
func (e *Engine) storeTermRecord(ctx context.Context) {
	txn := keeper.Txn{
		Expect: []keeper.Expectation{e.termCondition()},
		Put:    []keeper.Put{{Key: termKey, Value: encode(TermRecord{e.term.Token})}},
	}
	e.runInBackground(func() {
		_, _, err := e.store.Commit(ctx, txn)
		e.runInEventLoop(ctx, func() {
			e.handover.termRecorded = err == nil
			if err != nil {
				e.log.Warn("term not recorded, starts wait for the store", "error", err)
			}
		})
	})
}

// handOver tells the successor that all is stored.
func (e *Engine) storeHandoverRecord(ctx context.Context) {
	if len(e.unstoredJobs) > 0 || e.commitsInFlight > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, _, err := e.store.Commit(ctx, keeper.Txn{
		Expect: []keeper.Expectation{e.termCondition()},
		Put:    []keeper.Put{{Key: handoverKey, Value: encode(TermRecord{e.term.Token})}},
	})
	e.log.Info("term handed over", "error", err)
}

// mayStart says whether a placement may be ordered: it is stored, or the store
// has taken too long.
func (e *Engine) maySendStart(t *task, now time.Time) bool {
	if t.step.occurrence.job.storedVersion >= t.placementVersion {
		return true
	}
	return e.handover.termRecorded && now.Sub(t.phaseSince) >= maxStoreWaitBeforeStart && e.term.MayExtend()
}

// isGuarded says whether the tasks of a pool that the predecessor knew of may
// run on a worker that has not told yet.
func (e *Engine) mustWaitForWorkers(pool string, now time.Time) bool {
	w := e.findBlockingWorker(pool, now)
	id := ""
	if w != nil {
		id = w.ID
	}
	if previousID, ok := e.handover.blockingWorkers[pool]; id != previousID {
		e.handover.blockingWorkers[pool] = id
		if id == "" {
			e.log.Info("inherited tasks may start", "pool", pool)
		} else if !ok || previousID == "" {
			e.log.Info("inherited tasks wait", "pool", pool, "worker", id, "until", e.leaseExpiry(w))
		}
	}
	return w != nil
}

// guard returns a worker of the pool that may have what the predecessor did not
// store, nil when there is none.
func (e *Engine) findBlockingWorker(pool string, now time.Time) *worker {
	if e.handover.predecessorStoredAll {
		return nil
	}
	for _, w := range e.workersByID {
		if w.polled || w.registeredInTerm || e.unresponsive.fromEarlierTerm[w.ID] || !now.Before(e.leaseExpiry(w)) {
			continue
		}
		if w.Pool == pool && w.listed || w.Pool == "" && w.hasTasksOfPool(pool, e) {
			return w
		}
	}
	return nil
}

// holdsOf says whether a worker that is not listed has tasks of a pool.
func (w *worker) hasTasksOfPool(pool string, e *Engine) bool {
	m := e.cfg.Manifest()
	for _, t := range w.tasks {
		if q := m.Queue(t.step.occurrence.job.Queue); q != nil && q.Pool == pool {
			return true
		}
	}
	return false
}
