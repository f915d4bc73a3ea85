package registrar

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/lister"
)

// errViewChanged reports that the membership changed after the hand-over.
const errViewChanged = errors.ConstError("the membership changed after the hand-over")

// listLoop reads the instance list regularly and, while this member is the
// coordinator, removes members whose instance is lost.
func (r *Registrar) listLoop(ctx context.Context) error {
	ticker := time.NewTicker(r.cfg.listPoll)
	defer ticker.Stop()
	for {
		r.readInstanceList(ctx)
		r.removeLostMembers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// readInstanceList reads the instance list once. A failed read is left to the
// next one.
func (r *Registrar) readInstanceList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	listings, err := r.list.List(ctx)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordInstances(start, listings)
}

// recordInstances records which members are missing from an instance list whose
// read began at start. A list that lacks this member's own instance is not
// trusted. The caller holds mu.
func (r *Registrar) recordInstances(start time.Time, listings []lister.Listing) {
	present := make(map[string]bool, len(listings))
	registered := make(map[string]bool, len(r.view.Members))
	for _, m := range r.view.Members {
		registered[m.Instance] = true
	}
	for _, l := range listings {
		present[l.ID] = true
	}
	r.delisted = r.wasListed && !present[r.self.Instance]
	if !present[r.self.Instance] {
		return
	}
	r.wasListed = true
	r.listedAt = start
	missing := make(map[string]time.Time)
	for _, m := range r.view.Members {
		if present[m.Instance] || !r.listMustContain(m.ID, start) {
			continue
		}
		missing[m.ID] = start
		if since, ok := r.absentSince[m.ID]; ok {
			missing[m.ID] = since
		}
	}
	r.absentSince = missing
}

// listMustContain reports whether the member was registered long enough
// before the start of a list read that the list must contain its instance, even
// if the list lags. An older list may still lack an instance that was lost and
// then replaced. The caller holds mu.
func (r *Registrar) listMustContain(id string, start time.Time) bool {
	seen, ok := r.firstSeen[id]
	return ok && start.Sub(seen) > r.limits.lag
}

// removeLostMembers removes the members whose instance has been missing from
// the instance list for longer than the list lags.
func (r *Registrar) removeLostMembers(ctx context.Context) {
	if r.cfg.coordinator == nil || !r.cfg.coordinator.Held() {
		return
	}
	gone := r.lostMembers()
	if len(gone) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.removeMembers(ctx, gone); err != nil {
		r.log.Warn("removing members whose instance is lost failed; retrying at the next read of the instance list", "members", len(gone), "error", err)
		return
	}
	for _, d := range gone {
		r.log.Info("removed member whose instance is lost", "member", d.ID, "reason", d.Reason, "absent", d.Absent)
	}
}

// lostMembers returns departures for the members whose instance has been
// missing from the instance list for longer than the list lags.
func (r *Registrar) lostMembers() []Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.collectObservations(time.Now())
	var gone []Departure
	for _, m := range r.view.Others(r.self.ID) {
		if o.isLost(m.ID, r.limits) {
			gone = append(gone, Departure{ID: m.ID, Reason: Gone, By: r.self.ID, Absent: r.absentSince[m.ID]})
		}
	}
	return gone
}

// removeMembers removes the members that the departures name.
func (r *Registrar) removeMembers(ctx context.Context, departures []Departure) error {
	return r.updateAndAdoptMembership(ctx, func(cur View) (View, bool, error) {
		next, write := cur.withoutMembers(departures, time.Now())
		return next, write, nil
	})
}

// Evict removes a member at the request of the operator who, who vouches that
// the member's process is dead. It fails with classifier.NotFound for an
// unknown member and with classifier.StoreDown when the key-value service did
// not confirm the change.
func (r *Registrar) Evict(ctx context.Context, id, who string) error {
	if _, ok := r.View().Member(id); !ok {
		return classifier.Refuse(classifier.NotFound, "no member %q is registered", id)
	}
	if err := r.removeMembers(ctx, []Departure{{ID: id, Reason: Evicted, By: who}}); err != nil {
		return classifier.Uncertain(classifier.StoreDown, "evicting %s: %v", id, err)
	}
	return nil
}

// Leave marks the member as leaving, waits for the hand-over of its idempotency
// keys and deregisters it. Run then returns nil. When ctx ends first, the
// member stays registered until its instance is lost or a newer process of its
// instance registers.
func (r *Registrar) Leave(ctx context.Context) error {
	id := r.Self().ID
	if id == "" {
		return errors.Trace(ErrUnregistered)
	}
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	if err := r.updateAndAdoptMembership(ctx, func(cur View) (View, bool, error) {
		next, write := cur.withMemberLeaving(id, time.Now())
		return next, write, nil
	}); err != nil {
		return errors.Annotate(err, "marking the member as leaving")
	}
	for {
		err := r.deregister(ctx, id)
		if !errors.Is(err, errViewChanged) {
			return errors.Annotate(err, "deregistering")
		}
		r.Refresh(ctx)
	}
}

// deregister waits until the idempotency keys are handed over under the known
// view, and then removes the member if that view is still the latest one.
// Otherwise it returns errViewChanged.
func (r *Registrar) deregister(ctx context.Context, id string) error {
	number := r.View().Number
	if err := r.cfg.handOver(ctx, number); err != nil {
		if ctx.Err() == nil && r.View().Number != number {
			return errViewChanged
		}
		return errors.Annotate(err, "handing over the names of requests (idempotency keys)")
	}
	return r.updateAndAdoptMembership(ctx, func(cur View) (View, bool, error) {
		if cur.Number != number {
			if _, ok := cur.Member(id); !ok {
				return cur, false, nil
			}
			return cur, false, errViewChanged
		}
		reason := Left
		if len(cur.Active()) == 0 {
			reason = Last
		}
		next, write := cur.withoutMembers([]Departure{{ID: id, Reason: reason, By: id}}, time.Now())
		return next, write, nil
	})
}

// updateAndAdoptMembership updates the membership record with fn and adopts the
// resulting view.
func (r *Registrar) updateAndAdoptMembership(ctx context.Context, fn func(cur View) (View, bool, error)) error {
	start := time.Now()
	v, err := r.updateMembership(ctx, fn)
	if err != nil {
		return errors.Trace(err)
	}
	r.adoptView(v, start)
	return nil
}
