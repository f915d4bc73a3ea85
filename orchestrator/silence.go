package orchestrator

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

const (
	unresponsiveKey              = fleetPrefix + "silence" // stores the UnresponsiveWorkers
	failedPollsUntilUnresponsive = 2                       // failed polls in a row; a single one may be accidental
	maxClockDifference           = 3 * time.Second         // upper limit of the clock difference between two entry nodes, even if one clock has jumped by two seconds
	unresponsiveRetryInterval    = 500 * time.Millisecond  // after a failed write
)

type (
	// UnresponsiveWorkers tells the next leader, by worker ID, when the leases of
	// unresponsive workers expire. Without it, the next leader would have to assume
	// that the leases were extended until its own term began.
	UnresponsiveWorkers map[string]UnresponsiveWorker

	// UnresponsiveWorker describes a worker that does not respond.
	UnresponsiveWorker struct {
		Instance  string    `json:"instance"`
		Born      int64     `json:"born"`
		Until     time.Time `json:"until"`                // all its leases have expired by this time, by the clock of the entry node that wrote the record
		AllStored bool      `json:"all-stored,omitempty"` // the placements of all its runs are stored, so inherited tasks need not wait for it
	}

	// unresponsiveState tracks the stored record of unresponsive workers.
	//
	// The next leader takes a recorded worker's leases to expire as recorded and,
	// if all its runs are stored, expects no other runs there. As long as the store
	// may name a worker, the leader therefore starts nothing on it and extends no
	// leases there.
	unresponsiveState struct {
		workers        UnresponsiveWorkers
		mayBeStored    map[string]bool     // workers named in the stored record or in a later write that may still take effect
		restored       UnresponsiveWorkers // record of an earlier term
		revision       int64               // last known revision of the record
		changed        bool
		commitInFlight bool
		retryAfter     time.Time
	}
)

// restoreUnresponsiveWorkers restores the record of an earlier term.
func (e *Engine) restoreUnresponsiveWorkers(records []keeper.Record) {
	e.unresponsive.workers = make(UnresponsiveWorkers)
	for _, r := range records {
		e.unresponsive.revision = r.Revision
		if err := json.Unmarshal(r.Value, &e.unresponsive.workers); err != nil {
			e.log.Error("record of silent workers cannot be read, the next write replaces it", "revision", r.Revision, "error", err)
		}
	}
	e.unresponsive.restored = maps.Clone(e.unresponsive.workers)
	e.unresponsive.mayBeStored = make(map[string]bool)
	e.addMayBeStored(e.unresponsive.workers)
}

// addMayBeStored records that the store may name the workers from now on.
func (e *Engine) addMayBeStored(workers UnresponsiveWorkers) {
	for id := range workers {
		e.unresponsive.mayBeStored[id] = true
		if w := e.workersByID[id]; w != nil {
			w.recorded = true
		}
	}
}

// setStored records that the store names exactly the given workers, and polls
// those that are no longer named, which extends their leases again.
func (e *Engine) setStored(workers UnresponsiveWorkers, now time.Time) {
	clear(e.unresponsive.mayBeStored)
	for id := range workers {
		e.unresponsive.mayBeStored[id] = true
	}
	for id, w := range e.workersByID {
		if !w.recorded || e.unresponsive.mayBeStored[id] {
			continue
		}
		w.recorded = false
		if w.reachable {
			e.requestNextPoll(w, now)
			e.requestPlacement()
		}
	}
}

// recordUnresponsiveWorker records a worker after
// failedPollsUntilUnresponsive failed polls. Further failed polls complete the
// record once the placements of all its runs are stored.
func (e *Engine) recordUnresponsiveWorker(w *worker, now time.Time) {
	if w.failedPolls < failedPollsUntilUnresponsive || !e.term.IsValid() {
		return // without a valid lease the store may be out of reach, and the record could not be withdrawn
	}
	allStored := e.allRunsStored(w, now)
	recorded, ok := e.unresponsive.workers[w.ID]
	switch {
	case !ok:
		recorded = UnresponsiveWorker{Instance: w.Instance, Born: w.StartTimeMs, Until: e.cfg.WallClock().Add(e.leaseExpiry(w).Sub(now))}
	case recorded.AllStored || !allStored:
		return
	}
	recorded.AllStored = allStored
	e.unresponsive.workers[w.ID] = recorded
	e.unresponsive.changed = true
}

// allRunsStored reports whether this leader knows all runs on an unresponsive
// worker and their placements are stored.
func (e *Engine) allRunsStored(w *worker, now time.Time) bool {
	if e.mayHaveUnstoredRuns(w, now) {
		return false
	}
	for _, t := range w.tasks {
		if t.step.occurrence.job.storedVersion < t.placementVersion {
			return false
		}
	}
	return len(w.orphanedRuns) == 0
}

// clearUnresponsiveWorker removes a worker that responds again or has left
// the fleet.
func (e *Engine) clearUnresponsiveWorker(id string) {
	if _, ok := e.unresponsive.workers[id]; ok {
		delete(e.unresponsive.workers, id)
		e.unresponsive.changed = true
	}
}

// clearGoneWorkers removes the workers of earlier terms that are neither listed
// nor named in a placement and whose leases have expired.
func (e *Engine) clearGoneWorkers(now time.Time) {
	for id, recorded := range e.unresponsive.workers {
		if e.workersByID[id] == nil && e.cfg.WallClock().After(recorded.Until.Add(maxClockDifference)) {
			e.clearUnresponsiveWorker(id)
		}
	}
}

// removalDue reports whether a worker that responds again must be removed from
// the stored record. It is not used until then.
func (r *unresponsiveState) removalDue() bool {
	if !r.changed || r.commitInFlight {
		return false
	}
	for id := range r.mayBeStored {
		if _, ok := r.workers[id]; !ok {
			return true
		}
	}
	return false
}

// storeUnresponsiveWorkers stores the record if it has changed. The transaction
// requires the last known revision of the record, so that the store does not
// replace a later record if it executes the transaction late.
func (e *Engine) storeUnresponsiveWorkers(ctx context.Context, now time.Time) {
	r := &e.unresponsive
	if !r.changed || r.commitInFlight || now.Before(r.retryAfter) {
		return
	}
	r.commitInFlight, r.changed = true, false
	r.retryAfter = now.Add(flushInterval)
	workers := maps.Clone(r.workers)
	e.addMayBeStored(workers)
	txn := keeper.Txn{
		Expect: []keeper.Expectation{e.termCondition(), {Key: unresponsiveKey, Revision: r.revision}},
		Put:    []keeper.Put{{Key: unresponsiveKey, Value: encodeJSON(workers)}},
	}
	e.runInBackground(func() {
		revision, records, err := e.store.Commit(ctx, txn)
		e.runInEventLoop(ctx, func() { e.handleUnresponsiveWorkersStored(workers, revision, records, err) })
	})
}

// handleUnresponsiveWorkersStored processes the result of storing the record.
func (e *Engine) handleUnresponsiveWorkersStored(workers UnresponsiveWorkers, revision int64, records []keeper.Record, err error) {
	r := &e.unresponsive
	r.commitInFlight = false
	switch {
	case err == nil:
		r.revision = revision
		e.log.Info("record of silent workers stored", "workers", slices.Sorted(maps.Keys(workers)), "revision", revision)
		e.setStored(workers, time.Now())
		return
	case errors.Is(err, keeper.ErrConflict):
		if !e.checkStillLeader(records, err) {
			return
		}
		r.revision = revisionOf(unresponsiveKey, records)
		e.log.Info("earlier write of the record of silent workers found in the store, using its revision", "revision", r.revision)
	default:
		e.log.Warn("record of silent workers not stored, trying again", "error", err)
		r.retryAfter = time.Now().Add(unresponsiveRetryInterval)
	}
	r.changed = true
}

// requeueTasksOfReplacedWorkers requeues the tasks of earlier workers of each
// instance, because a newer worker proves that the earlier ones have ended. The
// start times alone don't prove which one is newer, because the instance's clock
// may have been set back: the newer one must also have responded last.
func (e *Engine) requeueTasksOfReplacedWorkers() {
	newest := make(map[string]*worker) // worker with the latest start time, by instance
	for _, w := range e.workersByID {
		if n := newest[w.Instance]; n == nil || w.StartTimeMs > n.StartTimeMs {
			newest[w.Instance] = w
		}
	}
	for _, w := range e.workersByID {
		n := newest[w.Instance]
		if w.Instance == "" || w.StartTimeMs >= n.StartTimeMs || !n.clockSample.receivedAt.After(w.clockSample.receivedAt) {
			continue
		}
		if !w.replaced && w.reachable {
			w.unreachableSince = time.Now()
		}
		w.reachable, w.replaced, w.leaseDeadline, w.lostAt = false, true, 0, e.term.Now()
		e.noteGoneWorker(w.ID, true, time.Now())
		e.requeueTasksOf(w, "instance has another worker")
	}
}
