package orchestrator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"runtime/debug"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

const (
	panicsKey         = fleetPrefix + "panics" // stores, by job ID, how many terms have ended because of an unexpected error in handling the job
	maxPanicsPerJob   = 2                      // after so many a job is left alone; one may be an accident
	panicStoreTimeout = time.Second            // for the last write of a term that ends because of an unexpected error
)

// endTermOnPanic ends the term if a background goroutine panics, so that an
// unexpected error costs this entry node its leadership but not its callers' calls. The
// state of the term is discarded.
func (e *Engine) endTermOnPanic() {
	if v := recover(); v != nil {
		e.endTermAfterPanic(v, nil)
	}
}

// endTermOnLoopPanic ends the term if the event loop panics. It records the job that
// was being handled: otherwise one job could end the term of one entry node after the
// other.
func (e *Engine) endTermOnLoopPanic(ctx context.Context) {
	if v := recover(); v != nil {
		if e.handling != nil {
			e.storePanic(ctx, e.handling.ID)
		}
		e.endTermAfterPanic(v, e.handling)
	}
}

// endTermAfterPanic logs a panic with the value v and ends the term.
func (e *Engine) endTermAfterPanic(v any, j *job) {
	id := ""
	if j != nil {
		id = j.ID
	}
	e.log.Error("unexpected error in the work of the leader, ending the term", "error", fmt.Sprint(v), "job", id, "stack", string(debug.Stack()))
	e.term.Resign()
}

// storePanic adds a panic to the record of the jobs whose handling has ended terms.
func (e *Engine) storePanic(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), panicStoreTimeout)
	defer cancel()
	panics := maps.Clone(e.panics)
	if panics == nil {
		panics = make(map[string]int)
	}
	panics[id]++
	_, _, err := e.store.Commit(ctx, keeper.Txn{
		Expect: []keeper.Expectation{e.termCondition()}, Put: []keeper.Put{{Key: panicsKey, Value: encodeJSON(panics)}},
	})
	if err != nil {
		e.log.Warn("record of jobs that end terms not stored", "job", id, "error", err)
	}
}

// restorePanics restores the record of the jobs whose handling has ended terms.
func (e *Engine) restorePanics(records []keeper.Record) {
	for _, r := range records {
		if err := json.Unmarshal(r.Value, &e.panics); err != nil {
			e.log.Error("record of jobs that end terms cannot be read, the next write replaces it", "revision", r.Revision, "error", err)
			e.panics = nil
		}
	}
}

// isLeftAlone reports whether a job must not be handled, because that has ended too
// many terms.
func (e *Engine) isLeftAlone(id string) bool {
	if e.panics[id] < maxPanicsPerJob {
		return false
	}
	e.log.Error("job left alone, because unexpected errors in handling it have ended terms", "job", id, "terms", e.panics[id])
	return true
}
