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
	// orderStep is the next action for the order of an instance.
	orderStep struct {
		reason       string
		edit         func(*Instance) // change of the record; nil for none
		needsAbsence bool            // the order must take its absence from the budgets to continue
	}

	// stepInput is what decides the next step, besides the record.
	stepInput struct {
		listing       lister.Listing
		live          bool // listed as live
		continuesLate bool // the order continues after its time limit
		rebootTimeout time.Duration
		now           time.Time
	}
)

// endOrder removes the order from the record and keeps its outcome in
// LastOrder.
func endOrder(n *Instance, outcome string) {
	n.LastOrder = n.Order.ID + " " + outcome
	n.Order = nil
}

// nextOrderStep returns the next step of an instance's order. It has no side
// effects.
func nextOrderStep(i Instance, f stepInput) orderStep {
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

// stepWhenWaiting returns the next step of an order whose absence the budgets
// have not granted yet.
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

// continuePastLimit returns the step that lets a move go on after its time limit
// has passed.
func continuePastLimit(note string) orderStep {
	return orderStep{reason: note, edit: func(n *Instance) { n.Order.PastLimit, n.Order.Note = true, note }}
}

// undoOrder returns the step that ends an order and returns its instance to
// service.
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

// stepWhenRebooting ends the order when the instance is listed as live with a
// higher reboot count. If that takes longer than the reboot timeout, the reboot
// is requested again when the instance is listed as live, up to
// maxRebootAttempts times; otherwise the order fails.
func stepWhenRebooting(i Instance, f stepInput) orderStep {
	timedOut := !i.Order.RebootAskedAt.IsZero() && f.now.Sub(i.Order.RebootAskedAt) > f.rebootTimeout
	switch {
	case f.live && f.listing.Boots > i.Order.Boots:
		return orderStep{reason: "returned from its reboot", edit: func(n *Instance) {
			applyListing(n, f.listing)
			n.Phase, n.Unhealthy = Serving, ""
			endOrder(n, "done")
		}}
	case timedOut && f.live && i.Order.Tries < maxRebootAttempts:
		return orderStep{reason: "not rebooted within the limit, asked again", edit: func(n *Instance) { n.Order.RebootAskedAt = time.Time{} }}
	case timedOut:
		return orderStep{reason: "did not return from its reboot", edit: func(n *Instance) {
			endOrder(n, "failed: did not return within "+f.rebootTimeout.String())
			n.Phase, n.GoneSince = Absent, f.now
		}}
	}
	return orderStep{}
}

// continuesWhenStalled reports whether the order of an instance continues after
// its time limit and when the instance is gone. Only a move does, if the rule
// of the pool that the instance leaves says so.
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
			return p.OnMoveTimeout == parser.ContinueMove
		}
	}
	return false
}

// advanceOrders takes the next step of every order.
func (c *Coordinator) advanceOrders(ctx context.Context) error {
	var failed error
	for _, i := range c.mover.table.All() {
		if i.Phase.isGone() {
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
	s := nextOrderStep(i, stepInput{
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
		return errors.Trace(c.budgets.EndAbsence(ctx, i.ID, i.Order.ID))
	}
	return nil
}

// startWithinBudget takes the absence of an order from the budgets and starts
// the drain. When a budget has no room, the order stays waiting and its note
// names the budget.
func (c *Coordinator) startWithinBudget(ctx context.Context, i Instance) error {
	err := c.budgets.StartAbsence(ctx, newAbsence(i, i.Order.ID, time.Now()))
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

// waitReason names the budget that an order waits for. It leaves out the absent
// instances listed in the refusal, because they change often and each change of
// the note is a write.
func waitReason(e *classifier.Error) string {
	budget, _, _ := strings.Cut(e.Message, " and ")
	return "waits: " + budget
}
