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
	minRefusalDelay = 50 * time.Millisecond
	maxRefusalDelay = 2 * time.Second
)

type (
	// attempt is one start of a job on a worker. It holds slots of the worker
	// and of the team until the worker has certainly ended the task.
	attempt struct {
		job            *job
		task           string
		number         int
		started        time.Time
		worker         scheduler.Worker
		leaseEnd       time.Time // latest time at which the worker may still run the task
		cancelCall     context.CancelFunc
		cancelled      bool
		slots          int  // held on the worker and of the team's grant
		preempted      bool // a checkpoint or throttle has been ordered
		stopping       bool // a stop has been ordered
		slotsReleased  bool // the slots have been given back
		missedRenewals int  // renewals in a row without an answer
	}

	attemptFinished struct {
		attempt *attempt
		finish  dispatcher.Finish
		err     error
	}

	leaseExpired struct{ attempt *attempt }
)

// startWaiting starts waiting tasks while slots and grants allow. It first ends those
// that are too late.
func (p *Placer) startWaiting(now time.Time) {
	p.expireWaiting(now)
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
	item, ok := p.waiting.Next(pool, free, p.grants.Acquire)
	if !ok {
		return false
	}
	j := item.Data.(*job)
	worker, ok := p.pickWorker(j)
	if !ok {
		p.grants.Release(j.task.Team, j.task.Slots)
		p.waiting.RecordRunTime(j.task, 0)
		p.waiting.Requeue(item)
		return false
	}
	p.startAttempt(j, worker, now)
	return true
}

// pickWorker reserves slots on a worker, preferring one that has not failed the job.
func (p *Placer) pickWorker(j *job) (scheduler.Worker, bool) {
	worker, ok := p.fleet.PickWorker(j.task.Pool, j.task.Slots, j.avoidWorkers)
	if !ok && len(j.avoidWorkers) > 0 {
		worker, ok = p.fleet.PickWorker(j.task.Pool, j.task.Slots, nil)
	}
	return worker, ok
}

func (p *Placer) startAttempt(j *job, worker scheduler.Worker, now time.Time) {
	j.attempts++
	ctx, abandon := context.WithCancel(p.ctx)
	startBy := now.Add(p.startTimeout)
	j.attempt = &attempt{
		job:        j,
		task:       j.task.ID,
		number:     j.attempts,
		started:    now,
		slots:      j.task.Slots,
		worker:     worker,
		leaseEnd:   startBy.Add(p.lease).Add(p.clockMargin),
		cancelCall: abandon,
	}
	p.recordStart(j, now)
	if j.attempts == 1 {
		p.observeStart(StartObservation{Queue: j.task.Queue, Class: j.task.Class, Waited: now.Sub(j.task.Accepted)})
	}
	go p.runAttempt(ctx, j.attempt, p.startOrder(j, startBy))
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

// runAttempt waits for the worker's answer outside the loop.
func (p *Placer) runAttempt(ctx context.Context, a *attempt, order dispatcher.Start) {
	finish, err := p.workers.Start(ctx, a.worker.Address, order)
	a.cancelCall()
	p.sendWait(attemptFinished{attempt: a, finish: finish, err: err})
}

func (e attemptFinished) apply(p *Placer) {
	j := e.attempt.job
	if e.err != nil {
		p.handleStartError(j, e.attempt, classifier.As(e.err))
		return
	}
	p.releaseSlots(e.attempt, endingForOutcome(e.finish.Outcome))
	p.handleFinish(j, e.attempt, e.finish)
}

func endingForOutcome(o dispatcher.Outcome) scheduler.HealthEffect {
	switch o {
	case dispatcher.Done:
		return scheduler.Succeeded
	case dispatcher.Failed:
		return scheduler.Faulted
	}
	return scheduler.Neutral
}

// handleFinish handles the worker's own word on how the attempt handleFinish.
func (p *Placer) handleFinish(j *job, a *attempt, f dispatcher.Finish) {
	switch f.Outcome {
	case dispatcher.Done:
		p.retries.RecordSuccess(j.task.Queue)
		p.poison.Forget(j.task.ID)
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

// handleTaskFailure handles a task that reported a failure of its own. An idempotent one
// is tried on other workers, since some workers fail all that they start.
func (p *Placer) handleTaskFailure(j *job, a *attempt, f dispatcher.Finish) {
	cause := &classifier.Error{Verdict: classifier.Ran, Code: classifier.TaskFailed, Message: "the task failed on worker " + a.worker.ID + ": " + f.Reason}
	if p.holdBackIfPoison(j, a, cause) {
		return
	}
	p.retry(j, a, cause)
}

// holdBackIfPoison counts a failure that may be the task's own fault. It ends an
// idempotent task that has failed on too many workers and says whether it did.
func (p *Placer) holdBackIfPoison(j *job, a *attempt, cause *classifier.Error) bool {
	if !j.task.Idempotent || a.cancelled || !p.poison.RecordFailure(j.task.ID, a.worker.ID) {
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

// handleInterruption handles a task that the worker stopped before its end.
func (p *Placer) handleInterruption(j *job, a *attempt, f dispatcher.Finish) {
	cause := classifier.Uncertain(classifier.WorkerLost, "worker %s stopped the task before its end: %s", a.worker.ID, f.Reason)
	if a.cancelled {
		p.respond(j, result{err: classifier.Uncertain(classifier.Cancelled, "cancelled while it ran")})
		return
	}
	p.retry(j, a, cause)
}

// handleStartError handles an attempt without the worker's word on its end.
func (p *Placer) handleStartError(j *job, a *attempt, err *classifier.Error) {
	if err.Verdict == classifier.NotRun {
		p.releaseSlots(a, scheduler.Neutral)
		p.handleRefusal(j, a, err)
		return
	}
	if err.Code == classifier.Truncated {
		p.releaseSlots(a, scheduler.Faulted)
	} else {
		p.releaseAtLeaseEnd(a)
	}
	if p.holdBackIfPoison(j, a, err) {
		return
	}
	p.retry(j, a, err)
}

// handleRefusal handles a worker's word that it did not start the task.
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
	j.avoidWorkers = addWorker(j.avoidWorkers, a.worker.ID)
	j.refusals++
	if j.refusals >= maxRefusals && !j.mayHaveRun {
		p.respond(j, result{err: classifier.Refuse(classifier.WorkerRefused, "workers refused the task %d times, the last: %s", j.refusals, err.Message)})
		return
	}
	p.requeueAfter(j, refusalDelay(j.refusals))
}

func refusalDelay(n int) time.Duration {
	return min(minRefusalDelay<<min(n, 8), maxRefusalDelay)
}

// retry starts an idempotent task anew within the retry budget of its queue.
// A non-idempotent one ends with the cause.
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
	j.avoidWorkers = addWorker(j.avoidWorkers, a.worker.ID)
	p.requeueAfter(j, 0)
}

// retryBudgetError ends a task for want of a retry. The verdict is that of its last
// attempt.
func retryBudgetError(task scheduler.Task, cause *classifier.Error) *classifier.Error {
	return &classifier.Error{
		Verdict:    cause.Verdict,
		Code:       classifier.RetriesSpent,
		Message:    fmt.Sprintf("%s; the retry budget of queue %q is spent", cause.Message, task.Queue),
		RetryAfter: time.Second,
	}
}

// requeueAfter returns the job to its queue after a delay.
func (p *Placer) requeueAfter(j *job, delay time.Duration) {
	j.attempt = nil
	if delay == 0 {
		requeue{job: j}.apply(p)
		return
	}
	time.AfterFunc(delay, func() { p.sendWait(requeue{job: j}) })
}

// forgetJob drops a job that has been answered.
func (p *Placer) forgetJob(j *job) {
	if p.jobs[j.task.ID] == j {
		delete(p.jobs, j.task.ID)
	}
}

// jobError turns a refusal of this attempt into the verdict for the whole job.
func (p *Placer) jobError(j *job, err error) error {
	e := classifier.As(err)
	if e.Verdict == classifier.NotRun && j.mayHaveRun {
		return classifier.Uncertain(e.Code, "%s; an earlier attempt may have run", e.Message)
	}
	return e
}

// releaseSlots gives back the slots of an attempt that has certainly ended.
func (p *Placer) releaseSlots(a *attempt, ending scheduler.HealthEffect) {
	a.job.attempt = nil
	p.returnSlots(a, ending)
	if a.job.replied {
		p.forgetJob(a.job)
	}
}

// releaseAtLeaseEnd keeps the slots of an attempt until its lease is over, since the
// worker may still run the task.
func (p *Placer) releaseAtLeaseEnd(a *attempt) {
	a.job.attempt = nil
	time.AfterFunc(time.Until(a.leaseEnd), func() { p.sendWait(leaseExpired{attempt: a}) })
}

func (e leaseExpired) apply(p *Placer) {
	p.returnSlots(e.attempt, scheduler.Faulted)
}

// returnSlots returns the slots of an attempt to the worker and to the team.
func (p *Placer) returnSlots(a *attempt, ending scheduler.HealthEffect) {
	task := a.job.task
	a.slotsReleased = true
	p.fleet.ReleaseSlots(a.worker.ID, a.slots, scheduler.Outcome{Task: task.ID, Effect: ending})
	p.grants.Release(task.Team, a.slots)
	p.waiting.RecordRunTime(task, time.Since(a.started))
}

// checkTimeLimits ends what a running attempt has outlived: the job's deadline, then the
// worker's lease.
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

// stopAttempt orders the worker to stopAttempt a running attempt.
func (p *Placer) stopAttempt(a *attempt) {
	if a.stopping {
		return
	}
	a.stopping = true
	a.cancelled = true
	p.sendOrder(a, p.workers.Stop)
}

// sendOrder sends an sendOrder for a running attempt to its worker, outside the loop.
// A lost sendOrder is harmless: the attempt ends with its lease.
func (p *Placer) sendOrder(a *attempt, send func(ctx context.Context, address, task string) error) {
	ctx, stop := context.WithTimeout(p.ctx, orderTimeout)
	go func() {
		defer stop()
		if err := send(ctx, a.worker.Address, a.task); err != nil {
			p.log.Warn("order to a worker failed", "worker", a.worker.ID, "task", a.task, "error", err)
		}
	}()
}

func addWorker(avoid map[string]bool, id string) map[string]bool {
	next := make(map[string]bool, len(avoid)+1)
	for k := range avoid {
		next[k] = true
	}
	next[id] = true
	return next
}

func heldBackError(task scheduler.Task) *classifier.Error {
	return classifier.Refuse(classifier.HeldBack, "task %q failed on too many workers before", task.ID)
}
