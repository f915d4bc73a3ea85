package orchestrator

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	outcomeCleanupInterval = time.Second // between two cleanups
	outcomesPerCleanup     = 30          // records deleted in one transaction; together with the condition they fit its key limit
	outcomeRetentionFactor = 2           // outcomes are kept for this multiple of the time in which callers may query them, so that a late repeat of a request is still recognized
)

// outcome is the final state of an ended job.
type outcome struct {
	state    modeler.State
	storedAt time.Time // when the outcome was stored, or when it was loaded in this term
}

// removeOldOutcomes deletes the records of jobs that ended long ago.
func (e *Engine) removeOldOutcomes(ctx context.Context, now time.Time) {
	if now.Before(e.nextOutcomeCleanup) || e.cfg.OutcomeQueryTime <= 0 {
		return
	}
	e.nextOutcomeCleanup = now.Add(outcomeCleanupInterval)
	txn := keeper.Txn{Expect: []keeper.Expectation{e.termCondition()}}
	var ids []string
	for id, o := range e.outcomes {
		if now.Sub(o.storedAt) < outcomeRetentionFactor*e.cfg.OutcomeQueryTime {
			continue
		}
		ids = append(ids, id)
		txn.Delete = append(txn.Delete, JobKey(id))
		if len(ids) == outcomesPerCleanup {
			break
		}
	}
	if len(ids) == 0 {
		return
	}
	e.runInBackground(func() {
		_, _, err := e.store.Commit(ctx, txn)
		e.runInEventLoop(ctx, func() {
			if err != nil {
				e.log.Warn("records of ended jobs not removed, trying again", "jobs", len(ids), "error", err)
				return
			}
			for _, id := range ids {
				delete(e.outcomes, id)
			}
		})
	})
}
