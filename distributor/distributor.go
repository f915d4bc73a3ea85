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
	maxHistoryBytes       = 4 << 20         // size of the encoded changes kept in memory
	catchUpDelay          = time.Second / 4 // time for a watch to deliver a change before a peer is asked
	catchUpRetryDelay     = time.Second     // pause between attempts to catch up
	callTimeout           = 2 * time.Second
	defaultConfirmTimeout = 10 * time.Second
)

type (
	// Store is the part of the key-value service that the distributor needs.
	Store interface {
		keeper.SwapStore
		keeper.Watcher
		Delete(ctx context.Context, key string, revision int64) error
	}

	// Peers requests changes from other entries.
	Peers interface {
		ListRulesChanges(ctx context.Context, address string, req messenger.ChangesRequest) (messenger.ChangesReply, error)
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
		onCommit       func(Summary)
		log            *slog.Logger
		confirmTimeout time.Duration

		rules         atomic.Pointer[parser.Rules]
		catchUpWanted chan struct{} // wakes catchUpLoop; full while a wake-up is pending
		compactWanted chan struct{} // wakes compactLoop; full while a wake-up is pending

		adopting    sync.Mutex // held while rules are adopted and subscribers are called
		subscribers []func(*parser.Rules)

		mu            sync.Mutex
		number        uint64                   // number of the rules in force
		hasRead       bool                     // the sequence of changes was read at least once, even if it was empty
		highestSeen   uint64                   // highest number of a change known to exist
		history       map[uint64]encodedChange // committed changes by number
		historySize   int                      // bytes of the encoded changes in history
		memberNumbers map[string]uint64        // number of the rules in force, by member
		progress      chan struct{}            // closed when a number in memberNumbers grows
	}

	// Option changes a Distributor under construction.
	Option func(*Distributor)

	// encodedChange is a change with its stored form.
	encodedChange struct {
		change Change
		value  []byte
	}
)

// WithMembers sets the identity of this entry and the source of the membership.
// Apply waits for the members of the view to confirm a change.
func WithMembers(self string, view func() registrar.View) Option {
	return func(d *Distributor) {
		d.self = func() string { return self }
		d.view = view
	}
}

// WithSelf sets the source of this entry's identity where the identity is not
// known before the entry has registered. It must follow WithMembers in the
// options.
func WithSelf(self func() string) Option {
	return func(d *Distributor) { d.self = self }
}

// WithSeeds sets the source of addresses that are asked for rules while no
// other member is known.
func WithSeeds(seeds func() []string) Option {
	return func(d *Distributor) { d.seeds = seeds }
}

// WithApplyCheck sets a check that must pass before a change is accepted, such
// as that the entry is registered.
func WithApplyCheck(check func() error) Option {
	return func(d *Distributor) { d.applyCheck = check }
}

// WithAssert sets the function that receives the result of each check of an
// invariant.
func WithAssert(assert func(ok bool, format string, args ...any)) Option {
	return func(d *Distributor) { d.assert = assert }
}

// WithOnCommit sets the function that is called with each change that this
// entry committed.
func WithOnCommit(fn func(Summary)) Option {
	return func(d *Distributor) { d.onCommit = fn }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(d *Distributor) { d.log = log }
}

// WithConfirmTimeout sets how long Apply waits for members to confirm a change.
func WithConfirmTimeout(limit time.Duration) Option {
	return func(d *Distributor) { d.confirmTimeout = limit }
}

// New returns a Distributor without rules.
func New(store Store, peers Peers, opts ...Option) *Distributor {
	d := &Distributor{
		store:          store,
		peers:          peers,
		self:           func() string { return "" },
		view:           func() registrar.View { return registrar.View{} },
		seeds:          func() []string { return nil },
		applyCheck:     func() error { return nil },
		onCommit:       func(Summary) {},
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
// The returned value never changes; a change of the rules creates a new one.
func (d *Distributor) Rules() *parser.Rules {
	return d.rules.Load()
}

// RulesNumber returns the number of the rules in force in this entry.
func (d *Distributor) RulesNumber() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.number
}

// HasReadChanges reports whether the sequence of changes was read at least once
// from the key-value service or a peer. Rules may still return nil when the
// sequence is empty.
func (d *Distributor) HasReadChanges() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasRead
}

// Subscribe calls fn with the rules in force, if any, and then with every later
// version in order. A slow fn delays the adoption of the next version. fn must
// not call Apply or Subscribe.
func (d *Distributor) Subscribe(fn func(*parser.Rules)) {
	d.adopting.Lock()
	defer d.adopting.Unlock()
	d.subscribers = append(d.subscribers, fn)
	if rules := d.rules.Load(); rules != nil {
		fn(rules)
	}
}

// wakeLoop wakes the loop that reads from c, without blocking.
func wakeLoop(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
