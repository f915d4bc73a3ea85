package distributor

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// compactLoop writes a snapshot and deletes old changes whenever this entry has
// committed a change whose number is a multiple of snapshotInterval. After a
// failure, the next such change compacts the rules.
func (d *Distributor) compactLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.compactWanted:
			if err := d.compactRules(ctx); err != nil {
				d.log.Warn("compacting the rules changes failed; retrying after later changes", "err", err)
			}
		}
	}
}

// compactRules writes a snapshot of the rules in force unless a newer one
// exists, and deletes the changes that are no longer needed.
func (d *Distributor) compactRules(ctx context.Context) error {
	next := snapshotOf(d.Rules())
	kept, _, err := keeper.Update(ctx, d.store, keeper.SnapshotKey, func(cur Snapshot, _ bool) (Snapshot, bool, error) {
		if cur.Number >= next.Number {
			return cur, false, nil
		}
		return next, true, nil
	})
	if err != nil {
		return errors.Trace(err)
	}
	return d.deleteOldChanges(ctx, kept.Number)
}

// deleteOldChanges deletes the changes that are keptChanges or more below the
// snapshot.
func (d *Distributor) deleteOldChanges(ctx context.Context, snapshot uint64) error {
	if snapshot <= keptChanges {
		return nil
	}
	records, _, err := d.store.List(ctx, keeper.ChangePrefix)
	if err != nil {
		return errors.Trace(err)
	}
	for _, record := range records {
		if record.Key > changeKey(snapshot-keptChanges) {
			return nil
		}
		err := d.store.Delete(ctx, record.Key, record.Revision)
		if err != nil && !errors.Is(err, keeper.ErrConflict) {
			return errors.Trace(err)
		}
	}
	return nil
}
