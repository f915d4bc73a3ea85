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
	// DefaultRetention is how long a home remembers a name (idempotency key).
	// Requests with older names are answered with the verdict may-have-run.
	DefaultRetention = 24 * time.Hour
	// DefaultStaleness is the longest time for which a member acts on its
	// view without proof that the view is the latest one.
	DefaultStaleness = registrar.DefaultStaleness
	// DefaultClockMargin is the largest expected difference between two clocks.
	DefaultClockMargin = time.Second
	// DefaultClaimTimeout is how long Claim waits for the member that records
	// the use of the idempotency key (its home).
	DefaultClaimTimeout = 2 * time.Second
	// DefaultMaxNames is the maximum number of names (idempotency keys) that a
	// home remembers.
	DefaultMaxNames = 250_000

	requestTimeout        = time.Second            // for one answer of a home
	refreshTimeout        = 500 * time.Millisecond // for fetching a newer view
	retryDelay            = 50 * time.Millisecond  // between two attempts of a claim
	settlementRetryPeriod = 500 * time.Millisecond // between two attempts of a settlement
	maxSettlementAge      = 10 * time.Minute       // older settlements are dropped
	maxPendingSettlements = 10_000                 // settlements that wait until their home answers
	settlementSenders     = 8                      // settlements sent at the same time
	expirePeriod          = time.Minute            // between two removals of expired names
	namesPerBatch         = 2000                   // names in one hand-over message
	minHandOverDelay      = 50 * time.Millisecond
	maxHandOverDelay      = time.Second
)

// ErrMembershipChanged reports that the membership changed during a hand-over.
const ErrMembershipChanged = errors.ConstError("membership changed during the hand-over")

type (
	// Membership provides this member's view of the membership.
	Membership interface {
		Self() registrar.Member
		View() registrar.View
		CheckFreshness() error
		Refresh(ctx context.Context)
	}

	// Peers sends messages between the members that claim idempotency keys and
	// the members that record their use (homes).
	Peers interface {
		Claim(ctx context.Context, address string, r messenger.ClaimRequest) (messenger.ClaimReply, error)
		ReportTaskOutcome(ctx context.Context, address string, r messenger.SettleRequest) error
		HandOver(ctx context.Context, address string, r messenger.HandOverRequest) error
	}

	// Decision is the answer to a claim on an idempotency key (name).
	Decision struct {
		Granted bool
		Holder  string // member that runs the task or stores its answer
		Task    string // task that the idempotency key is granted to
	}

	// Claimer claims idempotency keys (names) for the tasks of its member. It
	// also records the use of the keys whose home is this member.
	Claimer struct {
		members      Membership
		peers        Peers
		cfg          settings
		disabled     disabledRules
		log          *slog.Logger
		roundStarted chan struct{} // signals that a hand-over round has begun

		mu                 sync.Mutex
		view               registrar.View
		handOvers          handOverState
		table              *nameTable
		acknowledged       map[string]bool // members that have acknowledged the hand-over of this round
		allAcknowledged    chan struct{}   // closed when all active members have acknowledged
		sequence           uint64
		claimSequences     map[string]uint64 // sequence number of the claim, by task of this member
		pendingSettlements []settlement
		droppedSettlements uint64
	}

	// Option sets an optional setting of a Claimer.
	Option func(*Claimer)

	settings struct {
		retention    time.Duration
		staleness    time.Duration
		clockMargin  time.Duration
		claimTimeout time.Duration
		maxNames     int
		assert       func(ok bool, format string, args ...any)
	}

	// disabledRules are safety rules that tests disable to show that they are needed.
	disabledRules struct {
		handOver  bool
		freshness bool
		viewCheck bool
	}
)

// WithRetention sets how long a home remembers a name (idempotency key).
func WithRetention(d time.Duration) Option {
	return func(c *Claimer) { c.cfg.retention = d }
}

// WithStaleness sets the longest time for which a member acts on its view
// without proof that the view is the latest one. It must equal the registrar's
// setting.
func WithStaleness(d time.Duration) Option {
	return func(c *Claimer) { c.cfg.staleness = d }
}

// WithClockMargin sets the largest expected difference between two clocks.
func WithClockMargin(d time.Duration) Option {
	return func(c *Claimer) { c.cfg.clockMargin = d }
}

// WithClaimTimeout sets how long Claim waits for the member that records the use
// of the idempotency key (its home).
func WithClaimTimeout(d time.Duration) Option {
	return func(c *Claimer) { c.cfg.claimTimeout = d }
}

// WithMaxNames sets the maximum number of names (idempotency keys) that a home
// remembers.
func WithMaxNames(n int) Option {
	return func(c *Claimer) { c.cfg.maxNames = n }
}

// WithAssert sets the function that checks invariants. By default a broken
// invariant is logged.
func WithAssert(fn func(ok bool, format string, args ...any)) Option {
	return func(c *Claimer) { c.cfg.assert = fn }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(c *Claimer) { c.log = log }
}

// New returns a Claimer. Its AdoptView method must be subscribed to the
// registrar before the registrar or the Claimer runs.
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

// NameCount returns the number of names (idempotency keys) whose use this member
// records.
func (c *Claimer) NameCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.table.claims)
}

// DroppedSettlements returns the number of reports on the outcome of a task that
// were dropped before the home of the task's idempotency key received them. These
// keys stay held until the retention has passed.
func (c *Claimer) DroppedSettlements() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.droppedSettlements
}

// AdoptView adopts a new membership view. From then on, this member does not grant
// names (idempotency keys) that have another home in the new view, and begins to
// hand them over to the other members.
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

// checkAllAcknowledged closes allAcknowledged once every active member has
// acknowledged this round. When views follow each other closely, the hand-over
// can run twice under the same view, and each member then acknowledges twice.
// The caller holds mu.
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

// WaitForHandOver waits until every active member of the view with this number
// has acknowledged the names (idempotency keys) that this member handed over. It returns
// ErrMembershipChanged when another view is adopted first.
func (c *Claimer) WaitForHandOver(ctx context.Context, number uint64) error {
	c.mu.Lock()
	allAcknowledged, current := c.allAcknowledged, c.view.Number
	c.mu.Unlock()
	if current != number {
		return errors.Annotatef(ErrMembershipChanged, "handing over under view %d, now at view %d", number, current)
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
			return errors.Annotatef(ErrMembershipChanged, "handing over under view %d, now at view %d", number, current)
		}
	}
}

// Run hands names (idempotency keys) over to their new homes, retries settlements
// and removes expired names until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { c.handOverLoop(ctx) })
	wg.Go(func() { c.retrySettlementsLoop(ctx) })
	wg.Go(func() { c.removeExpiredLoop(ctx) })
	wg.Wait()
	return nil
}

func (c *Claimer) removeExpiredLoop(ctx context.Context) {
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
		c.handOvers.removeExpiredRanges(oldest)
		c.mu.Unlock()
	}
}

// IsHome reports whether this member records the use of the team's name
// (idempotency key) under the view that it has adopted.
func (c *Claimer) IsHome(team, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handOvers.isHomeOf(keyOfName(team, name))
}
