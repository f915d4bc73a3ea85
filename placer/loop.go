package placer

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

type (
	// event is a message to the loop. The loop calls apply.
	event interface {
		apply(p *Placer)
	}

	// job is the state of one task in the loop.
	job struct {
		task         scheduler.Task
		reply        chan result
		replied      bool
		attempt      *attempt        // the running attempt; nil while the task waits
		attempts     int             // number of starts so far
		refusals     int             // number of starts that workers refused
		mayHaveRun   bool            // an earlier attempt may have run
		avoidWorkers map[string]bool // IDs of workers that refused or failed the task
		checkpoint   []byte          // progress that an earlier attempt saved
	}

	// result is the answer or the error of a job.
	result struct {
		answer messenger.Answer
		err    error
	}

	// submit is the event that queues a new job.
	submit struct{ job *job }
	// wake is the event that only makes the loop look for tasks to start.
	wake struct{}
	// withdraw is the event that ends a waiting task with the error cause.
	withdraw struct {
		task               string
		onlyIfNeverStarted bool // withdraw only if no attempt was ever made
		onlyIfRestartable  bool // withdraw only if another member may start the task from its beginning
		cause              *classifier.Error
	}
	// cancel is the event that withdraws a waiting task or stops a running one.
	cancel struct {
		task  string
		reply chan bool
	}
	// requeue is the event that returns a job to the waiting queue.
	requeue struct{ job *job }
	// workerRemoved is the event that the platform no longer lists a worker.
	workerRemoved struct{ instance string }
)

// Run runs the event loop until ctx ends. Calls of running attempts are then
// cancelled, and the workers stop the tasks when their leases expire. An orderly
// shutdown waits for Idle first.
func (p *Placer) Run(ctx context.Context) error {
	defer close(p.stopped)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p.ctx = ctx
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		p.renewLeases(ctx)
	}()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			<-renewed
			return nil
		case e := <-p.events.ReceiveChan():
			e.apply(p)
			p.applyQueuedEvents()
		case <-tick.C:
			p.checkAttempts(time.Now())
			p.publishLoads()
		}
		p.startWaitingTasks(time.Now())
	}
}

// queueItem returns the job as an item for the waiting queue.
func (j *job) queueItem() scheduler.Item {
	return scheduler.Item{Task: j.task, Since: j.task.Accepted, Data: j}
}

// applyQueuedEvents applies the events that are already in the ring, so that one
// call of startWaitingTasks serves all of them.
func (p *Placer) applyQueuedEvents() {
	for n := len(p.events.ReceiveChan()); n > 0; n-- {
		(<-p.events.ReceiveChan()).apply(p)
	}
}

// Idle reports whether no task waits or runs.
func (p *Placer) Idle() bool {
	loads := p.loads.Load()
	for _, l := range loads.Pools {
		if l.Running+l.Waiting > 0 {
			return false
		}
	}
	return len(loads.Teams) == 0
}

func (wake) apply(*Placer) {}

func (e submit) apply(p *Placer) {
	task := e.job.task
	if _, taken := p.jobs[task.ID]; taken {
		p.respond(e.job, result{err: classifier.Refuse(classifier.Repeated, "task %q is already here", task.ID)})
		return
	}
	if p.failedTasks.IsGivenUp(task.ID) {
		p.respond(e.job, result{err: givenUpError(task)})
		return
	}
	if err := p.waiting.Add(e.job.queueItem()); err != nil {
		p.respond(e.job, result{err: err})
		return
	}
	p.jobs[task.ID] = e.job
}

func (e withdraw) apply(p *Placer) {
	j, ok := p.jobs[e.task]
	if !ok || j.attempt != nil {
		return
	}
	if e.onlyIfNeverStarted && j.attempts > 0 {
		return
	}
	if e.onlyIfRestartable && !j.mayRestart() {
		return
	}
	p.waiting.Cancel(e.task)
	p.respond(j, result{err: e.withdrawalError(j)})
}

// mayRestart reports whether the task may be started from its beginning. A task that
// may have run must be idempotent, and its progress must not be lost.
func (j *job) mayRestart() bool {
	return !j.mayHaveRun || (j.task.Idempotent && j.checkpoint == nil)
}

// withdrawalError returns the error for a job that is withdrawn while it waits.
// The verdict is MayHaveRun if the outcome of an earlier attempt is unknown.
func (e withdraw) withdrawalError(j *job) *classifier.Error {
	if !j.mayHaveRun {
		return e.cause
	}
	return classifier.Uncertain(e.cause.Code, "%s; an earlier attempt may have run", e.cause.Message)
}

func (e cancel) apply(p *Placer) {
	j, ok := p.jobs[e.task]
	e.reply <- ok
	if !ok {
		return
	}
	if j.attempt == nil {
		withdraw{task: e.task, cause: classifier.Refuse(classifier.Cancelled, "cancelled before the start")}.apply(p)
		return
	}
	p.stopAttempt(j.attempt)
}

func (e requeue) apply(p *Placer) {
	if e.job.replied {
		return
	}
	p.waiting.Requeue(e.job.queueItem())
}

func (e workerRemoved) apply(p *Placer) {
	for _, j := range p.jobs {
		if j.attempt != nil && j.attempt.worker.ID == e.instance {
			j.attempt.cancelCall()
		}
	}
}

// checkAttempts enforces the deadlines and leases of running tasks and preempts
// for urgent tasks that have waited too long.
func (p *Placer) checkAttempts(now time.Time) {
	for _, j := range p.jobs {
		if j.attempt != nil {
			p.checkTimeLimits(j, now)
		}
	}
	p.preempt(now)
}

// withdrawExpiredTasks ends waiting tasks whose deadline has passed.
func (p *Placer) withdrawExpiredTasks(now time.Time) {
	for _, item := range p.waiting.RemoveExpired(now) {
		withdraw{task: item.Task.ID, cause: deadlineError(item.Task)}.apply(p)
	}
}

func deadlineError(task scheduler.Task) *classifier.Error {
	return classifier.Refuse(classifier.DeadlineOver, "no slot became free before the deadline %s", task.Deadline.Format(time.RFC3339))
}

// respond sends the job's result to the submitter, once. It removes the job
// unless an attempt still runs.
func (p *Placer) respond(j *job, r result) {
	if j.replied {
		return
	}
	j.replied = true
	j.reply <- r
	if p.jobs[j.task.ID] == j && j.attempt == nil {
		delete(p.jobs, j.task.ID)
	}
}

// publishLoads stores the current loads for Loads and Idle.
func (p *Placer) publishLoads() {
	loads := &Loads{}
	waiting := p.waiting.CountByPool()
	for _, l := range p.fleet.Loads() {
		loads.Pools = append(loads.Pools, messenger.PoolLoad{
			Pool:    l.Pool,
			Slots:   l.Slots,
			Running: l.Running,
			Waiting: waiting[l.Pool].Slots,
		})
		delete(waiting, l.Pool)
	}
	for pool, count := range waiting {
		loads.Pools = append(loads.Pools, messenger.PoolLoad{Pool: pool, Waiting: count.Slots})
	}
	loads.Teams = p.teamLoads()
	p.loads.Store(loads)
}

// teamLoads counts running and waiting slots by team and pool.
func (p *Placer) teamLoads() []messenger.TeamLoad {
	type key struct{ team, pool string }
	counts := make(map[key]messenger.TeamLoad)
	for _, j := range p.jobs {
		k := key{team: j.task.Team, pool: j.task.Pool}
		load := counts[k]
		load.Team = k.team
		load.Pool = k.pool
		if j.attempt != nil {
			load.Running += j.task.Slots
		} else {
			load.Waiting += j.task.Slots
			load.Largest = max(load.Largest, j.task.Slots)
		}
		counts[k] = load
	}
	loads := make([]messenger.TeamLoad, 0, len(counts))
	for _, load := range counts {
		loads = append(loads, load)
	}
	return loads
}
