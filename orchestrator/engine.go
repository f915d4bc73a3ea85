package orchestrator

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	eventQueueSize      = 8192                   // above all calls that can be under way at once
	placementInterval   = 10 * time.Millisecond  // least time between two placements, which bounds their cost
	flushInterval       = 25 * time.Millisecond  // least time between two flushes, which bounds calls to the store
	tickInterval        = 100 * time.Millisecond // of what depends on time alone
	shutdownTimeout     = 500 * time.Millisecond // for calls under way when the term ends; an order is answered in less
	reloadRetryInterval = 200 * time.Millisecond // between attempts to read the jobs
)

type (
	// Store is the part of the key-value service that a term needs.
	Store interface {
		keeper.Watcher
		Commit(ctx context.Context, txn keeper.Txn) (int64, []keeper.Record, error)
	}

	// Workers gives orders to workers. See platform.Workers.
	Workers interface {
		Start(ctx context.Context, w modeler.Worker, o modeler.StartOrder) (clock int64, err error)
		Stop(ctx context.Context, w modeler.Worker, task modeler.TaskID, run int, token int64) error
		Pace(ctx context.Context, w modeler.Worker, task modeler.TaskID, run, percent int, token int64) error
		Hold(ctx context.Context, w modeler.Worker, deadline, token, seen int64, wait time.Duration) (modeler.Report, error)
	}

	// Directory reads the list of workers.
	Directory interface {
		Workers(ctx context.Context) ([]modeler.Worker, error)
	}

	// Config holds what a term needs to know.
	Config struct {
		RunLease           time.Duration // of runs
		MaxWorkerLease     time.Duration // longest that a worker grants
		EarlyStart         time.Duration // occurrences may start this long before they are due
		WorkerListInterval time.Duration // between two readings of the workers' list
		OutcomeQueryTime   time.Duration // ended jobs are known this long
		MoveTime           time.Duration // an instance is off this long while it changes its pool
		// StoreWritesPerSecond and InstanceOrdersPerSecond are the calls a second that the platform
		// takes from all entries together; 0 stands for a small deployment's.
		StoreWritesPerSecond, InstanceOrdersPerSecond float64
		Manifest                                      func() *modeler.Manifest
		RequestedWaves                                func() []modeler.Wave // that the operator asks for
		// WaveStatus returns the record that tells the operator how far a wave is.
		WaveStatus func(number int64, completed bool) keeper.Put
	}

	// Option changes an Engine.
	Option func(*Engine)

	// Engine leads the fleet for one term.
	Engine struct {
		cfg             Config
		store           Store
		workers         Workers
		directory       Directory
		advisor         Advisor
		term            *elector.Term
		log             *slog.Logger
		eventQueue      *supervisor.Ring[func()]
		backgroundCalls sync.WaitGroup
		callCtx         context.Context // of calls; outlives the term by the time that calls under way may take

		jobs                 map[string]*job
		workersByID          map[string]*worker
		outcomes             map[string]outcome // of jobs that have ended
		nextOutcomeCleanup   time.Time
		termStart            time.Time
		firstListAt          time.Time // when the first list of workers was asked for
		unstoredJobs         map[*job]bool
		dirtyCount           int64   // jobs that have become dirty, see job.changed
		awaitingStart        []*task // placed, to be ordered once the placement is stored
		commitsInFlight      int     // transactions under way
		nextPlacement        time.Time
		nextFlush            time.Time
		nextTick             time.Time
		placementDue         bool // a placement pass is due
		shuttingDown         bool
		loadPublication      loadPublication
		meanJobWork          map[string]workSum      // by queue
		durations            map[string]durationSums // by queue
		planner              instancePlanner
		unresponsive         unresponsiveState
		handover             handoverState
		workerListRequested  atomic.Bool // the workers' list is wanted soon
		mostUnreachableSince time.Time   // since when most workers do not answer this entry
	}
)

// WithAdvisor sets the service that knows which workers may run a step. Queues
// that need advice wait for ever without it.
func WithAdvisor(a Advisor) Option {
	return func(e *Engine) { e.advisor = a }
}

// WithLog sets the logger of decisions.
func WithLog(log *slog.Logger) Option {
	return func(e *Engine) { e.log = log.With("token", e.term.Token) }
}

// New returns the engine of a term.
func New(cfg Config, store Store, workers Workers, dir Directory, term *elector.Term, opts ...Option) *Engine {
	e := &Engine{
		cfg: cfg, store: store, workers: workers, directory: dir, term: term, log: slog.New(slog.DiscardHandler),
		eventQueue:   supervisor.NewRing[func()](eventQueueSize),
		jobs:         make(map[string]*job),
		workersByID:  make(map[string]*worker),
		outcomes:     make(map[string]outcome),
		unstoredJobs: make(map[*job]bool),
		meanJobWork:  make(map[string]workSum),
		durations:    make(map[string]durationSums),
		termStart:    time.Now(),
	}
	e.handover.blockingWorkers = make(map[string]string)
	e.planner.instances = make(map[string]*instance)
	e.planner.waves = make(map[int64]*waveState)
	e.planner.poolHistories = make(map[string]*poolHistory)
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Run leads until ctx ends. Orders under way are waited for a little, so that
// the successor finds few in doubt.
func (e *Engine) Run(ctx context.Context) {
	meter.Leading(e.term.Token)
	defer meter.Leading(0)
	revision, err := e.loadState(ctx)
	if err != nil {
		e.log.Warn("term ends before the jobs were read", "error", err)
		return
	}
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.callCtx = calls
	e.storeTermRecord(calls)
	e.runInBackground(func() { e.watchJobs(ctx, revision) })
	e.runInBackground(func() { e.pollWorkerList(ctx, calls) })
	if e.planner.api != nil {
		e.runInBackground(func() { e.pollInstanceList(ctx) })
	}
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case fn := <-e.eventQueue.C():
			fn()
			e.handleQueuedEvents()
		case <-timer.C:
		}
		timer.Reset(e.runDueWork(calls, time.Now()))
	}
	if !errors.Is(context.Cause(ctx), elector.ErrDeposed) {
		e.shutDown(calls) // a deposed leader can store nothing
	}
	cancel()
	e.backgroundCalls.Wait()
}

// drain handles the events that have come meanwhile, so that one pass serves
// them all.
func (e *Engine) handleQueuedEvents() {
	for range len(e.eventQueue.C()) {
		(<-e.eventQueue.C())()
	}
}

// advance places tasks, stores changes and sends orders as far as they are
// due. It returns the time until something is due again.
func (e *Engine) runDueWork(ctx context.Context, now time.Time) time.Duration {
	if !now.Before(e.nextTick) {
		e.term.ReportProgress()
		e.nextTick = now.Add(tickInterval)
		e.runPeriodicWork(ctx, now)
	}
	if e.placementDue && !now.Before(e.nextPlacement) {
		e.placementDue = false
		e.nextPlacement = now.Add(placementInterval)
		e.runPlacement(now)
	}
	e.sendReadyStarts(ctx, now)
	e.flush(ctx, now)
	next := e.nextTick
	if e.placementDue && e.nextPlacement.Before(next) {
		next = e.nextPlacement
	}
	if len(e.unstoredJobs) > 0 && e.commitsInFlight < e.maxCommitsInFlight() && e.nextFlush.Before(next) {
		next = e.nextFlush
	}
	if len(e.awaitingStart) > 0 {
		if due := e.awaitingStart[0].phaseSince.Add(maxStoreWaitBeforeStart); due.After(now) && due.Before(next) {
			next = due
		}
	}
	return max(0, next.Sub(now))
}

// close lets calls under way end and stores what they brought.
func (e *Engine) shutDown(ctx context.Context) {
	e.shuttingDown = true
	until := time.NewTimer(shutdownTimeout)
	defer until.Stop()
	for e.commitsInFlight > 0 || len(e.unstoredJobs) > 0 {
		select {
		case <-until.C:
			return
		case fn := <-e.eventQueue.C():
			fn()
			e.handleQueuedEvents()
			e.flush(ctx, time.Now())
		}
	}
	e.storeHandoverRecord(ctx)
}

// spawn runs fn beside the loop.
func (e *Engine) runInBackground(fn func()) {
	e.backgroundCalls.Add(1)
	go func() {
		defer e.backgroundCalls.Done()
		fn()
	}()
}

// post hands fn to the loop.
func (e *Engine) runInEventLoop(ctx context.Context, fn func()) {
	_ = e.eventQueue.Put(ctx, fn) // fails only when the term is over
}

// change marks a job as to be stored.
func (e *Engine) markUnstored(j *job) {
	j.version++
	if !e.unstoredJobs[j] {
		e.dirtyCount++
		j.dirtyOrder = e.dirtyCount
	}
	e.unstoredJobs[j] = true
}

// changed asks for a placement pass.
func (e *Engine) requestPlacement() {
	e.placementDue = true
}

// tick does what depends on time alone.
func (e *Engine) runPeriodicWork(ctx context.Context, now time.Time) {
	for _, w := range e.workersByID {
		e.handleLeaseExpiry(w, now)
		e.retryPoll(w, now)
	}
	e.publishLoad(ctx, now)
	e.runPlanRound(ctx, now)
	e.storeUnresponsive(ctx, now)
	e.logPoolLoads(now)
	e.resignIfMostUnreachable(now)
	e.removeOldOutcomes(ctx, now)
	e.requestPlacement()
}

// takeOver reads the jobs and returns the revision to watch from.
func (e *Engine) loadState(ctx context.Context) (int64, error) {
	for e.cfg.Manifest() == nil {
		if err := supervisor.Pause(ctx, reloadRetryInterval); err != nil {
			return 0, errors.Trace(err)
		}
	}
	for {
		records, revision, err := e.store.List(ctx, fleetPrefix)
		if err == nil {
			e.restoreState(records)
			e.log.Info("fleet read", "jobs", len(e.jobs), "ended", len(e.outcomes), "revision", revision, "took", time.Since(e.termStart).String())
			return revision, nil
		}
		e.log.Warn("jobs not read", "error", err)
		if err := supervisor.Pause(ctx, reloadRetryInterval); err != nil {
			return 0, errors.Trace(err)
		}
	}
}

// restore takes in the records of earlier terms.
func (e *Engine) restoreState(records []keeper.Record) {
	byKind := make(map[string][]keeper.Record)
	for _, r := range records {
		kind, _, _ := strings.Cut(strings.TrimPrefix(r.Key, fleetPrefix), "/")
		byKind[fleetPrefix+kind] = append(byKind[fleetPrefix+kind], r)
	}
	e.restoreJobs(byKind[strings.TrimSuffix(JobPrefix, "/")])
	e.restoreWaves(byKind[strings.TrimSuffix(wavePrefix, "/")])
	e.restoreUnresponsive(byKind[unresponsiveKey])
	e.restoreInstanceOrders(byKind[instanceOrdersKey])
	e.restoreHandover(byKind[termKey], byKind[handoverKey])
	for _, j := range e.jobs {
		j.fromEarlierTerm = true
	}
}
