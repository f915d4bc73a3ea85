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
	defaultListFresh         = 5 * time.Second  // age at which a list is no evidence any more
	defaultHandoverLimit     = time.Minute      // for an owner to hand an instance over
	defaultReturnLimit       = 10 * time.Minute // for an instance to return from a reboot
	defaultForgetAfter       = time.Hour        // for the record of an instance that is gone
	defaultOperatorLimit     = 30 * time.Minute // for a move when its pool has no rule
	defaultHandovers         = 1                // under way at once in a pool between active members
	maxReboots               = 2                // tries for one order
	callsLimit               = 30 * time.Second // for one round of the coordinator
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
	Duty interface {
		Held() bool
	}

	// Coordinator does the fleet's side while it holds the duty: it creates
	// records, spreads ownership, counts absences and drives orders. Any entry
	// can go on where another stopped, since all state is in the records.
	Coordinator struct {
		m       *Mover
		duty    Duty
		view    func() registrar.View
		rules   func() *parser.Rules
		budgets Budgets
		cfg     coordination
		waits   map[string]time.Time // instances not to hand over before
	}

	coordination struct {
		departed      func(id string) (time.Time, bool)
		staleness     time.Duration
		period        time.Duration
		taskLease     time.Duration
		clockMargin   time.Duration
		listLag       time.Duration
		listFresh     time.Duration
		handoverLimit time.Duration
		returnLimit   time.Duration
		forgetAfter   time.Duration
	}

	// CoordinatorOption sets up a Coordinator.
	CoordinatorOption func(*coordination)
)

// WithEvidence sets the longest lease of a task and the largest difference of
// two clocks. A departed owner's instances are given to others when both have
// passed since the departure.
func WithEvidence(taskLease, clockMargin time.Duration) CoordinatorOption {
	return func(c *coordination) { c.taskLease, c.clockMargin = taskLease, clockMargin }
}

// WithDepartures sets the source of the time since which a departed member can
// start nothing on a view that lacks its departure, plus the staleness bound.
// Without it the time of the departure itself counts.
func WithDepartures(departed func(id string) (time.Time, bool), staleness time.Duration) CoordinatorOption {
	return func(c *coordination) { c.departed, c.staleness = departed, staleness }
}

// WithListLag sets the largest lag of the instance list.
func WithListLag(d time.Duration) CoordinatorOption {
	return func(c *coordination) { c.listLag = d }
}

// WithReturnLimit sets the time within which an instance must return from a
// reboot.
func WithReturnLimit(d time.Duration) CoordinatorOption {
	return func(c *coordination) { c.returnLimit = d }
}

// WithForgetAfter sets how long the record of an instance that is gone stays.
func WithForgetAfter(d time.Duration) CoordinatorOption {
	return func(c *coordination) { c.forgetAfter = d }
}

// NewCoordinator returns a Coordinator that works on the table and the roster
// of m. view and rules return what this member knows.
func NewCoordinator(m *Mover, duty Duty, view func() registrar.View, rules func() *parser.Rules, budgets Budgets, opts ...CoordinatorOption) *Coordinator {
	cfg := coordination{
		period: defaultCoordinatorPeriod, taskLease: defaultTaskLease, clockMargin: defaultClockMargin,
		listLag: defaultListLag, listFresh: defaultListFresh, handoverLimit: defaultHandoverLimit,
		returnLimit: defaultReturnLimit, forgetAfter: defaultForgetAfter,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Coordinator{m: m, duty: duty, view: view, rules: rules, budgets: budgets, cfg: cfg, waits: map[string]time.Time{}}
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
		if c.duty.Held() && c.fresh() {
			c.round(ctx)
		}
	}
}

// fresh reports whether the instance list and the records are known well
// enough to act on them.
func (c *Coordinator) fresh() bool {
	at := c.m.roster.Updated()
	return !at.IsZero() && time.Since(at) < c.cfg.listFresh && c.m.table.known()
}

// round does each part of the duty once. A part that fails is done again in
// the next round.
func (c *Coordinator) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callsLimit)
	defer cancel()
	parts := []func(context.Context) error{c.enlist, c.own, c.attend, c.drive}
	for _, part := range parts {
		if !c.duty.Held() {
			return
		}
		if err := part(ctx); err != nil {
			c.m.cfg.log.Warn("coordination incomplete", "err", err)
		}
	}
}

// write changes a record that this coordinator decided on as it saw it, and
// records why.
func (c *Coordinator) write(ctx context.Context, seen Instance, r right, why string, edit func(*Instance)) (Instance, error) {
	r.self = c.m.self
	next, rec, err := changeSeen(ctx, c.m.store, seen, r, edit)
	if err != nil {
		c.m.cfg.assert(!errors.Is(err, ErrForbidden), "coordinator: %v", err)
		return seen, errors.Trace(err)
	}
	c.m.table.store(next, rec.Revision)
	c.m.Wake()
	c.noteUnder(next, seen.Order, why)
	return next, nil
}

// note records a decision on an instance, and on the move that it is under.
func (c *Coordinator) note(i Instance, why string, facts ...recorder.Fact) {
	c.noteUnder(i, i.Order, why, facts...)
}

// noteUnder is note for an order that the decision may have ended.
func (c *Coordinator) noteUnder(i Instance, under *Order, why string, facts ...recorder.Fact) {
	facts = append(facts, recorder.Fact{Name: "phase", Value: string(i.Phase)},
		recorder.Fact{Name: "pool", Value: i.Pool}, recorder.Fact{Name: "owner", Value: i.Owner})
	d := recorder.Decision{
		Time: time.Now(), Entry: c.m.self, Kind: recorder.Instance, Subject: i.ID, Action: why, Facts: facts,
	}
	c.m.cfg.journal(d)
	if under == nil {
		under = i.Order
	}
	if under != nil && under.Kind == MoveOrder {
		d.Kind, d.Subject = recorder.Move, under.ID
		c.m.cfg.journal(d)
	}
}
