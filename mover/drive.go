package mover

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

type (
	// step is what an order needs next.
	orderStep struct {
		reason       string
		edit         func(*Instance) // nil for no change of the record
		needsAbsence bool            // the absence must be taken first
	}

	// facts is what a step is decided on besides the record.
	stepInput struct {
		listing       lister.Listing
		live          bool // listed and not leaving
		continuesLate bool // an order at its time limit goes on
		rebootTimeout time.Duration
		now           time.Time
	}
)

// end ends the order of an instance and keeps how it ended.
func endOrder(n *Instance, outcome string) {
	n.LastOrder = n.Order.ID + " " + outcome
	n.Order = nil
}

// next decides the next step of an instance's order. It is pure.
func nextStep(i Instance, f stepInput) orderStep {
	if i.Order == nil {
		if i.Phase == Drained {
			return orderStep{reason: "no order keeps it out of service", edit: func(n *Instance) { n.Phase = Serving }}
		}
		return orderStep{}
	}
	late := !i.Order.Expires.IsZero() && f.now.After(i.Order.Expires) && !i.Order.PastLimit
	switch i.Phase {
	case Serving:
		return stepWhenWaiting(late, f)
	case Draining:
		return stepWhenDraining(i, late, f)
	case Drained:
		return stepWhenDrained(i, f)
	case Rebooting:
		return stepWhenRebooting(i, f)
	}
	return orderStep{}
}

// waiting is the step of an order that has not got its absence yet.
func stepWhenWaiting(late bool, f stepInput) orderStep {
	switch {
	case late && f.continuesLate:
		return continuePastLimit("time limit over, still waits for budget")
	case late:
		return undoOrder("undone: no budget within the time limit")
	case !f.live:
		return orderStep{}
	}
	return orderStep{needsAbsence: true}
}

func continuePastLimit(note string) orderStep {
	return orderStep{reason: note, edit: func(n *Instance) { n.Order.PastLimit, n.Order.Note = true, note }}
}

func undoOrder(outcome string) orderStep {
	return orderStep{reason: outcome, edit: func(n *Instance) {
		endOrder(n, outcome)
		n.Phase = Serving
	}}
}

func stepWhenDraining(i Instance, late bool, f stepInput) orderStep {
	switch {
	case i.Owner == "":
		return orderStep{reason: "drained, nobody owns it", edit: func(n *Instance) { n.Phase = Drained }}
	case late && f.continuesLate:
		return continuePastLimit("time limit over, still waits for running work")
	case late:
		return undoOrder("undone: work still running at the time limit")
	}
	return orderStep{}
}

func stepWhenDrained(i Instance, f stepInput) orderStep {
	switch {
	case i.Order.Kind == MoveOrder && f.live:
		return orderStep{reason: "moved to pool " + i.Order.Pool, edit: func(n *Instance) {
			n.Pool, n.Phase = n.Order.Pool, Serving
			if !n.Order.Lend {
				n.Home = n.Pool
			}
			endOrder(n, "done")
		}}
	case i.Order.Kind == RebootOrder:
		return orderStep{reason: "handed over for a reboot", edit: func(n *Instance) {
			n.Phase, n.Order.Boots = Rebooting, max(n.Boots, f.listing.Boots)
		}}
	}
	return orderStep{}
}

// rebooting waits for the instance to be listed live after one more reboot. A
// reboot that the platform has not done within the limit is asked for again.
func stepWhenRebooting(i Instance, f stepInput) orderStep {
	over := !i.Order.RebootAskedAt.IsZero() && f.now.Sub(i.Order.RebootAskedAt) > f.rebootTimeout
	switch {
	case f.live && f.listing.Boots > i.Order.Boots:
		return orderStep{reason: "returned from its reboot", edit: func(n *Instance) {
			applyListing(n, f.listing)
			n.Phase, n.Unhealthy = Serving, ""
			endOrder(n, "done")
		}}
	case over && f.live && i.Order.Tries < maxRebootAttempts:
		return orderStep{reason: "not rebooted within the limit, asked again", edit: func(n *Instance) { n.Order.RebootAskedAt = time.Time{} }}
	case over:
		return orderStep{reason: "did not return from its reboot", edit: func(n *Instance) {
			endOrder(n, "failed: did not return within "+f.rebootTimeout.String())
			n.Phase, n.GoneSince = Absent, f.now
		}}
	}
	return orderStep{}
}

// continues reports whether the order of an instance goes on at its time
// limit or when the instance is gone. Only moves do, where the rule of the
// pool they leave says so.
func (c *Coordinator) continuesWhenStalled(i Instance) bool {
	if i.Order == nil || i.Order.Kind != MoveOrder {
		return false
	}
	rules := c.rules()
	if rules == nil {
		return false
	}
	for _, p := range rules.Pools {
		if p.Name == i.Pool {
			return p.Stalled == parser.ContinueMove
		}
	}
	return false
}

// drive takes every order one step on.
func (c *Coordinator) advanceOrders(ctx context.Context) error {
	var failed error
	for _, i := range c.mover.table.All() {
		if i.Phase.gone() {
			continue
		}
		if err := c.advanceOrder(ctx, i); err != nil && !errors.Is(err, ErrRecordChanged) {
			failed = err
		}
	}
	return errors.Trace(failed)
}

func (c *Coordinator) advanceOrder(ctx context.Context, i Instance) error {
	l, _ := c.mover.roster.Find(i.ID)
	s := nextStep(i, stepInput{
		listing: l, live: c.mover.roster.isListedLive(i.ID), continuesLate: c.continuesWhenStalled(i),
		rebootTimeout: c.cfg.rebootTimeout, now: time.Now(),
	})
	switch {
	case s.needsAbsence:
		return c.startWithinBudget(ctx, i)
	case s.edit == nil:
		return nil
	}
	after, err := c.updateInstance(ctx, i, authority{}, s.reason, s.edit)
	if err != nil {
		return err
	}
	if i.Order != nil && after.Order == nil && after.Phase == Serving {
		return errors.Trace(c.budgets.Return(ctx, i.ID, i.Order.ID))
	}
	return nil
}

// begin takes the absence of an order and starts the drain. An order that
// finds no room stays and says what it waits for.
func (c *Coordinator) startWithinBudget(ctx context.Context, i Instance) error {
	err := c.budgets.Take(ctx, newAbsence(i, i.Order.ID, time.Now()))
	if err == nil {
		_, err = c.updateInstance(ctx, i, authority{}, "absence within the budgets, drains", markDraining)
		return err
	}
	var refusal *classifier.Error
	if !errors.As(err, &refusal) {
		return errors.Trace(err)
	}
	note := waitReason(refusal)
	if i.Order.Note == note {
		return nil
	}
	_, err = c.updateInstance(ctx, i, authority{}, note, func(n *Instance) { n.Order.Note = note })
	return err
}

func markDraining(n *Instance) {
	n.Phase, n.Order.AbsenceGranted, n.Order.Note = Draining, true, ""
}

// waitNote names what an order waits for, without the holders, which change
// often.
func waitReason(e *classifier.Error) string {
	what, _, _ := strings.Cut(e.Message, " and ")
	return "waits: " + what
}
