// Package placer places waiting tasks on the workers that this member owns. One
// loop owns the waiting tasks and the running attempts; everything else talks
// to it through a bounded ring.
package placer

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/dispatcher"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

// Times and sizes of the placer.
const (
	// DefaultLease is the time a worker goes on with a task without renewal.
	DefaultLease = 15 * time.Second
	// DefaultStartTimeout is the time after which a worker refuses a start.
	DefaultStartTimeout = 2 * time.Second
	// DefaultClockMargin is the allowed distance between two clocks.
	DefaultClockMargin = 2 * time.Second

	eventRingSize = 4096
	tickInterval  = 50 * time.Millisecond
)

type (
	// Workers is the platform's worker interface.
	Workers interface {
		Start(ctx context.Context, address string, s dispatcher.Start) (dispatcher.Finish, error)
		Renew(ctx context.Context, address string, r dispatcher.Renewal) ([]string, error)
		Stop(ctx context.Context, address, task string) error
		Checkpoint(ctx context.Context, address, task string) error
		Throttle(ctx context.Context, address, task string) error
	}

	// SlotGrants holds the slots that this member may run for each team.
	SlotGrants interface {
		CanAcquire(team string, n int) bool
		Acquire(team string, n int) bool
		Release(team string, n int)
	}

	// Retries bounds the retries of each queue.
	Retries interface {
		TakeRetry(queue string) bool
		RecordSuccess(queue string)
	}

	// Poison remembers tasks that failed on several workers.
	Poison interface {
		// RecordFailure counts a failure and says whether the task is now held back.
		RecordFailure(task, worker string) bool
		IsHeldBack(task string) bool
		Forget(task string)
	}

	// Shares tells the slots that each team should have running in the pool at
	// this member, from the slots that run or wait there.
	Shares func(pool string, demand map[string]int) map[string]int

	// Placer places tasks. Use New.
	Placer struct {
		self            string
		log             *slog.Logger
		workers         Workers
		grants          SlotGrants
		fleet           *scheduler.Fleet
		waiting         *scheduler.WaitingTasks
		retries         Retries
		poison          Poison
		shares          Shares
		onWorkerLeaving func(instance string)
		checkFreshness  func() error
		journal         func(recorder.Decision)
		observeStart    func(StartObservation)
		lease           time.Duration
		startTimeout    time.Duration
		clockMargin     time.Duration
		events          *supervisor.Ring[event]
		renewals        *supervisor.Ring[renewal]
		jobs            map[string]*job
		lastPreemption  map[string]time.Time // last seizure by pool
		loads           atomic.Pointer[Loads]
		stopped         chan struct{}
		ctx             context.Context // of Run; ends the attempts with the loop
	}

	// Loads is what the member runs and has waiting.
	Loads struct {
		Pools []messenger.PoolLoad
		Teams []messenger.TeamLoad
	}

	// StartObservation is one measured step of a task.
	StartObservation struct {
		Queue  string
		Class  scheduler.Class
		Waited time.Duration // from acceptance to the first start; negative when not started
	}

	// WithdrawPolicy makes a task that has not started leave the queue again. The
	// zero value waits until the task's deadline.
	WithdrawPolicy struct {
		CheckInterval  time.Duration // how often Leave is asked
		ShouldWithdraw func() bool   // whether another member would start the task sooner
	}

	// Option changes a Placer under construction.
	Option func(*Placer)
)

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(p *Placer) { p.log = log }
}

// WithLease sets the lease of a task on a worker.
func WithLease(lease time.Duration) Option {
	return func(p *Placer) { p.lease = lease }
}

// WithClockMargin sets the allowed distance between two clocks.
func WithClockMargin(margin time.Duration) Option {
	return func(p *Placer) { p.clockMargin = margin }
}

// WithRetries sets the retry budgets of the queues.
func WithRetries(retries Retries) Option {
	return func(p *Placer) { p.retries = retries }
}

// WithShares sets the source of the shares that preemption works towards.
func WithShares(shares Shares) Option {
	return func(p *Placer) { p.shares = shares }
}

// WithWorkerLeavingHandler sets the function told of a worker that says it is leaving.
func WithWorkerLeavingHandler(leaving func(instance string)) Option {
	return func(p *Placer) { p.onWorkerLeaving = leaving }
}

// WithFreshnessCheck sets the check made after a pause of the process, before any lease
// is renewed: whether this member may rely on what it knows.
func WithFreshnessCheck(fresh func() error) Option {
	return func(p *Placer) { p.checkFreshness = fresh }
}

// WithJournal sets the function that takes decisions for explanation.
func WithJournal(journal func(recorder.Decision)) Option {
	return func(p *Placer) { p.journal = journal }
}

// WithStartObserver sets the function that takes measured steps.
func WithStartObserver(observe func(StartObservation)) Option {
	return func(p *Placer) { p.observeStart = observe }
}

// New returns a placer for the member self that starts tasks on the workers
// open in fleet, against the slots in purse.
func New(self string, workers Workers, purse SlotGrants, fleet *scheduler.Fleet, waiting *scheduler.WaitingTasks, opts ...Option) *Placer {
	p := &Placer{
		self:            self,
		log:             slog.Default(),
		workers:         workers,
		grants:          purse,
		fleet:           fleet,
		waiting:         waiting,
		retries:         scheduler.NewRetryBudgets(scheduler.DefaultRetryRatio, scheduler.DefaultRetryFloor),
		poison:          scheduler.NewPoisonTracker(scheduler.DefaultFailedWorkerLimit, scheduler.DefaultTrackedTasks),
		shares:          func(string, map[string]int) map[string]int { return nil },
		onWorkerLeaving: func(string) {},
		checkFreshness:  func() error { return nil },
		journal:         func(recorder.Decision) {},
		observeStart:    func(StartObservation) {},
		lease:           DefaultLease,
		startTimeout:    DefaultStartTimeout,
		clockMargin:     DefaultClockMargin,
		events:          supervisor.NewRing[event](eventRingSize),
		renewals:        supervisor.NewRing[renewal](eventRingSize),
		jobs:            make(map[string]*job),
		lastPreemption:  make(map[string]time.Time),
		stopped:         make(chan struct{}),
	}
	for _, opt := range opts {
		opt(p)
	}
	p.loads.Store(&Loads{})
	return p
}

// Submit queues the task and waits for its end. A task that leaves the queue by
// patience before its first start ends with NoCapacity and NotRun, so that it
// can be placed elsewhere. A full ring refuses with NotRun.
//
// When ctx ends, an unstarted task leaves the queue; a started one goes on, and
// Submit returns its end.
func (p *Placer) Submit(ctx context.Context, task scheduler.Task, patience WithdrawPolicy) (messenger.Answer, error) {
	reply := make(chan result, 1)
	j := &job{task: task, reply: reply}
	if !p.trySend(submit{job: j}) {
		return messenger.Answer{}, classifier.Refuse(classifier.QueueFull, "the entry takes no more events: come back later").WithRetryAfter(time.Second)
	}
	var ask <-chan time.Time
	if patience.ShouldWithdraw != nil {
		ticker := time.NewTicker(patience.CheckInterval)
		defer ticker.Stop()
		ask = ticker.C
	}
	done := ctx.Done()
	for {
		select {
		case r := <-reply:
			return r.answer, r.err
		case <-ask:
			if patience.ShouldWithdraw() {
				p.sendWait(withdraw{task: task.ID, onlyIfNeverStarted: true, cause: classifier.Refuse(classifier.NoCapacity, "another member has a free slot")})
			}
		case <-done:
			done = nil
			p.sendWait(withdraw{task: task.ID, cause: classifier.Refuse(classifier.Cancelled, "the caller went away before the start")})
		case <-p.stopped:
			return p.resultAfterStop(reply)
		}
	}
}

// resultAfterStop returns a result that was sent before the loop ended. Without one
// the task's fate is unknown.
func (p *Placer) resultAfterStop(reply <-chan result) (messenger.Answer, error) {
	select {
	case r := <-reply:
		return r.answer, r.err
	default:
		return messenger.Answer{}, classifier.Uncertain(classifier.Leaving, "the entry stopped while the task was under way")
	}
}

// Cancel withdraws a task. A waiting task ends with NotRun at once. A running
// one is stopped on its worker and ends with the worker's word. It says whether
// the task was known.
func (p *Placer) Cancel(ctx context.Context, task string) bool {
	reply := make(chan bool, 1)
	if !p.trySend(cancel{task: task, reply: reply}) {
		return false
	}
	select {
	case known := <-reply:
		return known
	case <-ctx.Done():
		return false
	case <-p.stopped:
		return false
	}
}

// Wake tells the loop that slots, grants or rules have changed.
func (p *Placer) Wake() {
	p.trySend(wake{})
}

// WorkerRemoved ends the attempts on a worker that the platform no longer lists.
// Their slots and grants stay taken until their leases are over.
func (p *Placer) WorkerRemoved(instance string) {
	p.sendWait(workerRemoved{instance: instance})
}

// Loads returns the loads as of the last turn of the loop.
func (p *Placer) Loads() Loads {
	return *p.loads.Load()
}

// RingFullCount returns how many events found the ring full.
func (p *Placer) RingFullCount() uint64 {
	return p.events.Full()
}

// trySend offers an event. A full ring refuses it.
func (p *Placer) trySend(e event) bool {
	return p.events.Offer(e)
}

// sendWait adds an event that must not be lost. It waits for room until the loop
// has stopped.
func (p *Placer) sendWait(e event) {
	select {
	case p.events.In() <- e:
	case <-p.stopped:
	}
}
