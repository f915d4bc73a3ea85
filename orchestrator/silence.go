package orchestrator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

const (
	silenceKey   = fleetPrefix + "silence" // Silences of the workers that do not answer
	silentAfter  = 2                       // looks in a row without an answer; one may be an accident
	wallMargin   = 3 * time.Second         // clocks of two entries differ by less, also when one has jumped by two seconds
	silenceRetry = 500 * time.Millisecond  // after a failed write
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
	silenceRecord struct {
		known   UnresponsiveWorkers
		before  map[string]bool // workers that a predecessor had noted; it started nothing there afterwards
		changed bool
		writing bool
		after   time.Time
	}
)

// restoreSilence takes in the record of an earlier term.
func (e *Engine) restoreSilence(records []keeper.Record) {
	e.silence.known, e.silence.before = make(UnresponsiveWorkers), make(map[string]bool)
	for _, r := range records {
		if err := json.Unmarshal(r.Value, &e.silence.known); err != nil {
			e.log.Error("record of silent workers left alone", "revision", r.Revision, "error", err)
		}
	}
	for id := range e.silence.known {
		e.silence.before[id] = true
	}
}

// noteSilence records that a worker does not answer.
func (e *Engine) noteSilence(w *worker) {
	if w.failures != silentAfter {
		return
	}
	if _, ok := e.silence.known[w.ID]; ok && !w.known {
		return // noted by a predecessor
	}
	e.silence.known[w.ID] = UnresponsiveWorker{Instance: w.Instance, Born: w.StartTimeMs, Until: e.lapse(w)}
	e.silence.changed = true
}

// forgetSilence drops a worker that answers again or is gone.
func (e *Engine) forgetSilence(id string) {
	if _, ok := e.silence.known[id]; ok {
		delete(e.silence.known, id)
		e.silence.changed = true
	}
}

// storeSilence writes the record when it has changed.
func (e *Engine) storeSilence(ctx context.Context, now time.Time) {
	r := &e.silence
	if !r.changed || r.writing || now.Before(r.after) {
		return
	}
	r.writing, r.changed = true, false
	txn := keeper.Txn{
		Expect: []keeper.Expectation{e.condition()},
		Put:    []keeper.Put{{Key: silenceKey, Value: encode(r.known)}},
	}
	e.spawn(func() {
		_, _, err := e.store.Commit(ctx, txn)
		e.post(ctx, func() {
			r.writing = false
			if err != nil {
				e.log.Warn("silent workers not stored", "error", err)
				r.changed, r.after = true, time.Now().Add(silenceRetry)
			}
		})
	})
}

// supersede gives up what earlier workers of an instance had, because a newer
// one is the proof that they have ended.
func (e *Engine) supersede() {
	newest := make(map[string]int64) // birth by instance
	for _, w := range e.fleet {
		newest[w.Instance] = max(newest[w.Instance], w.StartTimeMs)
	}
	for _, w := range e.fleet {
		if w.Instance == "" || w.StartTimeMs >= newest[w.Instance] {
			continue
		}
		if len(w.tasks) > 0 {
			e.lose(w, "instance has another worker")
		}
		w.reached, w.ended, w.deadline = false, true, 0
	}
}
