package claimer

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

const (
	// DefaultRetention is how long a home remembers a name. Names dated before
	// it are answered as perhaps run.
	DefaultRetention = 24 * time.Hour
	// DefaultStaleness is the longest time for which a member acts without
	// proof that its view is the latest one.
	DefaultStaleness = registrar.DefaultStaleness
	// DefaultClockMargin is the largest difference between two clocks.
	DefaultClockMargin = time.Second
	// DefaultClaimTimeout is how long Claim tries to get an answer from the home.
	DefaultClaimTimeout = 2 * time.Second
	// DefaultMaxNames is the number of names that a home remembers.
	DefaultMaxNames = 250_000

	requestTimeout        = time.Second            // longest wait for one answer of a home
	refreshTimeout        = 500 * time.Millisecond // longest wait for a newer view
	retryDelay            = 50 * time.Millisecond  // between two tries of a claim
	settlementRetryPeriod = 500 * time.Millisecond // between two tries of a settlement
	maxSettlementAge      = 10 * time.Minute       // after which a settlement is given up
	maxPendingSettlements = 10_000                 // settlements waiting for their home
	settlementSenders     = 8                      // settlements under way
	expirePeriod          = time.Minute            // between two searches for expired names
	namesPerBatch         = 2000                   // names in one message of a hand-over
	minHandOverDelay      = 50 * time.Millisecond
	maxHandOverDelay      = time.Second
)

// ErrMembershipChanged reports that the membership changed during a hand-over.
const ErrMembershipChanged = errors.ConstError("membership changed during the hand-over")

type (
	// Membership is the view of the members.
	Membership interface {
		Self() registrar.Member
		View() registrar.View
		CheckFreshness() error
		Refresh(ctx context.Context)
	}

	// Peers carries the messages between homes and claimants.
	Peers interface {
		Claim(ctx context.Context, address string, r messenger.ClaimRequest) (messenger.ClaimReply, error)
		Settle(ctx context.Context, address string, r messenger.SettleRequest) error
		HandOver(ctx context.Context, address string, r messenger.HandOverRequest) error
	}

	// Decision is the answer to a claim.
	Decision struct {
		Granted bool
		Holder  string // member that runs the task or has its answer
		Task    string // task that holds the name
	}

	// Claimer claims names for the tasks of its member and is the home of its
	// share of all names.
	Claimer struct {
		members      Membership
		peers        Peers
		cfg          settings
		disabled     disabledRules
		log          *slog.Logger
		roundStarted chan struct{} // a round has begun

		mu                 sync.Mutex
		view               registrar.View
		handOvers          handOverState
		table              *nameTable
		acknowledged       map[string]bool // members that have acknowledged this round
		allAcknowledged    chan struct{}   // closed when all have
		sequence           uint64
		claimSequences     map[string]uint64 // sequence of the claim by task of this member
		pendingSettlements []settlement
		droppedSettlements uint64 // settlements given up
	}

	// Option sets an optional part of a Claimer.
	Option func(*Claimer)

	settings struct {
		retention    time.Duration
		staleness    time.Duration
		clockMargin  time.Duration
		claimTimeout time.Duration
		maxNames     int
		assert       func(ok bool, format string, args ...any)
	}

	// disabledRules are rules that tests switch off to show that they are needed.
	disabledRules struct {
		handOver  bool
		freshness bool
		viewCheck bool
	}
)

// WithRetention sets how long a home remembers a name.
func WithRetention(d time.Duration) Option {
	return func(c *Claimer) { c.cfg.retention = d }
}

// WithStaleness sets the longest time for which a member acts without proof
// that its view is the latest one. It equals the registrar's.
func WithStaleness(d time.Duration) Option {
	return func(c *Claimer) { c.cfg.staleness = d }
}

// WithClockMargin sets the largest difference between two clocks.
func WithClockMargin(d time.Duration) Option {
	return func(c *Claimer) { c.cfg.clockMargin = d }
}

// WithClaimTimeout sets how long Claim tries to get an answer from the home.
func WithClaimTimeout(d time.Duration) Option {
	return func(c *Claimer) { c.cfg.claimTimeout = d }
}

// WithMaxNames bounds the names that a home remembers.
func WithMaxNames(n int) Option {
	return func(c *Claimer) { c.cfg.maxNames = n }
}

// WithAssert sets the check of invariants.
func WithAssert(fn func(ok bool, format string, args ...any)) Option {
	return func(c *Claimer) { c.cfg.assert = fn }
}

// WithLog sets the log.
func WithLog(log *slog.Logger) Option {
	return func(c *Claimer) { c.log = log }
}

// New returns a claimer. Its OnView must be subscribed to the registrar before
// either runs.
func New(members Membership, peers Peers, opts ...Option) *Claimer {
	c := &Claimer{
		members: members,
		peers:   peers,
		cfg: settings{
			retention:    DefaultRetention,
			staleness:    DefaultStaleness,
			clockMargin:  DefaultClockMargin,
			claimTimeout: DefaultClaimTimeout,
			maxNames:     DefaultMaxNames,
		},
		log:             slog.New(slog.DiscardHandler),
		roundStarted:    make(chan struct{}, 1),
		allAcknowledged: make(chan struct{}),
		claimSequences:  map[string]uint64{},
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.cfg.assert == nil {
		c.cfg.assert = c.logAssert
	}
	c.table = newNameTable(c.cfg.maxNames)
	return c
}

func (c *Claimer) logAssert(ok bool, format string, args ...any) {
	if !ok {
		c.log.Error("invariant broken", "what", fmt.Sprintf(format, args...))
	}
}

// NameCount returns the number of names that the home remembers.
func (c *Claimer) NameCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.table.claims)
}

// DroppedSettlements returns the number of settlements given up. Their names stay held
// for the retention.
func (c *Claimer) DroppedSettlements() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.droppedSettlements
}

// AdoptView adopts a view: from here on, names that moved away are not granted
// and the hand-over to their new homes begins.
func (c *Claimer) AdoptView(_, next registrar.View) {
	self := c.members.Self()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.assert(next.Number > c.view.Number, "view %d after view %d", next.Number, c.view.Number)
	c.handOvers.self = self.ID
	c.handOvers.startRound(next, self.Joined, c.cfg.clockMargin)
	c.view = next
	if len(c.handOvers.awaited) == 0 {
		c.handOvers.completeRound(time.Now(), c.cfg.staleness, c.cfg.clockMargin)
	}
	c.acknowledged = map[string]bool{}
	c.allAcknowledged = make(chan struct{})
	c.checkAllAcknowledged()
	select {
	case c.roundStarted <- struct{}{}:
	default:
	}
}

// checkAllAcknowledged closes sentAll once every active member has acknowledged this
// round. Views that follow closely are handed over under twice, and so
// acknowledged twice. The caller holds mu.
func (c *Claimer) checkAllAcknowledged() {
	for _, id := range c.view.Active() {
		if id != c.handOvers.self && !c.acknowledged[id] {
			return
		}
	}
	select {
	case <-c.allAcknowledged:
	default:
		close(c.allAcknowledged)
	}
}

// WaitForHandOver waits until every active member of the view with the number has
// acknowledged this member's names. It returns ErrMoved when another view
// comes first.
func (c *Claimer) WaitForHandOver(ctx context.Context, number uint64) error {
	c.mu.Lock()
	allAcknowledged, current := c.allAcknowledged, c.view.Number
	c.mu.Unlock()
	if current != number {
		return errors.Annotatef(ErrMembershipChanged, "view %d, now %d", number, current)
	}
	ticker := time.NewTicker(retryDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-allAcknowledged:
			return nil
		case <-ticker.C:
		}
		c.mu.Lock()
		current = c.view.Number
		c.mu.Unlock()
		if current != number {
			return errors.Annotatef(ErrMembershipChanged, "view %d, now %d", number, current)
		}
	}
}

// Run hands names over, repeats unanswered settlements and forgets expired
// table until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { c.handOverLoop(ctx) })
	wg.Go(func() { c.retrySettlementsLoop(ctx) })
	wg.Go(func() { c.expireLoop(ctx) })
	wg.Wait()
	return nil
}

func (c *Claimer) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		oldest := time.Now().Add(-c.cfg.retention - clocksPerCutOff*c.cfg.clockMargin)
		c.table.removeExpired(oldest)
		c.handOvers.removeExpiredDoubts(oldest)
		c.mu.Unlock()
	}
}

// IsHome reports whether this member is the home of the team's name under the
// viewCheck that it has adopted.
func (c *Claimer) IsHome(team, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handOvers.isHomeOf(keyOf(team, name))
}
