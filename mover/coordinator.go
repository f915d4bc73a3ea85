package mover

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// Defaults and limits of the coordinator.
const (
	defaultCoordinatorPeriod = 500 * time.Millisecond
	defaultTaskLease         = 10 * time.Second // maximum lease of a task
	defaultClockMargin       = 2 * time.Second  // maximum difference between the clocks of two members
	defaultListLag           = 5 * time.Second  // maximum lag of the platform's instance list
	defaultListMaxAge        = 5 * time.Second  // the coordinator acts on no instance list older than this
	defaultHandoverTimeout   = time.Minute      // how long a handover may take before it is cancelled
	defaultRebootTimeout     = 10 * time.Minute // how long an instance may take to return from a reboot
	defaultRecordRetention   = time.Hour        // how long the record of an absent or evicted instance is kept
	defaultMoveTimeout       = 30 * time.Minute // time limit of a move out of a pool whose rule sets none
	maxHandoversPerPool      = 1                // maximum concurrent handovers between active members
	maxRebootAttempts        = 2                // maximum reboot requests for one order
	roundTimeout             = 30 * time.Second // timeout of all store and platform calls of one round
)

type (
	// Budgets records which instances are out of service and enforces the
	// availability budgets.
	Budgets interface {
		Absences(ctx context.Context) (budgeter.Absences, error)
		StartAbsence(ctx context.Context, x budgeter.Absence) error
		MarkUnplanned(ctx context.Context, x budgeter.Absence) error
		EndAbsence(ctx context.Context, instance, order string) error
	}

	// Leadership tells whether this member is currently the leader for a control
	// task, such as fleet coordination.
	Leadership interface {
		Held() bool
	}

	// Coordinator manages the whole fleet while its member is the leader: it
	// creates instance records, assigns owners, counts absences and advances
	// orders. All state is in the records, so a new leader continues where the
	// previous one stopped.
	Coordinator struct {
		mover            *Mover
		leadership       Leadership
		view             func() registrar.View
		rules            func() *parser.Rules
		budgets          Budgets
		cfg              coordinatorConfig
		noHandoverBefore map[string]time.Time // by instance ID, earliest time of the next handover
	}

	coordinatorConfig struct {
		departedSince   func(id string) (time.Time, bool)
		staleness       time.Duration
		period          time.Duration
		taskLease       time.Duration
		clockMargin     time.Duration
		listLag         time.Duration
		listMaxAge      time.Duration
		handoverTimeout time.Duration
		rebootTimeout   time.Duration
		recordRetention time.Duration
	}

	// CoordinatorOption configures a Coordinator.
	CoordinatorOption func(*coordinatorConfig)
)

// WithTakeoverDelay sets the maximum lease of a task and the maximum difference
// between the clocks of two members. The instances of a member that has left the
// cluster get new owners when the sum of both has passed since it left. By then
// the leases of all tasks that the member started have ended.
func WithTakeoverDelay(taskLease, clockMargin time.Duration) CoordinatorOption {
	return func(c *coordinatorConfig) { c.taskLease, c.clockMargin = taskLease, clockMargin }
}

// WithDepartureTimes makes the takeover delay start when no member can act any
// more on a member view that lacks the departure. That is the time returned by
// departedSince for the departed member, plus staleness, the maximum time for
// which a member acts on a view that may be out of date. departedSince returns
// false while that time is not known. By default the delay starts at the
// departure itself.
func WithDepartureTimes(departedSince func(id string) (time.Time, bool), staleness time.Duration) CoordinatorOption {
	return func(c *coordinatorConfig) { c.departedSince, c.staleness = departedSince, staleness }
}

// WithListLag sets the maximum lag of the platform's instance list. An instance
// that is missing from the list for longer is absent.
func WithListLag(d time.Duration) CoordinatorOption {
	return func(c *coordinatorConfig) { c.listLag = d }
}

// WithRebootTimeout sets the time within which an instance must return from a
// reboot.
func WithRebootTimeout(d time.Duration) CoordinatorOption {
	return func(c *coordinatorConfig) { c.rebootTimeout = d }
}

// WithRecordRetention sets how long the record of an absent or evicted instance
// is kept.
func WithRecordRetention(d time.Duration) CoordinatorOption {
	return func(c *coordinatorConfig) { c.recordRetention = d }
}

// NewCoordinator returns a Coordinator that uses the instance records and the
// instance list read by m. view and rules return the member view and the rules
// known to this member.
func NewCoordinator(m *Mover, leadership Leadership, view func() registrar.View, rules func() *parser.Rules, budgets Budgets, opts ...CoordinatorOption) *Coordinator {
	cfg := coordinatorConfig{
		period: defaultCoordinatorPeriod, taskLease: defaultTaskLease, clockMargin: defaultClockMargin,
		listLag: defaultListLag, listMaxAge: defaultListMaxAge, handoverTimeout: defaultHandoverTimeout,
		rebootTimeout: defaultRebootTimeout, recordRetention: defaultRecordRetention,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Coordinator{mover: m, leadership: leadership, view: view, rules: rules, budgets: budgets, cfg: cfg, noHandoverBefore: map[string]time.Time{}}
}

// Run runs coordination rounds until ctx ends, while this member is the leader.
func (c *Coordinator) Run(ctx context.Context) error {
	tick := time.NewTicker(c.cfg.period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if c.leadership.Held() && c.hasCurrentData() {
			c.runRound(ctx)
		}
	}
}

// hasCurrentData reports whether the instance list was read recently and the
// instance records are loaded.
func (c *Coordinator) hasCurrentData() bool {
	at := c.mover.roster.Updated()
	return !at.IsZero() && time.Since(at) < c.cfg.listMaxAge && c.mover.table.isLoaded()
}

// runRound runs each step of the coordination once. A step that fails is
// retried in the next round.
func (c *Coordinator) runRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	steps := []func(context.Context) error{c.createRecords, c.assignOwners, c.reconcileWithList, c.advanceOrders}
	for _, step := range steps {
		if !c.leadership.Held() {
			return
		}
		if err := step(ctx); err != nil {
			c.mover.cfg.log.Warn("fleet coordination step failed; retrying in the next round", "err", err)
		}
	}
}

// updateInstance changes a record if it is still the version seen, and records
// the action in the journal.
func (c *Coordinator) updateInstance(ctx context.Context, seen Instance, r authority, action string, edit func(*Instance)) (Instance, error) {
	r.writer = c.mover.self
	next, rec, err := updateIfUnchanged(ctx, c.mover.store, seen, r, edit)
	if err != nil {
		c.mover.cfg.assert(!errors.Is(err, ErrInvariantBroken), "coordinator: %v", err)
		return seen, errors.Trace(err)
	}
	c.mover.table.storeIfNewer(next, rec.Revision)
	c.mover.Wake()
	c.recordDecisionForOrder(next, seen.Order, action)
	return next, nil
}

// recordDecision writes a decision on an instance to the journal, under the
// instance and, if it is being moved, also under its move order.
func (c *Coordinator) recordDecision(i Instance, action string, facts ...recorder.Fact) {
	c.recordDecisionForOrder(i, i.Order, action, facts...)
}

// recordDecisionForOrder is recordDecision with the order passed separately,
// because the decision may have removed the order from the record.
func (c *Coordinator) recordDecisionForOrder(i Instance, order *Order, action string, facts ...recorder.Fact) {
	facts = append(facts, recorder.Fact{Name: "phase", Value: string(i.Phase)},
		recorder.Fact{Name: "pool", Value: i.Pool}, recorder.Fact{Name: "owner", Value: i.Owner})
	d := recorder.Decision{
		Time: time.Now(), Entry: c.mover.self, Kind: recorder.Instance, Subject: i.ID, Action: action, Facts: facts,
	}
	c.mover.cfg.journal(d)
	if order == nil {
		order = i.Order
	}
	if order != nil && order.Kind == MoveOrder {
		d.Kind, d.Subject = recorder.Move, order.ID
		c.mover.cfg.journal(d)
	}
}
