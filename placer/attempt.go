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
	// orderTimeout limits a call that stops, checkpoints or throttles a task.
	orderTimeout = 2 * time.Second

	// maxRefusals is the number of refusals after which a task ends with
	// WorkerRefused, so that it can be placed on another member.
	maxRefusals = 4

	// The delay before a task that a worker refused is tried again doubles
	// with each refusal, between these limits.
	minRefusalDelay = 50 * time.Millisecond
	maxRefusalDelay = 2 * time.Second
)

type (
	// attempt is one start of a job on a worker. Its slots on the worker and in
	// the team's grant stay reserved until the worker has ended the task or the
	// lease has expired.
	attempt struct {
		job            *job
		task           string
		number         int
		started        time.Time
		worker         scheduler.Worker
		leaseEnd       time.Time          // latest time at which the worker may still run the task
		cancelCall     context.CancelFunc // cancels the call to the worker
		cancelled      bool               // the task was cancelled or reached its deadline
		slots          int                // reserved on the worker and in the team's grant
		preempted      bool               // a checkpoint or throttle order was sent
		stopping       bool               // a stop order was sent
		slotsReleased  bool
		missedRenewals int // consecutive renewals without an answer
	}

	// attemptFinished is the event that the call to the worker has returned.
	attemptFinished struct {
		attempt *attempt
		finish  dispatcher.Finish
		err     error
	}

	// startWithheld is the event that a start order was not sent to the worker.
	startWithheld struct {
		attempt *attempt
		reason  error
	}

	// leaseExpired is the event that the lease of an attempt of unknown outcome has
	// expired.
	leaseExpired struct{ attempt *attempt }
)

// startWaitingTasks ends waiting tasks whose deadline has passed and then starts
// waiting tasks while slots and grants allow.
func (p *Placer) startWaitingTasks(now time.Time) {
	p.withdrawExpiredTasks(now)
	for _, pool := range p.waiting.Pools() {
		p.fleet.ReserveWorker(pool, p.waiting.StarvedSlots(pool))
		for p.startNextTask(pool, now) {
		}
	}
}

// startNextTask starts one waiting task of the pool and reports whether it did.
func (p *Placer) startNextTask(pool string, now time.Time) bool {
	free := p.fleet.MaxFreeSlots(pool)
	if free == 0 {
		return false
	}
	item, ok := p.waiting.Next(pool, free, p.quota.Acquire)
	if !ok {
		return false
	}
	j := item.Data.(*job)
	worker, ok := p.reserveWorkerSlots(j)
	if !ok {
		p.quota.Release(j.task.Team, j.task.Slots)
		p.waiting.RecordRunTime(j.task, 0)
		p.waiting.Requeue(item)
		return false
	}
	p.startAttempt(j, worker, now)
	return true
}

// reserveWorkerSlots reserves slots on a worker. It prefers workers that have
// not failed or refused the job.
func (p *Placer) reserveWorkerSlots(j *job) (scheduler.Worker, bool) {
	worker, ok := p.fleet.AcquireSlots(j.task.Pool, j.task.Slots, j.avoidWorkers)
	if !ok && len(j.avoidWorkers) > 0 {
		worker, ok = p.fleet.AcquireSlots(j.task.Pool, j.task.Slots, nil)
	}
	return worker, ok
}

func (p *Placer) startAttempt(j *job, worker scheduler.Worker, now time.Time) {
	j.attempts++
	ctx, cancel := context.WithCancel(p.ctx)
	startBy := now.Add(p.startTimeout)
	j.attempt = &attempt{
		job:        j,
		task:       j.task.ID,
		number:     j.attempts,
		started:    now,
		slots:      j.task.Slots,
		worker:     worker,
		leaseEnd:   startBy.Add(p.lease).Add(p.clockMargin),
		cancelCall: cancel,
	}
	p.recordStart(j, now)
	if j.attempts == 1 {
		p.observeStart(StartObservation{Queue: j.task.Queue, Class: j.task.Class, Waited: now.Sub(j.task.Accepted)})
	}
	go p.runAttempt(ctx, j.attempt, p.newStartOrder(j, startBy))
}

// newStartOrder builds the order that starts the job on a worker.
func (p *Placer) newStartOrder(j *job, startBy time.Time) dispatcher.Start {
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

// runAttempt calls the worker, outside the loop's goroutine, and sends its answer
// to the loop.
func (p *Placer) runAttempt(ctx context.Context, a *attempt, order dispatcher.Start) {
	if err := p.checkStart(a.worker); err != nil {
		a.cancelCall()
		p.sendEvent(startWithheld{attempt: a, reason: err})
		return
	}
	finish, err := p.workers.Start(ctx, a.worker.Address, order)
	a.cancelCall()
	p.sendEvent(attemptFinished{attempt: a, finish: finish, err: err})
}

func (e attemptFinished) apply(p *Placer) {
	j := e.attempt.job
	if e.err != nil {
		p.handleStartError(j, e.attempt, classifier.As(e.err))
		return
	}
	p.releaseEndedAttempt(e.attempt, healthEffectOf(e.finish.Outcome))
	p.handleFinish(j, e.attempt, e.finish)
}

// apply puts the job back into its queue. The attempt does not count, since no
// worker has received it.
func (e startWithheld) apply(p *Placer) {
	j := e.attempt.job
	p.releaseEndedAttempt(e.attempt, scheduler.Neutral)
	j.attempts--
	p.recordDecision(j, "start on worker "+e.attempt.worker.ID+" withheld", recorder.Fact{Name: "reason", Value: classifier.As(e.reason).Message})
	if e.attempt.cancelled {
		p.respond(j, result{err: p.jobError(j, classifier.Refuse(classifier.Cancelled, "cancelled before the start"))})
		return
	}
	p.requeueAfter(j, minRefusalDelay)
}

func healthEffectOf(o dispatcher.Outcome) scheduler.HealthEffect {
	switch o {
	case dispatcher.Done:
		return scheduler.Succeeded
	case dispatcher.Failed:
		return scheduler.Faulted
	}
	return scheduler.Neutral
}

// handleFinish handles the outcome that the worker reported for an attempt.
func (p *Placer) handleFinish(j *job, a *attempt, f dispatcher.Finish) {
	switch f.Outcome {
	case dispatcher.Done:
		p.retries.RecordSuccess(j.task.Queue)
		p.failedTasks.Forget(j.task.ID)
		p.respond(j, result{answer: p.buildAnswer(j, a, f)})
	case dispatcher.Checkpointed:
		j.checkpoint = f.Checkpoint
		j.mayHaveRun = true
		p.requeueAfter(j, 0)
	case dispatcher.Failed:
		p.handleTaskFailure(j, a, f)
	default:
		p.handleInterruption(j, a, f)
	}
}

func (p *Placer) buildAnswer(j *job, a *attempt, f dispatcher.Finish) messenger.Answer {
	return messenger.Answer{
		Task:    j.task.ID,
		Attempt: a.number,
		Output:  f.Output,
		Digest:  sha256.Sum256(f.Output),
		Worker:  a.worker.ID,
	}
}

// handleTaskFailure handles a task that reported a failure itself. An idempotent
// task is retried on other workers, because a broken worker can fail every task
// it starts.
func (p *Placer) handleTaskFailure(j *job, a *attempt, f dispatcher.Finish) {
	cause := &classifier.Error{Verdict: classifier.Ran, Code: classifier.TaskFailed, Message: "the task failed on worker " + a.worker.ID + ": " + f.Reason}
	if p.giveUpIfFailedTooOften(j, a, cause) {
		return
	}
	p.retry(j, a, cause)
}

// giveUpIfFailedTooOften counts a failure that the task itself may have caused.
// An idempotent task that has failed on too many workers is given up and ends
// with the code HeldBack. The function reports whether the task was given up.
func (p *Placer) giveUpIfFailedTooOften(j *job, a *attempt, cause *classifier.Error) bool {
	if !j.task.Idempotent || a.cancelled || !p.failedTasks.RecordFailure(j.task.ID, a.worker.ID) {
		return false
	}
	p.respond(j, result{err: &classifier.Error{
		Verdict: cause.Verdict,
		Code:    classifier.HeldBack,
		Message: cause.Message + "; it has now failed on too many workers",
	}})
	p.forgetJob(j)
	return true
}

// handleInterruption handles a task that the worker stopped before it was done.
func (p *Placer) handleInterruption(j *job, a *attempt, f dispatcher.Finish) {
	cause := classifier.Uncertain(classifier.WorkerLost, "worker %s stopped the task before its end: %s", a.worker.ID, f.Reason)
	if a.cancelled {
		p.respond(j, result{err: classifier.Uncertain(classifier.Cancelled, "cancelled while it ran")})
		return
	}
	p.retry(j, a, cause)
}

// handleStartError handles an attempt for which the worker reported no outcome.
func (p *Placer) handleStartError(j *job, a *attempt, err *classifier.Error) {
	if err.Verdict == classifier.NotRun {
		p.releaseEndedAttempt(a, scheduler.Neutral)
		p.handleRefusal(j, a, err)
		return
	}
	if err.Code == classifier.Truncated {
		p.releaseEndedAttempt(a, scheduler.Faulted)
	} else {
		p.releaseSlotsAtLeaseEnd(a)
	}
	if p.giveUpIfFailedTooOften(j, a, err) {
		return
	}
	p.retry(j, a, err)
}

// handleRefusal handles a start that the worker refused.
func (p *Placer) handleRefusal(j *job, a *attempt, err *classifier.Error) {
	switch err.Code {
	case classifier.NeverFits:
		p.respond(j, result{err: p.jobError(j, err)})
		return
	case classifier.Leaving:
		p.fleet.DisableWorker(a.worker.ID)
		p.onWorkerLeaving(a.worker.ID)
	}
	p.recordDecision(j, "refused by worker "+a.worker.ID, recorder.Fact{Name: "reason", Value: err.Message})
	j.avoidWorkers = copyWithWorker(j.avoidWorkers, a.worker.ID)
	j.refusals++
	if j.refusals >= maxRefusals && !j.mayHaveRun {
		p.respond(j, result{err: classifier.Refuse(classifier.WorkerRefused, "workers refused the task %d times, the last: %s", j.refusals, err.Message)})
		return
	}
	p.requeueAfter(j, delayAfterRefusals(j.refusals))
}

func delayAfterRefusals(n int) time.Duration {
	return min(minRefusalDelay<<min(n, 8), maxRefusalDelay)
}

// retry queues an idempotent task again if the retry budget of its queue allows
// it. A non-idempotent task ends with the error of its attempt.
func (p *Placer) retry(j *job, a *attempt, cause *classifier.Error) {
	task := j.task
	p.recordDecision(j, "attempt on worker "+a.worker.ID+" failed", recorder.Fact{Name: "reason", Value: cause.Message})
	if !task.Idempotent || a.cancelled {
		p.respond(j, result{err: cause})
		p.forgetJob(j)
		return
	}
	if !p.retries.TakeRetry(task.Queue) {
		p.respond(j, result{err: retryBudgetError(task, cause)})
		p.forgetJob(j)
		return
	}
	j.mayHaveRun = true
	j.avoidWorkers = copyWithWorker(j.avoidWorkers, a.worker.ID)
	p.requeueAfter(j, 0)
}

// retryBudgetError is the result of a task when the retry budget of its queue is
// used up. It has the verdict of the last attempt.
func retryBudgetError(task scheduler.Task, cause *classifier.Error) *classifier.Error {
	return &classifier.Error{
		Verdict:    cause.Verdict,
		Code:       classifier.RetriesSpent,
		Message:    fmt.Sprintf("%s; the retry budget of queue %q is spent", cause.Message, task.Queue),
		RetryAfter: time.Second,
	}
}

// requeueAfter returns the job to its queue after the delay.
func (p *Placer) requeueAfter(j *job, delay time.Duration) {
	j.attempt = nil
	if delay == 0 {
		requeue{job: j}.apply(p)
		return
	}
	time.AfterFunc(delay, func() { p.sendEvent(requeue{job: j}) })
}

// forgetJob removes a job whose result has been sent.
func (p *Placer) forgetJob(j *job) {
	if p.jobs[j.task.ID] == j {
		delete(p.jobs, j.task.ID)
	}
}

// jobError converts the error of one attempt into the error of the whole job: a
// NotRun error becomes MayHaveRun if an earlier attempt may have run.
func (p *Placer) jobError(j *job, err error) error {
	e := classifier.As(err)
	if e.Verdict == classifier.NotRun && j.mayHaveRun {
		return classifier.Uncertain(e.Code, "%s; an earlier attempt may have run", e.Message)
	}
	return e
}

// releaseEndedAttempt returns the slots of an attempt that has certainly ended.
func (p *Placer) releaseEndedAttempt(a *attempt, effect scheduler.HealthEffect) {
	a.job.attempt = nil
	p.releaseAttemptSlots(a, effect)
	if a.job.replied {
		p.forgetJob(a.job)
	}
}

// releaseSlotsAtLeaseEnd returns the slots of an attempt when its lease expires,
// because the worker may run the task until then.
func (p *Placer) releaseSlotsAtLeaseEnd(a *attempt) {
	a.job.attempt = nil
	time.AfterFunc(time.Until(a.leaseEnd), func() { p.sendEvent(leaseExpired{attempt: a}) })
}

func (e leaseExpired) apply(p *Placer) {
	p.releaseAttemptSlots(e.attempt, scheduler.Faulted)
}

// releaseAttemptSlots returns the slots of an attempt to the worker and to the
// team's grant.
func (p *Placer) releaseAttemptSlots(a *attempt, effect scheduler.HealthEffect) {
	task := a.job.task
	a.slotsReleased = true
	p.fleet.ReleaseSlots(a.worker.ID, a.slots, scheduler.Outcome{Task: task.ID, Effect: effect})
	p.quota.Release(task.Team, a.slots)
	p.waiting.RecordRunTime(task, time.Since(a.started))
}

// checkTimeLimits cancels the call of an attempt whose lease has expired. A job
// whose deadline has passed ends with DeadlineOver, and its task is stopped if it
// is idempotent.
func (p *Placer) checkTimeLimits(j *job, now time.Time) {
	if now.After(j.attempt.leaseEnd) {
		j.attempt.cancelCall()
		return
	}
	if j.replied || now.Before(j.task.Deadline) {
		return
	}
	p.respond(j, result{err: classifier.Uncertain(classifier.DeadlineOver, "the task was still running at its deadline")})
	if j.task.Idempotent {
		p.stopAttempt(j.attempt)
	}
}

// stopAttempt orders the worker to stop a running attempt.
func (p *Placer) stopAttempt(a *attempt) {
	if a.stopping {
		return
	}
	a.stopping = true
	a.cancelled = true
	p.sendOrder(a, p.workers.Stop)
}

// sendOrder sends an order about a running attempt to its worker, outside the
// loop's goroutine. A lost order does no harm: the attempt still ends when its
// lease expires.
func (p *Placer) sendOrder(a *attempt, send func(ctx context.Context, address, task string) error) {
	ctx, stop := context.WithTimeout(p.ctx, orderTimeout)
	go func() {
		defer stop()
		if err := send(ctx, a.worker.Address, a.task); err != nil {
			p.log.Warn("order to stop, checkpoint or throttle a task on a worker failed; the task may continue unchanged", "worker", a.worker.ID, "task", a.task, "error", err)
		}
	}()
}

// copyWithWorker returns a copy of the set of workers to avoid, with the worker id
// added. The set itself stays unchanged.
func copyWithWorker(avoid map[string]bool, id string) map[string]bool {
	next := make(map[string]bool, len(avoid)+1)
	for k := range avoid {
		next[k] = true
	}
	next[id] = true
	return next
}

func givenUpError(task scheduler.Task) *classifier.Error {
	return classifier.Refuse(classifier.HeldBack, "task %q failed on too many workers before", task.ID)
}
