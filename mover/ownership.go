package mover

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// enlist creates the records of workers that are listed for the first time.
func (c *Coordinator) enlist(ctx context.Context) error {
	all := c.m.table.All()
	var fresh []Instance
	for _, l := range c.m.roster.All() {
		if _, ok := c.m.table.Get(l.ID); !ok && l.State == lister.Live && l.Pool != "" {
			fresh = append(fresh, newInstance(l))
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	owners := Assign(append(all, fresh...), candidates(c.view()))
	for _, i := range fresh {
		i.Owner = owners[i.ID]
		next, rec, err := change(ctx, c.m.store, i.ID, right{self: c.m.self}, func(n *Instance) bool {
			absent := n.ID == ""
			if absent {
				*n = i
			}
			return absent
		})
		if err != nil {
			return errors.Annotatef(err, "creating the record of %s", i.ID)
		}
		c.m.table.store(next, rec.Revision)
		c.note(next, "listed for the first time")
	}
	c.m.Wake()
	return nil
}

func newInstance(l lister.Listing) Instance {
	return Instance{
		ID: l.ID, Address: l.Address, Zone: l.Zone, Rack: l.Rack, Pool: l.Pool, Home: l.Pool,
		Slots: l.Slots, Boots: l.Boots, Phase: Serving,
	}
}

func candidates(v registrar.View) []Candidate {
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
func (c *Coordinator) evidence(v registrar.View, member string, now time.Time) string {
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
	if c.cfg.departed != nil {
		since, ok = c.cfg.departed(member)
	}
	if !ok || now.Sub(since) < c.cfg.staleness+c.cfg.taskLease+c.cfg.clockMargin {
		return ""
	}
	return d.Reason
}

// own spreads the instances over the active members. The owner of an instance
// changes at once when it has none or its owner is known to be dead, and by
// way of the owner itself otherwise.
func (c *Coordinator) own(ctx context.Context) error {
	v, now := c.view(), time.Now()
	all := c.m.table.All()
	var present []Instance
	for _, i := range all {
		if !i.Phase.gone() {
			present = append(present, i)
		}
	}
	o := ownership{view: v, wanted: Assign(present, candidates(v)), under: map[string]int{}}
	for _, i := range all {
		if i.Next != "" {
			o.under[i.Pool]++
		}
	}
	var failed error
	for _, i := range all {
		if err := c.ownOne(ctx, o, i, now); err != nil && !errors.Is(err, ErrMoved) {
			failed = err
		}
	}
	return errors.Trace(failed)
}

// ownership is what the owners should be under one view.
type ownership struct {
	view   registrar.View
	wanted map[string]string // owner by instance
	under  map[string]int    // handovers under way by pool
}

func (o ownership) state(member string) registrar.State {
	for _, m := range o.view.Members {
		if m.ID == member {
			return m.State
		}
	}
	return ""
}

func (c *Coordinator) ownOne(ctx context.Context, o ownership, i Instance, now time.Time) error {
	wanted := o.wanted[i.ID]
	dead := c.evidence(o.view, i.Owner, now)
	switch {
	case i.Owner == "" && wanted == "":
		return nil
	case i.Owner == "":
		_, err := c.write(ctx, i, right{}, "given to "+wanted, func(n *Instance) { n.Owner, n.Next = wanted, "" })
		return err
	case dead != "":
		_, err := c.write(ctx, i, right{evidence: true}, "taken from "+i.Owner+" ("+dead+")", func(n *Instance) {
			if n.Phase == Draining {
				n.Phase = Drained
			}
			n.Owner, n.Next = wanted, ""
		})
		return err
	case i.Next != "":
		return c.recall(ctx, o, i, now)
	case wanted == "" || wanted == i.Owner:
		return nil
	}
	return c.hand(ctx, o, i, wanted, now)
}

// hand asks the owner to hand an instance over. Between active members few
// instances are handed over at once, since each takes no work meanwhile.
func (c *Coordinator) hand(ctx context.Context, o ownership, i Instance, to string, now time.Time) error {
	switch o.state(i.Owner) {
	case registrar.Leaving:
	case registrar.Active:
		if i.Phase != Serving || i.Order != nil || o.under[i.Pool] >= defaultHandovers || now.Before(c.waits[i.ID]) {
			return nil
		}
		o.under[i.Pool]++
	default:
		return nil // no evidence yet
	}
	_, err := c.write(ctx, i, right{}, "to be handed over to "+to, func(n *Instance) { n.Next, n.NextSince = to, now })
	return err
}

// recall ends a handover whose receiver has gone, or that a long task holds
// up although the owner stays.
func (c *Coordinator) recall(ctx context.Context, o ownership, i Instance, now time.Time) error {
	lost := o.state(i.Next) != registrar.Active
	stays := o.state(i.Owner) == registrar.Active
	late := stays && now.Sub(i.NextSince) > c.cfg.handoverLimit
	if !lost && !late {
		return nil
	}
	c.waits[i.ID] = now.Add(10 * c.cfg.handoverLimit)
	_, err := c.write(ctx, i, right{}, "handover to "+i.Next+" called off", func(n *Instance) { n.Next = "" })
	return err
}
