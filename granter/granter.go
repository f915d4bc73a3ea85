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
	// DefaultPassInterval is the time between two passes of a Granter over all
	// accounts.
	DefaultPassInterval = 500 * time.Millisecond
	// DefaultWriteInterval is the minimum time between two ledger writes of one
	// member.
	DefaultWriteInterval = 20 * time.Millisecond
	// releasePollInterval is the time between two checks by Release of the
	// slots still held.
	releasePollInterval = 50 * time.Millisecond
	// weightsKey is the key of the Weights record. It cannot collide with the
	// key of a team, because team names do not begin with a dot.
	weightsKey = keeper.LedgerPrefix + ".weights"
)

type (
	// Store is the part of the key-value service that a Granter needs.
	Store interface {
		keeper.SwapStore
		keeper.Watcher
	}

	// Granter manages the grants of this member: it watches the ledger, raises
	// and lowers this member's grants towards their targets, and sets the
	// ceilings of the SlotQuota, which never exceed the grants.
	Granter struct {
		store         Store
		self          string // ID of this member
		quota         *SlotQuota
		log           *slog.Logger
		assert        Assert
		passInterval  time.Duration
		writeInterval time.Duration
		onWeights     func(Weights)
		passRequested chan struct{} // has a buffer of one; a value requests a pass before the next interval

		mu              sync.Mutex
		accounts        map[string]*accountState
		ledgerRead      bool  // the ledger has been listed at least once
		releasing       bool  // Release has been called
		weightsRevision int64 // revision of the weights that onWeights last received
	}

	// accountState is the newest version of one account that this member has
	// seen.
	accountState struct {
		account        Account
		revision       int64
		writeUncertain bool // it is unknown whether the last write of this member took effect
	}

	// Option sets an option of a Granter.
	Option func(*Granter)
)

// WithPassInterval sets the time between two passes over all accounts.
func WithPassInterval(d time.Duration) Option { return func(g *Granter) { g.passInterval = d } }

// WithWriteInterval sets the minimum time between two ledger writes of this
// member.
func WithWriteInterval(d time.Duration) Option { return func(g *Granter) { g.writeInterval = d } }

// WithLog sets the logger. The default discards all log lines.
func WithLog(log *slog.Logger) Option { return func(g *Granter) { g.log = log } }

// WithAssert sets the function that receives the result of each invariant
// check.
func WithAssert(assert Assert) Option { return func(g *Granter) { g.assert = assert } }

// WithWeightsHandler sets the function to call with each new version of the
// Weights.
func WithWeightsHandler(fn func(Weights)) Option { return func(g *Granter) { g.onWeights = fn } }

// New returns the Granter of the member with the ID self. The Granter sets the
// ceilings of quota.
func New(store Store, self string, quota *SlotQuota, opts ...Option) *Granter {
	g := &Granter{
		store:         store,
		self:          self,
		quota:         quota,
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

// Run watches the ledger and adjusts this member's grants until ctx ends, and
// returns the error of ctx. The member still holds its grants afterwards;
// Release returns them.
func (g *Granter) Run(ctx context.Context) error {
	follower := keeper.NewFollower(g.store, keeper.LedgerPrefix,
		keeper.OnReset(g.handleListing), keeper.OnEvent(g.handleEvent), keeper.WithFollowerLog(g.log))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return follower.Run(ctx) })
	group.Go(func() error { return g.runAccountPasses(ctx) })
	return group.Wait()
}

// runAccountPasses calls adjustOwnGrants at every pass interval and on request,
// until ctx ends.
func (g *Granter) runAccountPasses(ctx context.Context) error {
	ticker := time.NewTicker(g.passInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.passRequested:
		case <-ticker.C:
		}
		g.adjustOwnGrants(ctx)
	}
}

// adjustOwnGrants adjusts each account that needs it, beginning with teams whose
// slots were refused since the last pass.
func (g *Granter) adjustOwnGrants(ctx context.Context) {
	refused := g.quota.takeRefusedTeams()
	teams := g.teams()
	slices.SortStableFunc(teams, func(a, b string) int {
		return compareBool(refused[b], refused[a])
	})
	for _, team := range teams {
		if ctx.Err() != nil {
			return
		}
		if g.adjustOwnGrant(ctx, team) {
			sleep(ctx, g.writeInterval)
		}
	}
}

// Release lowers all grants of this member to 0 as their slots become free. It
// returns when none is left or ctx ends. It needs Run to be running. It is
// meant for a planned stop: this member raises no grant again afterwards.
func (g *Granter) Release(ctx context.Context) error {
	g.mu.Lock()
	g.releasing = true
	g.mu.Unlock()
	for {
		g.requestAccountPass()
		left := g.slotsHeld()
		if left == 0 {
			return nil
		}
		if !sleep(ctx, releasePollInterval) {
			return errors.Annotatef(ctx.Err(), "releasing grants: %d slots left to release", left)
		}
	}
}

// HoldersOf returns the members that hold slots for the team, sorted by slots,
// most first.
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

// HoldersWithSlots returns the members whose grant for the team has at least
// the given number of slots, sorted by slots, most first.
func (g *Granter) HoldersWithSlots(team string, slots int) []string {
	account, _ := g.Account(team)
	return slices.DeleteFunc(g.HoldersOf(team), func(member string) bool {
		grant, _ := account.Grant(member)
		return grant.Held < slots
	})
}

// Account returns the last known version of the team's account, and false when
// there is none.
func (g *Granter) Account(team string) (Account, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.accounts[team]
	if !ok {
		return Account{Team: team}, false
	}
	return e.account.clone(), true
}

// Accounts returns the last known version of all accounts, sorted by team. ok
// is false until the ledger has been read once.
func (g *Granter) Accounts() (accounts []Account, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, team := range slices.Sorted(maps.Keys(g.accounts)) {
		accounts = append(accounts, g.accounts[team].account.clone())
	}
	return accounts, g.ledgerRead
}

// LimitInForce returns the limit that applies to the team in the whole cluster,
// as last seen. After the rules have lowered the limit, it stays above the new
// one until members have released the excess slots.
func (g *Granter) LimitInForce(team string) (limit int, ok bool) {
	account, ok := g.Account(team)
	return account.InForce, ok
}

func (g *Granter) teams() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.accounts))
}

// slotsHeld returns the slots that the ledger shows for this member, plus one
// for each account whose last write has an unknown outcome, because the ledger
// may show slots there.
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

// requestAccountPass makes runAccountPasses do a pass without waiting for the
// next interval.
func (g *Granter) requestAccountPass() {
	select {
	case g.passRequested <- struct{}{}:
	default: // a pass is already requested
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// sleep waits for d. It returns false when ctx ends first.
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

// teamOf returns the team whose account is stored under the ledger key.
func teamOf(key string) string {
	return strings.TrimPrefix(key, keeper.LedgerPrefix)
}
