package orchestrator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/meter"
)

const (
	maxKeysPerTransaction = 32  // keys that a transaction of the store may name, from the platform's pages
	minCommitsInFlight    = 4   // transactions that may be under way where the store takes few; a slow one then still takes 60 jobs a call's time
	flushShareOfWrites    = 0.5 // of the store's writes for the leader's flushes; callers' jobs need the rest
	keysPerProgressWrite  = 2   // condition and progress
	keysPerOutcomeWrite   = 4   // condition, outcome, and the two records that go

	flushRetryInterval = 100 * time.Millisecond // after a failed transaction
)

// batch is a transaction with the jobs that it stores.
type jobBatch struct {
	txn      keeper.Txn
	jobs     []*job
	versions []int64
	final    []bool
}

// flush stores changed jobs, several in a transaction. Each is conditional on
// this term and on the job's last known record, so that a transaction that is
// carried out late changes nothing.
func (e *Engine) flush(ctx context.Context, now time.Time) {
	if now.Before(e.nextFlush) {
		return
	}
	if len(e.unstoredJobs) == 0 || e.commitsInFlight >= e.maxCommitsInFlight() {
		return
	}
	e.nextFlush = now.Add(flushInterval) // also when all that has changed is being stored already
	jobs := e.jobsToStore()
	for e.commitsInFlight < e.maxCommitsInFlight() {
		var b *jobBatch
		if b, jobs = e.buildBatch(jobs); len(b.jobs) == 0 {
			return
		}
		e.commitsInFlight++
		e.runInBackground(func() {
			began := time.Now()
			revision, records, err := e.store.Commit(ctx, b.txn)
			meter.Commit(storeOutcome(err), time.Since(began))
			e.runInEventLoop(ctx, func() { e.handleCommitResult(ctx, b, revision, records, err) })
		})
	}
}

// outcomeOf names the outcome of a call to the store.
func storeOutcome(err error) meter.Outcome {
	switch {
	case err == nil:
		return meter.OK
	case errors.Is(err, keeper.ErrConflict):
		return meter.Conflict
	case errors.Is(err, keeper.ErrUnavailable):
		return meter.Unavailable
	}
	return meter.Unknown
}

// condition lets a transaction fail once the term is over.
func (e *Engine) termCondition() keeper.Expectation {
	return keeper.Expectation{Key: elector.Key, Revision: e.term.Token}
}

// maxWriting is how many transactions may be under way: what the leader's share
// of the store's writes allows between two flushes.
func (e *Engine) maxCommitsInFlight() int {
	return max(minCommitsInFlight, int(flushShareOfWrites*e.cfg.StoreWritesPerSecond*flushInterval.Seconds()))
}

// toStore lists the jobs to be stored in the order of their use: those that have
// ended, whose callers wait for them, then those that have waited longest.
func (e *Engine) jobsToStore() []*job {
	jobs := make([]*job, 0, len(e.unstoredJobs))
	for j := range e.unstoredJobs {
		if !j.commitInFlight {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(-cmp.Compare(a.keysToWrite(), b.keysToWrite()), cmp.Compare(a.dirtyOrder, b.dirtyOrder), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// keys is how many keys of a transaction the job's next record takes.
func (j *job) keysToWrite() int {
	if j.isFinished() {
		return keysPerOutcomeWrite
	}
	return keysPerProgressWrite
}

// isOver says whether the job has ended and nothing of it can run any more.
func (j *job) isFinished() bool {
	return j.state.IsFinal() && j.activeTasks == 0
}

// batch takes as many of the jobs as fit in a transaction and returns the rest.
func (e *Engine) buildBatch(jobs []*job) (*jobBatch, []*job) {
	b := &jobBatch{txn: keeper.Txn{Expect: []keeper.Expectation{e.termCondition()}}}
	room := maxKeysPerTransaction - 1
	for len(jobs) > 0 && jobs[0].keysToWrite() <= room {
		j := jobs[0]
		jobs = jobs[1:]
		room -= j.keysToWrite()
		b.add(j, j.isFinished())
		delete(e.unstoredJobs, j)
	}
	return b, jobs
}

func (b *jobBatch) add(j *job, final bool) {
	j.commitInFlight = true
	b.jobs = append(b.jobs, j)
	b.versions = append(b.versions, j.version)
	b.final = append(b.final, final)
	b.txn.Expect = append(b.txn.Expect, keeper.Expectation{Key: ProgressKey(j.ID), Revision: j.revision})
	if final {
		b.txn.Put = append(b.txn.Put, keeper.Put{Key: JobKey(j.ID), Value: encode(JobRecord{Outcome: j.state})})
		b.txn.Delete = append(b.txn.Delete, ProgressKey(j.ID), CancelKey(j.ID))
		return
	}
	b.txn.Put = append(b.txn.Put, keeper.Put{Key: ProgressKey(j.ID), Value: encode(j.progress())})
}

// committed takes in the outcome of a transaction.
func (e *Engine) handleCommitResult(ctx context.Context, b *jobBatch, revision int64, records []keeper.Record, err error) {
	e.commitsInFlight--
	for _, j := range b.jobs {
		j.commitInFlight = false
	}
	switch {
	case err == nil:
		for i, j := range b.jobs {
			e.handleJobStored(j, b.versions[i], revision, b.final[i])
		}
		e.sendReadyStarts(ctx, time.Now())
		e.acknowledgeStoredEnds()
		return
	case errors.Is(err, keeper.ErrConflict):
		if e.checkStillLeader(records, err) {
			e.adoptStoredRevisions(b, records)
		}
	default:
		e.log.Warn("progress not stored", "jobs", len(b.jobs), "error", err)
		e.nextFlush = time.Now().Add(flushRetryInterval)
	}
	for _, j := range b.jobs {
		e.unstoredJobs[j] = true
	}
}

// stored notes that a version of a job is in the store.
func (e *Engine) handleJobStored(j *job, version, revision int64, final bool) {
	j.storedVersion = version
	j.revision = revision
	if !final {
		if j.version > version {
			e.unstoredJobs[j] = true
		}
		return
	}
	delete(e.jobs, j.ID)
	e.outcomes[j.ID] = outcome{j.state, time.Now()}
	meter.Ended(j.Queue, string(j.state), time.Since(j.Accepted))
	e.log.Info("job ended", "job", j.ID, "queue", j.Queue, "customer", j.Customer, "outcome", j.state, "reason", j.reason, "took", time.Since(j.Accepted).Round(time.Millisecond).String())
}

// checkTerm ends the term when a transaction has failed because another entry
// leads, and says whether the term goes on.
func (e *Engine) checkStillLeader(records []keeper.Record, err error) bool {
	if !errors.Is(err, keeper.ErrConflict) {
		return true
	}
	for _, r := range records {
		if r.Key == elector.Key && r.Revision == e.term.Token {
			return true
		}
	}
	e.log.Warn("superseded in the store")
	e.term.Depose()
	return false
}

// adoptRevisions takes over the revisions that earlier transactions of this term, whose
// answers were lost, have left.
func (e *Engine) adoptStoredRevisions(b *jobBatch, records []keeper.Record) {
	found := make(map[string]int64, len(records))
	for _, r := range records {
		found[r.Key] = r.Revision
	}
	for _, j := range b.jobs {
		if r := found[ProgressKey(j.ID)]; r != j.revision {
			e.log.Info("earlier write found", "job", j.ID, "revision", r, "expected", j.revision)
			j.revision = r
		}
	}
}

// startStored orders the placements that are stored, or that have waited for
// the store too long.
func (e *Engine) sendReadyStarts(ctx context.Context, now time.Time) {
	remaining := e.awaitingStart[:0]
	for _, t := range e.awaitingStart {
		j := t.step.occurrence.job
		switch {
		case t.phase != placed:
		case e.shuttingDown || !e.maySendStart(t, now):
			remaining = append(remaining, t)
		case j.state.IsFinal() || !t.worker.reachable:
			e.requeueTask(t)
			e.requestPlacement()
		default:
			e.sendStart(ctx, t)
		}
	}
	clear(e.awaitingStart[len(remaining):])
	e.awaitingStart = remaining
}

// confirmEnds lets workers forget the ends that are stored.
func (e *Engine) acknowledgeStoredEnds() {
	now := time.Now()
	for _, w := range e.workersByID {
		if len(w.pendingEnds) > 0 && !w.acknowledgeStoredEnds() && w.failedPolls == 0 {
			e.requestNextPoll(w, now)
		}
	}
}
