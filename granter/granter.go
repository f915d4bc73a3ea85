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
	// DefaultPassInterval is the time between two passes over all accounts.
	DefaultPassInterval = 500 * time.Millisecond
	// DefaultWriteInterval is the least time between two ledger writes of one holder.
	DefaultWriteInterval = 20 * time.Millisecond
	// releasePollInterval is the time between two looks at what is still held.
	releasePollInterval = 50 * time.Millisecond
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
		store         Store
		self          string
		quota         *SlotQuota
		log           *slog.Logger
		assert        Assert
		passInterval  time.Duration
		writeInterval time.Duration
		onWeights     func(Weights)
		passRequested chan struct{} // of one element: a pass is due

		mu              sync.Mutex
		accounts        map[string]*accountState
		ledgerRead      bool
		releasing       bool
		weightsRevision int64 // revision of the weights last passed on
	}

	// accountState is the newest state of one account that this member has seen.
	accountState struct {
		account        Account
		revision       int64
		writeUncertain bool // the outcome of an own write is unknown
	}

	// Option changes a Granter.
	Option func(*Granter)
)

// WithPassInterval sets the time between two passes over all accounts.
func WithPassInterval(d time.Duration) Option { return func(g *Granter) { g.passInterval = d } }

// WithWriteInterval sets the least time between two ledger writes of this holder.
func WithWriteInterval(d time.Duration) Option { return func(g *Granter) { g.writeInterval = d } }

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option { return func(g *Granter) { g.log = log } }

// WithAssert sets the function that is told each invariant checked.
func WithAssert(assert Assert) Option { return func(g *Granter) { g.assert = assert } }

// OnWeights sets the function called with each new set of weights.
func OnWeights(fn func(Weights)) Option { return func(g *Granter) { g.onWeights = fn } }

// New returns the Granter of the member self, which sets the ceilings of w.
func New(store Store, self string, w *SlotQuota, opts ...Option) *Granter {
	g := &Granter{
		store:         store,
		self:          self,
		quota:         w,
		log:           slog.New(slog.DiscardHandler),
		assert:        panicUnless,
		passInterval:  DefaultPassInterval,
		writeInterval: DefaultWriteInterval,
		onWeights:     func(Weights) {},
		passRequested: make(chan struct{}, 1),
		accounts:      make(map[string]*accountState),
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
		keeper.OnReset(g.handleListing), keeper.OnEvent(g.handleEvent), keeper.WithFollowerLog(g.log))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return follower.Run(ctx) })
	group.Go(func() error { return g.runPasses(ctx) })
	return group.Wait()
}

func (g *Granter) runPasses(ctx context.Context) error {
	ticker := time.NewTicker(g.passInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.passRequested:
		case <-ticker.C:
		}
		g.adjustAccounts(ctx)
	}
}

// adjustAccounts adjusts each account that needs it, those of refused teams first.
func (g *Granter) adjustAccounts(ctx context.Context) {
	short := g.quota.takeRefusedTeams()
	teams := g.teams()
	slices.SortStableFunc(teams, func(a, b string) int {
		return compareBool(short[b], short[a])
	})
	for _, team := range teams {
		if ctx.Err() != nil {
			return
		}
		if g.adjustAccount(ctx, team) {
			sleep(ctx, g.writeInterval)
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
		g.requestPass()
		left := g.slotsHeld()
		if left == 0 {
			return nil
		}
		if !sleep(ctx, releasePollInterval) {
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

// HoldersWithSlots returns the members that hold enough slots of the team for one
// task, those with most first.
func (g *Granter) HoldersWithSlots(team string, slots int) []string {
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
	return accounts, g.ledgerRead
}

// LimitInForce returns the limit that holds for the team across the fleet, as last
// seen. It is above the limit of the rules while slots are taken back.
func (g *Granter) LimitInForce(team string) (limit int, ok bool) {
	account, ok := g.Account(team)
	return account.InForce, ok
}

func (g *Granter) teams() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.accounts))
}

// slotsHeld returns the slots that the ledger may show for this member.
func (g *Granter) slotsHeld() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0
	for _, e := range g.accounts {
		mine, _ := e.account.Grant(g.self)
		sum += mine.Held
		if e.writeUncertain {
			sum++
		}
	}
	return sum
}

func (g *Granter) requestPass() {
	select {
	case g.passRequested <- struct{}{}:
	default: // a pass is due already
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// sleep waits for d and reports whether ctx lives on.
func sleep(ctx context.Context, d time.Duration) bool {
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
