package excluder

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// Evacuate records the evacuation of a zone and waits until all registered
// entries have confirmed it, at most for the confirmation timeout. A
// *classifier.Error with verdict NotRun means that nothing was written; any other
// verdict means that the evacuation may have been accepted.
func (x *Excluder) Evacuate(ctx context.Context, req Request) (Change, error) {
	if err := checkComment(req.Zone, req.Comment); err != nil {
		return Change{}, err
	}
	inService, err := x.prepare(ctx, req)
	if err != nil {
		return Change{}, err
	}
	e := Evacuation{Zone: req.Zone, RequestedBy: req.RequestedBy, Since: time.Now().UTC(), Comment: req.Comment, Op: uuid.NewString()}
	next, err := x.update(ctx, func(cur Record) (Record, bool, error) {
		if held, ok := cur.Find(e.Zone); ok && held.Op == e.Op {
			return cur, false, nil // written by an earlier attempt whose answer was lost
		}
		if err := inService.checkEvacuation(cur, req); err != nil {
			return cur, false, err
		}
		return cur.with(e), true, nil
	})
	if err != nil {
		return Change{}, writeError(err, "the evacuation of zone "+req.Zone)
	}
	return x.confirm(ctx, e, next.Number), nil
}

// Restore records that a zone is no longer evacuated. It waits and fails like
// Evacuate.
func (x *Excluder) Restore(ctx context.Context, req Request) (Change, error) {
	inService, err := x.prepare(ctx, req)
	if err != nil {
		return Change{}, err
	}
	var e Evacuation // the evacuation that this request ends
	next, err := x.update(ctx, func(cur Record) (Record, bool, error) {
		held, ok := cur.Find(req.Zone)
		switch {
		case e.Op == "":
			if err := inService.checkRestore(cur, req.Zone); err != nil {
				return cur, false, err
			}
			e = held
		case !ok || held.Op != e.Op:
			return cur, false, nil // ended already; a later evacuation of the zone stays
		}
		return cur.without(req.Zone), true, nil
	})
	if err != nil {
		return Change{}, writeError(err, "the restoring of zone "+req.Zone)
	}
	return x.confirm(ctx, e, next.Number), nil
}

// prepare checks that this entry accepts changes and returns the instances in
// service by zone. Nothing has been written when it fails.
func (x *Excluder) prepare(ctx context.Context, req Request) (InService, error) {
	if err := x.changeCheck(); err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	inService, err := x.inService(ctx)
	if err != nil {
		return nil, unchangedError("zone "+req.Zone, err)
	}
	return inService, nil
}

// update changes the stored record with compare-and-swap and puts the result in
// force here. If the service has lost changes, the change is made to the record
// that this entry knows.
func (x *Excluder) update(ctx context.Context, change func(cur Record) (Record, bool, error)) (Record, error) {
	start := time.Now()
	next, _, err := keeper.Update(ctx, x.store, keeper.EvacuationsKey, func(cur Record, _ bool) (Record, bool, error) {
		return change(newer(cur, x.Record()))
	})
	if err != nil {
		return Record{}, errors.Trace(err)
	}
	x.adopt(next, start)
	return next, nil
}

// writeError classifies the error of an update. what names the change.
func writeError(err error, what string) error {
	var refusal *classifier.Error
	switch {
	case errors.Is(err, keeper.ErrUnknown):
		return classifier.Uncertain(classifier.StoreDown, "%s may have been accepted, because the answer of the key-value service was lost: run zone list before another attempt: %v", what, err)
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, keeper.ErrConflict):
		return classifier.Refuse(classifier.Conflict, "%s: nothing was changed, other operators were faster each time: run zone list and try again: %v", what, err)
	}
	return unchangedError(what, err)
}

func unchangedError(what string, err error) error {
	return classifier.Refuse(classifier.StoreDown, "%s: nothing was changed, because the key-value service did not answer: %v", what, err).WithRetryAfter(storeRetryAfter)
}

// confirm waits until all other registered entries have a record with the number
// or a higher one in force, at most for the confirmation timeout.
func (x *Excluder) confirm(ctx context.Context, e Evacuation, number uint64) Change {
	ctx, cancel := context.WithTimeout(ctx, x.confirmTimeout)
	defer cancel()
	x.peers.Refresh(ctx) // an entry that has registered since must confirm as well
	c := Change{Evacuation: e, Number: number, Confirmed: []string{x.peers.Self()}}
	for {
		for id, r := range x.peers.Reports(ctx, number) {
			if r.Record.Number >= number && !slices.Contains(c.Confirmed, id) {
				c.Confirmed = append(c.Confirmed, id)
			}
		}
		c.Missing = slices.DeleteFunc(x.peers.Registered(), func(id string) bool { return slices.Contains(c.Confirmed, id) })
		if len(c.Missing) == 0 || !sleep(ctx, confirmInterval) {
			break
		}
	}
	slices.Sort(c.Confirmed)
	slices.Sort(c.Missing)
	if len(c.Missing) > 0 {
		x.log.Warn("change of the evacuated zones not confirmed by all entries", "zone", e.Zone, "number", number, "missing", c.Missing)
	} else {
		x.log.Info("change of the evacuated zones confirmed by all entries", "zone", e.Zone, "number", number, "confirmed", len(c.Confirmed))
	}
	return c
}

// sleep waits for the given time. It returns false when ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
