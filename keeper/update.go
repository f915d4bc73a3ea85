package keeper

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

const (
	maxUpdateTries   = 64 // conflicting writes before Update gives up
	maxReadBacks     = 4  // unanswered reads after a lost answer
	minConflictDelay = time.Millisecond
	maxConflictDelay = 100 * time.Millisecond
	minRetryDelay    = 50 * time.Millisecond
	maxRetryDelay    = 2 * time.Second
)

type (
	// SwapStore is the part of the key-value service that Update needs.
	SwapStore interface {
		Get(ctx context.Context, key string) (Record, error)
		Swap(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (Record, error)
	}

	// envelope is the stored form of every record.
	envelope struct {
		Op   string          `json:"op"` // identity of the write
		Body json.RawMessage `json:"body"`
	}
)

// Encode returns the stored form of body, written by operation op.
func Encode(op string, body any) ([]byte, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Annotate(err, "encoding the body of a record")
	}
	value, err := json.Marshal(envelope{Op: op, Body: raw})
	if err != nil {
		return nil, errors.Annotate(err, "encoding a record")
	}
	if len(value) > MaxValueBytes {
		return nil, errors.Annotatef(ErrTooLarge, "%d bytes", len(value))
	}
	return value, nil
}

// Decode returns the body of a stored record. An absent record yields the zero
// value of T.
func Decode[T any](r Record) (T, error) {
	body, _, err := decode[T](r)
	return body, err
}

func decode[T any](r Record) (T, string, error) {
	var body T
	if r.Revision == 0 {
		return body, "", nil
	}
	var env envelope
	if err := json.Unmarshal(r.Value, &env); err != nil {
		return body, "", errors.Annotatef(err, "decoding record %q", r.Key)
	}
	if err := json.Unmarshal(env.Body, &body); err != nil {
		return body, "", errors.Annotatef(err, "decoding the body of record %q", r.Key)
	}
	return body, env.Op, nil
}

// Update changes the record under key by compare-and-swap and returns what is
// stored afterwards. It calls change with the current body until a write
// succeeds; change returns write false to leave the record as it is, and must
// be idempotent, because a write whose answer was lost may be overwritten by
// another writer before it is read back.
//
// ErrUnavailable means that nothing was written. ErrUnknown means that the
// write may have taken effect or may still do so. ErrConflict means that other
// writers were faster on every try. Errors of change are returned unchanged;
// after an unanswered write they are annotated onto ErrUnknown.
func Update[T any](ctx context.Context, s SwapStore, key string, change func(cur T, exists bool) (next T, write bool, err error)) (T, Record, error) {
	u := updater[T]{store: s, key: key, op: uuid.NewString(), change: change}
	for range maxUpdateTries {
		done, err := u.try(ctx)
		if err != nil {
			var zero T
			return zero, Record{}, errors.Annotatef(err, "updating %q", key)
		}
		if done {
			return u.body, u.record, nil
		}
	}
	var zero T
	return zero, Record{}, u.fail(errors.Annotatef(ErrConflict, "updating %q, %d tries", key, maxUpdateTries))
}

// updater is one call of Update.
type updater[T any] struct {
	store     SwapStore
	key       string
	op        string
	change    func(cur T, exists bool) (T, bool, error)
	conflicts int
	doubt     bool // a write was sent and its outcome is unknown
	body      T
	record    Record
}

// try reads the record, changes it and writes it once. It reports whether the
// update is complete.
func (u *updater[T]) try(ctx context.Context) (bool, error) {
	record, err := u.read(ctx)
	if err != nil {
		return false, u.fail(err)
	}
	cur, op, err := decode[T](record)
	if err != nil {
		return false, u.fail(err)
	}
	if op == u.op {
		u.body, u.record = cur, record
		return true, nil
	}
	next, write, err := u.change(cur, record.Revision != 0)
	if err != nil {
		return false, u.fail(err)
	}
	if !write {
		u.body, u.record = cur, record
		return true, nil
	}
	return u.write(ctx, next, record.Revision)
}

// read reads the record. While a write is in doubt it tries several times.
func (u *updater[T]) read(ctx context.Context) (Record, error) {
	record, err := u.store.Get(ctx, u.key)
	if !u.doubt {
		return record, err
	}
	for n := 1; err != nil && n < maxReadBacks; n++ {
		if pause(ctx, backoff(n, minRetryDelay, maxRetryDelay)) != nil {
			return record, err
		}
		record, err = u.store.Get(ctx, u.key)
	}
	return record, err
}

func (u *updater[T]) write(ctx context.Context, next T, revision int64) (bool, error) {
	value, err := Encode(u.op, next)
	if err != nil {
		return false, u.fail(err)
	}
	record, err := u.store.Swap(ctx, u.key, value, revision, 0)
	switch {
	case err == nil:
		u.body, u.record = next, record
		return true, nil
	case errors.Is(err, ErrUnknown):
		u.doubt = true
		return false, nil
	case errors.Is(err, ErrConflict):
		u.conflicts++
		if pause(ctx, backoff(u.conflicts, minConflictDelay, maxConflictDelay)) != nil {
			return false, u.fail(err)
		}
		return false, nil
	}
	return false, u.fail(err)
}

// fail returns err, or ErrUnknown when a write of this update is in doubt.
func (u *updater[T]) fail(err error) error {
	if u.doubt && !errors.Is(err, ErrUnknown) {
		return errors.Annotatef(ErrUnknown, "%v", err)
	}
	return err
}

// backoff returns the jittered delay before try n, counted from 1.
func backoff(n int, first, last time.Duration) time.Duration {
	d := first << min(n-1, 16)
	if d > last || d <= 0 {
		d = last
	}
	return d/2 + rand.N(d/2+1)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
