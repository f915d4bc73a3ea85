package orchestrator

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/delayer"
	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
	"github.com/coltsfootlever/coltsfootlever/throttler"
)

const (
	eventQueueSize      = 8192                   // more than the number of calls that can be in flight at once
	flushInterval       = 25 * time.Millisecond  // minimum time between two flushes, to limit the calls to the store
	tickInterval        = 100 * time.Millisecond // between two rounds of periodic work
	shutdownTimeout     = 500 * time.Millisecond // for calls in flight when the term ends; workers usually respond in less time
	reloadRetryInterval = 200 * time.Millisecond // between attempts to read the jobs
)

type (
	// Store is the part of the key-value store client that the engine needs.
	Store interface {
		keeper.Watcher
		Commit(ctx context.Context, txn keeper.Txn) (int64, []keeper.Record, error)
	}

	// Workers sends calls to workers. SetPace sets the speed of a run in percent of
	// its full speed. RenewAndPoll polls a worker: it extends the leases of the
	// worker's runs until leaseDeadline on the worker's clock and acknowledges ended
	// runs up to number acknowledgedEnd, both for the process that started at
	// Worker.StartTimeMs and for no other, and returns the worker's report after at
	// most maxWait. platform.WorkerClient implements the interface.
	Workers interface {
		Start(ctx context.Context, w modeler.Worker, o modeler.StartOrder) (clock int64, err error)
		Stop(ctx context.Context, w modeler.Worker, task modeler.TaskID, run int, token int64) error
		SetPace(ctx context.Context, w modeler.Worker, task modeler.TaskID, run, percent int, token int64) error
		RenewAndPoll(ctx context.Context, w modeler.Worker, leaseDeadline, token, acknowledgedEnd int64, maxWait time.Duration) (modeler.Report, error)
	}

	// Throttle tells how many starts may be in flight, and whether calls to workers
	// take so long that those which can wait should wait. throttler.Throttler
	// implements the interface.
	Throttle interface {
		Limit() int
		IsCongested() bool
	}

	// Directory lists the registered workers.
	Directory interface {
		Workers(ctx context.Context) ([]modeler.Worker, error)
	}

	// Config contains the settings of the engine.
	Config struct {
		RunLease           time.Duration // lease of a task's run; extended while the worker responds
		MaxWorkerLease     time.Duration // longest lease that a worker accepts
		EarlyStart         time.Duration // occurrences of a repeating job may start this long before they are due
		WorkerListInterval time.Duration // between two reads of the worker list
		MaxWorkerListAge   time.Duration // no starts are sent if the worker list is older, because workers may have less capacity by now; 0 for no limit
		OutcomeQueryTime   time.Duration // callers may query the outcome of an ended job for this long
		RemoteFactor       float64       // tasks take so many times as long outside their preferred rack; they never wait for it if this is at most 1
		MoveTime           time.Duration // an instance is down for this long while it moves to another pool
		// StoreWritesPerSecond and InstanceOrdersPerSecond are the platform's limits on
		// calls from all entry nodes together; 0 selects the limits of a small
		// deployment.
		StoreWritesPerSecond, InstanceOrdersPerSecond float64
		MaxJobBytes                                   int64 // memory that unfinished jobs may take up; 0 for no limit
		MaxRecordBytes                                int   // largest value that the store accepts; 0 selects keeper.MaxValueBytes
		// SlowLink saves bytes at the price of processor time: progress records are
		// compressed, and a new leader reads the fleet's records in small lists, so that
		// the renewals of its lease don't wait for a large one.
		SlowLink       bool
		ProcessorShare float64              // number of cores that the process may use; 0 selects 1
		ThreadTime     func() time.Duration // see timekeeper.ThreadTime; nil for elapsed time
		WallClock      func() time.Time     // time of day for due times; nil selects the machine's clock
		Manifest       func() *modeler.Manifest
		// EvacuationTime is how long after the acknowledgement of a zone's evacuation
		// tasks may still start there. Evacuations returns the evacuated zones and those
		// restored lately, and when they were last known to be current by
		// elector.Term.Now, or a negative time if they have not been read; it may be
		// called concurrently. Without it zones can't be evacuated.
		EvacuationTime time.Duration
		Evacuations    func() (zones []modeler.Evacuation, asOf time.Duration)
		RequestedWaves func() []modeler.Wave // maintenance waves that the operator has requested
		// WaveStatus returns the record that tells the operator whether a wave is
		// running or completed.
		WaveStatus func(number int64, completed bool) keeper.Put
	}

	// Option configures an Engine.
	Option func(*Engine)

	// Engine runs the fleet for one term of leadership.
	Engine struct {
		cfg             Config
		store           Store
		workers         Workers
		directory       Directory
		advisor         Advisor
		throttle        Throttle
		term            *elector.Term
		log             *slog.Logger
		eventQueue      *supervisor.Ring[func()]
		backgroundCalls sync.WaitGroup
		callCtx         context.Context // context of background calls; stays valid after the end of the term so that calls in flight can finish

		jobs                 map[string]*job
		jobOrder             []*job            // the jobs sorted with compareJobs
		candidateQueues      []*candidateQueue // of the last placement pass, sorted by priority
		workersByID          map[string]*worker
		workersWithOrphans   map[*worker]bool // among others those that have orphaned runs, see orphanHolders
		pools                map[string]*poolState
		instanceCores        instanceCores
		customers            map[string]*customerState
		outcomes             map[string]outcome // of ended jobs, by job ID
		nextOutcomeCleanup   time.Time
		termStart            time.Time
		firstListAt          time.Time // when the first worker list of the term was requested
		unstoredJobs         map[*job]bool
		dirtyCount           int64 // number of times that a job became unstored, see job.dirtyOrder
		startsInFlight       int
		awaitingStart        []*task       // placed tasks; their start is sent once the placement is stored
		unknownRunsFound     bool          // since the last check of awaitingStart, workers have listed runs that count toward a limit and were not known
		commitsInFlight      int           // job transactions in flight
		commitTime           time.Duration // smoothed time that they take
		lastJobStored        time.Time     // when the store last accepted a transaction with a job
		nextFlush            time.Time
		nextTick             time.Time
		nextSpeedUpdate      time.Time
		placement            placementPacer
		replacementDue       bool // a worker has responded for the first time and may have replaced another
		shuttingDown         bool
		loadPublication      loadPublication
		admission            admissionState
		advice               adviceState
		meanJobWork          map[string]workSum           // estimated work of the jobs, by queue
		accuracies           map[string]*delayer.Accuracy // of the estimates, by queue
		durations            map[string]durationSums      // actual and estimated task durations, by queue
		planner              instancePlanner
		unresponsive         unresponsiveState
		handling             *job           // job that the event loop is handling, nil if none or several; tells to which job a panic is due
		panics               map[string]int // see panicsKey
		recentCrashes        []recentCrash  // of the last crashMemory
		handover             handoverState
		workerListRequested  atomic.Bool  // the worker list should be read soon
		workersAsOf          atomic.Int64 // when the last worker list was requested, by elector.Term.Now
		zoneState            zoneState
		anyWorkerOutOfUse    bool                  // the zone of a worker is evacuated, or the worker has not returned to use after a restore
		goneWorkers          map[string]goneWorker // by ID
		unanswered           unansweredStarts
		answered             answeredState
		mostUnreachableSince time.Time // since when most workers have not responded to this entry node; zero if they do
	}
)

// WithAdvisor sets the client of the advice service, which decides which
// workers may run a step. Without it, jobs in queues that require advice never
// start.
func WithAdvisor(a Advisor) Option {
	return func(e *Engine) { e.advisor = a }
}

// WithThrottle sets what limits the calls to workers.
func WithThrottle(t Throttle) Option {
	return func(e *Engine) { e.throttle = t }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(e *Engine) { e.log = log.With("token", e.term.Token) }
}

// New returns an engine for one term of leadership.
func New(cfg Config, store Store, workers Workers, directory Directory, term *elector.Term, opts ...Option) *Engine {
	e := &Engine{
		cfg: cfg, store: store, workers: workers, directory: directory, term: term, log: slog.New(slog.DiscardHandler), throttle: throttler.New(),
		eventQueue:  supervisor.NewRing[func()](eventQueueSize),
		jobs:        make(map[string]*job),
		workersByID: make(map[string]*worker),
		pools:       make(map[string]*poolState), customers: make(map[string]*customerState), workersWithOrphans: make(map[*worker]bool),
		outcomes:     make(map[string]outcome),
		unstoredJobs: make(map[*job]bool),
		meanJobWork:  make(map[string]workSum),
		accuracies:   make(map[string]*delayer.Accuracy),
		durations:    make(map[string]durationSums),

		goneWorkers: make(map[string]goneWorker), unanswered: make(unansweredStarts),
		termStart: time.Now(),
	}
	if e.cfg.WallClock == nil {
		e.cfg.WallClock = time.Now
	}
	if e.cfg.MaxRecordBytes <= 0 {
		e.cfg.MaxRecordBytes = keeper.MaxValueBytes
	}
	e.admission, e.advice = newAdmissionState(), newAdviceState()
	e.handover.blockingWorkers = make(map[string]string)
	e.handover.workersAtStart = make(map[string]bool)
	e.handover.unlistedWorkers = make(map[string]string)
	e.handover.endedJobs = make(map[string]*job)
	e.planner.instances = make(map[string]*instance)
	e.planner.waves = make(map[int64]*waveState)
	e.planner.poolHistories = make(map[string]*poolHistory)
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Run runs the fleet until ctx ends. It then waits briefly for calls in flight,
// so that the next leader finds few calls with an unknown outcome.
func (e *Engine) Run(ctx context.Context) {
	defer e.endTermOnLoopPanic(ctx)
	meter.SetLeaderToken(e.term.Token)
	defer meter.SetLeaderToken(0)
	revision, err := e.loadState(ctx)
	if err != nil {
		e.log.Warn("term ended before the jobs were read", "error", err)
		return
	}
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.callCtx = callCtx
	e.storeTermRecord(callCtx, time.Now())
	e.runInBackground(func() { e.watchJobs(ctx, revision) })
	e.runInBackground(func() { e.pollWorkerList(ctx, callCtx) })
	if e.planner.api != nil {
		e.runInBackground(func() { e.pollInstanceList(ctx) })
	}
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case fn := <-e.eventQueue.ReceiveChan():
			e.handling = nil
			fn()
			e.handleQueuedEvents()
		case <-timer.C:
		}
		timer.Reset(e.runDueWork(callCtx, time.Now()))
	}
	if !errors.Is(context.Cause(ctx), elector.ErrDeposed) {
		e.shutDown(callCtx) // a deposed leader can no longer write to the store
	}
	cancel()
	e.backgroundCalls.Wait()
}

// handleQueuedEvents processes all queued events, so that one placement pass
// and one flush serve them all.
func (e *Engine) handleQueuedEvents() {
	for range len(e.eventQueue.ReceiveChan()) {
		e.handling = nil
		(<-e.eventQueue.ReceiveChan())()
	}
}

// runDueWork runs periodic work, a placement pass, starts and a flush, each if
// it is due. It returns the time until something is due again.
func (e *Engine) runDueWork(ctx context.Context, now time.Time) time.Duration {
	e.handling = nil
	if !now.Before(e.nextTick) {
		e.term.ReportProgress()
		e.updateZones()
		e.nextTick = now.Add(tickInterval)
		e.runPeriodicWork(ctx, now)
	}
	e.placeIfDue(now)
	e.sendReadyStarts(ctx, now)
	e.flush(ctx, now)
	if e.unresponsive.removalDue() {
		e.storeUnresponsiveWorkers(ctx, now)
	}
	next := e.nextTick
	if due := e.placement.next(e.processorShare()); e.placement.due && due.Before(next) {
		next = due
	}
	if len(e.unstoredJobs) > 0 && e.commitsInFlight < e.maxCommitsInFlight() && e.nextFlush.Before(next) {
		next = e.nextFlush
	}
	if r := &e.unresponsive; r.removalDue() && r.retryAfter.Before(next) {
		next = r.retryAfter
	}
	if len(e.awaitingStart) > 0 {
		if due := e.awaitingStart[0].phaseSince.Add(maxStoreWaitBeforeStart); due.After(now) && due.Before(next) {
			next = due
		}
	}
	return max(0, next.Sub(now))
}

// shutDown waits for calls in flight and stores their results.
func (e *Engine) shutDown(ctx context.Context) {
	e.shuttingDown = true
	e.storeAssumedCrashes()
	until := time.NewTimer(shutdownTimeout)
	defer until.Stop()
	for e.commitsInFlight > 0 || len(e.unstoredJobs) > 0 {
		select {
		case <-until.C:
			return
		case fn := <-e.eventQueue.ReceiveChan():
			fn()
			e.handleQueuedEvents()
			e.flush(ctx, time.Now())
		}
	}
	e.storeHandoverRecord(ctx)
}

// runInBackground runs fn in a goroutine that Run waits for.
func (e *Engine) runInBackground(fn func()) {
	e.backgroundCalls.Add(1)
	go func() {
		defer e.backgroundCalls.Done()
		defer e.endTermOnPanic()
		fn()
	}()
}

// runInEventLoop queues fn for the event loop.
func (e *Engine) runInEventLoop(ctx context.Context, fn func()) {
	_ = e.eventQueue.Put(ctx, fn) // fails only when the term is over
}

// markUnstored records that a job has changed and must be stored.
func (e *Engine) markUnstored(j *job) {
	j.version++
	if !e.unstoredJobs[j] {
		e.dirtyCount++
		j.dirtyOrder = e.dirtyCount
	}
	e.unstoredJobs[j] = true
}

// requestPlacement requests a placement pass.
func (e *Engine) requestPlacement() {
	e.placement.due = true
}

// runPeriodicWork runs the checks and actions that depend on time.
func (e *Engine) runPeriodicWork(ctx context.Context, now time.Time) {
	for _, w := range e.workersByID {
		e.handleLeaseExpiry(w, now)
		e.retryPoll(w, now)
		e.repeatStops(w, now)
		e.logWithheldStarts(w, now)
	}
	if e.replacementDue {
		e.replacementDue = false
		e.requeueTasksOfReplacedWorkers()
	}
	e.moveTasksOffEvacuatedZones(now)
	e.publishLoad(ctx, now)
	e.runPlanRound(ctx, now)
	e.storeUnresponsiveWorkers(ctx, now)
	e.storeTermRecord(ctx, now)
	e.storeAnsweredStarts(ctx, now)
	e.logPoolLoads(now)
	e.updateSpeeds(now)
	e.resignIfMostUnreachable(now)
	e.removeOldOutcomes(ctx, now)
	e.requestPlacement()
}

// loadState waits for the manifest, reads the stored state of the fleet and
// returns the store revision from which to watch for changes.
func (e *Engine) loadState(ctx context.Context) (int64, error) {
	for e.cfg.Manifest() == nil {
		if err := supervisor.Pause(ctx, reloadRetryInterval); err != nil {
			return 0, errors.Trace(err)
		}
	}
	records, revision, err := e.listFleet(ctx)
	if err != nil {
		return 0, err
	}
	e.restoreState(records)
	e.log.Info("fleet state read from the store", "jobs", len(e.jobs), "ended", len(e.outcomes), "revision", revision,
		"handed-over", e.handover.predecessorStoredAll, "unresponsive-workers", len(e.unresponsive.workers), "took", time.Since(e.termStart).String())
	return revision, nil
}

// restoreState restores the state from the records of earlier terms.
func (e *Engine) restoreState(records []keeper.Record) {
	byKind := make(map[string][]keeper.Record)
	for _, r := range records {
		kind, _, _ := strings.Cut(strings.TrimPrefix(r.Key, fleetPrefix), "/")
		byKind[fleetPrefix+kind] = append(byKind[fleetPrefix+kind], r)
	}
	e.restorePanics(byKind[panicsKey])
	e.restoreAnsweredStarts(byKind[answeredKey], byKind[termKey])
	progress := byKind[strings.TrimSuffix(progressPrefix, "/")]
	e.restoreJobs(slices.Concat(byKind[strings.TrimSuffix(JobPrefix, "/")], progress))
	e.restoreWaves(byKind[strings.TrimSuffix(wavePrefix, "/")])
	e.restoreUnresponsiveWorkers(byKind[unresponsiveKey])
	e.restoreInstanceOrders(byKind[instanceOrdersKey])
	e.restoreHandover(byKind[termKey], byKind[handoverKey])
	e.handover.isFirstTerm = len(byKind[termKey]) == 0 && len(progress) == 0
	e.restoreLoad(byKind[LoadKey])
	startedUntil := e.latestStartBefore(e.cfg.WallClock())
	for _, j := range e.jobs {
		j.fromEarlierTerm = true
		if !e.handover.predecessorStoredAll {
			j.assumeUnstoredCrashes(startedUntil)
		}
	}
}
