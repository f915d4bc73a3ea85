package placer

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/dispatcher"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

const (
	// orderTimeout bounds an order to stop or checkpoint a task.
	orderTimeout = 2 * time.Second

	// maxRefusals is the number of refusals after which a task is given back,
	// so that it can be placed at another member.
	maxRefusals = 4

	// Delays before a task that a worker refused is tried again.
	refusedDelay    = 50 * time.Millisecond
	maxRefusedDelay = 2 * time.Second
)

type (
	// attempt is one start of a job on a worker. It holds slots of the worker
	// and of the team until the worker has certainly ended the task.
	attempt struct {
		job       *job
		task      string
		number    int
		started   time.Time
		worker    scheduler.Worker
		leaseEnd  time.Time // latest time at which the worker may still run the task
		abandon   context.CancelFunc
		cancelled bool
		slots     int  // held on the worker and of the team's grant
		spared    bool // a checkpoint or throttle has been ordered
		stopping  bool // a stop has been ordered
		ended     bool // the slots have been given back
		missed    int  // renewals in a row without an answer
	}

	finished struct {
		attempt *attempt
		finish  dispatcher.Finish
		err     error
	}

	released struct{ attempt *attempt }
)

// fill starts waiting tasks while slots and grants allow. It first ends those
// that are too late.
func (p *Placer) fill(now time.Time) {
	p.expire(now)
	for _, pool := range p.waiting.Pools() {
		p.fleet.ReserveWorker(pool, p.waiting.StarvedSlots(pool))
		for p.startNext(pool, now) {
		}
	}
}

// startNext starts one task of the pool and says whether it did.
func (p *Placer) startNext(pool string, now time.Time) bool {
	free := p.fleet.MaxFreeSlots(pool)
	if free == 0 {
		return false
	}
	item, ok := p.waiting.Next(pool, free, p.purse.Acquire)
	if !ok {
		return false
	}
	j := item.Data.(*job)
	worker, ok := p.pick(j)
	if !ok {
		p.purse.Release(j.task.Team, j.task.Slots)
		p.waiting.RecordRunTime(j.task, 0)
		p.waiting.Requeue(item)
		return false
	}
	p.start(j, worker, now)
	return true
}

// pick reserves slots on a worker, preferring one that has not failed the job.
func (p *Placer) pick(j *job) (scheduler.Worker, bool) {
	worker, ok := p.fleet.PickWorker(j.task.Pool, j.task.Slots, j.avoid)
	if !ok && len(j.avoid) > 0 {
		worker, ok = p.fleet.PickWorker(j.task.Pool, j.task.Slots, nil)
	}
	return worker, ok
}

func (p *Placer) start(j *job, worker scheduler.Worker, now time.Time) {
	j.attempts++
	ctx, abandon := context.WithCancel(p.ctx)
	startBy := now.Add(p.startBy)
	j.attempt = &attempt{
		job:      j,
		task:     j.task.ID,
		number:   j.attempts,
		started:  now,
		slots:    j.task.Slots,
		worker:   worker,
		leaseEnd: startBy.Add(p.lease).Add(p.margin),
		abandon:  abandon,
	}
	p.noteStart(j, now)
	if j.attempts == 1 {
		p.observe(Observation{Queue: j.task.Queue, Class: j.task.Class, Waited: now.Sub(j.task.Accepted)})
	}
	go p.run(ctx, j.attempt, p.startOrder(j, startBy))
}

// startOrder builds the start order for the worker.
func (p *Placer) startOrder(j *job, startBy time.Time) dispatcher.Start {
	return dispatcher.Start{
		Task:       j.task.ID,
		Attempt:    j.attempts,
		Owner:      p.self,
		Team:       j.task.Team,
		Queue:      j.task.Queue,
		Service:    j.task.Service,
		Class:      string(j.task.Class),
		Name:       j.task.Name,
		Idempotent: j.task.Idempotent,
		Slots:      j.task.Slots,
		StartBy:    startBy,
		Lease:      p.lease,
		Checkpoint: j.checkpoint,
		Body:       j.task.Body,
	}
}

// run waits for the worker's answer outside the loop.
func (p *Placer) run(ctx context.Context, a *attempt, order dispatcher.Start) {
	finish, err := p.workers.Start(ctx, a.worker.Address, order)
	a.abandon()
	p.put(finished{attempt: a, finish: finish, err: err})
}

func (e finished) apply(p *Placer) {
	j := e.attempt.job
	if e.err != nil {
		p.unfinished(j, e.attempt, classifier.As(e.err))
		return
	}
	p.release(e.attempt, endingOf(e.finish.Outcome))
	p.ended(j, e.attempt, e.finish)
}

func endingOf(o dispatcher.Outcome) scheduler.HealthEffect {
	switch o {
	case dispatcher.Done:
		return scheduler.Succeeded
	case dispatcher.Failed:
		return scheduler.Faulted
	}
	return scheduler.Neutral
}

// ended handles the worker's own word on how the attempt ended.
func (p *Placer) ended(j *job, a *attempt, f dispatcher.Finish) {
	switch f.Outcome {
	case dispatcher.Done:
		p.retries.RecordSuccess(j.task.Queue)
		p.poison.Forget(j.task.ID)
		p.finish(j, result{answer: p.answer(j, a, f)})
	case dispatcher.Checkpointed:
		j.checkpoint = f.Checkpoint
		j.doubted = true
		p.again(j, 0)
	case dispatcher.Failed:
		p.failed(j, a, f)
	default:
		p.interrupted(j, a, f)
	}
}

func (p *Placer) answer(j *job, a *attempt, f dispatcher.Finish) messenger.Answer {
	return messenger.Answer{
		Task:    j.task.ID,
		Attempt: a.number,
		Output:  f.Output,
		Digest:  sha256.Sum256(f.Output),
		Worker:  a.worker.ID,
	}
}

// failed handles a task that reported a failure of its own. An idempotent one
// is tried on other workers, since some workers fail all that they start.
func (p *Placer) failed(j *job, a *attempt, f dispatcher.Finish) {
	cause := &classifier.Error{Verdict: classifier.Ran, Code: classifier.TaskFailed, Message: "the task failed on worker " + a.worker.ID + ": " + f.Reason}
	if p.strike(j, a, cause) {
		return
	}
	p.retry(j, a, cause)
}

// strike counts a failure that may be the task's own fault. It ends an
// idempotent task that has failed on too many workers and says whether it did.
func (p *Placer) strike(j *job, a *attempt, cause *classifier.Error) bool {
	if !j.task.Idempotent || a.cancelled || !p.poison.RecordFailure(j.task.ID, a.worker.ID) {
		return false
	}
	p.finish(j, result{err: &classifier.Error{
		Verdict: cause.Verdict,
		Code:    classifier.HeldBack,
		Message: cause.Message + "; it has now failed on too many workers",
	}})
	p.forget(j)
	return true
}

// interrupted handles a task that the worker stopped before its end.
func (p *Placer) interrupted(j *job, a *attempt, f dispatcher.Finish) {
	cause := classifier.Doubt(classifier.WorkerLost, "worker %s stopped the task before its end: %s", a.worker.ID, f.Reason)
	if a.cancelled {
		p.finish(j, result{err: classifier.Doubt(classifier.Cancelled, "cancelled while it ran")})
		return
	}
	p.retry(j, a, cause)
}

// unfinished handles an attempt without the worker's word on its end.
func (p *Placer) unfinished(j *job, a *attempt, err *classifier.Error) {
	if err.Verdict == classifier.NotRun {
		p.release(a, scheduler.Neutral)
		p.refused(j, a, err)
		return
	}
	if err.Code == classifier.Truncated {
		p.release(a, scheduler.Faulted)
	} else {
		p.linger(a)
	}
	if p.strike(j, a, err) {
		return
	}
	p.retry(j, a, err)
}

// refused handles a worker's word that it did not start the task.
func (p *Placer) refused(j *job, a *attempt, err *classifier.Error) {
	switch err.Code {
	case classifier.NeverFits:
		p.finish(j, result{err: p.final(j, err)})
		return
	case classifier.Leaving:
		p.fleet.DisableWorker(a.worker.ID)
		p.leaving(a.worker.ID)
	}
	p.note(j, "refused by worker "+a.worker.ID, recorder.Fact{Name: "reason", Value: err.Message})
	j.avoid = withWorker(j.avoid, a.worker.ID)
	j.refusals++
	if j.refusals >= maxRefusals && !j.doubted {
		p.finish(j, result{err: classifier.Refuse(classifier.WorkerRefused, "workers refused the task %d times, the last: %s", j.refusals, err.Message)})
		return
	}
	p.again(j, refusalDelay(j.refusals))
}

func refusalDelay(n int) time.Duration {
	return min(refusedDelay<<min(n, 8), maxRefusedDelay)
}

// retry starts an idempotent task anew within the retry budget of its queue.
// A non-idempotent one ends with the cause.
func (p *Placer) retry(j *job, a *attempt, cause *classifier.Error) {
	task := j.task
	p.note(j, "attempt on worker "+a.worker.ID+" failed", recorder.Fact{Name: "reason", Value: cause.Message})
	if !task.Idempotent || a.cancelled {
		p.finish(j, result{err: cause})
		p.forget(j)
		return
	}
	if !p.retries.TakeRetry(task.Queue) {
		p.finish(j, result{err: retriesSpent(task, cause)})
		p.forget(j)
		return
	}
	j.doubted = true
	j.avoid = withWorker(j.avoid, a.worker.ID)
	p.again(j, 0)
}

// retriesSpent ends a task for want of a retry. The verdict is that of its last
// attempt.
func retriesSpent(task scheduler.Task, cause *classifier.Error) *classifier.Error {
	return &classifier.Error{
		Verdict:    cause.Verdict,
		Code:       classifier.RetriesSpent,
		Message:    fmt.Sprintf("%s; the retry budget of queue %q is spent", cause.Message, task.Queue),
		RetryAfter: time.Second,
	}
}

// again returns the job to its queue after a delay.
func (p *Placer) again(j *job, delay time.Duration) {
	j.attempt = nil
	if delay == 0 {
		requeue{job: j}.apply(p)
		return
	}
	time.AfterFunc(delay, func() { p.put(requeue{job: j}) })
}

// forget drops a job that has been answered.
func (p *Placer) forget(j *job) {
	if p.jobs[j.task.ID] == j {
		delete(p.jobs, j.task.ID)
	}
}

// final turns a refusal of this attempt into the verdict for the whole job.
func (p *Placer) final(j *job, err error) error {
	e := classifier.As(err)
	if e.Verdict == classifier.NotRun && j.doubted {
		return classifier.Doubt(e.Code, "%s; an earlier attempt may have run", e.Message)
	}
	return e
}

// release gives back the slots of an attempt that has certainly ended.
func (p *Placer) release(a *attempt, ending scheduler.HealthEffect) {
	a.job.attempt = nil
	p.free(a, ending)
	if a.job.replied {
		p.forget(a.job)
	}
}

// linger keeps the slots of an attempt until its lease is over, since the
// worker may still run the task.
func (p *Placer) linger(a *attempt) {
	a.job.attempt = nil
	time.AfterFunc(time.Until(a.leaseEnd), func() { p.put(released{attempt: a}) })
}

func (e released) apply(p *Placer) {
	p.free(e.attempt, scheduler.Faulted)
}

// free returns the slots of an attempt to the worker and to the team.
func (p *Placer) free(a *attempt, ending scheduler.HealthEffect) {
	task := a.job.task
	a.ended = true
	p.fleet.ReleaseSlots(a.worker.ID, a.slots, scheduler.Outcome{Task: task.ID, Effect: ending})
	p.purse.Release(task.Team, a.slots)
	p.waiting.RecordRunTime(task, time.Since(a.started))
}

// watch ends what a running attempt has outlived: the job's deadline, then the
// worker's lease.
func (p *Placer) watch(j *job, now time.Time) {
	if now.After(j.attempt.leaseEnd) {
		j.attempt.abandon()
		return
	}
	if j.replied || now.Before(j.task.Deadline) {
		return
	}
	p.finish(j, result{err: classifier.Doubt(classifier.DeadlineOver, "the task was still running at its deadline")})
	if j.task.Idempotent {
		p.stop(j.attempt)
	}
}

// stop orders the worker to stop a running attempt.
func (p *Placer) stop(a *attempt) {
	if a.stopping {
		return
	}
	a.stopping = true
	a.cancelled = true
	p.order(a, p.workers.Stop)
}

// order sends an order for a running attempt to its worker, outside the loop.
// A lost order is harmless: the attempt ends with its lease.
func (p *Placer) order(a *attempt, send func(ctx context.Context, address, task string) error) {
	ctx, stop := context.WithTimeout(p.ctx, orderTimeout)
	go func() {
		defer stop()
		if err := send(ctx, a.worker.Address, a.task); err != nil {
			p.log.Warn("order to a worker failed", "worker", a.worker.ID, "task", a.task, "error", err)
		}
	}()
}

func withWorker(avoid map[string]bool, id string) map[string]bool {
	next := make(map[string]bool, len(avoid)+1)
	for k := range avoid {
		next[k] = true
	}
	next[id] = true
	return next
}

func heldBack(task scheduler.Task) *classifier.Error {
	return classifier.Refuse(classifier.HeldBack, "task %q failed on too many workers before", task.ID)
}
