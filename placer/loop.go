package placer

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

type (
	// event is a message to the loop.
	event interface {
		apply(p *Placer)
	}

	// job is one task in the care of the loop.
	job struct {
		task         scheduler.Task
		reply        chan result
		replied      bool
		attempt      *attempt        // nil while waiting
		attempts     int             // starts so far
		refusals     int             // starts refused by workers
		mayHaveRun   bool            // an earlier attempt may have run
		avoidWorkers map[string]bool // workers not to be tried again
		checkpoint   []byte          // progress saved by an earlier attempt
	}

	result struct {
		answer messenger.Answer
		err    error
	}

	submit   struct{ job *job }
	wake     struct{}
	withdraw struct {
		task               string
		onlyIfNeverStarted bool // only if no attempt has been made
		cause              *classifier.Error
	}
	cancel struct {
		task  string
		reply chan bool
	}
	requeue       struct{ job *job }
	workerRemoved struct{ instance string }
)

// Run turns the loop until ctx ends. Attempts that are under way then are
// abandoned to their leases; a planned stop waits for Idle first.
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
		case e := <-p.events.C():
			e.apply(p)
			p.applyQueuedEvents()
		case <-tick.C:
			p.checkAttempts(time.Now())
			p.publishLoads()
		}
		p.startWaiting(time.Now())
	}
}

// queueItem is the job as the queue holds it.
func (j *job) queueItem() scheduler.Item {
	return scheduler.Item{Task: j.task, Since: j.task.Accepted, Data: j}
}

// applyQueuedEvents applies the events that are already there, so that one fill serves
// them all.
func (p *Placer) applyQueuedEvents() {
	for n := len(p.events.C()); n > 0; n-- {
		(<-p.events.C()).apply(p)
	}
}

// Idle says whether no task waits or runs.
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
	if p.poison.IsHeldBack(task.ID) {
		p.respond(e.job, result{err: heldBackError(task)})
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
	p.waiting.Cancel(e.task)
	p.respond(j, result{err: e.withdrawalError(j)})
}

// withdrawalError gives the cause for a job that is not running now. An earlier
// attempt whose end is unknown leaves a doubt.
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

// checkAttempts does what is due by time: deadlines and leases of running tasks, and
// urgent work.
func (p *Placer) checkAttempts(now time.Time) {
	for _, j := range p.jobs {
		if j.attempt != nil {
			p.checkTimeLimits(j, now)
		}
	}
	p.preempt(now)
}

// expireWaiting ends waiting tasks whose deadline has passed.
func (p *Placer) expireWaiting(now time.Time) {
	for _, item := range p.waiting.RemoveExpired(now) {
		withdraw{task: item.Task.ID, cause: deadlineError(item.Task)}.apply(p)
	}
}

func deadlineError(task scheduler.Task) *classifier.Error {
	return classifier.Refuse(classifier.DeadlineOver, "no slot became free before the deadline %s", task.Deadline.Format(time.RFC3339))
}

// respond answers the job's submitter and forgets the job.
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

// publishLoads refreshes the loads that others read.
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

// teamLoads counts by team and pool what runs and what waits.
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
