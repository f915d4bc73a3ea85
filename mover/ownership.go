package mover

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// enlist creates the records of workers that are listed for the first time.
func (c *Coordinator) createRecords(ctx context.Context) error {
	all := c.mover.table.All()
	var fresh []Instance
	for _, l := range c.mover.roster.All() {
		if _, ok := c.mover.table.Get(l.ID); !ok && l.State == lister.Live && l.Pool != "" {
			fresh = append(fresh, newInstance(l))
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	owners := Assign(append(all, fresh...), activeCandidates(c.view()))
	for _, i := range fresh {
		i.Owner = owners[i.ID]
		next, rec, err := updateRecord(ctx, c.mover.store, i.ID, authority{writer: c.mover.self}, func(n *Instance) bool {
			absent := n.ID == ""
			if absent {
				*n = i
			}
			return absent
		})
		if err != nil {
			return errors.Annotatef(err, "creating the record of %s", i.ID)
		}
		c.mover.table.storeIfNewer(next, rec.Revision)
		c.recordDecision(next, "listed for the first time")
	}
	c.mover.Wake()
	return nil
}

func newInstance(l lister.Listing) Instance {
	return Instance{
		ID: l.ID, Address: l.Address, Zone: l.Zone, Rack: l.Rack, Pool: l.Pool, Home: l.Pool,
		Slots: l.Slots, Boots: l.Boots, Phase: Serving,
	}
}

func activeCandidates(v registrar.View) []Candidate {
	var list []Candidate
	for _, m := range v.Members {
		if m.State == registrar.Active {
			list = append(list, Candidate{ID: m.ID, Zone: m.Zone})
		}
	}
	return list
}

// evidence returns why a member can neither start nor run work, or "" while it
// may.
func (c *Coordinator) stoppedReason(v registrar.View, member string, now time.Time) string {
	for _, m := range v.Members {
		if m.ID == member {
			return ""
		}
	}
	d, ok := v.Departure(member)
	if !ok {
		return ""
	}
	since := d.Since
	if c.cfg.departedSince != nil {
		since, ok = c.cfg.departedSince(member)
	}
	if !ok || now.Sub(since) < c.cfg.staleness+c.cfg.taskLease+c.cfg.clockMargin {
		return ""
	}
	return d.Reason
}

// own spreads the instances over the active members. The owner of an instance
// changes at once when it has none or its owner is known to be dead, and by
// way of the owner itself otherwise.
func (c *Coordinator) assignOwners(ctx context.Context) error {
	v, now := c.view(), time.Now()
	all := c.mover.table.All()
	var present []Instance
	for _, i := range all {
		if !i.Phase.gone() {
			present = append(present, i)
		}
	}
	o := ownershipPlan{view: v, wantedOwners: Assign(present, activeCandidates(v)), handoversByPool: map[string]int{}}
	for _, i := range all {
		if i.NextOwner != "" {
			o.handoversByPool[i.Pool]++
		}
	}
	var failed error
	for _, i := range all {
		if err := c.assignOwner(ctx, o, i, now); err != nil && !errors.Is(err, ErrRecordChanged) {
			failed = err
		}
	}
	return errors.Trace(failed)
}

// ownership is what the owners should be under one view.
type ownershipPlan struct {
	view            registrar.View
	wantedOwners    map[string]string // owner by instance
	handoversByPool map[string]int    // handovers under way by pool
}

func (o ownershipPlan) memberState(member string) registrar.State {
	for _, m := range o.view.Members {
		if m.ID == member {
			return m.State
		}
	}
	return ""
}

func (c *Coordinator) assignOwner(ctx context.Context, o ownershipPlan, i Instance, now time.Time) error {
	wanted := o.wantedOwners[i.ID]
	dead := c.stoppedReason(o.view, i.Owner, now)
	switch {
	case i.Owner == "" && wanted == "":
		return nil
	case i.Owner == "":
		_, err := c.updateInstance(ctx, i, authority{}, "given to "+wanted, func(n *Instance) { n.Owner, n.NextOwner = wanted, "" })
		return err
	case dead != "":
		_, err := c.updateInstance(ctx, i, authority{ownerStopped: true}, "taken from "+i.Owner+" ("+dead+")", func(n *Instance) {
			if n.Phase == Draining {
				n.Phase = Drained
			}
			n.Owner, n.NextOwner = wanted, ""
		})
		return err
	case i.NextOwner != "":
		return c.cancelHandoverIfStalled(ctx, o, i, now)
	case wanted == "" || wanted == i.Owner:
		return nil
	}
	return c.startHandover(ctx, o, i, wanted, now)
}

// hand asks the owner to hand an instance over. Between active members few
// instances are handed over at once, since each takes no work meanwhile.
func (c *Coordinator) startHandover(ctx context.Context, o ownershipPlan, i Instance, to string, now time.Time) error {
	switch o.memberState(i.Owner) {
	case registrar.Leaving:
	case registrar.Active:
		if i.Phase != Serving || i.Order != nil || o.handoversByPool[i.Pool] >= maxHandoversPerPool || now.Before(c.noHandoverBefore[i.ID]) {
			return nil
		}
		o.handoversByPool[i.Pool]++
	default:
		return nil // no evidence yet
	}
	_, err := c.updateInstance(ctx, i, authority{}, "to be handed over to "+to, func(n *Instance) { n.NextOwner, n.NextOwnerSince = to, now })
	return err
}

// recall ends a handover whose receiver has gone, or that a long task holds
// up although the owner stays.
func (c *Coordinator) cancelHandoverIfStalled(ctx context.Context, o ownershipPlan, i Instance, now time.Time) error {
	lost := o.memberState(i.NextOwner) != registrar.Active
	stays := o.memberState(i.Owner) == registrar.Active
	late := stays && now.Sub(i.NextOwnerSince) > c.cfg.handoverTimeout
	if !lost && !late {
		return nil
	}
	c.noHandoverBefore[i.ID] = now.Add(10 * c.cfg.handoverTimeout)
	_, err := c.updateInstance(ctx, i, authority{}, "handover to "+i.NextOwner+" called off", func(n *Instance) { n.NextOwner = "" })
	return err
}
