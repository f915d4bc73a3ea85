package registrar

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/lister"
)

// errNewer reports that the membership changed since the hand-over.
const errNewer = errors.ConstError("membership has changed")

// listLoop reads the instance list and removes members whose instance is gone
// while the member holds the duty.
func (r *Registrar) listLoop(ctx context.Context) error {
	ticker := time.NewTicker(r.cfg.listPoll)
	defer ticker.Stop()
	for {
		r.readList(ctx)
		r.removeGone(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Registrar) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	start := time.Now()
	listings, err := r.list.List(ctx)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteListings(start, listings)
}

// noteListings notes which members are missing from a list called for at
// start. A list without the member's own instance is not relied on. The
// caller holds mu.
func (r *Registrar) noteListings(start time.Time, listings []lister.Listing) {
	present := make(map[string]bool, len(listings))
	registered := make(map[string]bool, len(r.view.Members))
	for _, m := range r.view.Members {
		registered[m.Instance] = true
	}
	for _, l := range listings {
		present[l.ID] = true
	}
	r.delisted = r.seenListed && !present[r.self.Instance]
	if !present[r.self.Instance] {
		return
	}
	r.seenListed = true
	r.listed = start
	missing := make(map[string]time.Time)
	for _, m := range r.view.Members {
		if present[m.Instance] || !r.listCovers(m.ID, start) {
			continue
		}
		missing[m.ID] = start
		if since, ok := r.absent[m.ID]; ok {
			missing[m.ID] = since
		}
	}
	r.absent = missing
}

// listCovers reports whether a list called for at start is newer than the
// member's registration, however much it lags. An older one may lack an
// instance that was lost and replaced. The caller holds mu.
func (r *Registrar) listCovers(id string, start time.Time) bool {
	seen, ok := r.firstSeen[id]
	return ok && start.Sub(seen) > r.limits.lag
}

// removeGone removes the members whose instance has been missing from the
// list for longer than the list lags.
func (r *Registrar) removeGone(ctx context.Context) {
	if r.cfg.duty == nil || !r.cfg.duty.Held() {
		return
	}
	gone := r.gone()
	if len(gone) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if err := r.remove(ctx, gone); err != nil {
		r.log.Warn("removing members failed", "members", len(gone), "error", err)
		return
	}
	for _, d := range gone {
		r.log.Info("member removed", "member", d.ID, "reason", d.Reason, "absent", d.Absent)
	}
}

// gone returns the departures of the members whose instance has been missing
// for longer than the list lags.
func (r *Registrar) gone() []Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.facts(time.Now())
	var gone []Departure
	for _, m := range r.view.Others(r.self.ID) {
		if f.countedOut(m.ID, r.limits) {
			gone = append(gone, Departure{ID: m.ID, Reason: Gone, By: r.self.ID, Absent: r.absent[m.ID]})
		}
	}
	return gone
}

// remove removes members on evidence.
func (r *Registrar) remove(ctx context.Context, departures []Departure) error {
	return r.change(ctx, func(cur View) (View, bool, error) {
		next, write := cur.remove(departures, time.Now())
		return next, write, nil
	})
}

// Evict removes a member on the word of the operator who, who vouches that its
// process is dead. It fails with classifier.NotFound for an unknown member and
// with classifier.StoreDown when the service did not confirm the change.
func (r *Registrar) Evict(ctx context.Context, id, who string) error {
	if _, ok := r.View().Member(id); !ok {
		return classifier.Refuse(classifier.NotFound, "no member %q is registered", id)
	}
	if err := r.remove(ctx, []Departure{{ID: id, Reason: Evicted, By: who}}); err != nil {
		return classifier.Uncertain(classifier.StoreDown, "evicting %s: %v", id, err)
	}
	return nil
}

// Leave makes the member Leaving, waits for the hand-over of its names and
// deregisters it. Run then returns nil. When ctx ends first, the member stays
// registered until its instance is gone or registers again.
func (r *Registrar) Leave(ctx context.Context) error {
	id := r.Self().ID
	if id == "" {
		return errors.Trace(ErrUnregistered)
	}
	r.mu.Lock()
	r.left = true
	r.mu.Unlock()
	if err := r.change(ctx, func(cur View) (View, bool, error) {
		next, write := cur.retire(id, time.Now())
		return next, write, nil
	}); err != nil {
		return errors.Annotate(err, "announcing the departure")
	}
	for {
		err := r.deregister(ctx, id)
		if !errors.Is(err, errNewer) {
			return errors.Annotate(err, "deregistering")
		}
		r.Refresh(ctx)
	}
}

// deregister waits until the names are handed over under the known view and
// removes the member if that view is still the latest one.
func (r *Registrar) deregister(ctx context.Context, id string) error {
	number := r.View().Number
	if err := r.cfg.handOver(ctx, number); err != nil {
		if ctx.Err() == nil && r.View().Number != number {
			return errNewer
		}
		return errors.Annotate(err, "handing over names")
	}
	return r.change(ctx, func(cur View) (View, bool, error) {
		if cur.Number != number {
			if _, ok := cur.Member(id); !ok {
				return cur, false, nil
			}
			return cur, false, errNewer
		}
		reason := Left
		if len(cur.Active()) == 0 {
			reason = Last
		}
		next, write := cur.remove([]Departure{{ID: id, Reason: reason, By: id}}, time.Now())
		return next, write, nil
	})
}

// change updates the membership and adopts what it became.
func (r *Registrar) change(ctx context.Context, fn func(cur View) (View, bool, error)) error {
	start := time.Now()
	v, err := r.update(ctx, fn)
	if err != nil {
		return errors.Trace(err)
	}
	r.adopt(v, start)
	return nil
}
