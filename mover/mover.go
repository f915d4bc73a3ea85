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
	defaultListPeriod   = time.Second            // between two reads of the instance list
	defaultSettlePeriod = 250 * time.Millisecond // between two looks at draining workers
	rebootRetry         = 30 * time.Second       // before the platform is asked again after a refusal
	defaultCallLimit    = 2 * time.Second        // for one call of the platform
)

type (
	// Workers is the set of workers on which this member starts work.
	Workers interface {
		EnableWorker(w scheduler.Worker)
		DisableWorker(id string)
		RemoveWorker(id string)
		Running(id string) int // slots in use, reserved ones included
	}

	// Mover does the owner's side: it opens the workers that this member owns
	// to new work, closes those that must drain, and says so in their records
	// when nothing runs on them any more.
	Mover struct {
		store    Store
		self     string
		workers  Workers
		platform Platform
		cfg      config
		table    *Table
		roster   *Roster
		wake     chan struct{}
		settle   chan struct{}

		mu      sync.Mutex
		open    map[string]scheduler.Worker // take new work
		closed  map[string]scheduler.Worker // take none, may still run some
		refused map[string]int              // boots of instances whose worker said that it leaves
		health  map[string]string           // by instance, what is still to be said in its record
		asked   map[string]time.Time        // by instance, when the platform was asked for a reboot
		eased   map[string]string           // by instance, the last order that a checkpoint was asked for
	}

	config struct {
		listPeriod      time.Duration
		settlePeriod    time.Duration
		callLimit       time.Duration
		checkpointAfter time.Duration
		checkpoint      func(ctx context.Context, id string)
		gate            func() bool
		assert          func(ok bool, format string, args ...any)
		journal         func(recorder.Decision)
		log             *slog.Logger
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
	return func(c *config) { c.checkpointAfter, c.checkpoint = after, fn }
}

// WithGate sets what tells whether this member may start work at all. While it
// returns false, because the member may have been removed without knowing it,
// all workers are closed to new work.
func WithGate(fn func() bool) Option {
	return func(c *config) { c.gate = fn }
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
		listPeriod:   defaultListPeriod,
		settlePeriod: defaultSettlePeriod,
		callLimit:    defaultCallLimit,
		checkpoint:   func(context.Context, string) {},
		gate:         func() bool { return true },
		journal:      func(recorder.Decision) {},
		log:          slog.Default(),
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
		wake:   make(chan struct{}, 1), settle: make(chan struct{}, 1),
		open: map[string]scheduler.Worker{}, closed: map[string]scheduler.Worker{},
		refused: map[string]int{}, eased: map[string]string{}, asked: map[string]time.Time{}, health: map[string]string{},
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
		keeper.OnReset(m.table.reset), keeper.OnEvent(m.table.event))
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return follower.Run(ctx) })
	g.Go(func() error { return m.runList(ctx) })
	g.Go(func() error { return m.runOpen(ctx) })
	g.Go(func() error { return m.runSettle(ctx) })
	err := g.Wait()
	m.closeAll()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Trace(err)
}

// runList reads the instance list.
func (m *Mover) runList(ctx context.Context) error {
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
	call, cancel := context.WithTimeout(ctx, m.cfg.callLimit)
	defer cancel()
	asked := time.Now()
	var list []lister.Listing
	list, err := m.platform.List(call)
	if err != nil {
		m.cfg.log.Warn("instance list not read", "err", err)
		return
	}
	if !m.roster.Put(list, asked) {
		m.cfg.log.Warn("instance list without workers ignored")
		return
	}
	m.Wake()
}

// runOpen opens and closes workers. It waits for nothing but the next look, so
// that neither the key-value service nor the platform can delay it.
func (m *Mover) runOpen(ctx context.Context) error {
	tick := time.NewTicker(m.cfg.settlePeriod)
	defer tick.Stop()
	for {
		m.look()
		select {
		case m.settle <- struct{}{}:
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
func (m *Mover) runSettle(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.settle:
		}
		for _, inst := range m.table.All() {
			if inst.Owner == m.self && ctx.Err() == nil {
				m.settleOne(ctx, inst)
			}
		}
	}
}
