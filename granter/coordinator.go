package granter

import (
	"context"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

const (
	// DefaultRoundInterval is the time between two rounds of the coordinator.
	DefaultRoundInterval = 2 * time.Second
	// DefaultTaskLease is the longest lease of a task on a worker.
	DefaultTaskLease = 10 * time.Second
	// DefaultClockMargin bounds the difference between two members' clocks.
	DefaultClockMargin = 5 * time.Second
	// maxRoundWrites bounds the accounts written in one round.
	maxRoundWrites = 100
)

type (
	// Ledger is the coordinator's view of the accounts, such as a Granter's.
	Ledger interface {
		Accounts() ([]Account, bool)
	}

	// Leadership is the right to act as the coordinator.
	Leadership interface {
		Held() bool
	}

	// Coordinator sets the limits and targets of all accounts and reclaims the
	// grants of departed members. Several may run at once: each write is
	// computed from the record that it replaces.
	Coordinator struct {
		store         keeper.Swapper
		ledger        Ledger
		leadership    Leadership
		rules         func() *parser.Rules
		view          func() registrar.View
		loads         func() []messenger.Heartbeat
		log           *slog.Logger
		journal       func(recorder.Decision)
		roundInterval time.Duration
		taskLease     time.Duration
		clockMargin   time.Duration
		stoppedSince  func(id string) (time.Time, bool)
		staleness     time.Duration
		nextAccount   int      // account that the next round begins with
		weights       *Weights // last written under this duty; nil for none
	}

	// CoordinatorOption changes a Coordinator.
	CoordinatorOption func(*Coordinator)
)

// WithRoundInterval sets the time between two rounds.
func WithRoundInterval(d time.Duration) CoordinatorOption {
	return func(c *Coordinator) { c.roundInterval = d }
}

// WithReclaimDelays sets the longest task lease and the clock margin that must both
// pass after a member's departure before its grants are reclaimed.
func WithReclaimDelays(taskLease, margin time.Duration) CoordinatorOption {
	return func(c *Coordinator) { c.taskLease, c.clockMargin = taskLease, margin }
}

// WithStopEvidence sets the source of the time since which a departed member can
// start work only within the staleness bound. Grants are not reclaimed while it
// reports false. The default is the time of the departure itself, which is not
// enough when members go on without the key-value service.
func WithStopEvidence(stoppedSince func(id string) (time.Time, bool), staleness time.Duration) CoordinatorOption {
	return func(c *Coordinator) { c.stoppedSince, c.staleness = stoppedSince, staleness }
}

// WithCoordinatorLog sets the logger.
func WithCoordinatorLog(log *slog.Logger) CoordinatorOption {
	return func(c *Coordinator) { c.log = log }
}

// NewCoordinator returns a coordinator that acts while it holds duty. rules
// returns nil while none are known; loads returns the last heartbeat of each
// member, its own included.
func NewCoordinator(store keeper.Swapper, ledger Ledger, leadership Leadership, rules func() *parser.Rules,
	view func() registrar.View, loads func() []messenger.Heartbeat, opts ...CoordinatorOption) *Coordinator {
	c := &Coordinator{
		store:         store,
		ledger:        ledger,
		leadership:    leadership,
		rules:         rules,
		view:          view,
		loads:         loads,
		log:           slog.New(slog.DiscardHandler),
		journal:       func(recorder.Decision) {},
		roundInterval: DefaultRoundInterval,
		taskLease:     DefaultTaskLease,
		clockMargin:   DefaultClockMargin,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run does a round every period until ctx ends, and returns the error of ctx.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.roundInterval)
	defer ticker.Stop()
	for {
		if err := c.RunRound(ctx); err != nil && ctx.Err() == nil {
			c.log.Warn("ledger round", "err", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// RunRound brings all accounts in line with rules, members and loads once. It
// does nothing while the duty is not held or the ledger has not been read.
func (c *Coordinator) RunRound(ctx context.Context) error {
	return c.runRound(ctx, time.Now())
}

func (c *Coordinator) runRound(ctx context.Context, now time.Time) error {
	if !c.leadership.Held() {
		c.weights = nil
		return nil
	}
	rules := c.rules()
	accounts, listed := c.ledger.Accounts()
	if rules == nil || !listed {
		return nil
	}
	s := c.newPlanInput(now, rules)
	if err := c.writeAccounts(ctx, s, withMissingAccounts(rules, accounts)); err != nil {
		return errors.Trace(err)
	}
	return c.writeWeights(ctx, s)
}

// writeAccounts writes the accounts that differ from their plan, a bounded
// number in one round, beginning where the last round ended.
func (c *Coordinator) writeAccounts(ctx context.Context, s planInput, accounts []Account) error {
	writes := 0
	for n := range accounts {
		cur := accounts[(c.nextAccount+n)%len(accounts)]
		if s.plan(cur).equal(cur) {
			continue
		}
		if writes == maxRoundWrites {
			c.nextAccount = (c.nextAccount + n) % len(accounts)
			return nil
		}
		writes++
		if err := c.writeAccount(ctx, s, cur.Team); err != nil {
			return errors.Trace(err)
		}
	}
	c.nextAccount = 0
	return nil
}

func (c *Coordinator) writeAccount(ctx context.Context, s planInput, team string) error {
	if !c.leadership.Held() {
		return errors.New("the duty was lost during the round")
	}
	var before Account
	change := func(cur Account, exists bool) (Account, bool, error) {
		if !exists {
			cur = Account{Team: team}
		}
		before = cur
		next := s.plan(cur)
		return next, !next.equal(cur), nil
	}
	after, _, err := keeper.Update(ctx, c.store, keeper.LedgerPrefix+team, change)
	if err != nil {
		return errors.Trace(err)
	}
	c.recordChanges(before, after)
	return nil
}

func (c *Coordinator) writeWeights(ctx context.Context, s planInput) error {
	next := ComputeWeights(s.rules, s.loads)
	if c.weights != nil && next.isNear(*c.weights) || !c.leadership.Held() {
		return nil
	}
	change := func(cur Weights, _ bool) (Weights, bool, error) { return next, !next.isNear(cur), nil }
	if _, _, err := keeper.Update(ctx, c.store, weightsKey, change); err != nil {
		return errors.Trace(err)
	}
	c.weights = &next
	return nil
}

// newPlanInput gathers what the accounts are planned from.
func (c *Coordinator) newPlanInput(now time.Time, rules *parser.Rules) planInput {
	view := c.view()
	s := planInput{
		rules:       rules,
		viewNumber:  view.Number,
		teams:       make(map[string]parser.Team, len(rules.Teams)),
		pools:       poolsByTeam(rules),
		active:      make(map[string]bool),
		reclaimable: make(map[string]bool),
		loads:       activeLoads(view, c.loads()),
	}
	for _, t := range rules.Teams {
		s.teams[t.Name] = t
	}
	for _, hb := range s.loads {
		s.memberLoads = append(s.memberLoads, newMemberLoad(hb))
	}
	for _, d := range view.Departed {
		s.reclaimable[d.ID] = c.isReclaimable(now, d)
	}
	for _, m := range view.Members {
		s.reclaimable[m.ID] = false
		s.active[m.ID] = m.State == registrar.Active
	}
	return s
}

// isReclaimable reports whether nothing that the departed member started can run
// any more.
func (c *Coordinator) isReclaimable(now time.Time, d registrar.Departure) bool {
	since, ok := d.Since, true
	if c.stoppedSince != nil {
		since, ok = c.stoppedSince(d.ID)
	}
	return ok && now.After(since.Add(c.staleness+c.taskLease+c.clockMargin))
}
