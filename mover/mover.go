package mover

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// Default periods and timeouts.
const (
	defaultListPeriod      = time.Second            // between two reads of the instance list
	defaultReconcilePeriod = 250 * time.Millisecond // between two reconciliations of the workers with the records
	rebootRetryDelay       = 30 * time.Second       // minimum time between two reboot requests for an instance
	defaultCallTimeout     = 2 * time.Second        // timeout of one call of the platform
)

type (
	// Workers is the set of workers on which this member starts work.
	// EnableWorker makes a worker available for new work, DisableWorker ends
	// that, and RemoveWorker drops a disabled worker.
	Workers interface {
		EnableWorker(w scheduler.Worker)
		DisableWorker(id string)
		RemoveWorker(id string)
		SlotsInUse(id string) int // slots in use, including reserved ones
	}

	// Mover manages the instances that this member owns. It enables their workers
	// for new work, disables the workers that must drain, and updates the records
	// when a disabled worker runs nothing any more.
	Mover struct {
		store      Store
		self       string
		workers    Workers
		platform   Platform
		cfg        config
		table      *Table
		roster     *Roster
		wake       chan struct{}
		recordsDue chan struct{}

		mu                sync.Mutex
		enabledWorkers    map[string]scheduler.Worker // by instance ID, workers that get new work
		disabledWorkers   map[string]scheduler.Worker // by instance ID, workers that get no new work but may still run some
		bootsWhenLeaving  map[string]int              // by instance ID, completed reboots when its worker reported that it is leaving
		unwrittenHealth   map[string]string           // by instance ID, reported health that is not written to the record yet
		rebootAskedAt     map[string]time.Time        // by instance ID, when the platform was last asked for a reboot
		checkpointedOrder map[string]string           // by instance ID, the last order for which a checkpoint was requested
	}

	config struct {
		listPeriod        time.Duration
		reconcilePeriod   time.Duration
		callTimeout       time.Duration
		checkpointAfter   time.Duration
		requestCheckpoint func(ctx context.Context, id string)
		mayStartWork      func() bool
		isEvacuated       func(zone string) bool
		assert            func(ok bool, format string, args ...any)
		journal           func(recorder.Decision)
		log               *slog.Logger
	}

	// Option configures a Mover.
	Option func(*config)
)

// WithListPeriod sets the time between two reads of the instance list.
func WithListPeriod(d time.Duration) Option {
	return func(c *config) { c.listPeriod = d }
}

// WithCheckpoint sets the function that asks the tasks on the worker with the
// given ID to save their progress and stop. It is called once for each order,
// when the instance has been draining for the duration after and still runs
// work. The function must not stop tasks that cannot be resumed.
func WithCheckpoint(after time.Duration, fn func(ctx context.Context, id string)) Option {
	return func(c *config) { c.checkpointAfter, c.requestCheckpoint = after, fn }
}

// WithStartPermission sets the function that tells whether this member may start
// work at all. While it returns false, all workers are disabled for new work. It
// returns false when the member may have been removed from the cluster without
// having learned of it yet.
func WithStartPermission(fn func() bool) Option {
	return func(c *config) { c.mayStartWork = fn }
}

// WithEvacuations sets the function that tells whether a zone is evacuated. This
// member starts no work on the instances of such a zone. When a zone has just
// been evacuated, DisableEvacuated must be called.
func WithEvacuations(isEvacuated func(zone string) bool) Option {
	return func(c *config) { c.isEvacuated = isEvacuated }
}

// WithAssert sets the function that is called with the result of each invariant
// check. The default logs the checks that fail.
func WithAssert(fn func(ok bool, format string, args ...any)) Option {
	return func(c *config) { c.assert = fn }
}

// WithJournal sets the function that records decisions.
func WithJournal(fn func(recorder.Decision)) Option {
	return func(c *config) { c.journal = fn }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(c *config) { c.log = log }
}

// New returns a Mover for the member with the ID self.
func New(store Store, self string, workers Workers, platform Platform, opts ...Option) *Mover {
	cfg := config{
		listPeriod:        defaultListPeriod,
		reconcilePeriod:   defaultReconcilePeriod,
		callTimeout:       defaultCallTimeout,
		requestCheckpoint: func(context.Context, string) {},
		mayStartWork:      func() bool { return true },
		isEvacuated:       func(string) bool { return false },
		journal:           func(recorder.Decision) {},
		log:               slog.Default(),
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	if cfg.assert == nil {
		cfg.assert = newAssertLogger(cfg.log)
	}
	m := &Mover{
		store: store, self: self, workers: workers, platform: platform, cfg: cfg,
		roster: NewRoster(),
		wake:   make(chan struct{}, 1), recordsDue: make(chan struct{}, 1),
		enabledWorkers: map[string]scheduler.Worker{}, disabledWorkers: map[string]scheduler.Worker{},
		bootsWhenLeaving: map[string]int{}, checkpointedOrder: map[string]string{}, rebootAskedAt: map[string]time.Time{}, unwrittenHealth: map[string]string{},
	}
	m.table = newTable(cfg.log, m.Wake)
	return m
}

// newAssertLogger returns the default function for invariant checks, which
// logs the checks that fail.
func newAssertLogger(log *slog.Logger) func(bool, string, ...any) {
	return func(ok bool, format string, args ...any) {
		if !ok {
			log.Error("invariant broken", "what", errors.Errorf(format, args...).Error())
		}
	}
}

// Table returns the local copy of the instance records.
func (m *Mover) Table() *Table {
	return m.table
}

// Roster returns the platform's instance list as last read.
func (m *Mover) Roster() *Roster {
	return m.roster
}

// Wake starts a reconciliation of the workers without waiting for the next
// period.
func (m *Mover) Wake() {
	select {
	case m.wake <- struct{}{}:
	default: // a reconciliation is pending already
	}
}

// Run keeps the workers reconciled with the instance records and the instance
// list until ctx ends. It then disables all workers for new work.
func (m *Mover) Run(ctx context.Context) error {
	follower := keeper.NewFollower(m.store, keeper.InstancePrefix,
		keeper.OnReset(m.table.replaceAll), keeper.OnEvent(m.table.applyEvent))
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return follower.Run(ctx) })
	g.Go(func() error { return m.runInstanceListLoop(ctx) })
	g.Go(func() error { return m.runWorkerLoop(ctx) })
	g.Go(func() error { return m.runRecordLoop(ctx) })
	err := g.Wait()
	m.disableAllWorkers()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Trace(err)
}

// runInstanceListLoop reads the instance list periodically.
func (m *Mover) runInstanceListLoop(ctx context.Context) error {
	tick := time.NewTicker(m.cfg.listPeriod)
	defer tick.Stop()
	for {
		m.readInstanceList(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (m *Mover) readInstanceList(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, m.cfg.callTimeout)
	defer cancel()
	asked := time.Now()
	var list []lister.Listing
	list, err := m.platform.List(call)
	if err != nil {
		m.cfg.log.Warn("instance list not read from the platform; keeping the previous list", "err", err)
		return
	}
	if !m.roster.Replace(list, asked) {
		m.cfg.log.Warn("instance list without workers ignored; keeping the previous list")
		return
	}
	m.Wake()
}

// runWorkerLoop enables and disables workers. It makes no calls to the key-value
// store or the platform, so neither of them can delay it. runRecordLoop makes
// those calls.
func (m *Mover) runWorkerLoop(ctx context.Context) error {
	tick := time.NewTicker(m.cfg.reconcilePeriod)
	defer tick.Stop()
	for {
		m.reconcileWorkers()
		select {
		case m.recordsDue <- struct{}{}:
		default: // runRecordLoop is busy; it will check all records again
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.wake:
		case <-tick.C:
		}
	}
}

// runRecordLoop updates the records of the instances that this member owns.
func (m *Mover) runRecordLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.recordsDue:
		}
		for _, inst := range m.table.All() {
			if inst.Owner == m.self && ctx.Err() == nil {
				m.updateOwnedRecord(ctx, inst)
			}
		}
	}
}
