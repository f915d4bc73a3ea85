// Package placer starts waiting tasks on the workers that this cluster member
// owns. One event loop owns the waiting tasks and the running attempts. All
// other goroutines send it events through a bounded ring.
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

// Default durations and internal sizes of the placer.
const (
	// DefaultLease is the time for which a worker runs a task before its lease
	// must be renewed. A worker stops a task whose lease has expired.
	DefaultLease = 15 * time.Second
	// DefaultStartTimeout is the time after which a worker refuses a start
	// order.
	DefaultStartTimeout = 2 * time.Second
	// DefaultClockMargin is the largest assumed difference between the clocks of
	// two machines.
	DefaultClockMargin = 2 * time.Second

	eventRingSize = 4096
	tickInterval  = 50 * time.Millisecond
)

type (
	// Workers sends orders to workers by their network address.
	Workers interface {
		Start(ctx context.Context, address string, s dispatcher.Start) (dispatcher.Finish, error)
		Renew(ctx context.Context, address string, r dispatcher.Renewal) ([]string, error)
		Stop(ctx context.Context, address, task string) error
		Checkpoint(ctx context.Context, address, task string) error
		Throttle(ctx context.Context, address, task string) error
	}

	// SlotQuota tracks the slots that this member may use for each team.
	SlotQuota interface {
		// CanAcquire reports whether n more slots of the team's grant are free.
		CanAcquire(team string, n int) bool
		// Acquire reserves n slots of the team's grant. It reports false, and
		// reserves none, when fewer are free.
		Acquire(team string, n int) bool
		// Release returns n slots to the team's grant.
		Release(team string, n int)
	}

	// RetryBudgets limits the number of retries in each queue.
	RetryBudgets interface {
		// TakeRetry uses up one retry of the queue and reports whether one was
		// left.
		TakeRetry(queue string) bool
		// RecordSuccess counts a successful task, which adds to the queue's retry
		// budget.
		RecordSuccess(queue string)
	}

	// FailedTaskTracker records which tasks failed on which workers. A task that
	// has failed on several workers is given up: it is not started again.
	FailedTaskTracker interface {
		// RecordFailure counts a failure of the task on the worker and reports
		// whether the task is now given up.
		RecordFailure(task, worker string) bool
		// IsGivenUp reports whether the task has failed on too many workers to
		// be started again.
		IsGivenUp(task string) bool
		// Forget removes all recorded failures of the task.
		Forget(task string)
	}

	// Shares returns the number of slots that each team should use in the pool on
	// this member. demand is the number of running and waiting slots by team.
	Shares func(pool string, demand map[string]int) map[string]int

	// Placer starts tasks on workers. Create one with New.
	Placer struct {
		self            string
		log             *slog.Logger
		workers         Workers
		quota           SlotQuota
		fleet           *scheduler.Fleet
		waiting         *scheduler.WaitingTasks
		retries         RetryBudgets
		failedTasks     FailedTaskTracker
		shares          Shares
		onWorkerLeaving func(instance string)        // called when a worker refuses a task because it is leaving
		checkStart      func(scheduler.Worker) error // returns an error while no task may be started on the worker
		checkFreshness  func() error                 // returns an error while the membership and rules may be out of date
		journal         func(recorder.Decision)      // records a decision for later explanation
		observeStart    func(StartObservation)
		lease           time.Duration
		startTimeout    time.Duration
		clockMargin     time.Duration
		events          *supervisor.Ring[event]
		renewals        *supervisor.Ring[renewal]
		jobs            map[string]*job
		lastPreemption  map[string]time.Time // time of the last preemption, by pool
		loads           atomic.Pointer[Loads]
		stopped         chan struct{}   // closed when Run returns
		ctx             context.Context // of Run; cancelling it cancels the calls of all attempts
	}

	// Loads counts the slots that run and wait on this member.
	Loads struct {
		Pools []messenger.PoolLoad
		Teams []messenger.TeamLoad
	}

	// StartObservation describes the first start of a task, for metrics.
	StartObservation struct {
		Queue  string
		Class  scheduler.Class
		Waited time.Duration // from acceptance to the first start
	}

	// WithdrawPolicy decides when a task that has not started yet is withdrawn
	// from the queue, so that another member can run it. The zero value never
	// withdraws it before its deadline.
	WithdrawPolicy struct {
		CheckInterval  time.Duration // how often ShouldWithdraw is called
		ShouldWithdraw func() bool   // whether another member would start the task sooner
		// CannotRun reports whether no worker of this member can run the task. A
		// task that waits to be started again is then withdrawn as well, if it may
		// start from its beginning. nil stands for false.
		CannotRun func() bool
	}

	// Option configures a Placer.
	Option func(*Placer)
)

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(p *Placer) { p.log = log }
}

// WithLease sets the lease duration of tasks on workers.
func WithLease(lease time.Duration) Option {
	return func(p *Placer) { p.lease = lease }
}

// WithClockMargin sets the largest assumed difference between two clocks.
func WithClockMargin(margin time.Duration) Option {
	return func(p *Placer) { p.clockMargin = margin }
}

// WithRetries sets the retry budgets of the queues.
func WithRetries(retries RetryBudgets) Option {
	return func(p *Placer) { p.retries = retries }
}

// WithShares sets the function that returns each team's share of a pool, which
// preemption enforces.
func WithShares(shares Shares) Option {
	return func(p *Placer) { p.shares = shares }
}

// WithWorkerLeavingHandler sets the function that is called with the ID of a
// worker that refused a task because it is leaving.
func WithWorkerLeavingHandler(leaving func(instance string)) Option {
	return func(p *Placer) { p.onWorkerLeaving = leaving }
}

// WithFreshnessCheck sets the check that must succeed after a pause of the
// process before any lease is renewed. It returns an error while this member
// cannot rely on its view of the membership and the rules.
func WithFreshnessCheck(fresh func() error) Option {
	return func(p *Placer) { p.checkFreshness = fresh }
}

// WithStartCheck sets the check that is made immediately before a task is sent to
// a worker. When it returns an error, the task is not sent and waits again.
func WithStartCheck(check func(scheduler.Worker) error) Option {
	return func(p *Placer) { p.checkStart = check }
}

// WithJournal sets the function that records decisions, so that they can be
// explained later.
func WithJournal(journal func(recorder.Decision)) Option {
	return func(p *Placer) { p.journal = journal }
}

// WithStartObserver sets the function that is called on the first start of each
// task.
func WithStartObserver(observe func(StartObservation)) Option {
	return func(p *Placer) { p.observeStart = observe }
}

// New returns a placer for the member with the ID self. It starts tasks on the
// workers that are enabled in fleet, within the slots that quota allows.
func New(self string, workers Workers, quota SlotQuota, fleet *scheduler.Fleet, waiting *scheduler.WaitingTasks, opts ...Option) *Placer {
	p := &Placer{
		self:            self,
		log:             slog.Default(),
		workers:         workers,
		quota:           quota,
		fleet:           fleet,
		waiting:         waiting,
		retries:         scheduler.NewRetryBudgets(scheduler.DefaultRetryRatio, scheduler.DefaultRetryFloor),
		failedTasks:     scheduler.NewFailedTaskTracker(scheduler.DefaultFailedWorkerLimit, scheduler.DefaultTrackedTasks),
		shares:          func(string, map[string]int) map[string]int { return nil },
		onWorkerLeaving: func(string) {},
		checkStart:      func(scheduler.Worker) error { return nil },
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

// Submit queues the task and waits for its result. A task that the policy
// withdraws before its first start ends with the code NoCapacity and the
// verdict NotRun, so that it can be placed on another member. Submit returns
// NotRun at once when the event ring is full.
//
// When ctx ends, a task that has not started is withdrawn. A task that has
// started continues, and Submit still waits for its result.
func (p *Placer) Submit(ctx context.Context, task scheduler.Task, policy WithdrawPolicy) (messenger.Answer, error) {
	reply := make(chan result, 1)
	j := &job{task: task, reply: reply}
	if !p.trySendEvent(submit{job: j}) {
		return messenger.Answer{}, classifier.Refuse(classifier.QueueFull, "the entry takes no more events: come back later").WithRetryAfter(time.Second)
	}
	var ask <-chan time.Time
	if policy.CheckInterval > 0 {
		ticker := time.NewTicker(policy.CheckInterval)
		defer ticker.Stop()
		ask = ticker.C
	}
	done := ctx.Done()
	for {
		select {
		case r := <-reply:
			return r.answer, r.err
		case <-ask:
			if cause := policy.withdrawalCause(); cause != nil {
				p.sendEvent(withdraw{task: task.ID, onlyIfNeverStarted: cause == errFreeElsewhere, onlyIfRestartable: true, cause: cause})
			}
		case <-done:
			done = nil
			p.sendEvent(withdraw{task: task.ID, cause: classifier.Refuse(classifier.Cancelled, "the caller went away before the start")})
		case <-p.stopped:
			return p.resultAfterStop(reply)
		}
	}
}

// Causes for which a waiting task is withdrawn.
var (
	errFreeElsewhere = classifier.Refuse(classifier.NoCapacity, "another member has a free slot")
	errNoWorker      = classifier.Refuse(classifier.NoCapacity, "no worker of this member takes work of the pool")
)

// withdrawalCause returns why the task should be withdrawn now, or nil.
func (w WithdrawPolicy) withdrawalCause() *classifier.Error {
	switch {
	case w.CannotRun != nil && w.CannotRun():
		return errNoWorker
	case w.ShouldWithdraw != nil && w.ShouldWithdraw():
		return errFreeElsewhere
	}
	return nil
}

// resultAfterStop returns a result that was sent before the loop stopped. If
// there is none, it is unknown whether the task ran.
func (p *Placer) resultAfterStop(reply <-chan result) (messenger.Answer, error) {
	select {
	case r := <-reply:
		return r.answer, r.err
	default:
		return messenger.Answer{}, classifier.Uncertain(classifier.Leaving, "the entry stopped while the task was under way")
	}
}

// Cancel withdraws a task. A waiting task ends with NotRun at once. A running
// task is stopped on its worker and ends with the outcome that the worker
// reports. Cancel reports whether the task was known.
func (p *Placer) Cancel(ctx context.Context, task string) bool {
	reply := make(chan bool, 1)
	if !p.trySendEvent(cancel{task: task, reply: reply}) {
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

// Wake makes the loop check for waiting tasks that can start, after slots,
// grants or rules have changed.
func (p *Placer) Wake() {
	p.trySendEvent(wake{})
}

// WorkerRemoved cancels the calls to a worker that the platform no longer
// lists. The slots and grants of its attempts stay reserved until their leases
// expire, because the worker may still run the tasks.
func (p *Placer) WorkerRemoved(instance string) {
	p.sendEvent(workerRemoved{instance: instance})
}

// Loads returns the loads that the loop last published.
func (p *Placer) Loads() Loads {
	return *p.loads.Load()
}

// EventRingFullCount returns how many events were offered while the ring was
// full.
func (p *Placer) EventRingFullCount() uint64 {
	return p.events.FullCount()
}

// trySendEvent offers an event to the loop and reports whether the ring had
// room.
func (p *Placer) trySendEvent(e event) bool {
	return p.events.Offer(e)
}

// sendEvent sends an event that must not be lost. It blocks until the ring has
// room or the loop has stopped.
func (p *Placer) sendEvent(e event) {
	select {
	case p.events.SendChan() <- e:
	case <-p.stopped:
	}
}
