package mover

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// Errors of changes to instance records.
const (
	// ErrRecordChanged reports that the record is no longer as the writer saw it.
	// Nothing was written.
	ErrRecordChanged = errors.ConstError("instance record changed meanwhile")
	// ErrInvariantBroken reports a change that would break an invariant. Nothing
	// was written.
	ErrInvariantBroken = errors.ConstError("change breaks an invariant")
)

type (
	// Store is the part of the key-value service that the package uses.
	Store interface {
		Get(ctx context.Context, key string) (keeper.Record, error)
		List(ctx context.Context, prefix string) ([]keeper.Record, int64, error)
		Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error)
		Delete(ctx context.Context, key string, revision int64) error
		Watch(ctx context.Context, prefix string, after int64, fn func(keeper.Event)) error
	}

	// right says on what ground a writer changes a record.
	authority struct {
		writer       string // member that writes
		ownerIdle    bool   // self owns the instance, starts nothing on it and runs nothing
		ownerStopped bool   // the owner is known to start and run nothing
	}
)

// key returns the key of an instance's record.
func recordKey(id string) string {
	return keeper.InstancePrefix + id
}

// change writes the record of an instance by compare-and-swap. It calls edit
// on the current record, which returns false to leave it alone. The write is
// refused with ErrForbidden when it breaks an invariant.
func updateRecord(ctx context.Context, s Store, id string, r authority, edit func(*Instance) bool) (Instance, keeper.Record, error) {
	return keeper.Update(ctx, s, recordKey(id), func(cur Instance, exists bool) (Instance, bool, error) {
		next := cloneInstance(cur)
		if !edit(&next) {
			return cur, false, nil
		}
		if !exists {
			next.Epoch = uint64(time.Now().UnixMilli()) // above any epoch of an earlier record of the instance
			return next, true, nil
		}
		next.Epoch = cur.Epoch + 1
		if invariant := brokenInvariant(cur, next, r); invariant != "" {
			return cur, false, errors.Annotatef(ErrInvariantBroken, "instance %s: %s", id, invariant)
		}
		return next, true, nil
	})
}

// changeSeen is change for a writer that decided on the record at epoch. It
// returns ErrMoved when the record has another epoch.
func updateIfUnchanged(ctx context.Context, s Store, seen Instance, r authority, edit func(*Instance)) (Instance, keeper.Record, error) {
	stale := false
	rec, kept, err := updateRecord(ctx, s, seen.ID, r, func(i *Instance) bool {
		stale = i.Epoch != seen.Epoch
		if !stale {
			edit(i)
		}
		return !stale
	})
	if err == nil && stale {
		err = errors.Annotatef(ErrRecordChanged, "instance %s", seen.ID)
	}
	return rec, kept, err
}

// breach names the invariant that a change from cur to next breaks, if any.
func brokenInvariant(cur, next Instance, r authority) string {
	mayReplaceOwner := cur.Owner == "" || r.ownerStopped || (r.ownerIdle && cur.Owner == r.writer)
	switch {
	case next.ID != cur.ID:
		return "identity changed"
	case next.Pool == "":
		return "no pool"
	case next.Pool != cur.Pool && cur.Phase != Drained:
		return "pool changed in phase " + string(cur.Phase)
	case next.Owner != cur.Owner && !mayReplaceOwner:
		return "owner " + cur.Owner + " has not released it"
	case next.Phase == Drained && cur.Phase != Drained && !mayReplaceOwner:
		return "drained while owner " + cur.Owner + " may run work"
	case next.Phase == Rebooting && cur.Phase != Drained && cur.Phase != Rebooting:
		return "rebooting from phase " + string(cur.Phase)
	}
	return ""
}

func cloneInstance(i Instance) Instance {
	if i.Order != nil {
		order := *i.Order
		i.Order = &order
	}
	return i
}
