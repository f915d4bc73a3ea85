package mover

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// createRecords creates the records of workers that are listed for the first
// time.
func (c *Coordinator) createRecords(ctx context.Context) error {
	all := c.mover.table.All()
	var created []Instance
	for _, l := range c.mover.roster.All() {
		if _, ok := c.mover.table.Get(l.ID); !ok && l.State == lister.Live && l.Pool != "" {
			created = append(created, newInstance(l))
		}
	}
	if len(created) == 0 {
		return nil
	}
	owners := Assign(append(all, created...), activeCandidates(c.view()))
	for _, i := range created {
		i.Owner = owners[i.ID]
		next, rec, err := updateRecord(ctx, c.mover.store, i.ID, authority{writer: c.mover.self}, func(n *Instance) bool {
			absent := n.ID == ""
			if absent {
				*n = i
			}
			return absent
		})
		if err != nil {
			return errors.Annotatef(err, "creating the record of instance %s", i.ID)
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

// stoppedReason returns why a member left the cluster, once it can neither start
// nor run work any more. It returns "" while the member may still do so.
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

// assignOwners spreads the instances over the active members. An instance gets a
// new owner at once when it has none or its owner has certainly stopped.
// Otherwise the owner itself hands the instance over.
func (c *Coordinator) assignOwners(ctx context.Context) error {
	v, now := c.view(), time.Now()
	all := c.mover.table.All()
	var present []Instance
	for _, i := range all {
		if !i.Phase.isGone() {
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

// ownershipPlan is the assignment of instances to owners for one member view.
type ownershipPlan struct {
	view            registrar.View
	wantedOwners    map[string]string // owner by instance ID
	handoversByPool map[string]int    // handovers in progress by pool
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
	stoppedReason := c.stoppedReason(o.view, i.Owner, now)
	switch {
	case i.Owner == "" && wanted == "":
		return nil
	case i.Owner == "":
		_, err := c.updateInstance(ctx, i, authority{}, "given to "+wanted, func(n *Instance) { n.Owner, n.NextOwner = wanted, "" })
		return err
	case stoppedReason != "":
		_, err := c.updateInstance(ctx, i, authority{ownerStopped: true}, "taken from "+i.Owner+" ("+stoppedReason+")", func(n *Instance) {
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

// startHandover asks the owner to hand an instance over to another member.
// Between active members only maxHandoversPerPool instances of a pool are handed
// over at once, since an instance gets no new work during its handover.
func (c *Coordinator) startHandover(ctx context.Context, o ownershipPlan, i Instance, to string, now time.Time) error {
	switch o.memberState(i.Owner) {
	case registrar.Leaving:
	case registrar.Active:
		if i.Phase != Serving || i.Order != nil || o.handoversByPool[i.Pool] >= maxHandoversPerPool || now.Before(c.noHandoverBefore[i.ID]) {
			return nil
		}
		o.handoversByPool[i.Pool]++
	default:
		return nil // the owner has left the member view but may still run work
	}
	_, err := c.updateInstance(ctx, i, authority{}, "to be handed over to "+to, func(n *Instance) { n.NextOwner, n.NextOwnerSince = to, now })
	return err
}

// cancelHandoverIfStalled cancels a handover when the new owner is no longer
// active, or when it exceeds the handover timeout, for example because of a long
// task, and the current owner stays active.
func (c *Coordinator) cancelHandoverIfStalled(ctx context.Context, o ownershipPlan, i Instance, now time.Time) error {
	newOwnerGone := o.memberState(i.NextOwner) != registrar.Active
	ownerStays := o.memberState(i.Owner) == registrar.Active
	late := ownerStays && now.Sub(i.NextOwnerSince) > c.cfg.handoverTimeout
	if !newOwnerGone && !late {
		return nil
	}
	c.noHandoverBefore[i.ID] = now.Add(10 * c.cfg.handoverTimeout)
	_, err := c.updateInstance(ctx, i, authority{}, "handover to "+i.NextOwner+" called off", func(n *Instance) { n.NextOwner = "" })
	return err
}
