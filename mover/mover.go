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

// Default periods.
const (
	defaultListPeriod      = time.Second            // between two reads of the instance list
	defaultReconcilePeriod = 250 * time.Millisecond // between two looks at draining workers
	rebootRetryDelay       = 30 * time.Second       // before the platform is asked again after a refusal
	defaultCallTimeout     = 2 * time.Second        // for one call of the platform
)

type (
	// Workers is the set of workers on which this member starts work.
	Workers interface {
		Open(w scheduler.Worker)
		Close(id string)
		Remove(id string)
		Running(id string) int // slots in use, reserved ones included
	}

	// Mover does the owner's side: it opens the workers that this member owns
	// to new work, closes those that must drain, and says so in their records
	// when nothing runs on them any more.
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
		openWorkers       map[string]scheduler.Worker // take new work
		closedWorkers     map[string]scheduler.Worker // take none, may still run some
		bootsWhenLeaving  map[string]int              // boots of instances whose worker said that it leaves
		unwrittenHealth   map[string]string           // by instance, what is still to be said in its record
		rebootAskedAt     map[string]time.Time        // by instance, when the platform was asked for a reboot
		checkpointedOrder map[string]string           // by instance, the last order that a checkpoint was asked for
	}

	config struct {
		listPeriod        time.Duration
		reconcilePeriod   time.Duration
		callTimeout       time.Duration
		checkpointAfter   time.Duration
		requestCheckpoint func(ctx context.Context, id string)
		mayStartWork      func() bool
		assert            func(ok bool, format string, args ...any)
		journal           func(recorder.Decision)
		log               *slog.Logger
	}

	// Option sets up a Mover.
	Option func(*config)
)

// WithListPeriod sets the time between two reads of the instance list.
func WithListPeriod(d time.Duration) Option {
	return func(c *config) { c.listPeriod = d }
}

// WithCheckpoint sets what asks the tasks on a worker to save their progress
// and stop. It is called once for each order, when the worker has drained for
// the time given and still runs work. It must leave work alone that cannot be
// resumed.
func WithCheckpoint(after time.Duration, fn func(ctx context.Context, id string)) Option {
	return func(c *config) { c.checkpointAfter, c.requestCheckpoint = after, fn }
}

// WithStartPermission sets what tells whether this member may start work at all. While it
// returns false, because the member may have been removed without knowing it,
// all workers are closed to new work.
func WithStartPermission(fn func() bool) Option {
	return func(c *config) { c.mayStartWork = fn }
}

// WithAssert sets what is called with each invariant.
func WithAssert(fn func(ok bool, format string, args ...any)) Option {
	return func(c *config) { c.assert = fn }
}

// WithJournal sets where decisions are recorded.
func WithJournal(fn func(recorder.Decision)) Option {
	return func(c *config) { c.journal = fn }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(c *config) { c.log = log }
}

// New returns a Mover for the member self.
func New(store Store, self string, workers Workers, platform Platform, opts ...Option) *Mover {
	cfg := config{
		listPeriod:        defaultListPeriod,
		reconcilePeriod:   defaultReconcilePeriod,
		callTimeout:       defaultCallTimeout,
		requestCheckpoint: func(context.Context, string) {},
		mayStartWork:      func() bool { return true },
		journal:           func(recorder.Decision) {},
		log:               slog.Default(),
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	if cfg.assert == nil {
		cfg.assert = logAssert(cfg.log)
	}
	m := &Mover{
		store: store, self: self, workers: workers, platform: platform, cfg: cfg,
		roster: NewRoster(),
		wake:   make(chan struct{}, 1), recordsDue: make(chan struct{}, 1),
		openWorkers: map[string]scheduler.Worker{}, closedWorkers: map[string]scheduler.Worker{},
		bootsWhenLeaving: map[string]int{}, checkpointedOrder: map[string]string{}, rebootAskedAt: map[string]time.Time{}, unwrittenHealth: map[string]string{},
	}
	m.table = newTable(cfg.log, m.Wake)
	return m
}

func logAssert(log *slog.Logger) func(bool, string, ...any) {
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

// Roster returns the instance list as last read.
func (m *Mover) Roster() *Roster {
	return m.roster
}

// Wake has the workers looked at without waiting for the next period.
func (m *Mover) Wake() {
	select {
	case m.wake <- struct{}{}:
	default: // a look is due already
	}
}

// Run follows the records and the instance list until ctx ends. It then closes
// all workers to new work.
func (m *Mover) Run(ctx context.Context) error {
	follower := keeper.NewFollower(m.store, keeper.InstancePrefix,
		keeper.OnReset(m.table.replaceAll), keeper.OnEvent(m.table.applyEvent))
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return follower.Run(ctx) })
	g.Go(func() error { return m.runListLoop(ctx) })
	g.Go(func() error { return m.runWorkerLoop(ctx) })
	g.Go(func() error { return m.runRecordLoop(ctx) })
	err := g.Wait()
	m.closeAllWorkers()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Trace(err)
}

// runList reads the instance list.
func (m *Mover) runListLoop(ctx context.Context) error {
	tick := time.NewTicker(m.cfg.listPeriod)
	defer tick.Stop()
	for {
		m.readList(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (m *Mover) readList(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, m.cfg.callTimeout)
	defer cancel()
	asked := time.Now()
	var list []lister.Listing
	list, err := m.platform.List(call)
	if err != nil {
		m.cfg.log.Warn("instance list not read", "err", err)
		return
	}
	if !m.roster.Replace(list, asked) {
		m.cfg.log.Warn("instance list without workers ignored")
		return
	}
	m.Wake()
}

// runOpen opens and closes workers. It waits for nothing but the next look, so
// that neither the key-value service nor the platform can delay it.
func (m *Mover) runWorkerLoop(ctx context.Context) error {
	tick := time.NewTicker(m.cfg.reconcilePeriod)
	defer tick.Stop()
	for {
		m.reconcileWorkers()
		select {
		case m.recordsDue <- struct{}{}:
		default: // the settling loop is behind and will look at all again
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.wake:
		case <-tick.C:
		}
	}
}

// runSettle writes what the owner has to say.
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
