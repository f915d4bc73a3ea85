package mover

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
)

// absence returns the absence of an instance for an order.
func absence(i Instance, order string, now time.Time) budgeter.Absence {
	return budgeter.Absence{Instance: i.ID, Pool: i.Pool, Zone: i.Zone, Rack: i.Rack, Order: order, Since: now}
}

// attend compares the records with the instance list: it counts absences that
// nobody planned, takes instances that are gone out of service and back again,
// and returns the units of those that are well.
func (c *Coordinator) attend(ctx context.Context) error {
	held, err := c.budgets.Absences(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	var failed error
	for _, i := range c.m.table.All() {
		x, absent := held.Find(i.ID)
		if err := c.attendOne(ctx, i, x, absent); err != nil && !errors.Is(err, ErrMoved) {
			failed = err
		}
	}
	for _, x := range held.List {
		if _, ok := c.m.table.Get(x.Instance); !ok {
			failed = firstError(failed, c.free(ctx, x))
		}
	}
	return errors.Trace(failed)
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (c *Coordinator) attendOne(ctx context.Context, i Instance, x budgeter.Absence, absent bool) error {
	l, listed := c.m.roster.Find(i.ID)
	live := listed && l.State == lister.Live
	marked := absent && x.Kind == budgeter.Unplanned
	read := c.m.roster.Updated()
	changed, phased := c.m.table.since(i.ID)
	missing := c.m.roster.MissingFor(i.ID) > c.cfg.listLag && read.Sub(phased) > c.cfg.listLag
	switch {
	case i.Phase == Rebooting:
		return nil // its absence is planned; the time limit of the reboot ends it
	case i.Phase.gone():
		return c.attendGone(ctx, i, l, live && read.After(phased))
	case missing:
		if err := c.mark(ctx, i, marked); err != nil {
			return err
		}
		return c.lose(ctx, i)
	case !listed:
		return nil // perhaps the list lags
	case !live || i.Sick != "":
		return c.mark(ctx, i, marked)
	case i.Phase == Serving && read.After(changed) && relisted(i, l):
		_, err := c.write(ctx, i, right{}, "listed with another address, size or boot", func(n *Instance) { relist(n, l) })
		return err
	case absent && i.Phase == Serving && i.orderID() != x.Order:
		return c.free(ctx, x)
	case marked && i.Phase == Serving && x.Order == "":
		return c.free(ctx, x)
	}
	return nil
}

func relisted(i Instance, l lister.Listing) bool {
	return l.Address != i.Address || l.Slots != i.Slots || l.Boots != i.Boots
}

func relist(n *Instance, l lister.Listing) {
	n.Address, n.Slots, n.Boots = l.Address, l.Slots, l.Boots
}

// mark counts an absence that nobody planned.
func (c *Coordinator) mark(ctx context.Context, i Instance, marked bool) error {
	if marked {
		return nil
	}
	err := c.budgets.MarkUnplanned(ctx, absence(i, "", time.Now()))
	if err == nil {
		c.note(i, "absence counted that nobody planned")
	}
	return errors.Trace(err)
}

// lose takes an instance that is gone out of service. Its order ends, unless
// the order is to go on when the instance returns.
func (c *Coordinator) lose(ctx context.Context, i Instance) error {
	_, err := c.write(ctx, i, right{}, "gone from the instance list", func(n *Instance) {
		n.Phase, n.GoneSince = Absent, time.Now()
		if n.Order != nil && !c.continues(i) {
			end(n, "failed: instance gone")
		}
	})
	return err
}

// attendGone takes an instance that has come back into service, and forgets
// one that has been gone for long.
func (c *Coordinator) attendGone(ctx context.Context, i Instance, l lister.Listing, live bool) error {
	returned := live && (i.Phase == Absent || l.Boots > i.Boots)
	if returned {
		_, err := c.write(ctx, i, right{}, "back in the instance list", func(n *Instance) {
			relist(n, l)
			n.Phase, n.GoneSince, n.Sick = Serving, time.Time{}, ""
			if n.Order != nil && n.Order.Budget {
				n.Phase = Draining
			}
		})
		return err
	}
	late := !i.GoneSince.IsZero() && time.Since(i.GoneSince) > c.cfg.forgetAfter
	if live || !late || i.Owner != "" {
		return nil
	}
	return c.forget(ctx, i)
}

// forget removes the record of an instance that has left the fleet. Its
// absence ends with it.
func (c *Coordinator) forget(ctx context.Context, seen Instance) error {
	rec, err := c.m.store.Get(ctx, key(seen.ID))
	if err != nil {
		return errors.Trace(err)
	}
	cur, err := keeper.Decode[Instance](rec)
	if err != nil || cur.Epoch != seen.Epoch {
		return errors.Trace(err)
	}
	if err := c.m.store.Delete(ctx, rec.Key, rec.Revision); err != nil {
		return errors.Trace(err)
	}
	c.note(seen, "forgotten, gone since "+seen.GoneSince.Format(time.RFC3339))
	return nil
}

// free returns the unit of an absence after another look at the record itself:
// an order puts itself there before it takes an absence, so an absence whose
// order is not in the record will not be used any more.
func (c *Coordinator) free(ctx context.Context, x budgeter.Absence) error {
	rec, err := c.m.store.Get(ctx, key(x.Instance))
	if err != nil {
		return errors.Trace(err)
	}
	cur, err := keeper.Decode[Instance](rec)
	if err != nil {
		return errors.Trace(err)
	}
	gone := rec.Revision == 0
	well := cur.Phase == Serving && cur.Sick == "" && c.m.roster.live(x.Instance)
	ended := x.Order == "" || cur.orderID() != x.Order
	if !gone && !(well && ended) {
		return nil
	}
	return errors.Trace(c.budgets.Return(ctx, x.Instance, x.Order))
}
