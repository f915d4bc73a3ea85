package orchestrator

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	termKey     = fleetPrefix + "term"     // stores the TermRecord of the last term that began
	handoverKey = fleetPrefix + "handover" // stores the TermRecord of the last term that ended with all runs known and all state stored

	instancesNotListed = "unknown: the instances are not listed yet" // logged instead of a worker ID

	maxStoreWaitBeforeStart = 100 * time.Millisecond // a write usually takes a few ms; after this time a start no longer waits for it
	handoverTimeout         = 300 * time.Millisecond // for the last write of a term
	termRecordRetryInterval = 500 * time.Millisecond // after a failed write
)

type (
	// TermRecord identifies a term by its fencing token. In the record of a term
	// that began, Pools lists, by queue, the pools in which the term may start tasks
	// before their placement is stored.
	TermRecord struct {
		Token int64               `json:"token"`
		Pools map[string][]string `json:"pools,omitempty"`
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
		isFirstTerm          bool                // no leader has started tasks before
		predecessorStoredAll bool                // the previous leader knew all runs and stored all its state
		inheritedPools       map[string][]string // TermRecord.Pools of the previous leader, if it did not store all its state
		recordedPools        map[string][]string // TermRecord.Pools of this term's record; nil until it is stored and the next leader can see that this term began
		termRevision         int64               // last known revision of the term record
		termRecordInFlight   bool
		termRecordRetryAfter time.Time
		blockingWorkers      map[string]string // by pool, the ID of the worker that inherited tasks wait for; empty if none
		workersAtStart       map[string]bool   // IDs of the workers that the stored placements, the first worker list or the first instance list name
		unlistedWorkers      map[string]string // by ID, the instances of those that are on an instance that is up and have been in no worker list
		endedJobs            map[string]*job   // inherited jobs that have ended while workers may be running unstored tasks of them
	}
)

// restoreHandover determines from the records of earlier terms whether the
// previous leader knew all runs and stored all its state.
func (e *Engine) restoreHandover(terms, handovers []keeper.Record) {
	if len(terms) > 0 {
		e.handover.termRevision = terms[0].Revision
	}
	e.handover.predecessorStoredAll = len(terms) == 0 || len(handovers) > 0 && parseTermRecord(terms[0]).Token == parseTermRecord(handovers[0]).Token
	if !e.handover.predecessorStoredAll {
		e.handover.inheritedPools = parseTermRecord(terms[0]).Pools
	}
}

// parseTermRecord parses the record of a term. For an unreadable record it
// returns a token that matches no other record.
func parseTermRecord(r keeper.Record) TermRecord {
	var t TermRecord
	if err := json.Unmarshal(r.Value, &t); err != nil {
		return TermRecord{Token: -r.Revision}
	}
	return t
}

// poolsOfQueue returns the pools in which tasks of a queue may run: its present
// pool, and those that the previous leader recorded for it.
func (e *Engine) poolsOfQueue(q *modeler.Queue) []string {
	pools := e.handover.inheritedPools[q.Name]
	if slices.Contains(pools, q.Pool) {
		return pools
	}
	return append(slices.Clone(pools), q.Pool)
}

// storeTermRecord stores the term record, which tells the next leader that this
// term began, and stores it again when the manifest sends a queue to a further
// pool. The transaction requires the last known revision of the record, so that
// the store does not replace a later record if it executes the transaction late.
func (e *Engine) storeTermRecord(ctx context.Context, now time.Time) {
	h := &e.handover
	pools := e.poolsToRecord()
	if h.termRecordInFlight || now.Before(h.termRecordRetryAfter) || h.recordedPools != nil && maps.EqualFunc(pools, h.recordedPools, slices.Equal) {
		return
	}
	h.termRecordInFlight = true
	txn := keeper.Txn{
		Expect: []keeper.Expectation{e.termCondition(), {Key: termKey, Revision: h.termRevision}},
		Put:    []keeper.Put{{Key: termKey, Value: encodeJSON(TermRecord{Token: e.term.Token, Pools: pools})}},
	}
	var answered AnsweredStarts
	withAnswered := !e.answered.commitInFlight
	if withAnswered {
		answered, e.answered.commitInFlight = e.answeredStarts(now), true
		e.addAnsweredStarts(&txn, &answered)
	}
	e.runInBackground(func() {
		revision, records, err := e.store.Commit(ctx, txn)
		e.runInEventLoop(ctx, func() {
			if withAnswered {
				e.answered.commitInFlight = false
				e.handleAnsweredStartsStored(answered, revision, records, err)
			}
			if errors.Is(err, keeper.ErrConflict) {
				revision = revisionOf(termKey, records) // an earlier write whose response was lost
			}
			e.handleTermRecordStored(pools, revision, records, err)
		})
	})
}

// handleTermRecordStored processes the result of storing the term record.
func (e *Engine) handleTermRecordStored(pools map[string][]string, revision int64, records []keeper.Record, err error) {
	h := &e.handover
	h.termRecordInFlight = false
	if err == nil || errors.Is(err, keeper.ErrConflict) {
		h.termRevision = revision
	}
	if err != nil {
		h.termRecordRetryAfter = time.Now().Add(termRecordRetryInterval)
		e.log.Warn("term record not stored, starts wait until their placement is stored", "error", err)
		e.checkStillLeader(records, err)
		return
	}
	h.recordedPools = pools
}

// poolsToRecord returns, by queue, the pools in which tasks may run that are not
// stored. A pool stays in the record until the end of the term.
func (e *Engine) poolsToRecord() map[string][]string {
	h := &e.handover
	pools := maps.Clone(h.inheritedPools)
	if h.recordedPools != nil {
		pools = maps.Clone(h.recordedPools)
	}
	if pools == nil {
		pools = make(map[string][]string)
	}
	queues := e.cfg.Manifest().Queues
	for i := range queues {
		q := &queues[i]
		if !slices.Contains(pools[q.Name], q.Pool) {
			pools[q.Name] = append(slices.Clone(pools[q.Name]), q.Pool)
		}
	}
	return pools
}

// storeHandoverRecord stores the handover record, which tells the next leader
// that all state is stored. It stores none if a worker may be running tasks that
// this leader does not know of or that the stored state does not contain.
func (e *Engine) storeHandoverRecord(ctx context.Context) {
	if len(e.unstoredJobs) > 0 || e.commitsInFlight > 0 {
		e.log.Info("handover record of the term not stored: some jobs are not stored", "jobs", len(e.unstoredJobs), "transactions", e.commitsInFlight)
		return
	}
	if !e.knowsAllRuns(time.Now()) {
		e.log.Info("handover record of the term not stored: some workers have not reported their runs")
		return
	}
	if e.awaitsOrphanedRuns() {
		e.log.Info("handover record of the term not stored: some orphaned runs have not ended")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	txn := keeper.Txn{
		Expect: []keeper.Expectation{e.termCondition()},
		Put:    []keeper.Put{{Key: handoverKey, Value: encodeJSON(TermRecord{Token: e.term.Token})}},
	}
	if a := &e.answered; !a.commitInFlight && !a.doubtful {
		answered := e.answeredStarts(time.Now())
		e.addAnsweredStarts(&txn, &answered)
	}
	_, _, err := e.store.Commit(ctx, txn)
	if err != nil {
		e.log.Warn("handover record of the term not stored", "error", err)
		return
	}
	e.log.Info("handover record of the term stored")
}

// maySendStart reports whether a placed task may be started: its placement is
// stored, or the store has taken too long to store it. In both cases the start
// must be sent before the next leader assumes that all leases have expired, see
// leaseExpiry. In the second case the leader must also have known the job, the
// worker's process and the loss of an earlier run before its lease may have
// expired, and have recorded the pool, because the next leader holds back only the
// jobs of its first reading and waits only for the processes that it finds in the
// recorded pools, and may have acknowledged the end of a run before its worker
// ended. Besides, the next leader must not take an earlier start of the task for
// this one, see mayStartUnstored.
func (e *Engine) maySendStart(t *task, now time.Time) bool {
	if !e.term.MayExtend() || !e.knowsCapacities() {
		return false
	}
	j := t.step.occurrence.job
	if j.storedVersion >= t.placementVersion {
		return true
	}
	if t.hasHistory() && !t.crashAssumed || !e.mayStartUnstored(t) {
		return false
	}
	return slices.Contains(e.handover.recordedPools[j.Queue], t.worker.Pool) && now.Sub(t.phaseSince) >= maxStoreWaitBeforeStart &&
		e.term.WasValidAt(max(j.loadedAt, t.worker.bootLearnedAt, t.lostAt))
}

// mustWaitForWorkers reports whether inherited tasks of a pool must wait
// because a worker that may be running some of them has not reported yet.
func (e *Engine) mustWaitForWorkers(pool string, now time.Time) bool {
	id, until := "", e.inheritedLeaseExpiry()
	if w := e.findBlockingWorker(pool, now); w != nil {
		id, until = w.ID, e.leaseExpiry(w)
	} else if now.Before(until) {
		id = e.findUnlistedWorker(pool)
	}
	if previousID, ok := e.handover.blockingWorkers[pool]; id != previousID {
		e.handover.blockingWorkers[pool] = id
		if id == "" {
			e.log.Info("inherited tasks of the pool may start", "pool", pool, "last-worker", previousID)
		} else if !ok || previousID == "" {
			e.log.Info("inherited tasks of the pool wait until a worker has reported its runs", "pool", pool, "worker", id, "until", until)
		}
	}
	return id != ""
}

// findBlockingWorker returns a worker of the pool that may be running tasks
// whose placement the previous leader did not store. It returns nil if there is
// none. A worker that is no longer listed may still be running until its leases
// expire.
func (e *Engine) findBlockingWorker(pool string, now time.Time) *worker {
	if e.handover.predecessorStoredAll {
		return nil
	}
	for _, w := range e.workersByID {
		if !e.mayHaveUnstoredRuns(w, now) {
			e.logWorkerNotAwaited(w)
			continue
		}
		if w.mayBeInPool(pool, e) {
			return w
		}
	}
	return nil
}

// rememberWorkersAtStart notes the workers in the first instance list of the
// term. A worker that is cut off from the store may be missing in the worker
// list, while the previous leader knew it.
func (e *Engine) rememberWorkersAtStart(list []modeler.Instance) {
	if e.planner.instancesListed {
		return
	}
	for _, i := range list {
		if i.Worker == "" {
			continue
		}
		e.handover.workersAtStart[i.Worker] = true
		if i.State == modeler.InstanceUp && !e.unresponsive.restored[i.Worker].AllStored {
			e.handover.unlistedWorkers[i.Worker] = i.Name
		}
	}
}

// isNewInTerm reports whether the previous leader certainly did not know the
// worker. A worker's start time alone doesn't prove that, because its clock may
// be ahead.
func (e *Engine) isNewInTerm(w *worker) bool {
	return w.registeredInTerm && !e.handover.workersAtStart[w.ID]
}

// findUnlistedWorker returns the ID of a worker that the first instance list
// showed in the pool and that no worker list of this term has named. It returns an
// empty ID if there is none, and instancesNotListed before the first instance list.
func (e *Engine) findUnlistedWorker(pool string) string {
	if e.handover.predecessorStoredAll || e.planner.api == nil {
		return ""
	}
	if !e.planner.instancesListed {
		return instancesNotListed
	}
	if len(e.handover.unlistedWorkers) == 0 {
		return ""
	}
	for _, w := range e.workersByID {
		if w.Pool != "" {
			delete(e.handover.unlistedWorkers, w.ID) // findBlockingWorker checks it from now on
		}
	}
	for id, name := range e.handover.unlistedWorkers {
		if i := e.planner.instances[name]; i != nil && i.Pool == pool && i.isUpWith(id) && !e.hasListedWorker(name) {
			return id
		}
	}
	return ""
}

// isUpWith reports whether the instance is up and runs the worker with the ID.
func (i *instance) isUpWith(worker string) bool {
	return i.State == modeler.InstanceUp && i.Worker == worker
}

// hasUnlistedWorker reports whether findUnlistedWorker finds a worker in any
// pool.
func (e *Engine) hasUnlistedWorker() bool {
	for _, i := range e.planner.instances {
		if e.findUnlistedWorker(i.Pool) != "" {
			return true
		}
	}
	return e.findUnlistedWorker("") != ""
}

// hasListedWorker reports whether a worker of an instance is listed. The
// instance list may still name an earlier one.
func (e *Engine) hasListedWorker(instance string) bool {
	for _, w := range e.workersByID {
		if w.Instance == instance && w.listed {
			return true
		}
	}
	return false
}

// mayHaveUnstoredRuns reports whether the worker may be running tasks whose
// placement the previous leader did not store.
func (e *Engine) mayHaveUnstoredRuns(w *worker, now time.Time) bool {
	return !e.handover.predecessorStoredAll && !w.reported && !e.isNewInTerm(w) && !e.unresponsive.restored[w.ID].AllStored && now.Before(e.leaseExpiry(w))
}

// knowsAllRuns reports whether this leader knows all runs on the workers. Before
// the first worker list it does not know which workers to ask.
func (e *Engine) knowsAllRuns(now time.Time) bool {
	if e.handover.predecessorStoredAll {
		return true
	}
	if e.firstListAt.IsZero() || now.Before(e.inheritedLeaseExpiry()) && e.hasUnlistedWorker() {
		return false
	}
	for _, w := range e.workersByID {
		if e.mayHaveUnstoredRuns(w, now) {
			return false
		}
	}
	return true
}

// awaitsOrphanedRuns reports whether a task waits for the end of an orphaned run
// of it. Only this leader knows that, because the stored state contains no
// orphaned runs.
func (e *Engine) awaitsOrphanedRuns() bool {
	for id := range e.tasksWithOrphanedRuns() {
		if t := e.findTask(id); t != nil && t.phase != done {
			return true
		}
	}
	return false
}

// logWorkerNotAwaited logs, once for each worker, why inherited tasks don't wait
// for a worker that has not reported its runs.
func (e *Engine) logWorkerNotAwaited(w *worker) {
	if w.reported || w.notAwaitedLogged {
		return
	}
	w.notAwaitedLogged = true
	e.log.Info("inherited tasks do not wait for a worker that has not reported", "worker", w.ID, "pool", w.Pool, "reason", e.reasonNotToAwait(w))
}

// reasonNotToAwait returns, for log lines, why a worker that has not reported
// runs no unstored tasks.
func (e *Engine) reasonNotToAwait(w *worker) string {
	switch {
	case w.replaced:
		return "replaced"
	case w.ended:
		return "ended"
	case e.isNewInTerm(w):
		return "new in this term"
	case e.unresponsive.restored[w.ID].AllStored:
		return "recorded as unresponsive with all runs stored"
	}
	return "leases expired"
}

// mayBeInPool reports whether the worker is in a pool, as far as that is known.
func (w *worker) mayBeInPool(pool string, e *Engine) bool {
	return w.Pool == pool || w.Pool == "" && w.hasTasksOfPool(pool, e)
}

// hasTasksOfPool reports whether any task assigned to the worker belongs to a
// queue that uses or used a pool. It is used for workers that were never listed,
// whose pool is unknown.
func (w *worker) hasTasksOfPool(pool string, e *Engine) bool {
	m := e.cfg.Manifest()
	for _, t := range w.tasks {
		if q := t.step.occurrence.job.settingsIn(m).queue; q != nil && slices.Contains(e.poolsOfQueue(q), pool) {
			return true
		}
	}
	return false
}
