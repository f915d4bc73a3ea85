package granter

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

const (
	// DefaultPeriod is the time between two passes over all accounts.
	DefaultPeriod = 500 * time.Millisecond
	// DefaultPace is the least time between two ledger writes of one holder.
	DefaultPace = 20 * time.Millisecond
	// releasePoll is the time between two looks at what is still held.
	releasePoll = 50 * time.Millisecond
	// weightsKey holds the Weights. No team's name begins with a dot.
	weightsKey = keeper.LedgerPrefix + ".weights"
)

type (
	// Store is the part of the key-value service that grants need.
	Store interface {
		keeper.Swapper
		keeper.Watcher
	}

	// Granter holds this member's grants: it follows the ledger, raises and
	// lowers its own grants towards their targets and keeps the ceilings of
	// the Wallet at or below them.
	Granter struct {
		store     Store
		self      string
		wallet    *Wallet
		log       *slog.Logger
		assert    Assert
		period    time.Duration
		pace      time.Duration
		onWeights func(Weights)
		poke      chan struct{} // of one element: a pass is due

		mu        sync.Mutex
		accounts  map[string]*entry
		listed    bool
		releasing bool
		weightsAt int64 // revision of the weights last passed on
	}

	// entry is the newest state of one account that this member has seen.
	entry struct {
		account  Account
		revision int64
		doubt    bool // the outcome of an own write is unknown
	}

	// Option changes a Granter.
	Option func(*Granter)
)

// WithPeriod sets the time between two passes over all accounts.
func WithPeriod(d time.Duration) Option { return func(g *Granter) { g.period = d } }

// WithPace sets the least time between two ledger writes of this holder.
func WithPace(d time.Duration) Option { return func(g *Granter) { g.pace = d } }

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option { return func(g *Granter) { g.log = log } }

// WithAssert sets the function that is told each invariant checked.
func WithAssert(assert Assert) Option { return func(g *Granter) { g.assert = assert } }

// OnWeights sets the function called with each new set of weights.
func OnWeights(fn func(Weights)) Option { return func(g *Granter) { g.onWeights = fn } }

// New returns the Granter of the member self, which sets the ceilings of w.
func New(store Store, self string, w *Wallet, opts ...Option) *Granter {
	g := &Granter{
		store:     store,
		self:      self,
		wallet:    w,
		log:       slog.New(slog.DiscardHandler),
		assert:    panicUnless,
		period:    DefaultPeriod,
		pace:      DefaultPace,
		onWeights: func(Weights) {},
		poke:      make(chan struct{}, 1),
		accounts:  make(map[string]*entry),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Run follows the ledger and adjusts the member's grants until ctx ends. It
// returns the error of ctx. Grants stay held after it; Release gives them up.
func (g *Granter) Run(ctx context.Context) error {
	follower := keeper.NewFollower(g.store, keeper.LedgerPrefix,
		keeper.OnReset(g.reset), keeper.OnEvent(g.event), keeper.WithFollowerLog(g.log))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return follower.Run(ctx) })
	group.Go(func() error { return g.loop(ctx) })
	return group.Wait()
}

func (g *Granter) loop(ctx context.Context) error {
	ticker := time.NewTicker(g.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.poke:
		case <-ticker.C:
		}
		g.pass(ctx)
	}
}

// pass adjusts each account that needs it, those of refused teams first.
func (g *Granter) pass(ctx context.Context) {
	short := g.wallet.takeShort()
	teams := g.teams()
	slices.SortStableFunc(teams, func(a, b string) int {
		return boolCompare(short[b], short[a])
	})
	for _, team := range teams {
		if ctx.Err() != nil {
			return
		}
		if g.step(ctx, team) {
			pause(ctx, g.pace)
		}
	}
}

// Release gives up all grants as their slots fall free, and returns when none
// is left or ctx ends. Run must be running. It is for a planned stop: nothing
// is granted to this member again.
func (g *Granter) Release(ctx context.Context) error {
	g.mu.Lock()
	g.releasing = true
	g.mu.Unlock()
	for {
		g.wake()
		left := g.held()
		if left == 0 {
			return nil
		}
		if !pause(ctx, releasePoll) {
			return errors.Annotatef(ctx.Err(), "releasing grants, %d slots left", left)
		}
	}
}

// HoldersOf returns the members with slots for the team, those with most
// first.
func (g *Granter) HoldersOf(team string) []string {
	account, _ := g.Account(team)
	held := slices.DeleteFunc(slices.Clone(account.Grants), func(gr Grant) bool { return gr.Held == 0 })
	slices.SortStableFunc(held, func(a, b Grant) int { return b.Held - a.Held })
	members := make([]string, len(held))
	for i, gr := range held {
		members[i] = gr.Member
	}
	return members
}

// HoldersFor returns the members that hold enough slots of the team for one
// task, those with most first.
func (g *Granter) HoldersFor(team string, slots int) []string {
	account, _ := g.Account(team)
	return slices.DeleteFunc(g.HoldersOf(team), func(member string) bool {
		grant, _ := account.Grant(member)
		return grant.Held < slots
	})
}

// Account returns the team's account as last seen.
func (g *Granter) Account(team string) (Account, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.accounts[team]
	if !ok {
		return Account{Team: team}, false
	}
	return e.account.clone(), true
}

// Accounts returns all accounts as last seen, sorted by team. ok is false
// until the ledger has been read once.
func (g *Granter) Accounts() (accounts []Account, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, team := range slices.Sorted(maps.Keys(g.accounts)) {
		accounts = append(accounts, g.accounts[team].account.clone())
	}
	return accounts, g.listed
}

// InForce returns the limit that holds for the team across the fleet, as last
// seen. It is above the limit of the rules while slots are taken back.
func (g *Granter) InForce(team string) (limit int, ok bool) {
	account, ok := g.Account(team)
	return account.InForce, ok
}

func (g *Granter) teams() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.accounts))
}

// held returns the slots that the ledger may show for this member.
func (g *Granter) held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0
	for _, e := range g.accounts {
		mine, _ := e.account.Grant(g.self)
		sum += mine.Held
		if e.doubt {
			sum++
		}
	}
	return sum
}

func (g *Granter) wake() {
	select {
	case g.poke <- struct{}{}:
	default: // a pass is due already
	}
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// pause waits for d and reports whether ctx lives on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func teamOf(key string) string {
	return strings.TrimPrefix(key, keeper.LedgerPrefix)
}
