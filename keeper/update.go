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
	maxUpdateTries   = 64 // Update gives up after this many conflicting or unanswered writes
	maxReadBacks     = 4  // attempts to read the record after the answer to a write was lost
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

	// envelope is the stored form of a record. Op identifies the write, so that
	// Update recognizes its own write when the answer was lost.
	envelope struct {
		Op   string          `json:"op"` // identity of the write that stored the record
		Body json.RawMessage `json:"body"`
	}
)

// Encode returns the stored form of body. op identifies the write.
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
	body, _, err := decodeWithOp[T](r)
	return body, err
}

// decodeWithOp returns the body of a stored record and the identity of the write that
// stored it.
func decodeWithOp[T any](r Record) (T, string, error) {
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

// Update changes the record of key with compare-and-swap and returns the body and
// the record that are stored afterwards. It calls change with the current body
// until a write succeeds. change returns write false to leave the record as it
// is. change must be idempotent: when the answer to a write was lost, another
// writer may overwrite the record before Update reads it again, and Update then
// calls change once more.
//
// ErrUnavailable means that nothing was written. ErrUnknown means that the write
// may have taken effect or may still do so. ErrConflict means that other writers
// changed the record first on each attempt. Errors of change are returned as they
// are, or as the text of an ErrUnknown if the answer to an earlier write was lost.
func Update[T any](ctx context.Context, s SwapStore, key string, change func(cur T, exists bool) (next T, write bool, err error)) (T, Record, error) {
	u := updater[T]{store: s, key: key, op: uuid.NewString(), change: change}
	for range maxUpdateTries {
		done, err := u.attempt(ctx)
		if err != nil {
			var zero T
			return zero, Record{}, errors.Annotatef(err, "updating %q", key)
		}
		if done {
			return u.body, u.record, nil
		}
	}
	var zero T
	return zero, Record{}, u.finalError(errors.Annotatef(ErrConflict, "updating %q, %d tries", key, maxUpdateTries))
}

// updater is the state of one call of Update.
type updater[T any] struct {
	store          SwapStore
	key            string
	op             string // identity of the writes of this update
	change         func(cur T, exists bool) (T, bool, error)
	conflicts      int
	outcomeUnknown bool // the answer to a write was lost
	body           T
	record         Record
}

// attempt reads the record, changes it and writes it once. It reports whether the
// update is complete.
func (u *updater[T]) attempt(ctx context.Context) (bool, error) {
	record, err := u.read(ctx)
	if err != nil {
		return false, u.finalError(err)
	}
	cur, op, err := decodeWithOp[T](record)
	if err != nil {
		return false, u.finalError(err)
	}
	if op == u.op {
		u.body, u.record = cur, record
		return true, nil
	}
	next, write, err := u.change(cur, record.Revision != 0)
	if err != nil {
		return false, u.finalError(err)
	}
	if !write {
		u.body, u.record = cur, record
		return true, nil
	}
	return u.write(ctx, next, record.Revision)
}

// read reads the record. If the outcome of a write is unknown, it retries failed
// reads to find it out.
func (u *updater[T]) read(ctx context.Context) (Record, error) {
	record, err := u.store.Get(ctx, u.key)
	if !u.outcomeUnknown {
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

// write writes next if the record still has the given revision. It reports
// whether the update is complete; false without an error means that another
// attempt must follow.
func (u *updater[T]) write(ctx context.Context, next T, revision int64) (bool, error) {
	value, err := Encode(u.op, next)
	if err != nil {
		return false, u.finalError(err)
	}
	record, err := u.store.Swap(ctx, u.key, value, revision, 0)
	switch {
	case err == nil:
		u.body, u.record = next, record
		return true, nil
	case errors.Is(err, ErrUnknown):
		u.outcomeUnknown = true
		return false, nil
	case errors.Is(err, ErrConflict):
		u.conflicts++
		if pause(ctx, backoff(u.conflicts, minConflictDelay, maxConflictDelay)) != nil {
			return false, u.finalError(err)
		}
		return false, nil
	}
	return false, u.finalError(err)
}

// finalError returns the error of Update: ErrUnknown if the outcome of a write is
// unknown, and err otherwise.
func (u *updater[T]) finalError(err error) error {
	if u.outcomeUnknown && !errors.Is(err, ErrUnknown) {
		return errors.Annotatef(ErrUnknown, "%v", err)
	}
	return err
}

// backoff returns the delay after the failed attempt n, counted from 1. It doubles
// from minDelay up to maxDelay; a random part of up to one half is taken off.
func backoff(n int, minDelay, maxDelay time.Duration) time.Duration {
	d := minDelay << min(n-1, 16)
	if d > maxDelay || d <= 0 {
		d = maxDelay
	}
	return d/2 + rand.N(d/2+1)
}

// pause waits for d, or until ctx ends and returns the error of ctx.
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
