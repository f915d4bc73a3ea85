package orchestrator

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	retireInterval = time.Second // between two removals
	retireBatch    = 30          // records that go at once; with the condition they fit a transaction
	retireFactor   = 2           // outcomes are kept this many times as long as callers may ask for them, so that a late repeat of a call is still known
)

// outcome is how a job ended.
type outcome struct {
	state modeler.State
	since time.Time // when it was stored, or the beginning of the term that found it
}

// retire removes the records of jobs that ended long ago.
func (e *Engine) retire(ctx context.Context, now time.Time) {
	if now.Before(e.nextRetire) || e.cfg.OutcomeQueryTime <= 0 {
		return
	}
	e.nextRetire = now.Add(retireInterval)
	txn := keeper.Txn{Expect: []keeper.Expectation{e.condition()}}
	var ids []string
	for id, o := range e.outcomes {
		if now.Sub(o.since) < retireFactor*e.cfg.OutcomeQueryTime {
			continue
		}
		ids = append(ids, id)
		txn.Delete = append(txn.Delete, JobKey(id))
		if len(ids) == retireBatch {
			break
		}
	}
	if len(ids) == 0 {
		return
	}
	e.spawn(func() {
		_, _, err := e.store.Commit(ctx, txn)
		e.post(ctx, func() {
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
