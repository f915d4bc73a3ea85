package orchestrator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/evacuator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/meter"
)

const (
	maxKeysPerTransaction = 32  // limit on the keys in one transaction, from the platform's documentation
	minCommitsInFlight    = 4   // minimum number of transactions in flight if the platform allows few writes; even a slow store then accepts 60 jobs per round trip
	flushShareOfWrites    = 0.5 // share of the permitted store writes that flushes may use; the rest is for callers' new jobs
	keysPerProgressWrite  = 2   // the leader record's condition and the progress record
	keysPerOutcomeWrite   = 4   // the leader record's condition, the outcome record and the two deleted records

	maxFlushInterval    = 250 * time.Millisecond // callers wait for the outcomes of their jobs
	commitTimeSmoothing = 8                      // number of transactions over which their time is smoothed

	flushRetryInterval = 100 * time.Millisecond // after a failed transaction
	pausePerTask       = 40 * time.Microsecond  // of a job's record until the job is stored again, since the whole record is encoded each time
)

type (
	// jobBatch is a transaction and the jobs that it stores.
	jobBatch struct {
		txn      keeper.Txn
		jobs     []*job
		versions []int64
		final    []bool
		progress []progressPut
	}

	// progressPut is a progress record that the transaction writes. It is encoded outside
	// the event loop, which a large one would hold up.
	progressPut struct {
		put      int // index in the transaction's Put
		progress Progress
	}
)

// flush stores changed jobs in batches. Each transaction requires that this
// leader's term is current and that each job's progress record has its last
// known revision, so that a transaction that the store executes late changes
// nothing.
func (e *Engine) flush(ctx context.Context, now time.Time) {
	if now.Before(e.nextFlush) {
		return
	}
	if len(e.unstoredJobs) == 0 || e.commitsInFlight >= e.maxCommitsInFlight() {
		return
	}
	e.nextFlush = now.Add(e.flushPause()) // also if all unstored jobs are part of a transaction in flight, so that the event loop does not spin
	jobs := e.jobsToStore(now)
	for e.commitsInFlight < e.maxCommitsInFlight() {
		var b *jobBatch
		if b, jobs = e.buildBatch(jobs); len(b.jobs) == 0 {
			return
		}
		e.commitsInFlight++
		for _, j := range b.jobs {
			j.storeAfter = now.Add(time.Duration(j.recordedTasks) * pausePerTask)
		}
		compress, maxBytes := e.cfg.SlowLink, e.cfg.MaxRecordBytes
		e.runInBackground(func() {
			b.encode(compress, maxBytes)
			began := time.Now()
			revision, records, err := e.store.Commit(ctx, b.txn)
			took := time.Since(began)
			meter.RecordCommit(storeOutcome(err), took)
			e.runInEventLoop(ctx, func() {
				if err == nil {
					e.commitTime += (min(took, maxFlushInterval) - e.commitTime) / commitTimeSmoothing
				}
				e.handleCommitResult(ctx, b, revision, records, err)
			})
		})
	}
}

// flushPause returns the minimum time between two flushes. While calls are late it
// is the time that a transaction takes, so that over a slow connection one record
// contains more changes of its job.
func (e *Engine) flushPause() time.Duration {
	if e.throttle.IsCongested() {
		return max(flushInterval, e.commitTime)
	}
	return flushInterval
}

// storeOutcome returns the metric label for the outcome of a store call.
func storeOutcome(err error) meter.Outcome {
	switch {
	case err == nil:
		return meter.OK
	case errors.Is(err, keeper.ErrConflict):
		return meter.Conflict
	case errors.Is(err, keeper.ErrUnavailable):
		return meter.Unavailable
	case errors.Is(err, keeper.ErrRejected):
		return meter.Rejected
	}
	return meter.Unknown
}

// termCondition returns the condition that makes a transaction fail once the
// term is over.
func (e *Engine) termCondition() keeper.Expectation {
	return keeper.Expectation{Key: elector.Key, Revision: e.term.Token}
}

// maxCommitsInFlight returns how many transactions may be in flight: the number
// of writes that flushes may make in one flush interval, or few over a slow link,
// where other calls would wait behind them.
func (e *Engine) maxCommitsInFlight() int {
	if e.cfg.SlowLink {
		return minCommitsInFlight
	}
	return max(minCommitsInFlight, int(flushShareOfWrites*e.cfg.StoreWritesPerSecond*flushInterval.Seconds()))
}

// jobsToStore lists the unstored jobs by urgency: long-running jobs first, because
// each second without one of their tasks is lost, then ended jobs, because their
// callers wait for the outcome, then the jobs that have been unstored longest.
func (e *Engine) jobsToStore(now time.Time) []*job {
	jobs := make([]*job, 0, len(e.unstoredJobs))
	for j := range e.unstoredJobs {
		if !j.commitInFlight && !now.Before(j.rejection.retryAt) && (e.shuttingDown || j.isFinished() || !now.Before(j.storeAfter)) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(longRunningFirst(a, b), -cmp.Compare(a.keysToWrite(), b.keysToWrite()), cmp.Compare(a.dirtyOrder, b.dirtyOrder), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// longRunningFirst compares jobs so that long-running ones come first.
func longRunningFirst(a, b *job) int {
	switch {
	case a.IsLongRunning() == b.IsLongRunning():
		return 0
	case a.IsLongRunning():
		return -1
	}
	return 1
}

// keysToWrite returns how many keys the job's next record takes up in a
// transaction.
func (j *job) keysToWrite() int {
	if j.isFinished() {
		return keysPerOutcomeWrite
	}
	return keysPerProgressWrite
}

// isFinished reports whether the job has a final state and no task that may
// still be running.
func (j *job) isFinished() bool {
	return j.state.IsFinal() && j.activeTasks == 0
}

// buildBatch builds a transaction with as many of the jobs as fit and returns
// it with the remaining jobs. A job whose record has been rejected gets one of its own.
func (e *Engine) buildBatch(jobs []*job) (*jobBatch, []*job) {
	b := &jobBatch{txn: keeper.Txn{Expect: []keeper.Expectation{e.termCondition()}}}
	room := maxKeysPerTransaction - 1
	for len(jobs) > 0 && jobs[0].keysToWrite() <= room && (len(b.jobs) == 0 || !jobs[0].isRejected()) {
		j := jobs[0]
		jobs = jobs[1:]
		room -= j.keysToWrite()
		b.add(j, j.isFinished())
		delete(e.unstoredJobs, j)
		if j.isRejected() {
			break
		}
	}
	return b, jobs
}

// add adds the record of a job to the transaction: the outcome if the job is finished
// (final), otherwise its progress.
func (b *jobBatch) add(j *job, final bool) {
	j.commitInFlight = true
	b.jobs = append(b.jobs, j)
	b.versions = append(b.versions, j.version)
	b.final = append(b.final, final)
	b.txn.Expect = append(b.txn.Expect, keeper.Expectation{Key: j.progressKey, Revision: j.revision})
	if final {
		b.txn.Put = append(b.txn.Put, keeper.Put{Key: JobKey(j.ID), Value: encodeJSON(JobRecord{Outcome: j.state, Owner: j.Customer})})
		b.txn.Delete = append(b.txn.Delete, j.progressKey, CancelKey(j.ID))
		return
	}
	progress := j.progress()
	j.recordedTasks = progress.countTasks()
	b.progress = append(b.progress, progressPut{len(b.txn.Put), progress})
	b.txn.Put = append(b.txn.Put, keeper.Put{Key: j.progressKey})
}

// encode encodes the progress records, compressed if compress is set and with at most
// maxBytes if that is possible.
func (b *jobBatch) encode(compress bool, maxBytes int) {
	for _, p := range b.progress {
		b.txn.Put[p.put].Value = encodeProgress(p.progress, compress, maxBytes)
	}
	b.progress = nil
}

// handleCommitResult processes the result of a job transaction.
func (e *Engine) handleCommitResult(ctx context.Context, b *jobBatch, revision int64, records []keeper.Record, err error) {
	e.commitsInFlight--
	for _, j := range b.jobs {
		j.commitInFlight = false
	}
	switch {
	case err == nil:
		e.lastJobStored = time.Now()
		e.answered.jobsRevision = max(e.answered.jobsRevision, revision)
		for i, j := range b.jobs {
			j.rejection = storeRejection{}
			e.handleJobStored(j, b.versions[i], revision, b.final[i])
		}
		e.sendReadyStarts(ctx, time.Now())
		e.acknowledgeStoredEnds()
		return
	case errors.Is(err, keeper.ErrConflict):
		if e.checkStillLeader(records, err) {
			e.adoptStoredRevisions(b, records)
		}
	case errors.Is(err, keeper.ErrRejected):
		e.handleRejectedBatch(b, time.Now(), err)
	default:
		e.log.Warn("progress of jobs not stored, trying again", "jobs", len(b.jobs), "error", err)
		e.nextFlush = time.Now().Add(flushRetryInterval)
	}
	for _, j := range b.jobs {
		e.unstoredJobs[j] = true
	}
}

// handleJobStored records that a version of a job has been stored.
func (e *Engine) handleJobStored(j *job, version, revision int64, final bool) {
	j.storedVersion = version
	j.revision = revision
	if !final {
		j.historyUnstored = false
		if j.version > version {
			e.unstoredJobs[j] = true
		}
		return
	}
	e.removeJob(j)
	e.keepEndedJob(j)
	e.outcomes[j.ID] = outcome{j.state, time.Now()}
	meter.RecordEndedJob(j.Queue, string(j.state), time.Since(j.Accepted))
	e.log.Info("job ended and its outcome is stored", "job", j.ID, "queue", j.Queue, "customer", j.Customer, "outcome", j.state, "reason", j.reason, "took", time.Since(j.Accepted).Round(time.Millisecond).String())
}

// checkStillLeader checks whether a failed transaction shows that another entry
// node leads. If so, it ends the term and returns false.
func (e *Engine) checkStillLeader(records []keeper.Record, err error) bool {
	if !errors.Is(err, keeper.ErrConflict) {
		return true
	}
	for _, r := range records {
		if r.Key == elector.Key && r.Revision == e.term.Token {
			return true
		}
	}
	e.log.Warn("term superseded: another entry leads according to the store, ending the term")
	e.term.Depose()
	return false
}

// adoptStoredRevisions takes over the record revisions written by earlier
// transactions of this term whose responses were lost.
func (e *Engine) adoptStoredRevisions(b *jobBatch, records []keeper.Record) {
	found := make(map[string]int64, len(records))
	for _, r := range records {
		found[r.Key] = r.Revision
	}
	for _, j := range b.jobs {
		if r := found[j.progressKey]; r != j.revision {
			e.log.Info("earlier write of the job's progress found in the store, using its revision", "job", j.ID, "revision", r, "expected", j.revision)
			j.revision = r
		}
	}
}

// revisionOf returns the revision of a key among the records that a failed
// transaction returned, or 0 if the key does not exist.
func revisionOf(key string, records []keeper.Record) int64 {
	for _, r := range records {
		if r.Key == key {
			return r.Revision
		}
	}
	return 0
}

// sendReadyStarts sends the start of each placed task whose placement is stored
// or has waited for the store too long. A task whose worker has restarted since
// is placed again: a restarted worker has forgotten the fencing token of a later
// leader, which may have started the task elsewhere.
func (e *Engine) sendReadyStarts(ctx context.Context, now time.Time) {
	if len(e.awaitingStart) == 0 {
		return
	}
	e.requeuePlacedOverLimit()
	limit := e.throttle.Limit()
	if e.startsInFlight >= limit && !slices.ContainsFunc(e.awaitingStart, func(t *task) bool { return t.step.startsBeyondLimit() }) {
		return
	}
	orphanedTasks := sync.OnceValue(e.tasksWithOrphanedRuns) // usually no task may be started yet
	remaining := e.awaitingStart[:0]
	for _, t := range e.awaitingStart {
		j := t.step.occurrence.job
		switch {
		case t.phase != placed:
		case e.zoneState.outdated:
			e.noteWithheld(t, evacuator.ErrOutdated)
			remaining = append(remaining, t)
		case e.shuttingDown || !e.maySendStart(t, now) || e.startsInFlight >= limit && !t.step.startsBeyondLimit():
			remaining = append(remaining, t)
		case t.worker.evacuated && t.step.Gang && !e.mayFinishGang(t):
			e.withdrawGang(t.step, evacuator.ErrEvacuated)
		case j.state.IsFinal() || !t.worker.mayBeUsed() && !e.mayFinishGang(t) || t.worker.StartTimeMs != t.placementBoot || orphanedTasks()[t.id] || t.step.Gang && t.step.hasTaskIn(orphanedTasks()):
			e.requeueTask(t)
			e.requestPlacement()
		default:
			e.sendStart(ctx, t, now)
		}
	}
	clear(e.awaitingStart[len(remaining):])
	e.awaitingStart = remaining
}

// startsBeyondLimit reports whether starts of the step's tasks are not held back while
// too many are in flight: members of a gang wait for each other on their workers,
// and each second without a long-running task is lost.
func (s *step) startsBeyondLimit() bool {
	return s.Gang || s.LongRunning
}

// requeuePlacedOverLimit requeues placed tasks whose customers exceed their limit
// because runs have been found since the last check. The tasks placed last come
// first. A gang is requeued as a whole or not at all.
func (e *Engine) requeuePlacedOverLimit() {
	if !e.unknownRunsFound {
		return
	}
	e.unknownRunsFound = false
	m, usage := e.cfg.Manifest(), e.usageByCustomer()
	for _, t := range slices.Backward(e.awaitingStart) {
		customer, members := t.step.occurrence.job.Customer, []*task{t}
		if t.step.Gang {
			members = t.step.tasks
		}
		hasStarted := func(t *task) bool { return t.phase != placed }
		if c := m.Customer(customer); c == nil || c.WithinLimit(usage[customer]) || slices.ContainsFunc(members, hasStarted) {
			continue
		}
		for _, t := range members {
			usage[customer] = usage[customer].Sub(t.resourcesTowardCustomerLimit())
			e.requeueTask(t)
		}
		e.requestPlacement()
	}
}

// acknowledgeStoredEnds polls workers whose reported ends are all stored, which
// lets them drop these ends from their lists.
func (e *Engine) acknowledgeStoredEnds() {
	now := time.Now()
	for _, w := range e.workersByID {
		if len(w.pendingEnds) > 0 && !w.acknowledgeStoredEnds() && w.failedPolls == 0 {
			e.requestNextPoll(w, now)
		}
	}
}
