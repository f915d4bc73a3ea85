package mover

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// Errors returned when a change to an instance record is not written.
const (
	// ErrRecordChanged reports that the record has changed since the writer
	// read it. Nothing was written.
	ErrRecordChanged = errors.ConstError("instance record changed meanwhile")
	// ErrInvariantBroken reports a change that would break an invariant of
	// instance records. Nothing was written.
	ErrInvariantBroken = errors.ConstError("change breaks an invariant")
)

type (
	// Store is the part of the key-value store client that this package uses.
	Store interface {
		Get(ctx context.Context, key string) (keeper.Record, error)
		List(ctx context.Context, prefix string) ([]keeper.Record, int64, error)
		Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error)
		Delete(ctx context.Context, key string, revision int64) error
		Watch(ctx context.Context, prefix string, after int64, fn func(keeper.Event)) error
	}

	// authority states who changes a record, and why that writer may replace
	// the owner or mark the instance as drained.
	authority struct {
		writer       string // ID of the member that writes
		ownerIdle    bool   // the writer owns the instance, runs nothing on it and starts nothing there
		ownerStopped bool   // the owner is known to run nothing on the instance and to start nothing there
	}
)

// recordKey returns the store key of an instance's record.
func recordKey(id string) string {
	return keeper.InstancePrefix + id
}

// updateRecord changes the record of an instance by compare-and-swap. It calls
// edit on a copy of the current record; when edit returns false, nothing is
// written. A change that breaks an invariant fails with ErrInvariantBroken.
func updateRecord(ctx context.Context, s Store, id string, r authority, edit func(*Instance) bool) (Instance, keeper.Record, error) {
	return keeper.Update(ctx, s, recordKey(id), func(cur Instance, exists bool) (Instance, bool, error) {
		next := cloneInstance(cur)
		if !edit(&next) {
			return cur, false, nil
		}
		if !exists {
			next.Epoch = uint64(time.Now().UnixMilli()) // greater than any epoch of an earlier, deleted record of the instance
			return next, true, nil
		}
		next.Epoch = cur.Epoch + 1
		if invariant := brokenInvariant(cur, next, r); invariant != "" {
			return cur, false, errors.Annotatef(ErrInvariantBroken, "instance %s: %s", id, invariant)
		}
		return next, true, nil
	})
}

// updateIfUnchanged changes the record of an instance like updateRecord, but
// only if the record still has the epoch of seen, the version on which the
// writer based its decision. Otherwise it fails with ErrRecordChanged.
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

// brokenInvariant describes the invariant that a change from cur to next breaks.
// It returns "" when the change is allowed.
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
