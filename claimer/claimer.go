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
	// DefaultPatience is how long Claim tries to get an answer from the home.
	DefaultPatience = 2 * time.Second
	// DefaultNames is the number of names that a home remembers.
	DefaultNames = 250_000

	askTime       = time.Second            // longest wait for one answer of a home
	catchUpTime   = 500 * time.Millisecond // longest wait for a newer view
	retryDelay    = 50 * time.Millisecond  // between two tries of a claim
	settlePeriod  = 500 * time.Millisecond // between two tries of a settlement
	settleLife    = 10 * time.Minute       // after which a settlement is given up
	maxSettles    = 10_000                 // settlements waiting for their home
	settleWorkers = 8                      // settlements under way
	expirePeriod  = time.Minute            // between two searches for expired names
	namesPerPart  = 2000                   // names in one message of a hand-over
	minHandDelay  = 50 * time.Millisecond
	maxHandDelay  = time.Second
)

// ErrMoved reports that the membership changed during a hand-over.
const ErrMoved = errors.ConstError("membership changed during the hand-over")

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
		members Membership
		peers   Peers
		cfg     settings
		skip    checks
		log     *slog.Logger
		kick    chan struct{} // a round has begun

		mu       sync.Mutex
		view     registrar.View
		gate     gate
		names    *table
		sent     map[string]bool // members that have acknowledged this round
		sentAll  chan struct{}   // closed when all have
		sequence uint64
		claimed  map[string]uint64 // sequence of the claim by task of this member
		settles  []settlement
		dropped  uint64 // settlements given up
	}

	// Option sets an optional part of a Claimer.
	Option func(*Claimer)

	settings struct {
		retention time.Duration
		staleness time.Duration
		margin    time.Duration
		patience  time.Duration
		names     int
		assert    func(ok bool, format string, args ...any)
	}

	// checks are rules that tests switch off to show that they are needed.
	checks struct {
		handOver bool
		fresh    bool
		view     bool
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
	return func(c *Claimer) { c.cfg.margin = d }
}

// WithPatience sets how long Claim tries to get an answer from the home.
func WithPatience(d time.Duration) Option {
	return func(c *Claimer) { c.cfg.patience = d }
}

// WithNames bounds the names that a home remembers.
func WithNames(n int) Option {
	return func(c *Claimer) { c.cfg.names = n }
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
			retention: DefaultRetention,
			staleness: DefaultStaleness,
			margin:    DefaultClockMargin,
			patience:  DefaultPatience,
			names:     DefaultNames,
		},
		log:     slog.New(slog.DiscardHandler),
		kick:    make(chan struct{}, 1),
		sentAll: make(chan struct{}),
		claimed: map[string]uint64{},
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.cfg.assert == nil {
		c.cfg.assert = c.logAssert
	}
	c.names = newTable(c.cfg.names)
	return c
}

func (c *Claimer) logAssert(ok bool, format string, args ...any) {
	if !ok {
		c.log.Error("invariant broken", "what", fmt.Sprintf(format, args...))
	}
}

// Names returns the number of names that the home remembers.
func (c *Claimer) Names() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.names.names)
}

// Dropped returns the number of settlements given up. Their names stay held
// for the retention.
func (c *Claimer) Dropped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// OnView adopts a view: from here on, names that moved away are not granted
// and the hand-over to their new homes begins.
func (c *Claimer) OnView(_, next registrar.View) {
	self := c.members.Self()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.assert(next.Number > c.view.Number, "view %d after view %d", next.Number, c.view.Number)
	c.gate.self = self.ID
	c.gate.adopt(next, self.Joined, c.cfg.margin)
	c.view = next
	if len(c.gate.waiting) == 0 {
		c.gate.finish(time.Now(), c.cfg.staleness, c.cfg.margin)
	}
	c.sent = map[string]bool{}
	c.sentAll = make(chan struct{})
	c.checkSent()
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// checkSent closes sentAll once every active member has acknowledged this
// round. Views that follow closely are handed over under twice, and so
// acknowledged twice. The caller holds mu.
func (c *Claimer) checkSent() {
	for _, id := range c.view.Active() {
		if id != c.gate.self && !c.sent[id] {
			return
		}
	}
	select {
	case <-c.sentAll:
	default:
		close(c.sentAll)
	}
}

// HandedOver waits until every active member of the view with the number has
// acknowledged this member's names. It returns ErrMoved when another view
// comes first.
func (c *Claimer) HandedOver(ctx context.Context, number uint64) error {
	c.mu.Lock()
	sent, now := c.sentAll, c.view.Number
	c.mu.Unlock()
	if now != number {
		return errors.Annotatef(ErrMoved, "view %d, now %d", number, now)
	}
	ticker := time.NewTicker(retryDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-sent:
			return nil
		case <-ticker.C:
		}
		c.mu.Lock()
		now = c.view.Number
		c.mu.Unlock()
		if now != number {
			return errors.Annotatef(ErrMoved, "view %d, now %d", number, now)
		}
	}
}

// Run hands names over, repeats unanswered settlements and forgets expired
// names until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { c.handOverLoop(ctx) })
	wg.Go(func() { c.settleLoop(ctx) })
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
		oldest := time.Now().Add(-c.cfg.retention - clockChecks*c.cfg.margin)
		c.names.expire(oldest)
		c.gate.expire(oldest)
		c.mu.Unlock()
	}
}

// IsHome reports whether this member is the home of the team's name under the
// view that it has adopted.
func (c *Claimer) IsHome(team, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.owns(keyOf(team, name))
}
