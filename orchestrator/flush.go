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
	maxEntries  = 32  // keys that a transaction of the store may name, from the platform's pages
	minWriting  = 4   // transactions that may be under way where the store takes few; a slow one then still takes 60 jobs a call's time
	writeShare  = 0.5 // of the store's writes for the leader's flushes; callers' jobs need the rest
	keysOfJob   = 2   // condition and progress
	keysOfEnded = 4   // condition, outcome, and the two records that go

	storeRetry = 100 * time.Millisecond // after a failed transaction
)

// batch is a transaction with the jobs that it stores.
type batch struct {
	txn     keeper.Txn
	jobs    []*job
	version []int64
	final   []bool
}

// flush stores changed jobs, several in a transaction. Each is conditional on
// this term and on the job's last known record, so that a transaction that is
// carried out late changes nothing.
func (e *Engine) flush(ctx context.Context, now time.Time) {
	if now.Before(e.nextFlush) {
		return
	}
	if len(e.dirty) == 0 || e.writing >= e.maxWriting() {
		return
	}
	e.nextFlush = now.Add(storeInterval) // also when all that has changed is being stored already
	jobs := e.toStore()
	for e.writing < e.maxWriting() {
		var b *batch
		if b, jobs = e.batch(jobs); len(b.jobs) == 0 {
			return
		}
		e.writing++
		e.spawn(func() {
			began := time.Now()
			revision, records, err := e.store.Commit(ctx, b.txn)
			meter.Commit(outcomeOf(err), time.Since(began))
			e.post(ctx, func() { e.committed(ctx, b, revision, records, err) })
		})
	}
}

// outcomeOf names the outcome of a call to the store.
func outcomeOf(err error) meter.Outcome {
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
func (e *Engine) condition() keeper.Expectation {
	return keeper.Expectation{Key: elector.Key, Revision: e.term.Token}
}

// maxWriting is how many transactions may be under way: what the leader's share
// of the store's writes allows between two flushes.
func (e *Engine) maxWriting() int {
	return max(minWriting, int(writeShare*e.cfg.StoreWritesPerSecond*storeInterval.Seconds()))
}

// toStore lists the jobs to be stored in the order of their use: those that have
// ended, whose callers wait for them, then those that have waited longest.
func (e *Engine) toStore() []*job {
	jobs := make([]*job, 0, len(e.dirty))
	for j := range e.dirty {
		if !j.writing {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(-cmp.Compare(a.keys(), b.keys()), cmp.Compare(a.changed, b.changed), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// keys is how many keys of a transaction the job's next record takes.
func (j *job) keys() int {
	if j.isOver() {
		return keysOfEnded
	}
	return keysOfJob
}

// isOver says whether the job has ended and nothing of it can run any more.
func (j *job) isOver() bool {
	return j.state.IsFinal() && j.active == 0
}

// batch takes as many of the jobs as fit in a transaction and returns the rest.
func (e *Engine) batch(jobs []*job) (*batch, []*job) {
	b := &batch{txn: keeper.Txn{Expect: []keeper.Expectation{e.condition()}}}
	room := maxEntries - 1
	for len(jobs) > 0 && jobs[0].keys() <= room {
		j := jobs[0]
		jobs = jobs[1:]
		room -= j.keys()
		b.add(j, j.isOver())
		delete(e.dirty, j)
	}
	return b, jobs
}

func (b *batch) add(j *job, final bool) {
	j.writing = true
	b.jobs = append(b.jobs, j)
	b.version = append(b.version, j.version)
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
func (e *Engine) committed(ctx context.Context, b *batch, revision int64, records []keeper.Record, err error) {
	e.writing--
	for _, j := range b.jobs {
		j.writing = false
	}
	switch {
	case err == nil:
		for i, j := range b.jobs {
			e.stored(j, b.version[i], revision, b.final[i])
		}
		e.startStored(ctx, time.Now())
		e.confirmEnds()
		return
	case errors.Is(err, keeper.ErrConflict):
		if e.checkTerm(records, err) {
			e.adoptRevisions(b, records)
		}
	default:
		e.log.Warn("progress not stored", "jobs", len(b.jobs), "error", err)
		e.nextFlush = time.Now().Add(storeRetry)
	}
	for _, j := range b.jobs {
		e.dirty[j] = true
	}
}

// stored notes that a version of a job is in the store.
func (e *Engine) stored(j *job, version, revision int64, final bool) {
	j.stored = version
	j.revision = revision
	if !final {
		if j.version > version {
			e.dirty[j] = true
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
func (e *Engine) checkTerm(records []keeper.Record, err error) bool {
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
func (e *Engine) adoptRevisions(b *batch, records []keeper.Record) {
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
func (e *Engine) startStored(ctx context.Context, now time.Time) {
	kept := e.toStart[:0]
	for _, t := range e.toStart {
		j := t.step.occurrence.job
		switch {
		case t.phase != placed:
		case e.closing || !e.mayStart(t, now):
			kept = append(kept, t)
		case j.state.IsFinal() || !t.worker.reached:
			e.again(t)
			e.changed()
		default:
			e.start(ctx, t)
		}
	}
	clear(e.toStart[len(kept):])
	e.toStart = kept
}

// confirmEnds lets workers forget the ends that are stored.
func (e *Engine) confirmEnds() {
	now := time.Now()
	for _, w := range e.fleet {
		if len(w.ends) > 0 && !w.confirmed() && w.failures == 0 {
			e.lookNext(w, now)
		}
	}
}
