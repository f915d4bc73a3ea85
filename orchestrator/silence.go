package orchestrator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

const (
	unresponsiveKey              = fleetPrefix + "silence" // Silences of the workers that do not answer
	failedPollsUntilUnresponsive = 2                       // looks in a row without an answer; one may be an accident
	maxClockDifference           = 3 * time.Second         // clocks of two entries differ by less, also when one has jumped by two seconds
	unresponsiveRetryInterval    = 500 * time.Millisecond  // after a failed write
)

type (
	// UnresponsiveWorkers tells a successor, by worker, what is known of workers that do
	// not answer. Without it the successor would have to assume that their
	// leases were extended until its term began.
	UnresponsiveWorkers map[string]UnresponsiveWorker

	// UnresponsiveWorker is what is known of a worker that does not answer.
	UnresponsiveWorker struct {
		Instance string    `json:"instance"`
		Born     int64     `json:"born"`
		Until    time.Time `json:"until"` // all its leases are over then, by the clock of the entry that wrote it
	}

	// silenceRecord is the engine's copy of the record.
	unresponsiveState struct {
		workers         UnresponsiveWorkers
		fromEarlierTerm map[string]bool // workers that a predecessor had noted; it started nothing there afterwards
		changed         bool
		commitInFlight  bool
		retryAfter      time.Time
	}
)

// restoreSilence takes in the record of an earlier term.
func (e *Engine) restoreUnresponsive(records []keeper.Record) {
	e.unresponsive.workers, e.unresponsive.fromEarlierTerm = make(UnresponsiveWorkers), make(map[string]bool)
	for _, r := range records {
		if err := json.Unmarshal(r.Value, &e.unresponsive.workers); err != nil {
			e.log.Error("record of silent workers left alone", "revision", r.Revision, "error", err)
		}
	}
	for id := range e.unresponsive.workers {
		e.unresponsive.fromEarlierTerm[id] = true
	}
}

// noteSilence records that a worker does not answer.
func (e *Engine) recordUnresponsive(w *worker) {
	if w.failedPolls != failedPollsUntilUnresponsive {
		return
	}
	if _, ok := e.unresponsive.workers[w.ID]; ok && !w.polled {
		return // noted by a predecessor
	}
	e.unresponsive.workers[w.ID] = UnresponsiveWorker{Instance: w.Instance, Born: w.StartTimeMs, Until: e.leaseExpiry(w)}
	e.unresponsive.changed = true
}

// forgetSilence drops a worker that answers again or is gone.
func (e *Engine) clearUnresponsive(id string) {
	if _, ok := e.unresponsive.workers[id]; ok {
		delete(e.unresponsive.workers, id)
		e.unresponsive.changed = true
	}
}

// storeSilence writes the record when it has changed.
func (e *Engine) storeUnresponsive(ctx context.Context, now time.Time) {
	r := &e.unresponsive
	if !r.changed || r.commitInFlight || now.Before(r.retryAfter) {
		return
	}
	r.commitInFlight, r.changed = true, false
	txn := keeper.Txn{
		Expect: []keeper.Expectation{e.termCondition()},
		Put:    []keeper.Put{{Key: unresponsiveKey, Value: encode(r.workers)}},
	}
	e.runInBackground(func() {
		_, _, err := e.store.Commit(ctx, txn)
		e.runInEventLoop(ctx, func() {
			r.commitInFlight = false
			if err != nil {
				e.log.Warn("silent workers not stored", "error", err)
				r.changed, r.retryAfter = true, time.Now().Add(unresponsiveRetryInterval)
			}
		})
	})
}

// supersede gives up what earlier workers of an instance had, because a newer
// one is the proof that they have ended.
func (e *Engine) requeueTasksOfReplacedWorkers() {
	newest := make(map[string]int64) // birth by instance
	for _, w := range e.workersByID {
		newest[w.Instance] = max(newest[w.Instance], w.StartTimeMs)
	}
	for _, w := range e.workersByID {
		if w.Instance == "" || w.StartTimeMs >= newest[w.Instance] {
			continue
		}
		if len(w.tasks) > 0 {
			e.requeueTasksOf(w, "instance has another worker")
		}
		w.reachable, w.replaced, w.leaseDeadline = false, true, 0
	}
}
