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
	eventRing     = 8192                   // above all calls that can be under way at once
	passInterval  = 10 * time.Millisecond  // least time between two placements, which bounds their cost
	storeInterval = 25 * time.Millisecond  // least time between two flushes, which bounds calls to the store
	tickInterval  = 100 * time.Millisecond // of what depends on time alone
	closeTimeout  = 500 * time.Millisecond // for calls under way when the term ends; an order is answered in less
	reloadPause   = 200 * time.Millisecond // between attempts to read the jobs
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
		cfg     Config
		store   Store
		workers Workers
		dir     Directory
		advisor Advisor
		term    *elector.Term
		log     *slog.Logger
		events  *supervisor.Ring[func()]
		calls   sync.WaitGroup
		callCtx context.Context // of calls; outlives the term by the time that calls under way may take

		jobs       map[string]*job
		fleet      map[string]*worker
		outcomes   map[string]outcome // of jobs that have ended
		nextRetire time.Time
		began      time.Time
		listed     time.Time // when the first list of workers was asked for
		dirty      map[*job]bool
		changes    int64   // jobs that have become dirty, see job.changed
		toStart    []*task // placed, to be ordered once the placement is stored
		writing    int     // transactions under way
		nextPass   time.Time
		nextFlush  time.Time
		nextTick   time.Time
		stale      bool // a placement pass is due
		closing    bool
		load       loadPublisher
		means      map[string]meanWork  // by queue
		durations  map[string]durations // by queue
		estate     estate
		silence    silenceRecord
		handover   handover
		hurried    atomic.Bool // the workers' list is wanted soon
		outOfReach time.Time   // since when most workers do not answer this entry
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
		cfg: cfg, store: store, workers: workers, dir: dir, term: term, log: slog.New(slog.DiscardHandler),
		events:    supervisor.NewRing[func()](eventRing),
		jobs:      make(map[string]*job),
		fleet:     make(map[string]*worker),
		outcomes:  make(map[string]outcome),
		dirty:     make(map[*job]bool),
		means:     make(map[string]meanWork),
		durations: make(map[string]durations),
		began:     time.Now(),
	}
	e.handover.guards = make(map[string]string)
	e.estate.instances = make(map[string]*instance)
	e.estate.waves = make(map[int64]*wave)
	e.estate.pools = make(map[string]*poolHistory)
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
	revision, err := e.takeOver(ctx)
	if err != nil {
		e.log.Warn("term ends before the jobs were read", "error", err)
		return
	}
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.callCtx = calls
	e.recordTerm(calls)
	e.spawn(func() { e.followJobs(ctx, revision) })
	e.spawn(func() { e.followWorkers(ctx, calls) })
	if e.estate.api != nil {
		e.spawn(func() { e.followInstances(ctx) })
	}
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case fn := <-e.events.C():
			fn()
			e.drain()
		case <-timer.C:
		}
		timer.Reset(e.advance(calls, time.Now()))
	}
	if !errors.Is(context.Cause(ctx), elector.ErrDeposed) {
		e.close(calls) // a deposed leader can store nothing
	}
	cancel()
	e.calls.Wait()
}

// drain handles the events that have come meanwhile, so that one pass serves
// them all.
func (e *Engine) drain() {
	for range len(e.events.C()) {
		(<-e.events.C())()
	}
}

// advance places tasks, stores changes and sends orders as far as they are
// due. It returns the time until something is due again.
func (e *Engine) advance(ctx context.Context, now time.Time) time.Duration {
	if !now.Before(e.nextTick) {
		e.term.ReportProgress()
		e.nextTick = now.Add(tickInterval)
		e.tick(ctx, now)
	}
	if e.stale && !now.Before(e.nextPass) {
		e.stale = false
		e.nextPass = now.Add(passInterval)
		e.place(now)
	}
	e.startStored(ctx, now)
	e.flush(ctx, now)
	next := e.nextTick
	if e.stale && e.nextPass.Before(next) {
		next = e.nextPass
	}
	if len(e.dirty) > 0 && e.writing < e.maxWriting() && e.nextFlush.Before(next) {
		next = e.nextFlush
	}
	if len(e.toStart) > 0 {
		if due := e.toStart[0].since.Add(storePatience); due.After(now) && due.Before(next) {
			next = due
		}
	}
	return max(0, next.Sub(now))
}

// close lets calls under way end and stores what they brought.
func (e *Engine) close(ctx context.Context) {
	e.closing = true
	until := time.NewTimer(closeTimeout)
	defer until.Stop()
	for e.writing > 0 || len(e.dirty) > 0 {
		select {
		case <-until.C:
			return
		case fn := <-e.events.C():
			fn()
			e.drain()
			e.flush(ctx, time.Now())
		}
	}
	e.handOver(ctx)
}

// spawn runs fn beside the loop.
func (e *Engine) spawn(fn func()) {
	e.calls.Add(1)
	go func() {
		defer e.calls.Done()
		fn()
	}()
}

// post hands fn to the loop.
func (e *Engine) post(ctx context.Context, fn func()) {
	_ = e.events.Put(ctx, fn) // fails only when the term is over
}

// change marks a job as to be stored.
func (e *Engine) change(j *job) {
	j.version++
	if !e.dirty[j] {
		e.changes++
		j.changed = e.changes
	}
	e.dirty[j] = true
}

// changed asks for a placement pass.
func (e *Engine) changed() {
	e.stale = true
}

// tick does what depends on time alone.
func (e *Engine) tick(ctx context.Context, now time.Time) {
	for _, w := range e.fleet {
		e.expire(w, now)
		e.lookAgain(w, now)
	}
	e.publishLoad(ctx, now)
	e.planWork(ctx, now)
	e.storeSilence(ctx, now)
	e.noteLoad(now)
	e.checkReach(now)
	e.retire(ctx, now)
	e.changed()
}

// takeOver reads the jobs and returns the revision to watch from.
func (e *Engine) takeOver(ctx context.Context) (int64, error) {
	for e.cfg.Manifest() == nil {
		if err := supervisor.Pause(ctx, reloadPause); err != nil {
			return 0, errors.Trace(err)
		}
	}
	for {
		records, revision, err := e.store.List(ctx, fleetPrefix)
		if err == nil {
			e.restore(records)
			e.log.Info("fleet read", "jobs", len(e.jobs), "ended", len(e.outcomes), "revision", revision, "took", time.Since(e.began).String())
			return revision, nil
		}
		e.log.Warn("jobs not read", "error", err)
		if err := supervisor.Pause(ctx, reloadPause); err != nil {
			return 0, errors.Trace(err)
		}
	}
}

// restore takes in the records of earlier terms.
func (e *Engine) restore(records []keeper.Record) {
	byKind := make(map[string][]keeper.Record)
	for _, r := range records {
		kind, _, _ := strings.Cut(strings.TrimPrefix(r.Key, fleetPrefix), "/")
		byKind[fleetPrefix+kind] = append(byKind[fleetPrefix+kind], r)
	}
	e.restoreAll(byKind[strings.TrimSuffix(JobPrefix, "/")])
	e.restoreWaves(byKind[strings.TrimSuffix(wavePrefix, "/")])
	e.restoreSilence(byKind[silenceKey])
	e.restorePlans(byKind[plansKey])
	e.restoreHandover(byKind[termKey], byKind[handoverKey])
	for _, j := range e.jobs {
		j.inherited = true
	}
}
