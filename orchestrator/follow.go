package orchestrator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

// restoreJobs loads all job records; records may also contain progress records.
// Known jobs are left unchanged, so that it can be called again with the same
// records.
func (e *Engine) restoreJobs(records []keeper.Record) {
	byKey := make(map[string]keeper.Record, len(records))
	var cancels []string
	for _, r := range records {
		byKey[r.Key] = r
		if id, suffix := splitJobKey(r.Key); suffix == cancelSuffix {
			cancels = append(cancels, id)
		}
	}
	for _, r := range records {
		if id, suffix := splitJobKey(r.Key); suffix == "" && r.Key == JobKey(id) {
			e.loadJob(id, r, byKey)
		}
	}
	for _, id := range cancels {
		e.cancelJob(id)
	}
}

// loadJob loads a job that is not known yet from its record. byKey contains its
// progress record if there is one.
func (e *Engine) loadJob(id string, r keeper.Record, byKey map[string]keeper.Record) {
	if e.jobs[id] != nil || e.outcomes[id].state != "" {
		return
	}
	var rec JobRecord
	err := json.Unmarshal(r.Value, &rec)
	def, progressKey := rec.definition(id)
	if err != nil || def == nil && rec.Outcome == "" {
		e.log.Error("job record cannot be read, left alone", "job", id, "revision", r.Revision, "error", err)
		return
	}
	if rec.Outcome != "" {
		e.outcomes[id] = outcome{rec.Outcome, time.Now()}
		return
	}
	if e.isLeftAlone(id) {
		return
	}
	e.handling = &job{Job: *def}
	j := newJob(*def, e.customerState(def.Customer))
	e.handling = j
	j.progressKey, j.loadedAt = progressKey, e.term.Now()
	if progress := byKey[progressKey]; progress.Revision != 0 {
		p, err := DecodeProgress(progress.Value)
		if err == nil {
			err = j.restore(p, e.workerOfPlacement)
			j.revision = progress.Revision
			e.markAnsweredStarts(j)
			e.adoptLateStarts(j)
		}
		if err != nil {
			e.log.Error("job record cannot be read, left alone", "job", id, "revision", progress.Revision, "error", err)
			return
		}
	}
	e.addJob(j)
	e.log.Info("job loaded from the store", "job", id, "queue", j.Queue, "customer", j.Customer, "revision", r.Revision, "state", j.state, "active", j.activeTasks)
	e.addToMeanJobWork(j)
	e.recordJobArrival(j, time.Now())
	e.completeJobIfDone(j)
	e.handling = nil
	e.placement.newJobs = true
	e.requestPlacement()
}

// workerOfPlacement returns the worker named in a stored placement.
func (e *Engine) workerOfPlacement(tp TaskProgress) *worker {
	w := e.findOrAddWorker(tp.Worker)
	if w.Instance == "" {
		w.Instance, w.StartTimeMs = tp.Instance, tp.Born
	}
	return w
}

// findOrAddWorker returns the worker with the given ID and adds it if it is
// unknown. A worker that is not listed is assumed to run until its leases
// expire.
func (e *Engine) findOrAddWorker(id string) *worker {
	w := e.workersByID[id]
	if w == nil {
		w = &worker{Worker: modeler.Worker{ID: id}, unreachableSince: time.Now(), idleCPUPacePercent: fullPace, tasks: make(map[modeler.TaskID]*task), orphanedRuns: make(map[runID]*orphanedRun)}
		w.recorded = e.unresponsive.mayBeStored[id]
		e.workersByID[id] = w
		e.assignPool(w)
	}
	return w
}

// startedAfterFirstListRequest reports whether a worker that is listed for the
// first time started, by its own clock, after this term's first worker list was
// requested. The clock alone doesn't prove that the previous leader did not know
// the worker, see isNewInTerm.
func (e *Engine) startedAfterFirstListRequest(w *worker, requestedAt time.Time) bool {
	return !w.polled && requestedAt.After(e.firstListAt) && time.UnixMilli(w.StartTimeMs).After(e.firstListAt)
}

// watchJobs passes changes of job records to the event loop until ctx ends.
func (e *Engine) watchJobs(ctx context.Context, revision int64) {
	err := e.store.Watch(ctx, JobPrefix, revision, func(ev keeper.Event) { e.handleJobEvent(ctx, ev) })
	if ctx.Err() != nil {
		return
	}
	e.log.Warn("watch of the job records broken, starting it again", "error", err)
	follower := keeper.NewFollower(e.store, JobPrefix,
		keeper.OnReset(func(records []keeper.Record) { e.runInEventLoop(ctx, func() { e.restoreJobs(records) }) }),
		keeper.OnEvent(func(ev keeper.Event) { e.handleJobEvent(ctx, ev) }),
		keeper.WithFollowerLog(e.log))
	_ = follower.Run(ctx) // only returns ctx's error
}

// handleJobEvent passes a change of a job record to the event loop.
func (e *Engine) handleJobEvent(ctx context.Context, ev keeper.Event) {
	id, suffix := splitJobKey(ev.Key)
	if ev.Deleted || suffix == oldProgressSuffix {
		return
	}
	e.runInEventLoop(ctx, func() {
		if suffix == cancelSuffix {
			e.cancelJob(id)
			return
		}
		e.loadJob(id, ev.Record, nil)
	})
}

// pollWorkerList reads the worker list at intervals until ctx ends. callCtx
// is the context of the calls to the workers, which stays valid after the
// end of the term so that calls in flight can finish.
func (e *Engine) pollWorkerList(ctx, callCtx context.Context) {
	for ctx.Err() == nil {
		requestedAt, asOf := time.Now(), e.term.Now()
		list, err := e.directory.Workers(ctx)
		took := time.Since(requestedAt)
		switch {
		case err != nil:
			e.log.Warn("list of workers not read, trying again", "error", err)
		case !e.term.IsValid():
			e.log.Warn("list of workers ignored: leader lease has expired, another entry may lead", "asked", requestedAt)
		default:
			e.runInEventLoop(ctx, func() {
				e.workersAsOf.Store(int64(asOf))
				e.applyWorkerList(callCtx, list, requestedAt)
			})
		}
		e.waitForNextWorkerList(ctx, took)
	}
}

// waitForNextWorkerList waits until the worker list should be read again, which
// is sooner if a new worker is expected. took is the time that the last read took: a
// list that takes long is read less often, since it keeps other calls waiting.
func (e *Engine) waitForNextWorkerList(ctx context.Context, took time.Duration) {
	for waited := time.Duration(0); waited < e.cfg.WorkerListInterval; waited += tickInterval {
		mayBeSooner := waited >= pausePerListTime*took
		if mayBeSooner && e.workerListRequested.Swap(false) || supervisor.Pause(ctx, tickInterval) != nil {
			return
		}
	}
}

// updateListedWorker updates a worker from its registration.
func (e *Engine) updateListedWorker(ctx context.Context, info modeler.Worker, requestedAt time.Time) {
	w := e.findOrAddWorker(info.ID)
	if info.Draining && !w.Draining {
		e.log.Info("worker is draining", "worker", info.ID, "pool", info.Pool, "tasks", len(w.tasks))
	}
	if w.listed && info.Capacity != w.Capacity {
		e.log.Info("capacity of a worker has changed", "worker", info.ID, "pool", info.Pool, "before", w.Capacity, "capacity", info.Capacity, "in-use", w.used, "tasks", len(w.tasks))
	}
	born := w.StartTimeMs
	if !w.polled && info.StartTimeMs != born {
		w.bootLearnedAt = e.term.Now()
	}
	w.Worker, w.registeredStartMs = info, info.StartTimeMs
	w.view.upToDate = false
	e.assignPool(w)
	if w.polled {
		w.StartTimeMs = born // the worker's own report counts; the next poll updates it
		if info.StartTimeMs > born {
			w.acknowledgedEnd, w.pendingEnds = 0, nil // a restarted worker numbers its ended runs from the beginning
		}
	}
	if !w.listed {
		w.listed = true
		w.registeredInTerm = e.startedAfterFirstListRequest(w, requestedAt)
		e.log.Info("worker listed", "worker", info.ID, "instance", info.Instance, "pool", info.Pool, "born", info.StartTimeMs)
	}
	if e.canEvacuate() {
		e.updateZoneOf(w, e.zones(), e.term.Now())
	}
	if w.pollRequests == nil {
		e.startWorkerCallers(ctx, w)
	}
	if !w.used.Fits(w.Capacity) {
		e.withdrawStartsBeyondCapacity(w)
	}
}

// applyWorkerList updates the workers from a worker list that was requested at
// requestedAt.
func (e *Engine) applyWorkerList(ctx context.Context, list []modeler.Worker, requestedAt time.Time) {
	now := time.Now()
	firstList := e.firstListAt.IsZero()
	if firstList {
		e.firstListAt = requestedAt
	}
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		e.updateListedWorker(ctx, info, requestedAt)
	}
	if firstList {
		for id := range e.workersByID { // also those that stored placements name
			e.handover.workersAtStart[id] = true
		}
	}
	e.requeueTasksOfReplacedWorkers()
	for id, w := range e.workersByID {
		if w.listed && !listed[id] {
			w.listed = false
			e.log.Info("worker no longer listed", "worker", id, "pool", w.Pool, "tasks", len(w.tasks))
		}
	}
	for _, w := range e.workersByID {
		e.handleLeaseExpiry(w, now)
	}
	e.clearGoneWorkers(now)
	e.cordonPlannedInstances()
	e.requestPlacement()
}
