package orchestrator

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	outcomeCleanupInterval = time.Second // between two removals
	outcomesPerCleanup     = 30          // records that go at once; with the condition they fit a transaction
	outcomeRetentionFactor = 2           // outcomes are kept this many times as long as callers may ask for them, so that a late repeat of a call is still known
)

// outcome is how a job ended.
type outcome struct {
	state    modeler.State
	storedAt time.Time // when it was stored, or the beginning of the term that found it
}

// retire removes the records of jobs that ended long ago.
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
				e.log.Warn("ended jobs not removed", "jobs", len(ids), "error", err)
				return
			}
			for _, id := range ids {
				delete(e.outcomes, id)
			}
		})
	})
}
