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

// Default times of the coordinator.
const (
	defaultCoordinatorPeriod = 500 * time.Millisecond
	defaultTaskLease         = 10 * time.Second // longest lease of a task
	defaultClockMargin       = 2 * time.Second  // largest difference of two clocks
	defaultListLag           = 5 * time.Second  // largest lag of the instance list
	defaultListMaxAge        = 5 * time.Second  // age at which a list is no evidence any more
	defaultHandoverTimeout   = time.Minute      // for an owner to hand an instance over
	defaultRebootTimeout     = 10 * time.Minute // for an instance to return from a reboot
	defaultRecordRetention   = time.Hour        // for the record of an instance that is gone
	defaultMoveTimeout       = 30 * time.Minute // for a move when its pool has no rule
	maxHandoversPerPool      = 1                // under way at once in a pool between active members
	maxRebootAttempts        = 2                // tries for one order
	roundTimeout             = 30 * time.Second // for one round of the coordinator
)

type (
	// Budgets takes absences from the availability budgets.
	Budgets interface {
		Absences(ctx context.Context) (budgeter.Absences, error)
		Take(ctx context.Context, x budgeter.Absence) error
		MarkUnplanned(ctx context.Context, x budgeter.Absence) error
		Return(ctx context.Context, instance, order string) error
	}

	// Duty tells whether this member holds a control duty.
	Leadership interface {
		Held() bool
	}

	// Coordinator does the fleet's side while it holds the duty: it creates
	// records, spreads ownership, counts absences and drives orders. Any entry
	// can go on where another stopped, since all state is in the records.
	Coordinator struct {
		mover            *Mover
		leadership       Leadership
		view             func() registrar.View
		rules            func() *parser.Rules
		budgets          Budgets
		cfg              coordinatorConfig
		noHandoverBefore map[string]time.Time // instances not to hand over before
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

	// CoordinatorOption sets up a Coordinator.
	CoordinatorOption func(*coordinatorConfig)
)

// WithTakeoverDelay sets the longest lease of a task and the largest difference of
// two clocks. A departed owner's instances are given to others when both have
// passed since the departure.
func WithTakeoverDelay(taskLease, clockMargin time.Duration) CoordinatorOption {
	return func(c *coordinatorConfig) { c.taskLease, c.clockMargin = taskLease, clockMargin }
}

// WithDepartureTimes sets the source of the time since which a departed member can
// start nothing on a view that lacks its departure, plus the staleness bound.
// Without it the time of the departure itself counts.
func WithDepartureTimes(departedSince func(id string) (time.Time, bool), staleness time.Duration) CoordinatorOption {
	return func(c *coordinatorConfig) { c.departedSince, c.staleness = departedSince, staleness }
}

// WithListLag sets the largest lag of the instance list.
func WithListLag(d time.Duration) CoordinatorOption {
	return func(c *coordinatorConfig) { c.listLag = d }
}

// WithReturnLimit sets the time within which an instance must return from a
// reboot.
func WithRebootTimeout(d time.Duration) CoordinatorOption {
	return func(c *coordinatorConfig) { c.rebootTimeout = d }
}

// WithForgetAfter sets how long the record of an instance that is gone stays.
func WithRecordRetention(d time.Duration) CoordinatorOption {
	return func(c *coordinatorConfig) { c.recordRetention = d }
}

// NewCoordinator returns a Coordinator that works on the table and the roster
// of m. view and rules return what this member knows.
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

// Run works until ctx ends.
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

// fresh reports whether the instance list and the records are known well
// enough to act on them.
func (c *Coordinator) hasCurrentData() bool {
	at := c.mover.roster.Updated()
	return !at.IsZero() && time.Since(at) < c.cfg.listMaxAge && c.mover.table.isLoaded()
}

// round does each part of the duty once. A part that fails is done again in
// the next round.
func (c *Coordinator) runRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	parts := []func(context.Context) error{c.createRecords, c.assignOwners, c.reconcileWithList, c.advanceOrders}
	for _, part := range parts {
		if !c.leadership.Held() {
			return
		}
		if err := part(ctx); err != nil {
			c.mover.cfg.log.Warn("coordination incomplete", "err", err)
		}
	}
}

// write changes a record that this coordinator decided on as it saw it, and
// records why.
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

// note records a decision on an instance, and on the move that it is under.
func (c *Coordinator) recordDecision(i Instance, action string, facts ...recorder.Fact) {
	c.recordDecisionForOrder(i, i.Order, action, facts...)
}

// noteUnder is note for an order that the decision may have ended.
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
