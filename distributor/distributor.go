package distributor

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

const (
	snapshotInterval      = 64              // changes between two snapshots
	keptChanges           = 256             // changes kept below the last snapshot
	maxHistoryBytes       = 4 << 20         // encoded changes kept in memory
	catchUpDelay          = time.Second / 4 // time for a watch to deliver before a peer is asked
	catchUpRetryDelay     = time.Second     // pause between attempts to catch up
	callTimeout           = 2 * time.Second
	defaultConfirmTimeout = 10 * time.Second
)

type (
	// Store is the part of the key-value service that the rules need.
	Store interface {
		keeper.Swapper
		keeper.Watcher
		Delete(ctx context.Context, key string, revision int64) error
	}

	// Peers asks other entries for changes.
	Peers interface {
		Changes(ctx context.Context, address string, req messenger.ChangesRequest) (messenger.ChangesReply, error)
	}

	// Distributor holds the rules of one entry.
	Distributor struct {
		store          Store
		peers          Peers
		self           func() string
		view           func() registrar.View
		seeds          func() []string
		applyCheck     func() error
		assert         func(ok bool, format string, args ...any)
		onCommit       func(ChangeSummary)
		log            *slog.Logger
		confirmTimeout time.Duration

		rules         atomic.Pointer[parser.Rules]
		catchUpWanted chan struct{} // wakes the healing loop; full means that it is awake
		compactWanted chan struct{} // asks for a snapshot; full means that one is due

		adopting    sync.Mutex // held while a set is adopted and subscribers are called
		subscribers []func(*parser.Rules)

		mu            sync.Mutex
		number        uint64 // of the rules
		hasRead       bool   // the sequence was read once, be it empty
		highestSeen   uint64 // highest number known to exist
		history       map[uint64]encodedChange
		historySize   int               // size of the history
		memberNumbers map[string]uint64 // number by member
		progress      chan struct{}     // closed when heard grows
	}

	// Option changes a Distributor.
	Option func(*Distributor)

	encodedChange struct {
		change Change
		value  []byte
	}
)

// WithMembers sets the identity of this entry and the source of the
// membership. Apply waits for the members of the view.
func WithMembers(self string, view func() registrar.View) Option {
	return func(d *Distributor) {
		d.self = func() string { return self }
		d.view = view
	}
}

// WithSelf sets the source of this entry's identity where it is not known
// before the entry has registered. It goes after WithMembers.
func WithSelf(self func() string) Option {
	return func(d *Distributor) { d.self = self }
}

// WithSeeds sets a source of addresses to ask for rules while no other member
// is known.
func WithSeeds(seeds func() []string) Option {
	return func(d *Distributor) { d.seeds = seeds }
}

// WithApplyCheck sets a check that Apply makes first, such as whether the entry
// is registered.
func WithApplyCheck(check func() error) Option {
	return func(d *Distributor) { d.applyCheck = check }
}

// WithAssert sets the function that invariants are reported to.
func WithAssert(assert func(ok bool, format string, args ...any)) Option {
	return func(d *Distributor) { d.assert = assert }
}

// WithOnCommit sets the function told of each change that this entry committed.
func WithOnCommit(record func(ChangeSummary)) Option {
	return func(d *Distributor) { d.onCommit = record }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(d *Distributor) { d.log = log }
}

// WithConfirmTimeout sets how long Apply waits for members to confirm.
func WithConfirmTimeout(limit time.Duration) Option {
	return func(d *Distributor) { d.confirmTimeout = limit }
}

// New returns a Distributor that knows no rules yet.
func New(store Store, peers Peers, opts ...Option) *Distributor {
	d := &Distributor{
		store:          store,
		peers:          peers,
		self:           func() string { return "" },
		view:           func() registrar.View { return registrar.View{} },
		seeds:          func() []string { return nil },
		applyCheck:     func() error { return nil },
		onCommit:       func(ChangeSummary) {},
		log:            slog.New(slog.DiscardHandler),
		confirmTimeout: defaultConfirmTimeout,
		catchUpWanted:  make(chan struct{}, 1),
		compactWanted:  make(chan struct{}, 1),
		history:        map[uint64]encodedChange{},
		memberNumbers:  map[string]uint64{},
		progress:       make(chan struct{}),
	}
	d.assert = func(ok bool, format string, args ...any) {
		if !ok {
			d.log.Error("invariant broken", "err", errors.Errorf(format, args...))
		}
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Rules returns the rules in force in this entry, or nil while none are known.
// They never change; a change of the rules yields another set.
func (d *Distributor) Rules() *parser.Rules {
	return d.rules.Load()
}

// Number returns the number of the rules in force in this entry.
func (d *Distributor) Number() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.number
}

// HasReadChanges reports whether the sequence of changes was read once from the
// service or a peer. Rules may still be nil when there is none.
func (d *Distributor) HasReadChanges() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasRead
}

// Subscribe calls fn with the rules in force, if any, and then with every
// later set in order. A slow fn delays the adoption of the next set. fn must
// not call Apply or Subscribe.
func (d *Distributor) Subscribe(fn func(*parser.Rules)) {
	d.adopting.Lock()
	defer d.adopting.Unlock()
	d.subscribers = append(d.subscribers, fn)
	if rules := d.rules.Load(); rules != nil {
		fn(rules)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
