package mover

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
)

// newAbsence returns the budget entry that counts an instance as out of service
// for an order.
func newAbsence(i Instance, order string, now time.Time) budgeter.Absence {
	return budgeter.Absence{Instance: i.ID, Pool: i.Pool, Zone: i.Zone, Rack: i.Rack, Order: order, Since: now}
}

// reconcileWithList compares the instance records with the platform's instance
// list. It counts unplanned absences against the budgets, takes missing
// instances out of service and returned ones back into service, and ends the
// absences of healthy instances.
func (c *Coordinator) reconcileWithList(ctx context.Context) error {
	held, err := c.budgets.Absences(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	var failed error
	for _, i := range c.mover.table.All() {
		x, absent := held.Find(i.ID)
		if err := c.reconcileInstance(ctx, i, x, absent); err != nil && !errors.Is(err, ErrRecordChanged) {
			failed = err
		}
	}
	for _, x := range held.List {
		if _, ok := c.mover.table.Get(x.Instance); !ok {
			failed = firstError(failed, c.endAbsenceIfUnneeded(ctx, x))
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

func (c *Coordinator) reconcileInstance(ctx context.Context, i Instance, x budgeter.Absence, absent bool) error {
	l, listed := c.mover.roster.Find(i.ID)
	live := listed && l.State == lister.Live
	hasUnplanned := absent && x.Kind == budgeter.Unplanned
	read := c.mover.roster.Updated()
	changed, phaseChangedAt := c.mover.table.changeTimes(i.ID)
	missing := c.mover.roster.MissingFor(i.ID) > c.cfg.listLag && read.Sub(phaseChangedAt) > c.cfg.listLag
	switch {
	case i.Phase == Rebooting:
		return nil // the absence is planned, and the reboot timeout bounds it
	case i.Phase.isGone():
		return c.reconcileGoneInstance(ctx, i, l, live && read.After(phaseChangedAt))
	case missing:
		if err := c.recordUnplannedAbsence(ctx, i, hasUnplanned); err != nil {
			return err
		}
		return c.markAbsent(ctx, i)
	case !listed:
		return nil // the list may lag behind
	case !live || i.Unhealthy != "":
		return c.recordUnplannedAbsence(ctx, i, hasUnplanned)
	case i.Phase == Serving && read.After(changed) && listingDiffers(i, l):
		_, err := c.updateInstance(ctx, i, authority{}, "listed with another address, size or boot", func(n *Instance) { applyListing(n, l) })
		return err
	case absent && i.Phase == Serving && i.orderID() != x.Order:
		return c.endAbsenceIfUnneeded(ctx, x)
	case hasUnplanned && i.Phase == Serving && x.Order == "":
		return c.endAbsenceIfUnneeded(ctx, x)
	}
	return nil
}

func listingDiffers(i Instance, l lister.Listing) bool {
	return l.Address != i.Address || l.Slots != i.Slots || l.Boots != i.Boots
}

func applyListing(n *Instance, l lister.Listing) {
	n.Address, n.Slots, n.Boots = l.Address, l.Slots, l.Boots
}

// recordUnplannedAbsence counts an instance as out of service without an order.
func (c *Coordinator) recordUnplannedAbsence(ctx context.Context, i Instance, hasUnplanned bool) error {
	if hasUnplanned {
		return nil
	}
	err := c.budgets.MarkUnplanned(ctx, newAbsence(i, "", time.Now()))
	if err == nil {
		c.recordDecision(i, "absence counted that nobody planned")
	}
	return errors.Trace(err)
}

// markAbsent takes an instance that is missing from the instance list out of
// service. Its order fails, unless it is a move that its pool's rule lets
// continue when the instance returns.
func (c *Coordinator) markAbsent(ctx context.Context, i Instance) error {
	_, err := c.updateInstance(ctx, i, authority{}, "gone from the instance list", func(n *Instance) {
		n.Phase, n.GoneSince = Absent, time.Now()
		if n.Order != nil && !c.continuesWhenStalled(i) {
			endOrder(n, "failed: instance gone")
		}
	})
	return err
}

// reconcileGoneInstance takes an absent or evicted instance back into
// service when it is listed as live again, and deletes its record when it
// has been gone for longer than the record retention.
func (c *Coordinator) reconcileGoneInstance(ctx context.Context, i Instance, l lister.Listing, live bool) error {
	returned := live && (i.Phase == Absent || l.Boots > i.Boots)
	if returned {
		_, err := c.updateInstance(ctx, i, authority{}, "back in the instance list", func(n *Instance) {
			applyListing(n, l)
			n.Phase, n.GoneSince, n.Unhealthy = Serving, time.Time{}, ""
			if n.Order != nil && n.Order.AbsenceGranted {
				n.Phase = Draining
			}
		})
		return err
	}
	expired := !i.GoneSince.IsZero() && time.Since(i.GoneSince) > c.cfg.recordRetention
	if live || !expired || i.Owner != "" {
		return nil
	}
	return c.deleteInstanceRecord(ctx, i)
}

// deleteInstanceRecord deletes the record of an instance that has left the
// fleet. The next round then ends the instance's absence.
func (c *Coordinator) deleteInstanceRecord(ctx context.Context, seen Instance) error {
	rec, err := c.mover.store.Get(ctx, recordKey(seen.ID))
	if err != nil {
		return errors.Trace(err)
	}
	cur, err := keeper.Decode[Instance](rec)
	if err != nil || cur.Epoch != seen.Epoch {
		return errors.Trace(err)
	}
	if err := c.mover.store.Delete(ctx, rec.Key, rec.Revision); err != nil {
		return errors.Trace(err)
	}
	c.recordDecision(seen, "forgotten, gone since "+seen.GoneSince.Format(time.RFC3339))
	return nil
}

// endAbsenceIfUnneeded ends an absence if it is no longer needed. It decides
// on the stored record instead of the local copy: an order is written to the
// record before it takes its absence, so an absence whose order is not in
// the record will not be used any more.
func (c *Coordinator) endAbsenceIfUnneeded(ctx context.Context, x budgeter.Absence) error {
	rec, err := c.mover.store.Get(ctx, recordKey(x.Instance))
	if err != nil {
		return errors.Trace(err)
	}
	cur, err := keeper.Decode[Instance](rec)
	if err != nil {
		return errors.Trace(err)
	}
	gone := rec.Revision == 0
	healthy := cur.Phase == Serving && cur.Unhealthy == "" && c.mover.roster.isListedLive(x.Instance)
	ended := x.Order == "" || cur.orderID() != x.Order
	if !gone && !(healthy && ended) {
		return nil
	}
	return errors.Trace(c.budgets.EndAbsence(ctx, x.Instance, x.Order))
}
