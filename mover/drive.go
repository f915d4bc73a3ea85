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
	step struct {
		why  string
		edit func(*Instance) // nil for no change of the record
		take bool            // the absence must be taken first
	}

	// facts is what a step is decided on besides the record.
	facts struct {
		listing     lister.Listing
		live        bool // listed and not leaving
		goesOn      bool // an order at its time limit goes on
		returnLimit time.Duration
		now         time.Time
	}
)

// end ends the order of an instance and keeps how it ended.
func end(n *Instance, how string) {
	n.LastOrder = n.Order.ID + " " + how
	n.Order = nil
}

// next decides the next step of an instance's order. It is pure.
func next(i Instance, f facts) step {
	if i.Order == nil {
		if i.Phase == Drained {
			return step{why: "no order keeps it out of service", edit: func(n *Instance) { n.Phase = Serving }}
		}
		return step{}
	}
	late := !i.Order.Expires.IsZero() && f.now.After(i.Order.Expires) && !i.Order.Late
	switch i.Phase {
	case Serving:
		return waiting(late, f)
	case Draining:
		return draining(i, late, f)
	case Drained:
		return drained(i, f)
	case Rebooting:
		return rebooting(i, f)
	}
	return step{}
}

// waiting is the step of an order that has not got its absence yet.
func waiting(late bool, f facts) step {
	switch {
	case late && f.goesOn:
		return goOn("time limit over, still waits for budget")
	case late:
		return undo("undone: no budget within the time limit")
	case !f.live:
		return step{}
	}
	return step{take: true}
}

func goOn(note string) step {
	return step{why: note, edit: func(n *Instance) { n.Order.Late, n.Order.Note = true, note }}
}

func undo(how string) step {
	return step{why: how, edit: func(n *Instance) {
		end(n, how)
		n.Phase = Serving
	}}
}

func draining(i Instance, late bool, f facts) step {
	switch {
	case i.Owner == "":
		return step{why: "drained, nobody owns it", edit: func(n *Instance) { n.Phase = Drained }}
	case late && f.goesOn:
		return goOn("time limit over, still waits for running work")
	case late:
		return undo("undone: work still running at the time limit")
	}
	return step{}
}

func drained(i Instance, f facts) step {
	switch {
	case i.Order.Kind == MoveOrder && f.live:
		return step{why: "moved to pool " + i.Order.Pool, edit: func(n *Instance) {
			n.Pool, n.Phase = n.Order.Pool, Serving
			if !n.Order.Lend {
				n.Home = n.Pool
			}
			end(n, "done")
		}}
	case i.Order.Kind == RebootOrder:
		return step{why: "handed over for a reboot", edit: func(n *Instance) {
			n.Phase, n.Order.Boots = Rebooting, max(n.Boots, f.listing.Boots)
		}}
	}
	return step{}
}

// rebooting waits for the instance to be listed live after one more reboot. A
// reboot that the platform has not done within the limit is asked for again.
func rebooting(i Instance, f facts) step {
	over := !i.Order.Sent.IsZero() && f.now.Sub(i.Order.Sent) > f.returnLimit
	switch {
	case f.live && f.listing.Boots > i.Order.Boots:
		return step{why: "returned from its reboot", edit: func(n *Instance) {
			relist(n, f.listing)
			n.Phase, n.Sick = Serving, ""
			end(n, "done")
		}}
	case over && f.live && i.Order.Tries < maxReboots:
		return step{why: "not rebooted within the limit, asked again", edit: func(n *Instance) { n.Order.Sent = time.Time{} }}
	case over:
		return step{why: "did not return from its reboot", edit: func(n *Instance) {
			end(n, "failed: did not return within "+f.returnLimit.String())
			n.Phase, n.GoneSince = Absent, f.now
		}}
	}
	return step{}
}

// continues reports whether the order of an instance goes on at its time
// limit or when the instance is gone. Only moves do, where the rule of the
// pool they leave says so.
func (c *Coordinator) continues(i Instance) bool {
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
func (c *Coordinator) drive(ctx context.Context) error {
	var failed error
	for _, i := range c.m.table.All() {
		if i.Phase.gone() {
			continue
		}
		if err := c.driveOne(ctx, i); err != nil && !errors.Is(err, ErrMoved) {
			failed = err
		}
	}
	return errors.Trace(failed)
}

func (c *Coordinator) driveOne(ctx context.Context, i Instance) error {
	l, _ := c.m.roster.Find(i.ID)
	s := next(i, facts{
		listing: l, live: c.m.roster.live(i.ID), goesOn: c.continues(i),
		returnLimit: c.cfg.returnLimit, now: time.Now(),
	})
	switch {
	case s.take:
		return c.begin(ctx, i)
	case s.edit == nil:
		return nil
	}
	after, err := c.write(ctx, i, right{}, s.why, s.edit)
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
func (c *Coordinator) begin(ctx context.Context, i Instance) error {
	err := c.budgets.Take(ctx, absence(i, i.Order.ID, time.Now()))
	if err == nil {
		_, err = c.write(ctx, i, right{}, "absence within the budgets, drains", startDrain)
		return err
	}
	var refusal *classifier.Error
	if !errors.As(err, &refusal) {
		return errors.Trace(err)
	}
	note := waitNote(refusal)
	if i.Order.Note == note {
		return nil
	}
	_, err = c.write(ctx, i, right{}, note, func(n *Instance) { n.Order.Note = note })
	return err
}

func startDrain(n *Instance) {
	n.Phase, n.Order.Budget, n.Order.Note = Draining, true, ""
}

// waitNote names what an order waits for, without the holders, which change
// often.
func waitNote(e *classifier.Error) string {
	what, _, _ := strings.Cut(e.Message, " and ")
	return "waits: " + what
}
