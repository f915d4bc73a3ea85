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
	// DefaultTaskLease is the longest time for which a worker runs a task
	// without a renewal by the member that started it.
	DefaultTaskLease = 10 * time.Second
	// DefaultClockMargin is the maximum difference between the clocks of two
	// members.
	DefaultClockMargin = 5 * time.Second
	// maxRoundWrites is the maximum number of accounts written in one round.
	maxRoundWrites = 100
)

type (
	// Ledger provides the accounts as last seen. Granter implements it.
	Ledger interface {
		Accounts() ([]Account, bool)
	}

	// Leadership tells whether this member is the elected coordinator at the
	// moment.
	Leadership interface {
		Held() bool
	}

	// Coordinator sets the limits and targets of all accounts and reclaims the
	// grants of departed members. Two coordinators that run at the same time do
	// no harm, since each write is computed from the record that it replaces.
	Coordinator struct {
		store         keeper.SwapStore
		ledger        Ledger
		leadership    Leadership
		rules         func() *parser.Rules
		view          func() registrar.View
		loads         func() []messenger.Heartbeat
		log           *slog.Logger
		journal       func(recorder.Decision)
		roundInterval time.Duration
		taskLease     time.Duration                     // see WithReclaimDelays
		clockMargin   time.Duration                     // see WithReclaimDelays
		stoppedSince  func(id string) (time.Time, bool) // see WithStopEvidence
		staleness     time.Duration                     // see WithStopEvidence
		nextAccount   int                               // index of the account with which the next round begins
		weights       *Weights                          // last written since this member became coordinator; nil if none
	}

	// CoordinatorOption sets an option of a Coordinator.
	CoordinatorOption func(*Coordinator)
)

// WithRoundInterval sets the time between two rounds.
func WithRoundInterval(d time.Duration) CoordinatorOption {
	return func(c *Coordinator) { c.roundInterval = d }
}

// WithReclaimDelays sets the longest task lease and the clock margin. The
// grants of a departed member are reclaimed only after their sum has passed.
func WithReclaimDelays(taskLease, margin time.Duration) CoordinatorOption {
	return func(c *Coordinator) { c.taskLease, c.clockMargin = taskLease, margin }
}

// WithStopEvidence sets a function that returns the time by which all other
// members know of a member's departure. From that time on the departed member
// can start tasks only until staleness has passed. While the function returns
// false, the grants of the member are not reclaimed. Without this option the
// time of the departure itself counts, which is not safe when members continue
// to work during an outage of the key-value service.
func WithStopEvidence(stoppedSince func(id string) (time.Time, bool), staleness time.Duration) CoordinatorOption {
	return func(c *Coordinator) { c.stoppedSince, c.staleness = stoppedSince, staleness }
}

// WithCoordinatorLog sets the logger. The default discards all log lines.
func WithCoordinatorLog(log *slog.Logger) CoordinatorOption {
	return func(c *Coordinator) { c.log = log }
}

// NewCoordinator returns a coordinator that acts only while leadership is held.
// rules returns nil as long as no rules are known. loads returns the last
// heartbeat of each member, including this one.
func NewCoordinator(store keeper.SwapStore, ledger Ledger, leadership Leadership, rules func() *parser.Rules,
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

// Run does a round every round interval until ctx ends, and returns the error
// of ctx.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.roundInterval)
	defer ticker.Stop()
	for {
		if err := c.RunRound(ctx); err != nil && ctx.Err() == nil {
			c.log.Warn("ledger round failed; retrying in the next round", "err", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// RunRound updates all accounts once to match the rules, members and loads. It
// does nothing while leadership is not held or the ledger has not been read.
func (c *Coordinator) RunRound(ctx context.Context) error {
	return c.runRoundAt(ctx, time.Now())
}

func (c *Coordinator) runRoundAt(ctx context.Context, now time.Time) error {
	if !c.leadership.Held() {
		c.weights = nil
		return nil
	}
	rules := c.rules()
	accounts, listed := c.ledger.Accounts()
	if rules == nil || !listed {
		return nil
	}
	in := c.newPlanInput(now, rules)
	if err := c.writeAccounts(ctx, in, withMissingAccounts(rules, accounts)); err != nil {
		return errors.Trace(err)
	}
	return c.writeWeights(ctx, in)
}

// writeAccounts writes the accounts that differ from their plan, at most
// maxRoundWrites in one round. The next round continues where this one stops.
func (c *Coordinator) writeAccounts(ctx context.Context, in planInput, accounts []Account) error {
	writes := 0
	for n := range accounts {
		cur := accounts[(c.nextAccount+n)%len(accounts)]
		if in.planAccount(cur).equal(cur) {
			continue
		}
		if writes == maxRoundWrites {
			c.nextAccount = (c.nextAccount + n) % len(accounts)
			return nil
		}
		writes++
		if err := c.writeAccount(ctx, in, cur.Team); err != nil {
			return errors.Trace(err)
		}
	}
	c.nextAccount = 0
	return nil
}

func (c *Coordinator) writeAccount(ctx context.Context, in planInput, team string) error {
	if !c.leadership.Held() {
		return errors.New("coordinator leadership lost during the ledger round")
	}
	var before Account
	change := func(cur Account, exists bool) (Account, bool, error) {
		if !exists {
			cur = Account{Team: team}
		}
		before = cur
		next := in.planAccount(cur)
		return next, !next.equal(cur), nil
	}
	after, _, err := keeper.Update(ctx, c.store, keeper.LedgerPrefix+team, change)
	if err != nil {
		return errors.Trace(err)
	}
	c.recordAccountChanges(before, after)
	return nil
}

// writeWeights writes the weights of the teams when they differ noticeably from
// those written last.
func (c *Coordinator) writeWeights(ctx context.Context, in planInput) error {
	next := ComputeWeights(in.rules, in.loads)
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

// newPlanInput collects the data from which the accounts are planned.
func (c *Coordinator) newPlanInput(now time.Time, rules *parser.Rules) planInput {
	view := c.view()
	in := planInput{
		rules:       rules,
		viewNumber:  view.Number,
		teams:       make(map[string]parser.Team, len(rules.Teams)),
		pools:       poolsByTeam(rules),
		active:      make(map[string]bool),
		reclaimable: make(map[string]bool),
		loads:       activeLoads(view, c.loads()),
	}
	for _, t := range rules.Teams {
		in.teams[t.Name] = t
	}
	for _, hb := range in.loads {
		in.memberLoads = append(in.memberLoads, newMemberLoad(hb))
	}
	for _, d := range view.Departed {
		in.reclaimable[d.ID] = c.isReclaimable(now, d)
	}
	for _, m := range view.Members {
		in.reclaimable[m.ID] = false
		in.active[m.ID] = m.State == registrar.Active
	}
	return in
}

// isReclaimable reports whether no task that the departed member started can
// still be running: the staleness bound, the task lease and the clock margin
// have passed since its departure took effect (see WithStopEvidence).
func (c *Coordinator) isReclaimable(now time.Time, d registrar.Departure) bool {
	since, ok := d.Since, true
	if c.stoppedSince != nil {
		since, ok = c.stoppedSince(d.ID)
	}
	return ok && now.After(since.Add(c.staleness+c.taskLease+c.clockMargin))
}
