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
	compactEvery       = 64              // changes between two snapshots
	keepChanges        = 256             // changes kept below the last snapshot
	historyBytes       = 4 << 20         // encoded changes kept in memory
	healDelay          = time.Second / 4 // time for a watch to deliver before a peer is asked
	healRetry          = time.Second     // pause between attempts to catch up
	callTimeout        = 2 * time.Second
	defaultConfirmTime = 10 * time.Second
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
		store       Store
		peers       Peers
		self        func() string
		view        func() registrar.View
		seeds       func() []string
		accepting   func() error
		assert      func(ok bool, format string, args ...any)
		record      func(Summary)
		log         *slog.Logger
		confirmTime time.Duration

		rules   atomic.Pointer[parser.Rules]
		behind  chan struct{} // wakes the healing loop; full means that it is awake
		compact chan struct{} // asks for a snapshot; full means that one is due

		adopting sync.Mutex // held while a set is adopted and subscribers are called
		subs     []func(*parser.Rules)

		mu       sync.Mutex
		number   uint64 // of the rules
		known    bool   // the sequence was read once, be it empty
		seen     uint64 // highest number known to exist
		history  map[uint64]held
		bytes    int               // size of the history
		heard    map[string]uint64 // number by member
		progress chan struct{}     // closed when heard grows
	}

	// Option changes a Distributor.
	Option func(*Distributor)

	held struct {
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

// WithAccepting sets a check that Apply makes first, such as whether the entry
// is registered.
func WithAccepting(check func() error) Option {
	return func(d *Distributor) { d.accepting = check }
}

// WithAssert sets the function that invariants are reported to.
func WithAssert(assert func(ok bool, format string, args ...any)) Option {
	return func(d *Distributor) { d.assert = assert }
}

// WithRecord sets the function told of each change that this entry committed.
func WithRecord(record func(Summary)) Option {
	return func(d *Distributor) { d.record = record }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(d *Distributor) { d.log = log }
}

// WithConfirmTime sets how long Apply waits for members to confirm.
func WithConfirmTime(limit time.Duration) Option {
	return func(d *Distributor) { d.confirmTime = limit }
}

// New returns a Distributor that knows no rules yet.
func New(store Store, peers Peers, opts ...Option) *Distributor {
	d := &Distributor{
		store:       store,
		peers:       peers,
		self:        func() string { return "" },
		view:        func() registrar.View { return registrar.View{} },
		seeds:       func() []string { return nil },
		accepting:   func() error { return nil },
		record:      func(Summary) {},
		log:         slog.New(slog.DiscardHandler),
		confirmTime: defaultConfirmTime,
		behind:      make(chan struct{}, 1),
		compact:     make(chan struct{}, 1),
		history:     map[uint64]held{},
		heard:       map[string]uint64{},
		progress:    make(chan struct{}),
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

// Known reports whether the sequence of changes was read once from the
// service or a peer. Rules may still be nil when there is none.
func (d *Distributor) Known() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// Subscribe calls fn with the rules in force, if any, and then with every
// later set in order. A slow fn delays the adoption of the next set. fn must
// not call Apply or Subscribe.
func (d *Distributor) Subscribe(fn func(*parser.Rules)) {
	d.adopting.Lock()
	defer d.adopting.Unlock()
	d.subs = append(d.subs, fn)
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
